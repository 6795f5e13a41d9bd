package grant

import (
	"math"
	"time"

	"knapweedplank.org/plank"
)

// This file determines how much memory of an engine granted calls may need, so that their outputs
// never exceed it. It is active for services that learn costs.
//
// It is designed for engines that crash when the requests they hold exceed their memory, and for
// callers whose estimates of the output are right only at the median: of calls that fill the
// memory by their estimates, half put out more.

// FastestStep is the shortest time of an output token: 5 ms at the usual pace, and the fastest
// observed engines work at 1.3 times the usual speed.
const FastestStep = 3800 * time.Microsecond

const (
	// meanOverrun and overrunDeviation are the mean and the standard deviation of what a call
	// puts out beyond its estimate, as a fraction of the distance to its maximum, if half of
	// the calls do not exceed their estimate and the others are spread evenly up to the
	// maximum.
	meanOverrun      = 0.25
	overrunDeviation = 0.323
	// overrunDeviations is how many standard deviations of the sum are kept free.
	overrunDeviations = 3
)

// overruns are the sums over calls in progress of what they may put out beyond their estimates.
type overruns struct {
	sum, squares float64
}

// with returns the sums with one more call; n is negative to remove the call.
func (o overruns) with(spread plank.Tokens, n float64) overruns {
	s := float64(spread)
	return overruns{max(0, o.sum+n*s), max(0, o.squares+n*s*s)}
}

// reserve returns the memory to keep free. It is all that the calls may put out while these are
// few, and a smaller part of it the more there are, since not all of them reach their maximum.
func (o overruns) reserve() plank.Tokens {
	return plank.Tokens(min(o.sum, meanOverrun*o.sum+overrunDeviations*overrunDeviation*math.Sqrt(o.squares)))
}

// spread returns how much a reservation may put out beyond its estimate.
func (e *Engine) spread(res *reservation) plank.Tokens {
	if !(res.MaxOutput > res.Output) || !e.learnsCost(e.inst.Service) {
		return 0
	}
	return res.MaxOutput - res.Output
}

// exceedsMemory reports whether a reservation may need more than the whole memory of the engine.
func (e *Engine) exceedsMemory(res *reservation) bool {
	return e.limits.Memory > 0 && res.Prompt+max(res.Output, res.MaxOutput) > e.limits.Memory && e.learnsCost(e.inst.Service)
}

// addOverrun counts what a granted reservation may put out beyond its estimate.
func (e *Engine) addOverrun(res *reservation) {
	res.spread = e.spread(res)
	e.overruns = e.overruns.with(res.spread, 1)
}

// removeOverrun ends the count of a reservation.
func (e *Engine) removeOverrun(res *reservation) {
	e.overruns = e.overruns.with(res.spread, -1)
	res.spread = 0
	if len(e.running) == 0 {
		e.overruns = overruns{} // without the rounding errors
	}
}

// outputTime returns the shortest time in which n tokens can be put out.
func outputTime(n plank.Tokens) time.Duration {
	return time.Duration(float64(n) * float64(FastestStep))
}

// startOutput records when a reservation may have put out as much as estimated.
func (e *Engine) startOutput(res *reservation, now time.Time) {
	if res.spread == 0 {
		return
	}
	res.overrunAt = now.Add(outputTime(res.Output))
	if e.nextOverrun.IsZero() || res.overrunAt.Before(e.nextOverrun) {
		e.nextOverrun = res.overrunAt
	}
}

// countOverruns doubles the estimates of calls that may have exceeded them, up to the maximum, and
// counts the rest up to the maximum as before: of the calls that exceed an estimate, some half
// exceed its double.
func (e *Engine) countOverruns(now time.Time) {
	if e.nextOverrun.IsZero() || now.Before(e.nextOverrun) {
		return
	}
	e.nextOverrun = time.Time{}
	for res := range e.running {
		switch {
		case res.spread == 0 || res.overrunAt.IsZero():
		case !now.Before(res.overrunAt):
			e.removeOverrun(res)
			begun := res.overrunAt.Add(-outputTime(res.Output))
			res.Output = min(2*max(res.Output, plank.Tokens(now.Sub(begun)/FastestStep)), res.MaxOutput)
			e.countMemory(res, res.memory())
			e.addOverrun(res)
			e.startOutput(res, begun)
		case e.nextOverrun.IsZero() || res.overrunAt.Before(e.nextOverrun):
			e.nextOverrun = res.overrunAt
		}
	}
}
