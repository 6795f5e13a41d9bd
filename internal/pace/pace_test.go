package pace_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pace"
)

type manualClock struct{ now time.Time }

// Now implements plank.Clock.
func (c *manualClock) Now() time.Time { return c.now }

func newClock() *manualClock { return &manualClock{now: time.Unix(1_800_000_000, 0)} }

var run = plank.Run{Endpoint: "e", Born: 1}

// Guards against changed decisions in deployments whose endpoints state no pace.
func TestNothingIsLearnedUnlessAnEndpointStatesAPace(t *testing.T) {
	table := pace.New(newClock(), false)
	table.RecordAnswer("s", run, 5*time.Second, time.Second, pace.Exact)
	assert.Equal(t, table.Pace("s", run), 0.0)
	for _, p := range []float64{0, -1, 1000, math.NaN(), math.Inf(1)} {
		table.RecordStated("s", run, p)
	}
	assert.Equal(t, table.Pace("s", run), 0.0, "by an invalid figure")
	assert.Assert(t, table.RecordStated("s", run, 1.2))
	assert.Assert(t, table.IsLearned("s") && !table.IsLearned("t"))
	assert.Equal(t, table.Pace("s", plank.Run{Endpoint: "untried"}), 1.0)
	assert.Equal(t, table.Pace("t", run), 0.0, "of another service")
	var none *pace.Table
	assert.Equal(t, none.Pace("s", run), 0.0)
	assert.Equal(t, pace.New(newClock(), true).Pace("s", run), 1.0, "where all are learned")
}

// Guards against calls to an engine during a slow period that it states, and against one
// that is left out for long after it.
func TestStatedPaceFadesToWhatIsLearned(t *testing.T) {
	clock := newClock()
	table := pace.New(clock, false)
	for range 40 {
		table.RecordStated("s", run, 0.83)
		clock.now = clock.now.Add(200 * time.Millisecond)
	}
	assert.Assert(t, table.Pace("s", run) < 0.9)
	table.RecordStated("s", run, 2.08)
	assert.Assert(t, table.Pace("s", run) > 2)
	clock.now = clock.now.Add(500 * time.Millisecond)
	assert.Assert(t, table.Pace("s", run) < 1.3, "%v half a second later", table.Pace("s", run))
}

// Guards against an endpoint that is slow by its answers alone and is noticed late, or gets
// nothing for long after it has recovered.
func TestSlowEndpointIsNoticedAndRecovers(t *testing.T) {
	clock := newClock()
	table := pace.New(clock, true)
	record := func(n int, took time.Duration) {
		for range n {
			clock.now = clock.now.Add(250 * time.Millisecond)
			table.RecordAnswer("s", run, took, 100*time.Millisecond, pace.Exact)
		}
	}
	record(40, 100*time.Millisecond)
	record(4, time.Second)
	assert.Assert(t, table.Pace("s", run) > 2, "%v a second after it became slow", table.Pace("s", run))
	record(40, time.Second)
	assert.Assert(t, table.Pace("s", run) > 8, "%v", table.Pace("s", run))
	clock.now = clock.now.Add(3500 * time.Millisecond)
	idle := table.Pace("s", run)
	assert.Assert(t, idle < 6 && idle > 2, "%v after 3.5 s without calls", idle)
	clock.now = clock.now.Add(2 * time.Second)
	assert.Equal(t, table.Pace("s", run), 1.0, "5.5 s without calls")
	record(8, time.Second)
	record(12, 100*time.Millisecond)
	assert.Assert(t, table.Pace("s", run) < 1.5, "%v three seconds after its answers are as usual", table.Pace("s", run))
}

// Guards against calls drawn to a slow endpoint, or kept from a usual one, by a header that
// answers disprove.
func TestFalseStatementIsIgnored(t *testing.T) {
	for _, stated := range []float64{0.06, 15} {
		clock := newClock()
		table, honest := pace.New(clock, true), pace.New(clock, true)
		for range 12 {
			clock.now = clock.now.Add(300 * time.Millisecond)
			table.RecordStated("s", run, stated)
			for _, table := range []*pace.Table{table, honest} {
				table.RecordAnswer("s", run, 120*time.Millisecond, 100*time.Millisecond, pace.Exact)
			}
		}
		clock.now = clock.now.Add(300 * time.Millisecond)
		table.RecordStated("s", run, stated)
		p := table.Pace("s", run)
		assert.Assert(t, math.Abs(math.Log(p/honest.Pace("s", run))) < 0.5, "stated %v: %v", stated, p)
	}
}

// Guards against an engine taken for fast because it kept parts of prompts, and against one
// taken for slow because its steps also read prompts.
func TestBoundsOfThePace(t *testing.T) {
	clock := newClock()
	table := pace.New(clock, true)
	record := func(percent int, b pace.Bound) float64 {
		for range 8 {
			clock.now = clock.now.Add(100 * time.Millisecond)
			table.RecordAnswer("s", run, time.Duration(percent)*time.Millisecond, 100*time.Millisecond, b)
		}
		return table.Pace("s", run)
	}
	assert.Equal(t, record(40, pace.AtLeast), 1.0)
	assert.Equal(t, record(400, pace.AtMost), 1.0)
	assert.Assert(t, record(180, pace.AtLeast) > 1.6)
	assert.Assert(t, record(80, pace.AtMost) < 1.2)
}
