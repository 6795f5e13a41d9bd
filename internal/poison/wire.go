package poison

import (
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/wire"
)

// FromWire decodes an entry. A nil message gives an expired entry.
func FromWire(s *wire.Suspect) Entry {
	return Entry{
		Print: plank.Fingerprint(s.GetPrint()), Crashes: int(s.GetCrashes()), Quarantined: s.GetQuarantined(),
		Until: time.Unix(s.GetUntilUnix(), 0),
	}
}

// ToWire encodes the entry.
func (e Entry) ToWire() *wire.Suspect {
	return &wire.Suspect{Print: string(e.Print), Crashes: uint32(e.Crashes), Quarantined: e.Quarantined, UntilUnix: e.Until.Unix()}
}
