package grant_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/grant"
)

// This file tests loads of adapters whose slots were reassigned to other adapters
// meanwhile, as most are when many adapters share few slots.

// A load of an adapter that the engine held recently is not delayed by the limit of
// cold loads, and is first checked earlier than a cold load. Reads of the engine's
// status in between do not change this.
func TestRecentlyHeldAdaptersLoadAtOnce(t *testing.T) {
	h := newHarness(grant.Limits{MaxRunning: 64, Memory: 200_000, MaxAdapters: 1, Base: "m"})
	for n := range 5 {
		first := h.reserve(n, 0)
		h.advance(300 * time.Millisecond)
		assert.Assert(t, first.Outcome != nil && first.Outcome.Granted)
		first.Release(h.now)
	}
	h.advance(10 * time.Second) // the status is read several times
	h.allowCold, h.loadTime = false, 25*time.Millisecond
	again := h.reserve(0, 0)
	h.advance(100 * time.Millisecond)
	assert.Assert(t, again.Outcome != nil && again.Outcome.Granted)
}

// A new lease holder starts with the recently held adapters that other VMs reported.
func TestNewHolderKnowsRecentlyHeldAdapters(t *testing.T) {
	h := newHarness(limits)
	h.allowCold, h.loadTime = false, 25*time.Millisecond
	h.recent = []plank.AdapterRef{adapter(1)}
	h.newHolder(limits)
	known, unknown := h.reserve(1, 0), h.reserve(2, 0)
	h.advance(100 * time.Millisecond)
	assert.Assert(t, known.Outcome != nil && known.Outcome.Granted)
	assert.Assert(t, unknown.Outcome == nil)
}
