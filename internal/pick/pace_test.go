package pick_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pick"
)

// Guards against equal portions for engines of unequal speed: a quarter of them at 0.55 and the
// others at 1.2 times the usual one get prompts in a second of which their speed decides how
// many they process. Without the learned pace each engine gets the same number.
func TestPromptsGoToEnginesByTheirPace(t *testing.T) {
	const n, slow = 16, 4
	share := func(rate float64, learned bool) float64 {
		engines := make([]pick.Engine, n)
		speeds := make([]float64, n)
		for i := range engines {
			speeds[i] = 1.2
			if i < slow {
				speeds[i] = 0.55
			}
			engines[i] = engine(fmt.Sprint("e", i), func(e *pick.Engine) {
				e.Resident = true
				if learned {
					e.Pace = 1 / speeds[i]
				}
			})
		}
		var toSlow, calls float64
		for range 2000 {
			for i := range engines {
				engines[i].Backlog = max(0, engines[i].Backlog-plank.Tokens(speeds[i]*38_000/rate))
			}
			i, _ := pick.BestEngine(engines, longPrompt, none)
			engines[i].Backlog += longPrompt.Prompt
			calls++
			if i < slow {
				toSlow++
			}
		}
		return toSlow / calls
	}
	fair := slow * 0.55 / (slow*0.55 + (n-slow)*1.2)
	for _, load := range []float64{0.6, 0.95} {
		rate := load * (slow*0.55 + (n-slow)*1.2) * 38_000 / float64(longPrompt.Prompt)
		with, without := share(rate, true), share(rate, false)
		t.Logf("load %.2f: part of the prompts on slow engines %.3f, %.3f without the pace", load, with, without)
		assert.Assert(t, with <= fair*1.2, "%.3f of %.3f", with, fair)
		if load > 0.9 {
			// The backlogs alone tell the engines apart here.
			assert.Assert(t, with > fair/2, "slow engines are idle: %.3f of %.3f", with, fair)
			continue
		}
		assert.Assert(t, without > fair*1.3, "%.3f of %.3f", without, fair)
	}
}

// Guards against an expected time, as told to callers that are refused, that ignores how slow
// the engine is.
func TestTimeToFirstTokenFollowsThePace(t *testing.T) {
	e := engine("e", func(e *pick.Engine) { e.Resident, e.Backlog = true, 19_000 })
	usual := pick.TimeToFirstToken(&e, longPrompt)
	e.Pace = 2
	assert.Assert(t, pick.TimeToFirstToken(&e, longPrompt) > usual*19/10)
	assert.Assert(t, usual > 700*time.Millisecond && usual < 800*time.Millisecond, "%v", usual)
}

// Guards against other choices where no pace is learned, and where an engine has no streams
// with a longest pause.
func TestCostIsUnchangedWithoutStrictStreams(t *testing.T) {
	plain := engine("e", func(e *pick.Engine) { e.Resident, e.Running, e.PrefillRate, e.Backlog = true, 6, 9000, 12_000 })
	stream := shortPrompt
	strict := shortPrompt
	strict.MaxGap = 300 * time.Millisecond
	for _, test := range []struct {
		name   string
		change func(*pick.Engine)
		a, b   pick.Call
	}{
		{"no pace", func(e *pick.Engine) { e.EventTokens, e.StrictGaps, e.StrictGap = 5, 9, 300*time.Millisecond }, stream, strict},
		{"no streams", func(e *pick.Engine) { e.EventTokens, e.Pace = 5, 1 }, longPrompt, longPrompt},
		{"no prompts", func(e *pick.Engine) { e.EventTokens, e.Pace, e.PrefillRate, e.Backlog = 5, 1, 0, 0 }, stream, strict},
	} {
		t.Run(test.name, func(t *testing.T) {
			changed := plain
			test.change(&changed)
			same := plain
			same.PrefillRate, same.Backlog = changed.PrefillRate, changed.Backlog
			want, _ := pick.Cost(&same, test.a)
			got, _ := pick.Cost(&changed, test.b)
			assert.Equal(t, got, want)
		})
	}
}

// The cost of a long prompt beside streams grows with their number and with the time of an
// event, from two thirds of the longest pause on.
func TestCostOfLongPromptsBesideStreams(t *testing.T) {
	cost := func(streams, p float64) time.Duration {
		e := engine("e", func(e *pick.Engine) {
			e.Resident, e.Pace, e.EventTokens, e.StrictGaps, e.StrictGap = true, p, 5, streams, 300*time.Millisecond
		})
		with, _ := pick.Cost(&e, longPrompt)
		e.StrictGaps = 0
		without, _ := pick.Cost(&e, longPrompt)
		return with - without
	}
	assert.Equal(t, cost(4, 0.7), time.Duration(0))
	assert.Assert(t, cost(4, 1) > 0)
	assert.Assert(t, cost(4, 1.2) > cost(4, 1))
	assert.Equal(t, cost(8, 1.2).Round(time.Microsecond), (2 * cost(4, 1.2)).Round(time.Microsecond))
}

// Guards against an adapter's long output on an engine that reads long prompts one after the
// other, while another engine holds the adapter and reads none.
func TestLongOutputAvoidsEnginesThatReadPrompts(t *testing.T) {
	reading := engine("a", func(e *pick.Engine) { e.Resident, e.Pace, e.EventTokens, e.PrefillRate = true, 1.8, 5, 6000 })
	idle := engine("b", func(e *pick.Engine) { e.Resident, e.Pace, e.EventTokens, e.Running = true, 1.8, 5, 12 })
	call := shortPrompt
	call.MaxGap = 300 * time.Millisecond
	i, _ := pick.BestEngine([]pick.Engine{reading, idle}, call, none)
	assert.Equal(t, i, 1)
}

// Guards against an output that does not end before its deadline on a slow engine, while a fast
// one would finish it in time.
func TestOutputEndsBeforeItsDeadline(t *testing.T) {
	slow := engine("a", func(e *pick.Engine) { e.Resident, e.Pace, e.EventTokens = true, 1.8, 5 })
	fast := engine("b", func(e *pick.Engine) {
		e.Resident, e.Pace, e.EventTokens, e.Running, e.PrefillRate = true, 0.8, 5, 40, 3000
	})
	call := shortPrompt
	choose := func(left time.Duration) int {
		call.Left = left
		i, _ := pick.BestEngine([]pick.Engine{slow, fast}, call, none)
		return i
	}
	// 290 tokens take 2.6 and 1.2 s there.
	assert.Equal(t, choose(2500*time.Millisecond), 1)
	assert.Equal(t, choose(0), choose(10*time.Second), "a deadline that is far")
	slowCost := func(left time.Duration) time.Duration {
		call.Left = left
		cost, _ := pick.Cost(&slow, call)
		return cost
	}
	assert.Assert(t, slowCost(2500*time.Millisecond) > slowCost(3200*time.Millisecond))
	assert.Assert(t, slowCost(3200*time.Millisecond) > slowCost(10*time.Second))
}
