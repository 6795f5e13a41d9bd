package health_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank/internal/health"
)

type handClock struct{ now time.Time }

// Now implements plank.Clock.
func (c *handClock) Now() time.Time { return c.now }

// The load of engines that go down and up by turns: they take connections and
// reset them. Calls that may have run are not sent again, so each is lost.
func TestEndpointsThatFailAllCallsAreAvoided(t *testing.T) {
	for _, test := range []struct {
		name  string
		calls string // g for good, b for bad, u for unreachable
		avoid bool
	}{
		{"no call yet", "", false},
		{"two failures", "bb", false},
		{"three failures in a row", "gbbb", true},
		{"half of the calls", "gbgbbgbgbbgb", false},
		{"a good call after it", "bbbg", false},
		{"not reached", "u", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			clock := &handClock{now: time.Unix(1_800_000_000, 0)}
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
			assert.Assert(t, !table.IsAvoided("e"), "not for good")
		})
	}
}
