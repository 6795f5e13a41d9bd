package front

import (
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/wire"
)

// An unmanagedReservation permits a call to an engine whose lease holder is
// unavailable. Its methods report to no holder.
type unmanagedReservation struct {
	version plank.VersionNumber
}

// Version implements Reservation.
func (u unmanagedReservation) Version() plank.VersionNumber { return u.version }

// MarkStarted implements Reservation.
func (unmanagedReservation) MarkStarted() {}

// MarkAdapterMissing implements Reservation.
func (unmanagedReservation) MarkAdapterMissing() {}

// MarkFailed implements Reservation.
func (unmanagedReservation) MarkFailed(bool) {}

// ReportPace implements Reservation.
func (unmanagedReservation) ReportPace(PaceReport) {}

// Release implements Reservation.
func (unmanagedReservation) Release() {}

// residentVersion returns the version of an adapter that an engine's state lists,
// or 0 if it lists none.
func residentVersion(s *wire.EngineState, ref plank.AdapterRef) plank.VersionNumber {
	return placeVersion(s, ref.String())
}
