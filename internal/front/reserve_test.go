package front_test

import (
	"slices"
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

// Holders that were slowed to a fifth of their processor got 600 to 1,000 requests a second
// that nobody waited for any more, and answered none. A replay of 67 VMs with 5 calls a
// second each, which wait 250 ms for an answer: the holder gets a few tens a second, and all
// again once it answers.
func TestSilentHolderIsFloodedWithRequests(t *testing.T) {
	const vms, callsPerSecond = 67, 5
	clock := &manualClock{now: time.Unix(1_800_000_000, 0)}
	choosers := make([]*front.Chooser, vms)
	for i := range choosers {
		choosers[i] = &front.Chooser{Clock: clock}
	}
	const holder = "10.0.0.1:1"
	type ask struct {
		from *front.Chooser
		at   time.Time
	}
	var pending []ask
	play := func(d time.Duration, answers bool) (asked, calls int) {
		for end := clock.now.Add(d); clock.now.Before(end); clock.now = clock.now.Add(10 * time.Millisecond) {
			pending = slices.DeleteFunc(pending, func(a ask) bool {
				switch {
				case answers:
					a.from.MarkResponsive(holder)
				case clock.now.Sub(a.at) >= 250*time.Millisecond:
					a.from.MarkUnresponsive(holder)
				default:
					return false
				}
				return true
			})
			for i, c := range choosers {
				if (int(clock.now.UnixMilli())/10+i)%(100/callsPerSecond) != 0 {
					continue
				}
				calls++
				if c.MayAsk(holder) {
					asked++
					pending = append(pending, ask{c, clock.now})
				}
			}
		}
		return asked, calls
	}
	play(3*time.Second, false)
	asked, calls := play(5*time.Second, false)
	t.Logf("%d of %d calls asked the silent holder in 5 s", asked, calls)
	assert.Assert(t, asked <= 5*vms/2, "%d of %d calls", asked, calls)
	play(3*time.Second, true)
	asked, calls = play(2*time.Second, true)
	assert.Equal(t, asked, calls)
}

// A manualClock returns a time set by the test.
type manualClock struct{ now time.Time }

// Now implements plank.Clock.
func (c *manualClock) Now() time.Time { return c.now }
