package pace

import (
	"math"
	"time"

	"knapweedplank.org/plank"
)

// This file learns the paces of the endpoints of plain services.
//
// It is designed for services of which an endpoint is slow: of two, one ten times as slow, the
// slow one got 40 of 80 calls one after the other when its load field said so, and 44 of 80 when
// only its answers showed it.

const (
	// usualHalfLife is the half-life of the times from which the usual time of a service's
	// answers is taken. It is many times that of an endpoint's pace, which is relative to it.
	usualHalfLife = 15 * time.Second
	// loadAge is how long the number of requests that an endpoint states counts.
	loadAge = 300 * time.Millisecond
)

// A usualTime is the mean time of the answers of a service, as a logarithm.
type usualTime struct {
	sum, weight float64
	updatedAt   time.Time
}

// A statedLoad is how many requests an endpoint stated to have.
type statedLoad struct {
	requests int
	at       time.Time
}

// queueFactor returns by how much a call takes longer because others are ahead of it.
func queueFactor(calls, slots int) float64 {
	return max(1, float64(calls)/float64(max(1, slots)))
}

// RecordPlain records how long an endpoint of a plain service took for an answer while it had a
// number of calls, with this one.
func (t *Table) RecordPlain(service plank.ServiceID, run plank.Run, took time.Duration, calls, slots int) {
	if !t.IsLearned(service) || took <= 0 {
		return
	}
	log := math.Log(took.Seconds() / queueFactor(calls, slots))
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	u := t.usual[service]
	if u == nil {
		u = &usualTime{updatedAt: now}
		t.usual[service] = u
	}
	f := decay(now.Sub(u.updatedAt), usualHalfLife)
	u.sum, u.weight, u.updatedAt = u.sum*f+log, u.weight*f+1, now
	p := min(math.Log(maxPace), max(math.Log(minPace), log-u.sum/u.weight))
	e := t.entry(run, now)
	e.compare(p, Exact, now)
	e.heardAt = now
	e.answers.add(p, answerHalfLife, now)
}

// RecordLoad records how many requests a run of an endpoint states to have.
func (t *Table) RecordLoad(service plank.ServiceID, run plank.Run, requests int) {
	if !t.IsLearned(service) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	e := t.entry(run, now)
	e.heardAt, e.load = now, statedLoad{requests, now}
}

// Load returns how many requests a run of an endpoint stated to have a moment ago; 0 if it
// did not.
func (t *Table) Load(run plank.Run) int {
	if t == nil || !t.learned.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[run]
	if e == nil || t.clock.Now().Sub(e.load.at) > loadAge {
		return 0
	}
	return e.load.requests
}
