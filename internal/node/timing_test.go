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
		{"watcher of a small domain", 2 * time.Second, 0, 3, 0, true},
		{"successor with a recent update", 2 * time.Second, 1, 3, time.Second, false},
		{"successor with an old update", 2 * time.Second, 1, 3, 1600 * time.Millisecond, true},
		{"third in rank with an old update", 2 * time.Second, 2, 3, 1600 * time.Millisecond, false},
		{"third in rank, in time to keep the bound", 2 * time.Second, 2, 3, 1750 * time.Millisecond, true},
		{"second watcher of a large domain", 3 * time.Second, 1, 22, 0, true},
		{"second successor in a large domain", 3 * time.Second, 3, 22, 2300 * time.Millisecond, true},
		{"other VM of a large domain", 3 * time.Second, 4, 22, 2600 * time.Millisecond, false},
		{"last in rank, in time to keep the bound", 3 * time.Second, 21, 22, 2750 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, timingFor(test.bound, 0).mustWatch(test.rank, test.alive, test.age), test.want)
		})
	}
}

// Guards against VMs that poll an unavailable store without backing off: a store
// that was unavailable for 4.5 s received about 1,000 calls a second from 67 VMs,
// all of them refused and charged.
func TestFewVMsPollAnUnavailableStore(t *testing.T) {
	const (
		perDomain = 22
		prefixes  = 3
		outage    = 4500 * time.Millisecond
	)
	p := timingFor(3*time.Second, 0)
	calls := 0
	for rank := range perDomain {
		at, failures := time.Duration(0), 0
		for at < outage {
			calls += prefixes
			failures++
			at += p.retry(rank, perDomain, failures)
		}
		assert.Assert(t, at-outage <= maxRetry, "rank %d calls the store again %v after its return", rank, at-outage)
		if rank < watchers(perDomain) {
			assert.Assert(t, at-outage <= firstRetry)
		}
	}
	unbounded := perDomain * prefixes * int(outage/firstRetry)
	assert.Assert(t, calls < unbounded/2, "%d calls, %d without backoff", calls, unbounded)
}

// Guards against a bound missed by large configurations: VMs whose watchers no
// longer answered started to read the store in time for a small configuration, but
// too late for one of 0.3 MB.
func TestVMsReadLargeConfigurationsInTime(t *testing.T) {
	for _, test := range []struct {
		name  string
		bound time.Duration
		size  int           // bytes
		link  float64       // Mbit/s
		least time.Duration // the shortest wait of a watch
	}{
		{"small", 3 * time.Second, 13_500, 10, 1400 * time.Millisecond},
		{"1,450 routes", 3 * time.Second, 300_500, 10, 1200 * time.Millisecond},
		{"1,450 routes, large link", 3 * time.Second, 300_500, 200, 1400 * time.Millisecond},
		{"400 routes of a small site", 2 * time.Second, 85_000, 1000, 900 * time.Millisecond},
		{"the largest object", 3 * time.Second, 1 << 20, 20, 900 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := timingFor(test.bound, transferTime(test.size, test.link))
			// Calls use half of the link.
			reading := time.Duration(float64(test.size) * 8 / (test.link * 1e6 / 2) * float64(time.Second))
			assert.Assert(t, p.maxAge+reading <= test.bound, "in force after %v", p.maxAge+reading)
			assert.Assert(t, p.wait < p.successorAge && p.successorAge < p.maxAge)
			assert.Assert(t, p.wait >= test.least, "a call every %v", p.wait)
		})
	}
}
