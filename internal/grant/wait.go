package grant

import (
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank/internal/pick"
)

// This file defines what calls wait for, as logs tell it.

// A cause is what a call waits for.
type cause string

const (
	causeState   cause = "state"        // of the engine is not known, or it does not answer
	causeBase    cause = "base model"   // is not loaded yet
	causeLoad    cause = "load"         // of the adapter is on its way
	causePlace   cause = "place"        // for the adapter
	causeStore   cause = "weight store" // allows no more loads at the moment
	causeVersion cause = "version"      // the old one is still in use
	causePrompts cause = "prompts"      // of calls before it have to be read
	causeRoom    cause = "room"         // in the batch or the memory
	causeOrder   cause = "order"        // is due
)

// waitsFor tells what a ticket in the queue waits for.
func (e *Engine) waitsFor(t *ticket, now time.Time) cause {
	switch {
	case !e.known || e.silent:
		return causeState
	case len(e.bases) == 0:
		return causeBase
	}
	p := e.places[t.Adapter]
	switch {
	case t.Adapter.Name == "" || p != nil && p.state == resident && !e.isStale(p, now, t.Version):
		if e.backlog > 0 && e.backlog+t.Prompt > maxBacklog {
			return causePrompts
		}
		return causeRoom
	case p != nil && p.state == resident:
		return causeVersion
	case p != nil:
		return causeLoad
	case e.openings(now) <= 0:
		return causePlace
	case !e.recent.Has(t.Adapter):
		return causeStore
	}
	return causeOrder
}

// roomIn returns after which time the engine is expected to have room for a
// ticket, behind what waits there.
func (e *Engine) roomIn(t *ticket, now time.Time) time.Duration {
	v := e.view(t.Adapter, now)
	v.Queued-- // the ticket itself
	v.Backlog -= t.Prompt
	return pick.TimeToFirstToken(&v, pick.Call{Adapter: t.Adapter, Prompt: t.Prompt, Output: t.Output}) - pick.PrefillTime(t.Prompt)
}

// logWaits tells what calls wait for, if any do.
func (k *Scheduler) logWaits(now time.Time) {
	counts := make(map[cause]int)
	waiting, places, idle, running := 0, 0, 0, 0
	for _, e := range k.list {
		for _, t := range e.queue {
			counts[e.waitsFor(t, now)]++
			waiting++
		}
		places += len(e.places)
		idle += len(e.idle(now))
		running += len(e.running)
	}
	if waiting == 0 {
		return
	}
	fields := logrus.Fields{
		"waiting": waiting, "engines": len(k.list), "places": places, "idle": idle, "running": running,
		"cold_here": k.coldLoads(), "cold_elsewhere": k.deps.RemoteColdLoads(), "cold_limit": coldLimit(k.total),
	}
	for c, n := range counts {
		fields["for "+string(c)] = n
	}
	k.deps.Log.WithFields(fields).Info("grant: calls wait")
}
