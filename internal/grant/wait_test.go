package grant_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank/internal/grant"
)

// A refusal states when capacity is expected, which is later the more calls are
// queued.
func TestRefusalsHaveExpectedWait(t *testing.T) {
	refusal := func(others int) time.Duration {
		h := newHarness(grant.Limits{MaxRunning: 64, Memory: 1_000_000, MaxAdapters: 1, Base: "m"})
		first := h.reserve(1, 0)
		h.advance(300 * time.Millisecond)
		assert.Assert(t, first.Outcome != nil && first.Outcome.Granted)
		for n := range others {
			h.reserve(10+n, 0)
		}
		refused := h.engine.Reserve(grant.Request{ID: "r", Adapter: adapter(2), Prompt: 1000, Output: 100, Deadline: h.now.Add(time.Second)})
		h.advance(1100 * time.Millisecond)
		assert.Assert(t, refused.Outcome != nil && !refused.Outcome.Granted)
		return refused.Outcome.RetryAfter
	}
	alone, behind := refusal(0), refusal(4)
	assert.Assert(t, alone >= time.Second, "%v", alone) // a call keeps its slot for more than a second
	assert.Assert(t, behind >= alone+4*time.Second, "%v after %v", behind, alone)
}
