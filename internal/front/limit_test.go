package front_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/front"
)

// A call that gets room too late to read its prompt before its deadline is
// refused and not sent.
func TestRoomComesInTimeToReadThePrompt(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, test := range []struct {
		name             string
		target, deadline time.Duration
		prompt           plank.Tokens
		want             time.Duration
	}{
		{"a second beyond the target", time.Second, 5 * time.Second, 9190, 2 * time.Second},
		{"a short prompt before its deadline", time.Second, time.Second, 38, 899 * time.Millisecond},
		{"a long prompt before its deadline", time.Second, time.Second, 9190, 658 * time.Millisecond},
		{"no time to read it", time.Second, 200 * time.Millisecond, 9190, -142 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := front.ReservationDeadline(now.Add(test.target), now.Add(test.deadline), test.prompt)
			assert.Equal(t, got.Sub(now).Round(time.Millisecond), test.want)
		})
	}
}
