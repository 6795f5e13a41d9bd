package front_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/front"
)

// A reservation must leave time for prefill before the deadline, so that a call
// granted too late is refused instead of sent.
func TestLatestReservationLeavesTimeForPrefill(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, test := range []struct {
		name             string
		target, deadline time.Duration
		prompt           plank.Tokens
		want             time.Duration
	}{
		{"one second past the target", time.Second, 5 * time.Second, 9190, 2 * time.Second},
		{"short prompt limited by its deadline", time.Second, time.Second, 38, 899 * time.Millisecond},
		{"long prompt limited by its deadline", time.Second, time.Second, 9190, 658 * time.Millisecond},
		{"no time for prefill", time.Second, 200 * time.Millisecond, 9190, -142 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := front.LatestReservation(now.Add(test.target), now.Add(test.deadline), test.prompt)
			assert.Equal(t, got.Sub(now).Round(time.Millisecond), test.want)
		})
	}
}
