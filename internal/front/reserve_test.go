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

// A fixedClock always returns the same time.
type fixedClock struct{}

// Now implements plank.Clock.
func (fixedClock) Now() time.Time { return time.Unix(1_800_000_000, 0) }

// Notes on reserved calls must update the holder's health table. Without this,
// 281 calls went to engines that were gone, because each of 67 VMs had to detect
// the failures by itself.
func TestReserveNotesUpdateHealth(t *testing.T) {
	for _, test := range []struct {
		name   string
		note   *wire.ReserveNote
		avoid  bool
		failed bool
	}{
		{"engine unreachable", &wire.ReserveNote{Failed: true, Unreached: true}, true, true},
		{"call failed", &wire.ReserveNote{Failed: true}, false, true},
		{"empty note", &wire.ReserveNote{}, false, false},
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

// A holder that did not answer must be tried last for a while. Otherwise calls
// wait 250 ms for each engine of a holder that is cut off, one after the other.
func TestUnresponsiveHolderExpires(t *testing.T) {
	clock := &manualClock{now: time.Unix(1_800_000_000, 0)}
	c := &front.Chooser{Clock: clock}
	assert.Assert(t, !c.IsUnresponsive("10.0.0.1:1"))
	c.MarkUnresponsive("10.0.0.1:1")
	assert.Assert(t, c.IsUnresponsive("10.0.0.1:1"))
	assert.Assert(t, !c.IsUnresponsive("10.0.0.2:1"))
	clock.now = clock.now.Add(time.Second)
	assert.Assert(t, !c.IsUnresponsive("10.0.0.1:1"))
}

// A manualClock returns a time set by the test.
type manualClock struct{ now time.Time }

// Now implements plank.Clock.
func (c *manualClock) Now() time.Time { return c.now }
