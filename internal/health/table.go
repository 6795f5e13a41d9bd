// Package health rates endpoints by the results of calls to them. Health checks are
// not used: they wait for a slot like any call, and faulty endpoints pass them.
package health

import (
	"math"
	"sync"
	"time"

	"knapweedplank.org/plank"
)

const (
	// avoidTime is how long an endpoint that was unreachable or failed gets no
	// call if there is another.
	avoidTime = time.Second
	// maxAvoidTime bounds the avoid time of an unreachable endpoint, which doubles
	// with each failure to reach it in a row.
	maxAvoidTime = 4 * time.Second
	// maxFailures is how many calls in a row an endpoint has to fail to be avoided
	// for avoidTime. An endpoint that fails half of its calls is handled by its
	// failure rate; one that is down fails them all.
	maxFailures = 3
	// halfLife is the time in which past results lose half of their weight.
	halfLife = 4 * time.Second
	// priorWeight is the number of successful calls that every endpoint is taken
	// to have in addition.
	priorWeight = 2.0
)

// A Table holds the results of recent calls by endpoint, and their pauses. It is safe
// for concurrent use.
type Table struct {
	*Pauses
	clock plank.Clock

	mu      sync.Mutex
	entries map[plank.EndpointID]*entry
}

type entry struct {
	good, bad         float64 // counts of calls, decaying with halfLife
	updated           time.Time
	avoidUntil        time.Time // until when no call is sent if there is another endpoint
	unreachableStreak int       // failures to reach it in a row
	failureStreak     int       // failed calls in a row
}

// New returns an empty table.
func New(clock plank.Clock) *Table {
	return &Table{clock: clock, entries: make(map[plank.EndpointID]*entry), Pauses: NewPauses(clock)}
}

// entry returns the entry of an endpoint, with its counts decayed to now. The lock
// is held.
func (t *Table) entry(id plank.EndpointID) *entry {
	now := t.clock.Now()
	e := t.entries[id]
	if e == nil {
		e = &entry{updated: now}
		t.entries[id] = e
	}
	decay := math.Exp2(-now.Sub(e.updated).Seconds() / halfLife.Seconds())
	e.good, e.bad, e.updated = e.good*decay, e.bad*decay, now
	return e
}

// RecordSuccess records a call that the endpoint served. It reports whether the
// endpoint had been marked as avoided since its last success.
func (t *Table) RecordSuccess(id plank.EndpointID) (recovered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id)
	e.good++
	recovered = !e.avoidUntil.IsZero()
	e.unreachableStreak, e.failureStreak, e.avoidUntil = 0, 0, time.Time{}
	return recovered
}

// RecordRefusal records a call that the endpoint rejected, for example because it is
// full. It only counts in the failure rate.
func (t *Table) RecordRefusal(id plank.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(id).bad++
}

// RecordFailure records a call that failed at the endpoint. It reports whether this
// failure marks it as avoided.
func (t *Table) RecordFailure(id plank.EndpointID) (avoided bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id)
	e.bad++
	if e.failureStreak++; e.failureStreak < maxFailures {
		return false
	}
	e.failureStreak = 0
	e.avoidUntil = t.clock.Now().Add(avoidTime)
	return true
}

// RecordUnreachable records that the endpoint could not be reached or stopped
// responding. It is avoided from now on.
func (t *Table) RecordUnreachable(id plank.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id)
	e.bad++
	e.unreachableStreak++
	e.avoidUntil = t.clock.Now().Add(min(maxAvoidTime, avoidTime<<min(e.unreachableStreak-1, 4)))
}

// IsAvoided reports whether the endpoint should get no call now if there is another.
func (t *Table) IsAvoided(id plank.EndpointID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	return e != nil && e.avoidUntil.After(t.clock.Now())
}

// FailRate returns the fraction of the endpoint's recent calls that failed or were
// refused, between 0 and 1.
func (t *Table) FailRate(id plank.EndpointID) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries[id] == nil {
		return 0
	}
	e := t.entry(id)
	return e.bad / (e.good + e.bad + priorWeight)
}
