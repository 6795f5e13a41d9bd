package front_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/front"
	"knapweedplank.org/plank/internal/grant"
	"knapweedplank.org/plank/internal/health"
	"knapweedplank.org/plank/internal/wire"
)

type fixedClock struct{}

// Now implements plank.Clock.
func (fixedClock) Now() time.Time { return time.Unix(1_800_000_000, 0) }

// The load at which 281 calls were sent to engines that had gone: each of 67 VMs
// had to find out by itself.
func TestHoldersLearnFromPeers(t *testing.T) {
	for _, test := range []struct {
		name   string
		note   *wire.ReserveNote
		avoid  bool
		failed bool
	}{
		{"could not be reached", &wire.ReserveNote{Failed: true, Unreached: true}, true, true},
		{"failed the call", &wire.ReserveNote{Failed: true}, false, true},
		{"nothing to tell", &wire.ReserveNote{}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := health.New(fixedClock{})
			b := &front.Broker{Chooser: &front.Chooser{Health: table}}
			front.HandleNote(b, &grant.Reservation{Instance: plank.Instance{ID: "e"}}, test.note)
			assert.Equal(t, table.IsAvoided("e"), test.avoid)
			assert.Equal(t, table.FailRate("e") > 0, test.failed)
		})
	}
}

// The load at which calls waited a quarter of a second for each engine of a
// holder that was cut off, one after the other.
func TestSilentHoldersAreAskedLast(t *testing.T) {
	clock := &handClock{now: time.Unix(1_800_000_000, 0)}
	c := &front.Chooser{Clock: clock}
	assert.Assert(t, !c.IsUnresponsive("10.0.0.1:1"))
	c.MarkUnresponsive("10.0.0.1:1")
	assert.Assert(t, c.IsUnresponsive("10.0.0.1:1"))
	assert.Assert(t, !c.IsUnresponsive("10.0.0.2:1"))
	clock.now = clock.now.Add(time.Second)
	assert.Assert(t, !c.IsUnresponsive("10.0.0.1:1"))
}

type handClock struct{ now time.Time }

// Now implements plank.Clock.
func (c *handClock) Now() time.Time { return c.now }
