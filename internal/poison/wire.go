package poison

import (
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/wire"
)

// FromWire returns the entry that a message holds. A nil message is an entry
// that has expired.
func FromWire(s *wire.Suspect) Entry {
	return Entry{
		Print: plank.Fingerprint(s.GetPrint()), Crashes: int(s.GetCrashes()), Quarantined: s.GetQuarantined(),
		Until: time.Unix(s.GetUntilUnix(), 0),
	}
}

// ToWire returns the message for other VMs.
func (e Entry) ToWire() *wire.Suspect {
	return &wire.Suspect{Print: string(e.Print), Crashes: uint32(e.Crashes), Quarantined: e.Quarantined, UntilUnix: e.Until.Unix()}
}
