package front

import (
	"errors"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/cold"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/wire"
)

// This file limits the calls to cold endpoints: the choice of engines counts the wait at those
// that are cold, and replicas of plain services get calls within this VM's portion only.

// coldWait returns how long a call waits until the holder of a cold engine may grant it; 0 if
// the engine is warm. rate is the number of calls per second that it tolerates, 0 if the engines
// of the service are never cold.
func (c *Chooser) coldWait(inst plank.Instance, e mesh.Engine, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	now := c.Clock.Now()
	left := max(0, c.Cold.Until(inst).Sub(now))
	queued, room := 0.0, 0.0
	if s := e.State; s != nil {
		queued = float64(s.Queued)
		if s.ColdMillis > 0 {
			room = s.ColdRoom
			left = max(left, time.Duration(s.ColdMillis)*time.Millisecond-now.Sub(e.Received))
		}
	}
	if left <= 0 {
		return 0
	}
	// Half a request is added, so that a warm engine that is as free is preferred.
	return min(left, time.Duration((max(0, queued+1-room)+0.5)/rate*float64(time.Second)))
}

// isCold reports whether an engine is cold by what this VM or the engine's holder knows.
func (c *Chooser) isCold(inst plank.Instance, e mesh.Engine) bool {
	return c.coldWait(inst, e, c.Cold.Rate(inst.Service)) > 0
}

// A coldMarker is a reservation whose holder is told that the engine is cold.
type coldMarker interface {
	MarkCold(left time.Duration)
}

// reportCold tells the holder of a reservation that the engine is cold, if it is, as the
// answer has just stated: the holder limits the grants of all VMs.
func (s *Server) reportCold(inst plank.Instance, res Reservation) {
	until := s.deps.Chooser.Cold.Until(inst)
	if m, ok := res.(coldMarker); ok && !until.IsZero() {
		m.MarkCold(until.Sub(s.deps.Clock.Now()))
	}
}

// MarkCold implements coldMarker.
func (r *remoteReservation) MarkCold(left time.Duration) {
	r.sendNote(&wire.ReserveNote{StatesCold: true, ColdMillis: left.Milliseconds()})
}

// handleColdNote records what a peer was told by an engine of this holder.
func (b *Broker) handleColdNote(inst plank.Instance, n *wire.ReserveNote) {
	if left, ok := cold.ParseLeft(n.ColdMillis); n.StatesCold && ok {
		b.Chooser.Cold.Record(inst, b.Clock.Now().Add(left), cold.Peer, true)
	}
}

// recordRefused records that the replica of an attempt refused the connection, if it did.
func (s *Server) recordRefused(j *job, a *attempt) {
	var sendErr *plank.SendError
	if j.pool == nil && errors.As(a.err, &sendErr) && sendErr.Refused {
		s.deps.Chooser.Cold.RecordRefused(a.inst)
	}
}

// coldNextAt returns the earliest time of a call to a cold replica; the zero time if the
// replica is warm or may get one now.
func (s *Server) coldNextAt(inst plank.Instance, isCold bool) time.Time {
	if !isCold {
		return time.Time{}
	}
	return s.deps.Portions.NextAt(inst)
}

// coldEnd returns the first time at which a replica of a plain service may get a call. It
// returns the zero time unless all that may get calls otherwise are cold and get none now.
func (s *Server) coldEnd(service plank.ServiceID) time.Time {
	var first time.Time
	if s.deps.Chooser.Cold.Rate(service) <= 0 {
		return first
	}
	for _, inst := range s.deps.View.Load().Endpoints(service) {
		if inst.Leaving || s.deps.Health.IsPaused(inst.Run()) || s.deps.Chooser.isOut(inst) {
			continue
		}
		until := s.deps.Chooser.Cold.Until(inst)
		next := s.coldNextAt(inst, !until.IsZero())
		if next.IsZero() {
			return next
		}
		if until.Before(next) {
			next = until
		}
		if first.IsZero() || next.Before(first) {
			first = next
		}
	}
	return first
}
