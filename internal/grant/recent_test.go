package grant_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/grant"
)

// This file replays calls for adapters that come back after other adapters took
// their places, as most do when many adapters share few places.

// A load of an adapter that the engine held lately is neither kept back while the
// weight store allows no more loads, nor checked only after the time that the
// weight store takes; readings of the engine's state between do not change that.
func TestAdaptersHeldLatelyLoadAtOnce(t *testing.T) {
	w := newWorld(grant.Limits{MaxRunning: 64, Memory: 200_000, MaxAdapters: 1, Base: "m"})
	for n := range 5 {
		first := w.ask(n, 0)
		w.advance(300 * time.Millisecond)
		assert.Assert(t, first.Outcome != nil && first.Outcome.Granted)
		first.Release(w.now)
	}
	w.advance(10 * time.Second) // the state is read several times
	w.cold, w.loadTime = false, 25*time.Millisecond
	again := w.ask(0, 0)
	w.advance(100 * time.Millisecond)
	assert.Assert(t, again.Outcome != nil && again.Outcome.Granted)
}

// A VM that takes a duty over knows what others told of the engines.
func TestNewHoldersKnowWhatWasHeldLately(t *testing.T) {
	w := newWorld(limits)
	w.cold, w.loadTime = false, 25*time.Millisecond
	w.lately = []plank.AdapterRef{adapter(1)}
	w.restart(limits)
	known, unknown := w.ask(1, 0), w.ask(2, 0)
	w.advance(100 * time.Millisecond)
	assert.Assert(t, known.Outcome != nil && known.Outcome.Granted)
	assert.Assert(t, unknown.Outcome == nil)
}
