package watch

import (
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/cold"
)

// OnCold sets the function that is called with each registration that was read, and whether
// the run of the endpoint was known before. It must be called before the sink is used.
func (s *InstanceSink) OnCold(f func(inst plank.Instance, wasKnown bool)) { s.onCold = f }

// reportCold passes on what a registration states of coldness. The lock is held.
func (s *InstanceSink) reportCold(inst plank.Instance) {
	if s.onCold != nil {
		old, known := s.entries[inst.ID]
		s.onCold(inst, known && old.Run() == inst.Run())
	}
}

// coldChanged reports whether a registration begins, extends or ends the cold period of a
// known run. It reports false if the remaining time merely counts down, and for services whose
// endpoints are never cold.
func (s *InstanceSink) coldChanged(old, inst plank.Instance) bool {
	m := s.view.Load().Manifest
	if m == nil || m.Services[inst.Service].ColdRate <= 0 {
		return false
	}
	now := s.clock.Now()
	wasCold, isCold := old.ColdUntil.After(now), inst.ColdUntil.After(now)
	switch {
	case isCold && wasCold:
		return inst.ColdUntil.Sub(old.ColdUntil).Abs() > cold.Tolerance
	case wasCold:
		return old.ColdUntil.Sub(now) > cold.Tolerance
	}
	return isCold
}
