package front

import (
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/wire"
)

// An unmanagedReservation is used on an engine whose holder is silent.
type unmanagedReservation struct {
	version plank.VersionNumber
}

// Version implements Reservation.
func (f unmanagedReservation) Version() plank.VersionNumber { return f.version }

// Began implements Reservation.
func (unmanagedReservation) Began() {}

// Missing implements Reservation.
func (unmanagedReservation) Missing() {}

// Failed implements Reservation.
func (unmanagedReservation) Failed(bool) {}

// Release implements Reservation.
func (unmanagedReservation) Release() {}

func residentVersion(s *wire.EngineState, ref plank.AdapterRef) plank.VersionNumber {
	for _, p := range s.Places {
		if p.Adapter == ref.String() {
			return plank.VersionNumber(p.Version)
		}
	}
	return 0
}
