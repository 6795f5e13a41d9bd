package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A holder counts as silent after three probes without an answer, and no longer after one
// with an answer, or once another VM is the holder.
func TestHolderProber(t *testing.T) {
	p, now := new(holderProber), time.Unix(0, 0)
	probe := func(addr string, answered bool) {
		t.Helper()
		assert.Assert(t, p.begin(addr, now))
		assert.Assert(t, !p.begin(addr, now.Add(time.Hour)), "two probes at once")
		p.end(addr, answered)
		assert.Assert(t, !p.begin(addr, now.Add(probeInterval/2)), "too soon")
		now = now.Add(probeInterval)
	}
	probe("a", false)
	probe("a", false)
	assert.Assert(t, !p.isSilent("a"))
	probe("a", false)
	assert.Assert(t, p.isSilent("a"))
	probe("a", true)
	assert.Assert(t, !p.isSilent("a"))
	for range silentProbes {
		probe("a", false)
	}
	probe("b", true)
	assert.Assert(t, !p.isSilent("a") && !p.isSilent("b"))
}
