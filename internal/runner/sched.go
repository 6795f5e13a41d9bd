package runner

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/place"
)

// This file defines which waiting request is dispatched next.

// schedule grants places in the batch and wakes the loader. The lock is held.
func (r *Runner) schedule() {
	for r.up && !r.closing && r.exclusive == nil && len(r.running) < r.opts.Batch {
		now := r.deps.Clock.Now()
		holdUp := r.aloneWaits(now)
		h, ok := r.queue.Next(func(h uint64) bool { return r.isReady(r.waiting[h], holdUp) })
		if !ok {
			break
		}
		r.grant(r.waiting[h], now)
	}
	if r.hasWant() {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// grant lets a waiting request run. The lock is held.
func (r *Runner) grant(w *waiter, now time.Time) {
	delete(r.waiting, w.handle)
	r.running[w.handle] = w
	if w.job.Alone {
		r.exclusive = w
	}
	s := r.slots[w.job.Model]
	s.inUse++
	w.slot = s
	s.uses = aged(s, now) + 1
	s.lastUse = now
	w.granted <- nil
	r.observe(w, now)
	r.deps.Log.WithFields(logrus.Fields{
		"request": w.job.ID, "workspace": w.job.Workspace, "model": w.job.Model.String(), "endpoint": r.opts.Endpoint,
		"reason": r.queue.Name(), "waited": now.Sub(w.arrived).String(), "deadline": w.job.Deadline.Format(time.RFC3339Nano),
	}).Info("runner: dispatched")
}

// observe reports how long a request waited.
func (r *Runner) observe(w *waiter, now time.Time) {
	if r.deps.ObserveWait == nil {
		return
	}
	wait := Wait{Resident: w.loaded.Equal(w.arrived), Queue: now.Sub(w.arrived)}
	if !wait.Resident {
		if w.loaded.IsZero() {
			w.loaded = now
		}
		wait.Load = w.loaded.Sub(w.arrived)
		wait.Queue -= wait.Load
	}
	r.deps.ObserveWait(wait)
}

// aged returns the count of uses with past uses discounted.
func aged(s *slot, now time.Time) float64 {
	return s.uses * math.Exp2(-float64(now.Sub(s.lastUse))/float64(place.UseHalfLife))
}

// aloneWaits reports whether a request that must run alone has waited long
// enough to hold up the others. The lock is held.
func (r *Runner) aloneWaits(now time.Time) bool {
	for _, w := range r.waiting {
		if w.job.Alone && r.isResident(w.job.Model) && now.Sub(w.arrived) > aloneAfter {
			return true
		}
	}
	return false
}

// isReady reports whether a waiting request could run now. The lock is held.
func (r *Runner) isReady(w *waiter, holdUp bool) bool {
	if !r.isResident(w.job.Model) {
		return false
	}
	if w.job.Alone {
		return len(r.running) == 0
	}
	return !holdUp
}

func (r *Runner) isResident(m plank.Model) bool {
	s := r.slots[m]
	return s != nil && !s.draining
}

// hasWant reports whether a request waits for a load. The lock is held.
func (r *Runner) hasWant() bool {
	for _, w := range r.waiting {
		if r.slots[w.job.Model] == nil && w.job.Model != r.loading {
			return true
		}
	}
	return false
}
