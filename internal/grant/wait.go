package grant

import (
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank/internal/pick"
)

// This file determines what calls wait for, for log lines and refusals.

// A waitCause is what a call waits for.
type waitCause string

const (
	causeState    waitCause = "state"        // the engine's status is unknown or it does not respond
	causeBase     waitCause = "base model"   // the base model is not loaded yet
	causeLoad     waitCause = "load"         // the adapter is being loaded
	causeSlot     waitCause = "place"        // no adapter slot is available
	causeStore    waitCause = "weight store" // the limit of cold loads is reached
	causeVersion  waitCause = "version"      // the old version is still in use
	causePrefill  waitCause = "prompts"      // the backlog is at its limit
	causeCapacity waitCause = "room"         // the batch or the KV cache is full
	causeCold     waitCause = "warming"      // the engine is cold and the bound is reached
	causeOrder    waitCause = "order"        // a load can be ordered now
)

// waitCause returns what a queued reservation waits for.
func (e *Engine) waitCause(res *reservation, now time.Time) waitCause {
	switch {
	case !e.statusKnown || e.unresponsive:
		return causeState
	case len(e.bases) == 0:
		return causeBase
	}
	slot := e.slots[res.Adapter]
	switch {
	case e.isCold() && e.serves(res, now):
		return causeCold
	case res.Adapter.Name == "" || slot != nil && slot.state == resident && !e.isStale(slot, now, res.Version):
		if e.exceedsBacklog(res.unread) {
			return causePrefill
		}
		return causeCapacity
	case slot != nil && slot.state == resident:
		return causeVersion
	case slot != nil:
		return causeLoad
	case e.freeSlots(now) <= 0:
		return causeSlot
	case !e.recent.Has(res.Adapter):
		return causeStore
	}
	return causeOrder
}

// expectedWait returns the time until the engine is expected to have capacity for a
// reservation, behind the others in its queue.
func (e *Engine) expectedWait(res *reservation, now time.Time) time.Duration {
	v := e.view(res.Adapter, now)
	v.Queued-- // the reservation itself
	v.Backlog -= res.unread
	v.Kept = res.Prompt - res.unread
	call := pick.Call{Adapter: res.Adapter, Prompt: res.Prompt, Output: res.Output}
	return pick.TimeToFirstToken(&v, call) - v.PrefillTime(call)
}

// logWaiting logs what queued calls wait for, if there are any.
func (s *Scheduler) logWaiting(now time.Time) {
	counts := make(map[waitCause]int)
	waiting, slots, idle, running := 0, 0, 0, 0
	for _, e := range s.sorted {
		for _, res := range e.queue {
			counts[e.waitCause(res, now)]++
			waiting++
		}
		slots += len(e.slots)
		idle += len(e.idleSlots(now))
		running += len(e.running)
	}
	if waiting == 0 {
		return
	}
	fields := logrus.Fields{
		"waiting": waiting, "engines": len(s.sorted), "places": slots, "idle": idle, "running": running,
		"cold_here": s.coldLoads(), "cold_elsewhere": s.deps.RemoteColdLoads(), "cold_limit": s.cold.current(),
	}
	for c, n := range counts {
		fields["for "+string(c)] = n
	}
	s.deps.Log.WithFields(fields).Info("grant: calls wait")
}
