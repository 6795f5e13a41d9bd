package pick_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pace"
	"knapweedplank.org/plank/internal/pick"
)

// Guards against calls to a slow replica beside a fast one: of 80 calls one after the other, one
// of two replicas that was ten times as slow got 40 when its load field said so and 44 when only
// its answers showed it. After it has recovered it gets its portion again.
func TestReplayOfOneSlowReplica(t *testing.T) {
	for _, test := range []struct {
		name                  string
		learned, states       bool
		fromSlow, toSlow, min int // bounds of the calls to the slow one
	}{
		{"neither", false, false, 30, 50, 30},
		{"stated", true, true, 0, 4, 20},
		{"shown by its answers", true, false, 0, 8, 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			clock := &manualClock{now: time.Unix(1_800_000_000, 0)}
			paces := pace.New(clock, test.learned)
			replicas := []pick.Replica{
				{Instance: plank.Instance{ID: "slow", Service: "s", Slots: 4}}, {Instance: plank.Instance{ID: "fast", Service: "s", Slots: 4}},
			}
			slowness := 10.0
			play := func(calls int) (toSlow int) {
				for n := range calls {
					for i := range replicas {
						replicas[i].Pace = paces.Pace("s", replicas[i].Instance.Run())
					}
					i := pick.LeastLoaded(replicas, uint64(n*7), none)
					p := 1.0
					if i == 0 {
						toSlow++
						p = slowness
					}
					took := time.Duration(p * float64(50*time.Millisecond))
					clock.now = clock.now.Add(took)
					run := replicas[i].Instance.Run()
					if test.states {
						paces.RecordStated("s", run, p)
					}
					paces.RecordPlain("s", run, took, 1, 4)
				}
				return toSlow
			}
			got := play(80)
			t.Logf("%d of 80 calls to the slow replica", got)
			assert.Assert(t, got >= test.fromSlow && got <= test.toSlow, "%d of 80", got)
			slowness = 1
			play(160)
			again := play(160)
			t.Logf("%d of 160 calls once it has recovered", again)
			assert.Assert(t, again >= test.min && again <= 140, "%d of 160 after it has recovered", again)
		})
	}
}
