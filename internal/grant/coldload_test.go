package grant_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank/internal/grant"
)

func TestMayStartColdLoad(t *testing.T) {
	for _, test := range []struct {
		name                           string
		held, engines, here, elsewhere int
		want                           bool
	}{
		{"first load", 47, 140, 0, 0, true},
		{"within its share, regardless of the others", 47, 140, 17, 90, true},
		{"beyond its share while others use theirs", 47, 140, 20, 38, false},
		{"beyond its share while others have few loads", 47, 140, 40, 5, true},
		{"beyond the limit", 47, 140, 56, 0, false},
		{"all engines of a small fleet", 9, 9, 7, 0, true},
		{"small fleet at the limit", 9, 9, 8, 0, false},
		{"one load is always allowed", 1, 1100, 0, 600, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, grant.MayStartColdLoad(test.held, test.engines, test.here, test.elsewhere), test.want)
		})
	}
}

// A load that is long overdue, as on an engine that crashed, does not count against
// the limit of cold loads.
func TestOverdueLoadsDoNotCount(t *testing.T) {
	h := newHarness(limits)
	h.loadTime = 10 * time.Second
	h.reserve(1, 0)
	h.advance(300 * time.Millisecond)
	assert.Equal(t, h.engine.ColdLoads(h.now), 1)
	h.advance(time.Second)
	assert.Equal(t, h.engine.ColdLoads(h.now), 0)
}

// A weightStore simulates the store of adapters: a load takes loadTime while no more than
// bound are in progress, and longer in proportion beyond.
type weightStore struct {
	bound     int
	slowdown  float64 // for other reasons than the number of loads
	remaining []*storeLoad
}

const (
	loadTime = 250 * time.Millisecond
	tick     = 5 * time.Millisecond
)

type storeLoad struct {
	holder  int
	left    time.Duration // at full speed
	started time.Time
}

// advance lets a tick pass and returns the loads that ended.
func (s *weightStore) advance() (ended []*storeLoad) {
	speed := min(1, float64(s.bound)/float64(max(1, len(s.remaining)))) / max(1, s.slowdown)
	s.remaining = slices.DeleteFunc(s.remaining, func(l *storeLoad) bool {
		if l.left -= time.Duration(speed * float64(tick)); l.left <= 0 {
			ended = append(ended, l)
			return true
		}
		return false
	})
	return ended
}

// A fleet took two fifths of its engines for the number of loads that the store serves at
// full speed: calls waited for 24 loads at once while the store served 80.
func TestColdLimiterLearnsTheStoresBound(t *testing.T) {
	for _, test := range []struct {
		name             string
		engines, holders int
		bound, later     int // of the store; later from 6 s on
		slowdown         float64
		settle           time.Duration // 2 s if 0
		takes            time.Duration // of a load at full speed; loadTime if 0
	}{
		{name: "far fewer than expected", engines: 9, holders: 3, bound: 2, settle: 8 * time.Second},
		{name: "small site", engines: 9, holders: 3, bound: 8},
		{name: "engraver", engines: 9, holders: 3, bound: 16},
		{name: "large site", engines: 78, holders: 5, bound: 32},
		{name: "grown site", engines: 140, holders: 3, bound: 48},
		{name: "grown engraver", engines: 60, holders: 3, bound: 80},
		{name: "much more than engines", engines: 78, holders: 5, bound: 200},
		{name: "a bound that falls", engines: 60, holders: 3, bound: 80, later: 20},
		{name: "a bound that rises", engines: 60, holders: 3, bound: 20, later: 80},
		{name: "a single holder", engines: 60, holders: 1, bound: 80},
		{name: "loads that take longer", engines: 60, holders: 4, bound: 32, takes: 288 * time.Millisecond},
		{name: "loads that take longer, and many more of them", engines: 60, holders: 4, bound: 80, takes: 288 * time.Millisecond},
		{name: "slow for other reasons", engines: 60, holders: 3, bound: 80, slowdown: 1.6, settle: 6 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			takes := cmp.Or(test.takes, loadTime)
			rnd := rand.New(rand.NewPCG(1, uint64(test.bound)))
			store := &weightStore{bound: test.bound, slowdown: test.slowdown}
			holders := make([]*grant.ColdLimiter, test.holders)
			for i := range holders {
				holders[i] = grant.NewColdLimiter(test.engines)
			}
			inProgress := make([]int, test.holders)
			published := make([]int, test.holders)
			var now time.Time
			rate := func(from, to time.Duration) (perSecond float64, most int) {
				ended := 0
				for at := from; at < to; at += tick {
					now = time.Time{}.Add(time.Hour + at)
					for _, l := range store.advance() {
						ended++
						inProgress[l.holder]--
						took := now.Sub(l.started) + time.Duration(rnd.IntN(20))*time.Millisecond // checks are 20 ms apart
						holders[l.holder].RecordLoad(max(took, 253*time.Millisecond), now)
					}
					if at%(200*time.Millisecond) == 0 {
						copy(published, inProgress)
					}
					for i, h := range holders {
						elsewhere := 0
						for j, n := range published {
							if j != i {
								elsewhere += n
							}
						}
						h.Adjust(inProgress[i]+elsewhere, now)
						for started := 0; started < 4 && h.MayStart(test.engines/test.holders, inProgress[i], elsewhere); started++ {
							inProgress[i]++
							store.remaining = append(store.remaining, &storeLoad{holder: i, left: takes, started: now})
						}
					}
					most = max(most, len(store.remaining))
				}
				return float64(ended) / (to - from).Seconds(), most
			}
			check := func(bound int, from, to time.Duration) {
				t.Helper()
				perSecond, most := rate(from, to)
				best := float64(bound) / takes.Seconds() / max(1, test.slowdown)
				t.Logf("%.0f loads a second of %.0f, at most %d at once of %d", perSecond, best, most, bound)
				assert.Assert(t, perSecond > 0.9*best, "%.0f loads a second of %.0f", perSecond, best)
				assert.Assert(t, most <= max(2, test.holders)*bound, "%d loads at once, %d at full speed", most, bound)
			}
			settle := max(test.settle, 2*time.Second)
			rate(0, settle)
			check(test.bound, settle, settle+4*time.Second)
			if test.later > 0 {
				store.bound = test.later
				rate(6*time.Second, 8*time.Second+500*time.Millisecond)
				check(test.later, 8*time.Second+500*time.Millisecond, 12*time.Second)
			}
		})
	}
}

// Guards against a limit that is lowered because checks of loads get no response: such loads
// seemed to take up to twice as long as they did.
func TestLoadsWhoseChecksAreLostAreNoSamples(t *testing.T) {
	for _, lost := range []bool{false, true} {
		h := newHarness(limits)
		h.reserve(1, 0)
		h.advance(200 * time.Millisecond)
		h.fate = func() (bool, bool) { return lost && h.now.Sub(start) < 270*time.Millisecond, false }
		took := time.Duration(0)
		for range 60 {
			h.advance(5 * time.Millisecond)
			took = max(took, h.engine.ColdLoadTook())
		}
		_, resident := h.resident[adapter(1)]
		assert.Assert(t, resident)
		assert.Equal(t, took == 0, lost, "%v", took)
	}
}
