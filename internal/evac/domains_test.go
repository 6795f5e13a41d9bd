package evac_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/evac"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against a domain that stays in service beside another one that is out, or returns with it.
func TestDomainsAreIndependent(t *testing.T) {
	var none evac.Domains
	both := none.With("a", true, start).With("b", true, start)
	assert.DeepEqual(t, both.Out(), []plank.DomainID{"a", "b"})
	one := both.With("a", false, start)
	assert.Assert(t, !one.IsOut("a") && one.IsOut("b") && !one.IsOut("c"))
	assert.Assert(t, both.IsOut("a"), "the earlier value has changed")
	assert.Assert(t, one.With("a", true, start).IsOut("a"), "written anew during the return")
	assert.Assert(t, !none.With("a", false, start).HoldsBack("a", ^uint64(0), start, 0), "nothing returned")
}

// Replays 500 calls a second that prefer the idle domain which returned at start. Guards against
// all of them going there at once, and against a fraction that does not grow to all.
func TestReturnIsGradual(t *testing.T) {
	const length = 4 * time.Second
	d := evac.Domains{}.With("a", true, start.Add(-time.Minute)).With("a", false, start)
	sent := make([]int, 6) // by second since the return
	for n := range 3000 {
		now := start.Add(time.Duration(n) * 2 * time.Millisecond)
		call := evac.CallHash(plank.RequestID(fmt.Sprint("call-", n)))
		if !d.HoldsBack("a", call, now, length) {
			sent[n/500]++
		}
		assert.Assert(t, !d.HoldsBack("b", call, now, length))
	}
	for second, n := range sent {
		want := min(500, 500*(2*second+1)/8) // the mean of the second
		assert.Assert(t, n >= want-60 && n <= want+60, "%d of 500 calls in second %d, not about %d", n, second, want)
	}
}

// Guards against VMs that check less often than every 15 s, and against 360 of them that call the
// store together.
func TestChecksAreSpread(t *testing.T) {
	perSecond := make(map[int64]int)
	for n := range 360 {
		vm := plank.VMID(fmt.Sprint("vm-", n))
		for now, k := start, 0; k < 4; k++ {
			next := evac.NextCheck(vm, now)
			assert.Assert(t, next.After(now) && next.Sub(now) < 15*time.Second)
			perSecond[next.Unix()]++
			now = next
		}
	}
	for second, n := range perSecond {
		assert.Assert(t, n < 60, "%d calls in second %d", n, second)
	}
}
