package grant

import (
	"slices"
	"time"
)

// This file limits the cold loads that lease holders have in progress at once, and
// divides them among the holders.
//
// Many cold loads are needed when calls arrive for many adapters that no engine has
// held, as in the first seconds of traffic or when demand shifts. The weight store
// serves a number of loads at full speed, which it does not tell; more concurrent
// loads only make each of them slower. The counts that holders publish are up to a
// second old: without a share for each holder, one holder would start all the loads
// while the calls of the others wait.

const (
	// minColdLoads and coldLoadsPerEngine give the limit of concurrent cold loads in
	// the fleet that holders begin with.
	minColdLoads       = 8
	coldLoadsPerEngine = 0.4
	// remoteLoadFactor is the weight of the loads of other holders when a holder
	// exceeds its share, since they may have started more since their last update.
	remoteLoadFactor = 2

	// coldWindow is the time over which loads are compared before the limit changes,
	// and minColdSamples the number of loads that a comparison needs.
	coldWindow     = 250 * time.Millisecond
	minColdSamples = 3
	// slowLoadRatio is the median time of loads, relative to that of a store that is
	// not overloaded, above which the limit is lowered.
	slowLoadRatio = 1.3
	// targetLoadRatio is that time at which the limit is right: the store always has loads
	// and is hardly overloaded.
	targetLoadRatio = 1.1
	// unchangedLoadRatio is the time of loads relative to that before a cut from which on
	// the cut was in vain. After maxVainCuts in a row they are slow for another reason.
	unchangedLoadRatio = 0.87
	maxVainCuts        = 2
	// minLoadGrowth is the growth of the limit after a cut, as a fraction of it. It grows by
	// loadGrowthFactor with each window of fast loads, up to maxLoadGrowth.
	loadGrowthFactor             = 1.5
	minLoadGrowth, maxLoadGrowth = 0.05, 0.4
	// coldFloor is the least limit, as a fraction of the initial one.
	coldFloor = 0.25
)

// coldLoadLimit returns the number of concurrent cold loads with which a fleet of
// that many engines begins.
func coldLoadLimit(engines int) int {
	return max(minColdLoads, int(coldLoadsPerEngine*float64(engines)))
}

// mayStartColdLoad reports whether the holder of held of the fleet's engines may start
// a cold load, given the limit of the fleet and the number of loads in progress on its
// engines and elsewhere.
func mayStartColdLoad(limit, held, engines, here, elsewhere int) bool {
	share := max(1, (limit*held+engines/2)/max(1, engines))
	return here < share || here+remoteLoadFactor*elsewhere < limit
}

// A coldLimiter learns how many cold loads the weight store serves at full speed, from how
// long they take. All holders see the same times, so that their limits agree roughly.
type coldLimiter struct {
	limit   float64
	growth  float64 // of the next window, as a fraction of the limit
	engines int     // of the fleet
	// base is how long loads take that are not slowed by each other, and fastest the shortest
	// time of a load; 0 for none.
	base, fastest time.Duration
	// samples are the times of the loads that ended since windowStart, without those that
	// began before sampleAfter. refused is set if the limit held a load back meanwhile.
	samples     []time.Duration
	windowStart time.Time
	// sampleAfter is when the loads that had begun before the last cut have mostly ended.
	sampleAfter time.Time
	refused     bool
	// peak is the largest number of loads in progress in the fleet since windowStart.
	peak int
	// limitBefore is the limit before the last cuts, 0 once loads are fast again.
	// tookBefore is the median time that led to the last cut, 0 once its effect has been
	// seen, and vainCuts the number of cuts in a row that did not shorten it.
	limitBefore float64
	tookBefore  time.Duration
	vainCuts    int
}

// setEngines sets the number of engines of the fleet. The limit keeps its proportion.
func (c *coldLimiter) setEngines(n int) {
	if c.limit > 0 {
		c.limit *= float64(coldLoadLimit(n)) / float64(coldLoadLimit(c.engines))
	} else {
		c.limit, c.growth, c.base = float64(coldLoadLimit(n)), maxLoadGrowth, coldLoadPoll
	}
	c.engines = n
}

// current returns the limit of concurrent cold loads in the fleet.
func (c *coldLimiter) current() int { return max(1, int(c.limit)) }

// recordLoad records a load that ended at now.
func (c *coldLimiter) recordLoad(took time.Duration, now time.Time) {
	if !now.Add(-took).Before(c.sampleAfter) {
		c.samples = append(c.samples, took)
	}
}

// learnBase raises the base to the shortest time of a load, if that is not so long that the
// store may be overloaded. Loads of 288 ms were taken for slowed ones otherwise: a limit that
// had been lowered never rose again, and of 32 loads that the store served at full speed 15
// were in progress. The samples are sorted.
func (c *coldLimiter) learnBase() {
	if c.fastest == 0 || c.samples[0] < c.fastest {
		c.fastest = c.samples[0]
	}
	if c.base < c.fastest && float64(c.fastest) < slowLoadRatio*float64(coldLoadPoll) {
		c.base = c.fastest
	}
}

// adjust changes the limit at the end of a window with enough loads. inProgress is the
// number of loads in progress in the fleet.
func (c *coldLimiter) adjust(inProgress int, now time.Time) {
	c.peak = max(c.peak, inProgress)
	if now.Sub(c.windowStart) < coldWindow || len(c.samples) < minColdSamples {
		return
	}
	slices.Sort(c.samples)
	median := c.samples[len(c.samples)/2]
	c.learnBase()
	ratio := float64(median) / float64(c.base)
	switch {
	case c.tookBefore == 0:
	case float64(median) > unchangedLoadRatio*float64(c.tookBefore):
		c.vainCuts++
	default:
		c.vainCuts = 0
	}
	c.tookBefore = 0
	cut := max(coldFloor*float64(coldLoadLimit(c.engines)), float64(c.peak)*targetLoadRatio/ratio)
	switch {
	case ratio > slowLoadRatio && c.limitBefore > 0 && c.vainCuts >= maxVainCuts:
		c.base, c.limit, c.growth, c.limitBefore = median, c.limitBefore, maxLoadGrowth, 0
	case ratio > slowLoadRatio && cut < c.limit:
		if c.limitBefore == 0 {
			c.limitBefore, c.vainCuts = c.limit, 0
		}
		c.tookBefore, c.growth = median, minLoadGrowth
		c.sampleAfter = now.Add(median / 2)
		c.limit = cut
	case ratio <= targetLoadRatio:
		c.limitBefore = 0
		if c.refused {
			c.limit *= 1 + c.growth
			c.growth = min(maxLoadGrowth, loadGrowthFactor*c.growth)
		}
	}
	c.base = max(coldLoadPoll, min(c.base, median))
	c.samples, c.refused, c.windowStart, c.peak = c.samples[:0], false, now, 0
}
