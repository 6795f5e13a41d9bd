package health_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/health"
)

type manualClock struct{ now time.Time }

// Now implements plank.Clock.
func (c *manualClock) Now() time.Time { return c.now }

// Guards against sending calls to engines that repeatedly go down: they accept
// connections and reset them. Calls that may have run are not sent again, so each
// of them is lost.
func TestIsAvoided(t *testing.T) {
	for _, test := range []struct {
		name  string
		calls string // g for good, b for bad, u for unreachable
		avoid bool
	}{
		{"no calls", "", false},
		{"two failures", "bb", false},
		{"three failures in a row", "gbbb", true},
		{"failures of half of the calls", "gbgbbgbgbbgb", false},
		{"success after three failures", "bbbg", false},
		{"endpoint unreachable", "u", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			clock := &manualClock{now: time.Unix(1_800_000_000, 0)}
			table := health.New(clock)
			for _, c := range test.calls {
				switch c {
				case 'g':
					table.RecordSuccess("e")
				case 'b':
					table.RecordFailure("e")
				case 'u':
					table.RecordUnreachable("e")
				}
			}
			assert.Equal(t, table.IsAvoided("e"), test.avoid)
			clock.now = clock.now.Add(1100 * time.Millisecond)
			assert.Assert(t, !table.IsAvoided("e"), "still avoided after 1.1 s")
		})
	}
}

func TestPauses(t *testing.T) {
	clock := &manualClock{now: time.Unix(1_800_000_000, 0)}
	table := health.New(clock)
	run, other := plank.Run{Endpoint: "e", Born: 1}, plank.Run{Endpoint: "e", Born: 2}
	at := func(d time.Duration) time.Time { return time.Unix(1_800_000_000, 0).Add(d) }
	assert.Assert(t, !table.IsPaused(run))
	assert.Assert(t, table.RecordPause(run, at(3*time.Second)))
	assert.Assert(t, !table.RecordPause(run, at(2*time.Second)), "a shorter pause")
	assert.Equal(t, table.PausedUntil(run), at(3*time.Second))
	assert.Assert(t, table.RecordPause(run, at(4*time.Second)), "a longer pause")
	assert.Assert(t, !table.IsPaused(other), "another run has the id")
	for _, step := range []struct {
		at     time.Duration
		paused bool
	}{{3900 * time.Millisecond, true}, {4 * time.Second, false}} {
		clock.now = at(step.at)
		table.ExpirePauses()
		assert.Equal(t, table.IsPaused(run), step.paused, "%v", step.at)
	}
}
