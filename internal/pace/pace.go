// Package pace learns how long work takes on each endpoint, relative to the usual time. It
// performs no I/O.
//
// It is designed for fleets whose endpoints differ: on one, a quarter of 140 engines work at
// 0.55 times the usual speed and the others at 1.2, and neighbours on their machines make 15% of
// them 2.5 times as slow for some 600 ms at a time.
package pace

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"knapweedplank.org/plank"
)

const (
	// minPace and maxPace bound what is believed. An endpoint beyond them is better judged
	// by its failures.
	minPace = 0.05
	maxPace = 20.0
	// statedHalfLife is the half-life of the difference between a stated figure and what is
	// learned: three quarters of it are gone after half a second, since a spell of slowness
	// lasts some 600 ms.
	statedHalfLife = 250 * time.Millisecond
	// learnedHalfLife is the half-life of what answers showed. An endpoint that is slow gets
	// fewer calls, so that what is known of it has to fade within some seconds.
	learnedHalfLife = 1500 * time.Millisecond
	// usualWeight is the weight of the usual pace beside the observations, each of which
	// counts 1 or less.
	usualWeight = 0.5
	// statedWeight is the weight of a stated figure among the observations. It is a sample
	// of a figure that changes many times a second.
	statedWeight = 0.5
	// maxWeight bounds the weight of the observations, so that an endpoint that gets many
	// calls and becomes slow is known to be slow within a second.
	maxWeight = 8.0
	// errorHalfLife is the half-life of the errors by which stated figures are judged.
	errorHalfLife = 5 * time.Second
	// minErrors is how many answers have to be compared before a stated figure is judged.
	minErrors = 2.0
	// errorMargin is by how much worse than what is learned, in the logarithm, a stated
	// figure may predict answers: answers vary for other reasons, too.
	errorMargin = 0.3
	// forgetAfter is how long the entry of a run lasts without news of it.
	forgetAfter = time.Minute
)

// IsValid reports whether a pace is one that is believed.
func IsValid(p float64) bool { return p >= minPace && p <= maxPace }

// A Table holds what is known of the paces of endpoints. It is safe for concurrent use.
type Table struct {
	clock plank.Clock
	// all is set if the paces of all services are learned.
	all bool

	// learned is false until the pace of any service is learned, so that deployments
	// without it take no lock.
	learned atomic.Bool
	mu      sync.Mutex
	// services holds the services of which an endpoint stated a pace.
	services map[plank.ServiceID]bool
	entries  map[plank.Run]*entry
}

// An entry is what is known of one run of an endpoint. Paces are logarithms.
type entry struct {
	sum, weight float64 // of the observations, decaying with learnedHalfLife
	updatedAt   time.Time
	stated      float64
	statedAt    time.Time // zero if the endpoint never stated a pace
	// statedError and learnedError are the sums of the differences between answers and what
	// the stated and the learned figure had predicted, of errors answers.
	statedError, learnedError, errors float64
	errorsAt                          time.Time
}

// New returns an empty table. all is set to learn the paces of all services; otherwise those
// of a service are learned from when one of its endpoints states a pace.
func New(clock plank.Clock, all bool) *Table {
	t := &Table{clock: clock, all: all, services: make(map[plank.ServiceID]bool), entries: make(map[plank.Run]*entry)}
	t.learned.Store(all)
	return t
}

// IsLearned reports whether the paces of a service's endpoints are learned. A nil table learns
// none.
func (t *Table) IsLearned(service plank.ServiceID) bool {
	if t == nil || !t.learned.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.all || t.services[service]
}

// Pace returns how long work takes on a run of an endpoint, relative to the usual time: 1 if
// nothing is known of it, 0 if the paces of its service are not learned.
func (t *Table) Pace(service plank.ServiceID, run plank.Run) float64 {
	if t == nil || !t.learned.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.all && !t.services[service] {
		return 0
	}
	e := t.entries[run]
	if e == nil {
		return 1
	}
	return math.Exp(e.estimate(t.clock.Now()))
}

// RecordStated records the pace that an endpoint of a service states. Invalid ones are ignored.
// It reports whether the service is the first of which paces are learned from now on.
func (t *Table) RecordStated(service plank.ServiceID, run plank.Run, p float64) (first bool) {
	if t == nil || !IsValid(p) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	first = !t.services[service]
	t.services[service] = true
	t.learned.Store(true)
	now := t.clock.Now()
	e := t.entry(run, now)
	e.stated, e.statedAt = math.Log(p), now
	if e.isBelieved(now) {
		e.observe(math.Log(p), statedWeight, now)
	}
	return first
}

// A Bound tells what the time of an answer shows of the pace.
type Bound int

// The values of Bound.
const (
	Exact Bound = iota
	// AtLeast is for times that would be longer if all work had been done, such as that to
	// the first event of a prompt of which parts may be kept.
	AtLeast
	// AtMost is for times that may hold other work, too, such as a decoding step beside
	// prompts.
	AtMost
)

// RecordAnswer records that work took a time on a run of an endpoint that usually takes
// another. It does nothing unless the paces of the service are learned.
func (t *Table) RecordAnswer(service plank.ServiceID, run plank.Run, took, usual time.Duration, b Bound) {
	if !t.IsLearned(service) || took <= 0 || usual <= 0 {
		return
	}
	p := math.Log(min(maxPace, max(minPace, float64(took)/float64(usual))))
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	e := t.entry(run, now)
	e.compare(p, b, now)
	if b == Exact || b.excess(p, e.learned(now)) > 0 {
		e.observe(p, 1, now)
	}
}

// excess returns by how much a pace contradicts what an answer shows.
func (b Bound) excess(shown, pace float64) float64 {
	switch b {
	case AtLeast:
		return max(0, shown-pace)
	case AtMost:
		return max(0, pace-shown)
	}
	return math.Abs(shown - pace)
}

// Expire forgets the runs of which nothing was heard for forgetAfter.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	maps.DeleteFunc(t.entries, func(_ plank.Run, e *entry) bool { return now.Sub(e.updatedAt) > forgetAfter })
}

// entry returns the entry of a run. The lock is held.
func (t *Table) entry(run plank.Run, now time.Time) *entry {
	e := t.entries[run]
	if e == nil {
		e = &entry{updatedAt: now, errorsAt: now}
		t.entries[run] = e
	}
	return e
}

// decay returns the part of a weight that is left after a time.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, age).Seconds() / halfLife.Seconds())
}

// observe adds an observation.
func (e *entry) observe(p, weight float64, now time.Time) {
	f := decay(now.Sub(e.updatedAt), learnedHalfLife)
	e.sum, e.weight, e.updatedAt = e.sum*f, e.weight*f, now
	if excess := (e.weight + weight) / maxWeight; excess > 1 {
		e.sum, e.weight = e.sum/excess, e.weight/excess
	}
	e.sum, e.weight = e.sum+p*weight, e.weight+weight
}

// learned returns the pace that observations show. It approaches the usual one as they fade.
func (e *entry) learned(now time.Time) float64 {
	f := decay(now.Sub(e.updatedAt), learnedHalfLife)
	return e.sum * f / (e.weight*f + usualWeight)
}

// estimate returns the pace: the stated one while it is recent, then the learned one.
func (e *entry) estimate(now time.Time) float64 {
	learned := e.learned(now)
	if e.statedAt.IsZero() || !e.isBelieved(now) {
		return learned
	}
	return learned + (e.stated-learned)*decay(now.Sub(e.statedAt), statedHalfLife)
}

// compare updates the errors of the stated and the learned figure with an answer.
func (e *entry) compare(p float64, b Bound, now time.Time) {
	if e.statedAt.IsZero() {
		return
	}
	f := decay(now.Sub(e.errorsAt), errorHalfLife)
	e.statedError = e.statedError*f + b.excess(p, e.stated)
	e.learnedError = e.learnedError*f + b.excess(p, e.learned(now))
	e.errors, e.errorsAt = e.errors*f+1, now
}

// isBelieved reports whether stated figures predict answers about as well as what is learned.
// An endpoint that states a wrong pace is judged by its answers alone.
func (e *entry) isBelieved(now time.Time) bool {
	n := e.errors * decay(now.Sub(e.errorsAt), errorHalfLife)
	return n < minErrors || e.statedError/e.errors <= e.learnedError/e.errors+errorMargin
}
