package runner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pause"
)

// This file defines the loading and eviction of adapters.

// retryPause is the pause before the loader looks again when it could not act.
const retryPause = 20 * time.Millisecond

// loadLoop loads wanted models one after another.
func (r *Runner) loadLoop(ctx context.Context) {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		for r.wants() && ctx.Err() == nil {
			if !r.loadOne(ctx) {
				pause.For(ctx, retryPause)
			}
		}
	}
}

func (r *Runner) wants() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up && !r.closing && r.hasWant()
}

// loadOne makes room for and loads the next model. It reports whether a load
// was tried.
func (r *Runner) loadOne(ctx context.Context) bool {
	if !r.hasRoom() {
		return false
	}
	if err := r.deps.LoadLimiter.Acquire(ctx); err != nil {
		return false
	}
	m, victim, evict, ok := r.choose()
	if !ok {
		return false
	}
	if evict && !r.evict(ctx, victim) {
		r.endLoad(m, false, plank.Refuse(plank.CodeLoadFailed, "eviction failed"))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	begun := r.deps.Clock.Now()
	err := r.deps.Engine.Load(ctx, m, r.term)
	r.deps.Log.WithFields(logrus.Fields{
		"model": m.String(), "endpoint": r.opts.Endpoint, "reason": r.opts.Order.Name(),
		"took": r.deps.Clock.Now().Sub(begun).String(), "ok": err == nil,
	}).Info("runner: loaded")
	r.endLoad(m, err == nil, err)
	return true
}

// hasRoom reports whether a slot is free or could be emptied, and begins to
// drain a slot when a request has waited too long for one.
func (r *Runner) hasRoom() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.deps.Clock.Now()
	if !now.Before(r.deps.ValidUntil()) {
		return false
	}
	if len(r.slots) < r.opts.AdapterSlots {
		return true
	}
	if !r.mayEvict(now) {
		return false
	}
	models, _ := r.idleSlots(now)
	if len(models) > 0 {
		return true
	}
	r.drainFor(now)
	return false
}

// mayEvict reports whether evictions may be ordered. The lock is held.
func (r *Runner) mayEvict(now time.Time) bool {
	return now.Add(orderMargin).Before(r.deps.ValidUntil())
}

// idleSlots lists the models that nobody uses or waits for, an earlier owner's
// callers included. The lock is held.
func (r *Runner) idleSlots(now time.Time) ([]plank.Model, []plank.ResidentModel) {
	wanted := make(map[plank.Model]bool)
	for _, w := range r.waiting {
		wanted[w.job.Model] = true
	}
	var models []plank.Model
	var slots []plank.ResidentModel
	for m, s := range r.slots {
		if s.inUse > 0 || s.foreign && now.Before(r.pinned) || wanted[m] && !s.draining {
			continue
		}
		models = append(models, m)
		slots = append(slots, plank.ResidentModel{Model: m, Uses: aged(s, now), LastUse: s.lastUse, LoadedAt: s.loadedAt, Copies: r.deps.Copies(m)})
	}
	return models, slots
}

// drainFor stops new requests for the least used model if a request has waited
// for a load longer than its patience justifies. The lock is held.
func (r *Runner) drainFor(now time.Time) {
	urgent := false
	for _, w := range r.waiting {
		if r.slots[w.job.Model] == nil && now.Sub(w.arrived) > w.job.Deadline.Sub(w.arrived)/drainAfter {
			urgent = true
		}
	}
	var victim *slot
	for _, s := range r.slots {
		if s.draining {
			return
		}
		if s.foreign && now.Before(r.pinned) {
			continue
		}
		if victim == nil || aged(s, now) < aged(victim, now) {
			victim = s
		}
	}
	if urgent && victim != nil {
		victim.draining = true
	}
}

// choose picks the model to load and, if no slot is free, the one to evict. It
// marks both.
func (r *Runner) choose() (m, victim plank.Model, evict, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.deps.Clock.Now()
	wants := r.collectWants()
	i := r.opts.Order.Next(wants, now)
	if i < 0 || r.closing || !now.Before(r.deps.ValidUntil()) {
		return m, victim, false, false
	}
	m = wants[i].Model
	if len(r.slots) >= r.opts.AdapterSlots {
		if !r.mayEvict(now) {
			return m, victim, false, false
		}
		models, slots := r.idleSlots(now)
		v := r.opts.Evictor.Victim(slots, wants[i].Waiting, now)
		if v < 0 {
			return m, victim, false, false
		}
		victim, evict = models[v], true
		r.slots[victim].draining = true
	}
	r.loading = m
	r.lastOrder = now
	return m, victim, evict, true
}

// collectWants lists the models that requests wait for. The lock is held.
func (r *Runner) collectWants() []plank.PendingLoad {
	index := make(map[plank.Model]int)
	var wants []plank.PendingLoad
	for _, w := range r.waiting {
		m := w.job.Model
		if r.slots[m] != nil {
			continue
		}
		i, ok := index[m]
		if !ok {
			i = len(wants)
			index[m] = i
			wants = append(wants, plank.PendingLoad{Model: m, Earliest: w.job.Deadline, Since: w.arrived})
		}
		wants[i].Waiting++
		if w.job.Deadline.Before(wants[i].Earliest) {
			wants[i].Earliest = w.job.Deadline
		}
		if w.arrived.Before(wants[i].Since) {
			wants[i].Since = w.arrived
		}
	}
	return wants
}

// evict orders the eviction of a draining model. It reports false when the
// outcome is not known; the next reports tell it.
func (r *Runner) evict(ctx context.Context, victim plank.Model) bool {
	ctx, cancel := context.WithTimeout(ctx, unloadTimeout)
	defer cancel()
	err := r.deps.Engine.Unload(ctx, victim, r.term)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastOrder = r.deps.Clock.Now()
	entry := r.deps.Log.WithFields(logrus.Fields{"model": victim.String(), "endpoint": r.opts.Endpoint, "reason": r.opts.Evictor.Name()})
	if err != nil {
		entry.WithError(err).Warn("runner: eviction failed")
		return false
	}
	entry.Info("runner: evicted")
	delete(r.slots, victim)
	return true
}

// endLoad records the outcome of a load.
func (r *Runner) endLoad(m plank.Model, ok bool, err error) {
	r.mu.Lock()
	now := r.deps.Clock.Now()
	r.loading = plank.Model{}
	r.lastOrder = now
	if ok {
		r.slots[m] = &slot{lastUse: now, loadedAt: now}
		delete(r.failures, m)
		for _, w := range r.waiting {
			if w.job.Model == m && w.loaded.IsZero() {
				w.loaded = now
			}
		}
	} else {
		r.failLoad(m, err)
	}
	r.schedule()
	r.checkIdle()
	r.mu.Unlock()
}

// failLoad counts a failed load and sends the requests that wait for it
// elsewhere when it failed too often. The lock is held.
func (r *Runner) failLoad(m plank.Model, err error) {
	r.failures[m]++
	if r.failures[m] < maxLoadFailures {
		return
	}
	delete(r.failures, m)
	for h, w := range r.waiting {
		if w.job.Model == m {
			r.queue.Remove(h)
			delete(r.waiting, h)
			w.granted <- plank.Refuse(plank.CodeLoadFailed, "loading %s on endpoint %s failed: %v", m, r.opts.Endpoint, err)
		}
	}
}
