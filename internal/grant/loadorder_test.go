package grant_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a load for one call that goes before the load that several calls wait for.
func TestLoadThatMostCallsWaitForGoesFirst(t *testing.T) {
	for _, contended := range []bool{false, true} {
		h := newHarness(limits)
		h.engine.SetContended(contended)
		h.advance(10 * time.Millisecond) // the status is read
		h.allowCold = false
		h.reserve(1, 1)
		h.reserve(2, 1)
		h.reserve(2, 1)
		action, ok := h.engine.Step(h.now, true)
		assert.Assert(t, ok && action.Order != nil)
		want := adapter(1)
		if contended {
			want = adapter(2)
		}
		assert.Equal(t, action.Order.Target.Adapter, want)
	}
}
