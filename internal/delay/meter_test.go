package delay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank/internal/delay"
)

func TestMeter(t *testing.T) {
	repeat := func(late time.Duration, n int) (out []time.Duration) {
		for range n {
			out = append(out, late)
		}
		return out
	}
	join := func(parts ...[]time.Duration) (out []time.Duration) {
		for _, p := range parts {
			out = append(out, p...)
		}
		return out
	}
	ms := time.Millisecond
	for _, test := range []struct {
		name string
		late []time.Duration
		slow bool
	}{
		{"on time", repeat(2*ms, 40), false},
		{"one pause of 3 s", join(repeat(2*ms, 5), repeat(3*time.Second, 1), repeat(2*ms, 4)), false},
		{"a fifth of the processor", join(repeat(2*ms, 5), repeat(90*ms, 3)), true},
		{"every other timer late", join(repeat(90*ms, 1), repeat(2*ms, 1), repeat(90*ms, 1), repeat(2*ms, 1), repeat(90*ms, 1)), true},
		{"fast again, but not for long enough", join(repeat(90*ms, 5), repeat(2*ms, 10)), true},
		{"fast again", join(repeat(90*ms, 5), repeat(2*ms, 21)), false},
		{"slow whenever it holds a duty", join(repeat(90*ms, 5), repeat(2*ms, 21), repeat(90*ms, 5), repeat(2*ms, 25)), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			m, now := new(delay.Meter), time.Unix(0, 0)
			for _, late := range test.late {
				now = now.Add(delay.Interval + late)
				m.Observe(late, now)
			}
			assert.Equal(t, m.IsSlow(), test.slow)
		})
	}
}

// After a pause the leases count as unconfirmed until a check that began after it, also
// before the timer has fired.
func TestPause(t *testing.T) {
	m, now := new(delay.Meter), time.Unix(0, 0)
	tick := func(late time.Duration) {
		now = now.Add(delay.Interval + late)
		m.Observe(late, now)
	}
	tick(0)
	assert.Assert(t, !m.IsUnconfirmed(now))
	checked := m.Pauses(now) // a check begins, and the process is paused in it
	now = now.Add(3 * time.Second)
	assert.Assert(t, m.IsUnconfirmed(now))
	m.Confirm(checked)
	assert.Assert(t, m.IsUnconfirmed(now))
	tick(0)
	m.Confirm(m.Pauses(now))
	assert.Assert(t, !m.IsUnconfirmed(now))
	length, ago := m.LastPause(now)
	assert.Equal(t, length, 3*time.Second)
	assert.Equal(t, ago, delay.Interval)
	tick(500 * time.Millisecond)
	assert.Assert(t, !m.IsUnconfirmed(now))
}
