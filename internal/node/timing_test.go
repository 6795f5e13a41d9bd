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
			assert.Equal(t, timingFor(test.bound, 0).mustWatch(test.rank, test.alive, test.age), test.want)
		})
	}
}

// The load at which a store that was away for 4.5 s had some thousand calls a
// second from 67 VMs, all refused and all charged.
func TestFewVMsPollAnUnavailableStore(t *testing.T) {
	const (
		perDomain = 22
		prefixes  = 3
		away      = 4500 * time.Millisecond
	)
	p := timingFor(3*time.Second, 0)
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

// VMs whose watchers had fallen silent began to read the store in time for a small
// configuration, and came late with one of 0.3 MB.
func TestVMsReadLargeConfigurationsInTime(t *testing.T) {
	for _, test := range []struct {
		name  string
		bound time.Duration
		size  int
		link  float64
		least time.Duration // between two looks
	}{
		{"small", 3 * time.Second, 13_500, 10, 1400 * time.Millisecond},
		{"1,450 routes", 3 * time.Second, 300_500, 10, 1200 * time.Millisecond},
		{"1,450 routes, large link", 3 * time.Second, 300_500, 200, 1400 * time.Millisecond},
		{"400 routes of a small site", 2 * time.Second, 85_000, 1000, 900 * time.Millisecond},
		{"the largest object", 3 * time.Second, 1 << 20, 20, 900 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := timingFor(test.bound, transferTime(test.size, test.link))
			// Half of the link is taken by calls.
			reading := time.Duration(float64(test.size) * 8 / (test.link * 1e6 / 2) * float64(time.Second))
			assert.Assert(t, p.maxAge+reading <= test.bound, "in force after %v", p.maxAge+reading)
			assert.Assert(t, p.wait < p.successorAge && p.successorAge < p.maxAge)
			assert.Assert(t, p.wait >= test.least, "a call every %v", p.wait)
		})
	}
}
