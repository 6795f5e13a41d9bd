// Package health defines what a VM makes of its endpoints from how they answer.
// Health checks are not asked: they wait for a slot like any call, and faulty
// endpoints pass them.
package health

import (
	"math"
	"sync"
	"time"

	"knapweedplank.org/plank"
)

// The rules of judgement.
const (
	// avoidTime is how long an endpoint that could not be reached gets no call,
	// if there is another.
	avoidTime = time.Second
	// maxAvoid bounds that time, which doubles as long as calls fail.
	maxAvoid = 4 * time.Second
	// maxFailures is how many calls in a row an endpoint may fail until it gets
	// none for avoidTime. An endpoint that fails half of its calls is judged by
	// its rate; one that is down fails them all.
	maxFailures = 3
	// halfLife is the time in which past results lose half of their weight.
	halfLife = 4 * time.Second
	// prior is the weight of the belief that an endpoint works.
	prior = 2.0
)

// A Table holds the results of calls by endpoint. It is safe for concurrent
// use.
type Table struct {
	clock plank.Clock

	mu      sync.Mutex
	entries map[plank.EndpointID]*entry
}

type entry struct {
	good, bad float64 // aged counts
	at        time.Time
	avoid     time.Time // until when no call is sent
	streak    int       // failures to reach it in a row
	failures  int       // failed calls in a row
}

// New returns an empty table.
func New(clock plank.Clock) *Table {
	return &Table{clock: clock, entries: make(map[plank.EndpointID]*entry)}
}

// entry returns the aged entry of an endpoint. The lock is held.
func (t *Table) entry(id plank.EndpointID) *entry {
	now := t.clock.Now()
	e := t.entries[id]
	if e == nil {
		e = &entry{at: now}
		t.entries[id] = e
	}
	age := math.Exp2(-now.Sub(e.at).Seconds() / halfLife.Seconds())
	e.good, e.bad, e.at = e.good*age, e.bad*age, now
	return e
}

// RecordSuccess records a call that the endpoint served. It reports whether the endpoint
// was avoided until now.
func (t *Table) RecordSuccess(id plank.EndpointID) (regained bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id)
	e.good++
	regained = !e.avoid.IsZero()
	e.streak, e.failures, e.avoid = 0, 0, time.Time{}
	return regained
}

// RecordRefusal records a call that the endpoint did not take, as when it is full. It
// counts in the rate of failures only.
func (t *Table) RecordRefusal(id plank.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(id).bad++
}

// RecordFailure records a call that the endpoint failed. It reports whether the endpoint is
// avoided from now on.
func (t *Table) RecordFailure(id plank.EndpointID) (avoided bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id)
	e.bad++
	if e.failures++; e.failures < maxFailures {
		return false
	}
	e.failures = 0
	e.avoid = t.clock.Now().Add(avoidTime)
	return true
}

// RecordUnreachable records that the endpoint could not be reached, or fell silent.
func (t *Table) RecordUnreachable(id plank.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id)
	e.bad++
	e.streak++
	e.avoid = t.clock.Now().Add(min(maxAvoid, avoidTime<<min(e.streak-1, 4)))
}

// IsAvoided tells whether the endpoint should get no call now.
func (t *Table) IsAvoided(id plank.EndpointID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	return e != nil && e.avoid.After(t.clock.Now())
}

// FailRate returns the part of the endpoint's calls that failed lately.
func (t *Table) FailRate(id plank.EndpointID) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries[id] == nil {
		return 0
	}
	e := t.entry(id)
	return e.bad / (e.good + e.bad + prior)
}
