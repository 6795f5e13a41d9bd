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

// exceedsBacklog reports whether a prompt with a number of unread tokens would take the backlog
// beyond what the engine processes in about a second.
func (e *Engine) exceedsBacklog(unread plank.Tokens) bool {
	if e.backlog <= 0 {
		return false
	}
	limit := plank.Tokens(maxBacklog)
	if p := e.pace(); p > 0 {
		limit = plank.Tokens(float64(limit) / p)
	}
	return e.backlog+unread > limit
}

// recordFirstEvent learns from the time to the first event of a reservation. Parts of the
// prompts may have been kept, so the engine is at least as slow as that.
func (e *Engine) recordFirstEvent(res *reservation, now time.Time) {
	if e.running[res] && !res.started && res.ahead >= minMeasuredPrompt {
		e.paces.RecordAnswer(e.inst.Service, e.inst.Run(), now.Sub(res.grantedAt), pick.PrefillTime(res.ahead), pace.AtLeast)
	}
}

// strictStreams counts the granted reservations with a longest pause of which no event is
// expected to be late yet.
type strictStreams struct {
	count   int
	sumGaps time.Duration
}

// add counts a reservation.
func (s *strictStreams) add(res *reservation) {
	res.strict = true
	s.count++
	s.sumGaps += res.MaxGap
}

// remove ends the counting of a reservation, if it is counted.
func (s *strictStreams) remove(res *reservation) {
	if res.strict {
		res.strict = false
		s.count--
		s.sumGaps -= res.MaxGap
	}
}

// meanGap returns the mean of the longest pauses; 0 if there are no streams.
func (s *strictStreams) meanGap() time.Duration { return s.sumGaps / time.Duration(max(1, s.count)) }

// countStrict updates the strict streams with a reservation that is granted. Those that its
// prompt makes late no longer count: a further prompt does them no more harm.
func (e *Engine) countStrict(res *reservation) {
	if e.limits.EventTokens <= 0 {
		return
	}
	if e.strict.count > 0 {
		if p := e.pace(); p > 0 {
			v := pick.Engine{Pace: p, EventTokens: e.limits.EventTokens}
			took := v.EventTime(res.unread)
			for o := range e.running {
				if o.strict && took > o.MaxGap {
					e.strict.remove(o)
				}
			}
		}
	}
	if res.MaxGap > 0 && res.Output > e.limits.EventTokens {
		e.strict.add(res)
	}
}

// addPace adds the pace to the state that is published, and the streams for which it counts.
func (e *Engine) addPace(s *wire.EngineState) {
	s.Pace = math.Round(100*e.pace()) / 100
	if s.Pace > 0 {
		s.StrictGaps = float64(e.strict.count)
	}
	e.publishedPace = s.Pace
}

// publishPaces marks the engines whose paces have changed since they were published. A state
// that tells of a slow period would otherwise keep calls away after its end.
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
