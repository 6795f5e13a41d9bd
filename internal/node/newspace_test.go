package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMustWatch(t *testing.T) {
	for _, test := range []struct {
		name        string
		bound       time.Duration
		rank, alive int
		age         time.Duration
		want        bool
	}{
		{"the watcher of a small domain", 2 * time.Second, 0, 3, 0, true},
		{"the next one with fresh news", 2 * time.Second, 1, 3, time.Second, false},
		{"the next one with old news", 2 * time.Second, 1, 3, 1600 * time.Millisecond, true},
		{"the third one with old news", 2 * time.Second, 2, 3, 1600 * time.Millisecond, false},
		{"the third one in time to keep the bound", 2 * time.Second, 2, 3, 1750 * time.Millisecond, true},
		{"two watchers in a large domain", 3 * time.Second, 1, 22, 0, true},
		{"two successors in a large domain", 3 * time.Second, 3, 22, 2300 * time.Millisecond, true},
		{"the rest of a large domain waits", 3 * time.Second, 4, 22, 2600 * time.Millisecond, false},
		{"all, in time to keep the bound", 3 * time.Second, 21, 22, 2750 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, paceFor(test.bound).mustWatch(test.rank, test.alive, test.age), test.want)
		})
	}
}

// The load at which a store that was away for 4.5 s had some thousand calls a
// second from 67 VMs, all refused and all charged.
func TestFewVMsAskAStoreThatIsAway(t *testing.T) {
	const (
		perDomain = 22
		prefixes  = 3
		away      = 4500 * time.Millisecond
	)
	p := paceFor(3 * time.Second)
	calls := 0
	for rank := range perDomain {
		at, failures := time.Duration(0), 0
		for at < away {
			calls += prefixes
			failures++
			at += p.retry(rank, perDomain, failures)
		}
		assert.Assert(t, at-away <= maxRetry, "rank %d notices the store %v late", rank, at-away)
		if rank < watchers(perDomain) {
			assert.Assert(t, at-away <= firstRetry)
		}
	}
	every := perDomain * prefixes * int(away/firstRetry)
	assert.Assert(t, calls < every/2, "%d calls of %d", calls, every)
}
