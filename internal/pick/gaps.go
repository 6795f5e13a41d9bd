package pick

import (
	"time"

	"knapweedplank.org/plank"
)

// This file keeps long outputs apart from the long prompts that make their events late.
//
// It is designed for engines that read a prompt in the steps in which they decode. An event of
// a stream takes several steps, so beside a long prompt it takes 5 x 54 ms at the usual pace.
// On a fleet whose streams may pause for 300 ms, 3,945 of 8,611 streams were late for this
// reason alone, though their first event came after 304 of 600 ms.

const (
	// chunkTokens is the number of prompt tokens that an engine reads in a step.
	chunkTokens = prefillStepMs * prefillTokensPerMs
	// lateFrom and lateUntil are the parts of the longest pause on time between which an
	// event becomes likely to be late. The pace changes several times during a stream.
	lateFrom  = 2.0 / 3
	lateUntil = 4.0 / 3
	// streamTime is how much longer a stream of 290 tokens takes in the mean, half of its
	// time.
	streamTime = 750 * time.Millisecond
	// lateStreamCost is the cost of a stream that becomes late. In trials of the replay with
	// three seeds 0.855 and 0.875 of the calls were on time with 800 and 1200 ms; 2000 ms cost
	// more first events where all engines are used by both kinds.
	lateStreamCost = 1200 * time.Millisecond
)

// EventTime returns how long the engine takes for an event of its streams while it reads a
// number of prompt tokens.
func (e *Engine) EventTime(unread plank.Tokens) time.Duration {
	steps := float64(e.EventTokens)
	reading := min(steps, float64(unread)/chunkTokens)
	ms := reading*prefillStepMs + (steps-reading)*decodeStepMs
	return e.atPace(time.Duration(ms * float64(time.Millisecond)))
}

// lateFraction returns how likely an event that takes a time is late: 0 up to two thirds of the
// longest pause, 1/2 if it takes just as long.
func lateFraction(took, maxGap time.Duration) float64 {
	if maxGap <= 0 {
		return 0
	}
	r := float64(took) / float64(maxGap)
	return min(1, max(0, (r-lateFrom)/(lateUntil-lateFrom)))
}

// learnsGaps reports whether pauses count in the cost of the engine.
func (e *Engine) learnsGaps() bool { return e.Pace > 0 && e.EventTokens > 0 }

// gapCost returns the cost of the late events that the call causes to the streams of the engine
// and of those that it is likely to suffer itself.
func (e *Engine) gapCost(c Call) time.Duration {
	if !e.learnsGaps() {
		return 0
	}
	// On fast engines no prompt makes events late.
	longest := e.EventTime(e.EventTokens * chunkTokens)
	if lateFraction(longest, e.StrictGap) == 0 && lateFraction(longest, c.MaxGap) == 0 {
		return 0
	}
	late := e.harm(c) + e.exposure(c, longest)
	return time.Duration(late * float64(lateStreamCost))
}

// harm returns how many streams on the engine the call's prompt is likely to make late that
// would not be late without it. Where prompts follow one another, few would not; without this,
// 0.437 instead of 0.498 of the calls of the replay are on time when all engines are used by both
// kinds.
func (e *Engine) harm(c Call) float64 {
	if e.StrictGaps <= 0 {
		return 0
	}
	gap := e.StrictGap
	if gap == 0 {
		gap = c.MaxGap
	}
	unread := e.unread(c)
	alone := lateFraction(e.EventTime(unread), gap)
	added := 0.0
	if e.Backlog > 0 && alone < 1 {
		// Streams that began before the backlog are delayed by both.
		added = lateFraction(e.EventTime(e.Backlog+unread), gap) - lateFraction(e.EventTime(e.Backlog), gap)
	}
	if alone <= 0 && added <= 0 {
		return 0
	}
	return e.StrictGaps * max(alone, added) * (1 - e.readWithin(0, e.atPace(streamTime)))
}

// readWithin returns how likely prompts that are read within a time, and those of a backlog,
// make an event take the longest time.
func (e *Engine) readWithin(backlog plank.Tokens, d time.Duration) float64 {
	read := float64(backlog) + e.PrefillRate*d.Seconds()
	return 1 - decay(read/(float64(e.EventTokens)*chunkTokens))
}

// decay approximates exp(-x) to 0.05 for x of 0 and more. math.Exp took a third of the time of
// a choice.
func decay(x float64) float64 {
	y := 1 / (1 + x/8)
	y *= y
	y *= y
	return y * y
}

// exposure returns how likely prompts that are read during the call's output make it late.
// longest is the longest time of an event.
func (e *Engine) exposure(c Call, longest time.Duration) float64 {
	if c.MaxGap <= 0 || c.Output <= e.EventTokens {
		return 0
	}
	late := lateFraction(longest, c.MaxGap)
	if late == 0 || e.Backlog == 0 && e.PrefillRate == 0 {
		return 0
	}
	return late * e.readWithin(e.Backlog, decodeTime(e, c))
}

// deadlineCost returns the cost of an answer that is likely to end after its deadline, given its
// expected time. The expected output is right at the median and often far off, so the cost grows
// by degrees from two thirds of the time left on.
func (e *Engine) deadlineCost(c Call, expected time.Duration) time.Duration {
	return time.Duration(lateFraction(expected, c.Left) * float64(lateStreamCost))
}
