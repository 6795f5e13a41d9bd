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
