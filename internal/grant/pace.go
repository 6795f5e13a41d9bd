package grant

import (
	"math"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pace"
	"knapweedplank.org/plank/internal/pick"
	"knapweedplank.org/plank/internal/wire"
)

// This file holds what depends on the learned pace of an engine.

const (
	// minMeasuredPrompt is the number of prompt tokens ahead of a first event from which its
	// time tells the pace: they take 50 ms at the usual one, many times the way of the
	// messages.
	minMeasuredPrompt = 2000
	// pacePublishRatio is by how much the pace of an engine changes before its state is
	// published for that alone, and pacePublishInterval how often that is checked.
	pacePublishRatio    = 1.15
	pacePublishInterval = 250 * time.Millisecond
)

// pace returns how long work takes on the engine, relative to the usual time; 0 if it is not
// learned.
func (e *Engine) pace() float64 { return e.paces.Pace(e.inst.Service, e.inst.Run()) }

// exceedsBacklog reports whether a reservation would take the backlog beyond what the engine
// processes in about a second.
func (e *Engine) exceedsBacklog(res *reservation) bool {
	if e.backlog <= 0 {
		return false
	}
	limit := plank.Tokens(maxBacklog)
	if p := e.pace(); p > 0 {
		limit = plank.Tokens(float64(limit) / p)
	}
	return e.backlog+res.Prompt > limit
}

// recordFirstEvent learns from the time to the first event of a reservation. Parts of the
// prompts may have been kept, so the engine is at least as slow as that.
func (e *Engine) recordFirstEvent(res *reservation, now time.Time) {
	if e.running[res] && !res.started && res.ahead >= minMeasuredPrompt {
		e.paces.RecordAnswer(e.inst.Service, e.inst.Run(), now.Sub(res.grantedAt), pick.PrefillTime(res.ahead), pace.AtLeast)
	}
}

// addPace adds the pace to the state that is published.
func (e *Engine) addPace(s *wire.EngineState) {
	s.Pace = math.Round(100*e.pace()) / 100
	e.publishedPace = s.Pace
}

// publishPaces marks the engines whose paces have changed since they were published. A state
// that tells of a spell of slowness would otherwise keep calls away after its end.
func (s *Scheduler) publishPaces(now time.Time) {
	if now.Before(s.nextPacesAt) {
		return
	}
	s.nextPacesAt = now.Add(pacePublishInterval)
	for id, e := range s.engines {
		p, was := e.pace(), e.publishedPace
		if p > was*pacePublishRatio || p < was/pacePublishRatio {
			s.changed[id] = true
		}
	}
}
