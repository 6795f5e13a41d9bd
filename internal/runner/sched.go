package runner

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/place"
)

// This file defines which waiting request is dispatched next.

// schedule dispatches waiting requests while the batch has room, and signals
// loadLoop if a model waits to be loaded. The lock is held.
func (r *Runner) schedule() {
	r.checkPause()
	for r.up && !r.closing && !r.unconfirmed && r.exclusive == nil && len(r.running) < r.opts.Batch {
		now := r.deps.Clock.Now()
		aloneDue := r.isAloneDue(now)
		h, ok := r.queue.Next(func(h uint64) bool { return r.isReady(r.waiting[h], aloneDue) })
		if !ok {
			break
		}
		r.dispatch(r.waiting[h], now)
	}
	if r.hasPendingLoad() {
		select {
		case r.wakeLoader <- struct{}{}:
		default:
		}
	}
}

// checkPause refuses the waiting requests, and those that come, if the lease expired in a
// pause of the process, until it is renewed. Without a pause the owner dispatches requests
// of resident models beyond its lease, since a VM that is cut off serves what it can. The
// lock is held.
func (r *Runner) checkPause() {
	now := r.deps.Clock.Now()
	expired := !now.Before(r.deps.ValidUntil())
	paused := now.Sub(r.activeAt) > maxInactivity
	r.activeAt = now
	if !expired {
		r.unconfirmed = false
	} else if paused && !r.unconfirmed {
		r.unconfirmed = true
		r.deps.Log.WithField("endpoint", r.opts.Endpoint).Warn("runner: the lease expired in a pause, waiting requests are refused")
		r.refuseWaiting(plank.Refuse(plank.CodeWrongOwner, "endpoint %s may have another owner", r.opts.Endpoint))
	}
}

// dispatch moves a waiting request to the running ones and lets Submit send it. The
// lock is held.
func (r *Runner) dispatch(req *request, now time.Time) {
	delete(r.waiting, req.handle)
	r.running[req.handle] = req
	if req.job.Alone {
		r.exclusive = req
	}
	s := r.slots[req.job.Model]
	s.inUse++
	req.slot, req.run = s, r.run()
	s.uses = decayedUses(s, now) + 1
	s.lastUse = now
	req.decision <- nil
	r.observeWait(req, now)
	r.deps.Log.WithFields(logrus.Fields{
		"request": req.job.ID, "workspace": req.job.Workspace, "model": req.job.Model.String(), "endpoint": r.opts.Endpoint,
		"reason": r.queue.Name(), "waited": now.Sub(req.arrivedAt).String(), "deadline": req.job.Deadline.Format(time.RFC3339Nano),
	}).Info("runner: dispatched")
}

// observeWait passes the wait of a dispatched request to Deps.ObserveWait.
func (r *Runner) observeWait(req *request, now time.Time) {
	if r.deps.ObserveWait == nil {
		return
	}
	wait := Wait{Resident: req.residentAt.Equal(req.arrivedAt), Queue: now.Sub(req.arrivedAt)}
	if !wait.Resident {
		if req.residentAt.IsZero() {
			req.residentAt = now
		}
		wait.Load = req.residentAt.Sub(req.arrivedAt)
		wait.Queue -= wait.Load
	}
	r.deps.ObserveWait(wait)
}

// decayedUses returns the number of uses of a slot, in which each use counts half
// after place.UseHalfLife.
func decayedUses(s *slot, now time.Time) float64 {
	return s.uses * math.Exp2(-float64(now.Sub(s.lastUse))/float64(place.UseHalfLife))
}

// isAloneDue reports whether a request that must run alone has waited so long that
// no others are dispatched before it. The lock is held.
func (r *Runner) isAloneDue(now time.Time) bool {
	for _, req := range r.waiting {
		if req.job.Alone && r.isResident(req.job.Model) && now.Sub(req.arrivedAt) > aloneDelay {
			return true
		}
	}
	return false
}

// isReady reports whether a waiting request may run now. If aloneDue is set, only
// requests that must run alone may. The lock is held.
func (r *Runner) isReady(req *request, aloneDue bool) bool {
	if !r.isResident(req.job.Model) {
		return false
	}
	if req.job.Alone {
		return len(r.running) == 0
	}
	return !aloneDue
}

// isResident reports whether a model is resident and its slot is not draining. The
// lock is held.
func (r *Runner) isResident(m plank.Model) bool {
	s := r.slots[m]
	return s != nil && !s.draining
}

// hasPendingLoad reports whether a request waits for a model that is neither resident
// nor being loaded. The lock is held.
func (r *Runner) hasPendingLoad() bool {
	for _, req := range r.waiting {
		if r.slots[req.job.Model] == nil && req.job.Model != r.loading {
			return true
		}
	}
	return false
}
