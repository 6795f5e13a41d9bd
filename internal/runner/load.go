package runner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pause"
)

// This file defines the loading and eviction of adapters.

// retryPause is the pause before loadLoop tries again when nothing could be loaded.
const retryPause = 20 * time.Millisecond

// loadLoop loads the models that requests wait for, one after another.
func (r *Runner) loadLoop(ctx context.Context) {
	for {
		select {
		case <-r.wakeLoader:
		case <-ctx.Done():
			return
		}
		for r.needsLoad() && ctx.Err() == nil {
			if !r.loadNext(ctx) {
				pause.For(ctx, retryPause)
			}
		}
	}
}

func (r *Runner) needsLoad() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up && !r.closing && r.hasPendingLoad()
}

// loadNext loads the next model, after an eviction if no slot is free. It reports
// whether a load was tried.
func (r *Runner) loadNext(ctx context.Context) bool {
	if !r.hasRoom() {
		return false
	}
	if err := r.deps.LoadLimiter.Acquire(ctx); err != nil {
		return false
	}
	m, victim, evict, ok := r.chooseLoad()
	if !ok {
		return false
	}
	if evict && !r.evict(ctx, victim) {
		r.endLoad(m, false, plank.Refuse(plank.CodeLoadFailed, "eviction failed"))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	startedAt := r.deps.Clock.Now()
	err := r.deps.Engine.Load(ctx, m, r.term)
	r.deps.Log.WithFields(logrus.Fields{
		"model": m.String(), "endpoint": r.opts.Endpoint, "reason": r.opts.Order.Name(),
		"took": r.deps.Clock.Now().Sub(startedAt).String(), "ok": err == nil,
	}).Info("runner: load finished")
	r.endLoad(m, err == nil, err)
	return true
}

// hasRoom reports whether a slot is free or a model can be evicted. If not, it may
// begin to drain a slot for a request that has waited too long.
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
	models, _ := r.evictable(now)
	if len(models) > 0 {
		return true
	}
	r.drainIfUrgent(now)
	return false
}

// mayEvict reports whether the claim lasts long enough for an eviction. The lock is
// held.
func (r *Runner) mayEvict(now time.Time) bool {
	return now.Add(orderMargin).Before(r.deps.ValidUntil())
}

// evictable lists the models that no request uses or waits for, with those of a
// previous owner taken into account. The lock is held.
func (r *Runner) evictable(now time.Time) ([]plank.Model, []plank.ResidentModel) {
	wanted := make(map[plank.Model]bool)
	for _, req := range r.waiting {
		wanted[req.job.Model] = true
	}
	var models []plank.Model
	var slots []plank.ResidentModel
	for m, s := range r.slots {
		if s.inUse > 0 || now.Before(s.keepUntil) || s.pinned && now.Before(r.pinnedUntil) || wanted[m] && !s.draining {
			continue
		}
		models = append(models, m)
		slots = append(slots, plank.ResidentModel{Model: m, Uses: decayedUses(s, now), LastUse: s.lastUse, LoadedAt: s.loadedAt, Copies: r.deps.Copies(m)})
	}
	return models, slots
}

// drainIfUrgent begins to drain the slot of the least used model if a request has
// waited too long for a load (see drainPatienceDivisor). Only one slot drains at a
// time. The lock is held.
func (r *Runner) drainIfUrgent(now time.Time) {
	urgent := false
	for _, req := range r.waiting {
		if r.slots[req.job.Model] == nil && now.Sub(req.arrivedAt) > req.job.Deadline.Sub(req.arrivedAt)/drainPatienceDivisor {
			urgent = true
		}
	}
	var victim *slot
	for _, s := range r.slots {
		if s.draining {
			return
		}
		if s.pinned && now.Before(r.pinnedUntil) {
			continue
		}
		if victim == nil || decayedUses(s, now) < decayedUses(victim, now) {
			victim = s
		}
	}
	if urgent && victim != nil {
		victim.draining = true
	}
}

// chooseLoad chooses the model to load and, if no slot is free, the one to evict. It
// marks the first as loading and the second as draining.
func (r *Runner) chooseLoad() (m, victim plank.Model, evict, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.deps.Clock.Now()
	pending := r.pendingLoads()
	i := r.opts.Order.Next(pending, now)
	if i < 0 || r.closing || !now.Before(r.deps.ValidUntil()) {
		return m, victim, false, false
	}
	m = pending[i].Model
	if len(r.slots) >= r.opts.AdapterSlots {
		if !r.mayEvict(now) {
			return m, victim, false, false
		}
		models, slots := r.evictable(now)
		j := r.opts.Evictor.Victim(slots, pending[i].Waiting, now)
		if j < 0 {
			return m, victim, false, false
		}
		victim, evict = models[j], true
		r.slots[victim].draining = true
	}
	r.loading = m
	r.lastOrder = now
	return m, victim, evict, true
}

// pendingLoads lists the models that are not resident and for which requests wait.
// The lock is held.
func (r *Runner) pendingLoads() []plank.PendingLoad {
	index := make(map[plank.Model]int)
	var pending []plank.PendingLoad
	for _, req := range r.waiting {
		m := req.job.Model
		if r.slots[m] != nil {
			continue
		}
		i, ok := index[m]
		if !ok {
			i = len(pending)
			index[m] = i
			pending = append(pending, plank.PendingLoad{Model: m, Earliest: req.job.Deadline, Since: req.arrivedAt})
		}
		pending[i].Waiting++
		if req.job.Deadline.Before(pending[i].Earliest) {
			pending[i].Earliest = req.job.Deadline
		}
		if req.arrivedAt.Before(pending[i].Since) {
			pending[i].Since = req.arrivedAt
		}
	}
	return pending
}

// evict orders the eviction of a draining model. It reports false if the order
// failed or its result is unknown; later reports then show what is resident.
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
		if r.slots[m] == nil { // a report may have listed it before the load was answered
			r.slots[m] = &slot{lastUse: now, loadedAt: now}
		}
		delete(r.loadFailures, m)
		for _, req := range r.waiting {
			if req.job.Model == m && req.residentAt.IsZero() {
				req.residentAt = now
			}
		}
	} else {
		r.recordLoadFailure(m, err)
	}
	r.schedule()
	r.closeIfIdle()
	r.mu.Unlock()
}

// recordLoadFailure counts a failed load of m. After maxLoadFailures in a row it
// refuses the requests that wait for m. The lock is held.
func (r *Runner) recordLoadFailure(m plank.Model, err error) {
	r.loadFailures[m]++
	if r.loadFailures[m] < maxLoadFailures {
		return
	}
	delete(r.loadFailures, m)
	for h, req := range r.waiting {
		if req.job.Model == m {
			r.queue.Remove(h)
			delete(r.waiting, h)
			req.decision <- plank.Refuse(plank.CodeLoadFailed, "loading %s on endpoint %s failed: %v", m, r.opts.Endpoint, err)
		}
	}
}
