package delay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank/internal/delay"
)

func TestMeter(t *testing.T) {
	const interval = 150 * time.Millisecond
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
	} {
		t.Run(test.name, func(t *testing.T) {
			m, now := new(delay.Meter), time.Unix(0, 0)
			for _, late := range test.late {
				now = now.Add(interval + late)
				m.Observe(late, now)
			}
			assert.Equal(t, m.IsSlow(), test.slow)
		})
	}
}
