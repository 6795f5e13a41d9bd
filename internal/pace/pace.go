// Package pace learns how long work takes on each endpoint, relative to the usual time. It
// performs no I/O.
//
// It is designed for fleets whose endpoints differ: on one, a quarter of 140 engines take 0.55
// times the usual time and the others 1.2 times, and neighbours on their machines make 15% of
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
	// maxBoundPace bounds what one answer shows of the pace if it may hold other delays, such
	// as a pause of the process that received it.
	maxBoundPace = 3.0
	// statedHalfLife is the half-life of the difference between a stated figure and what is
	// learned: three quarters of it are gone after half a second, since a slow period
	// lasts some 600 ms.
	statedHalfLife = 250 * time.Millisecond
	// answerHalfLife is the half-life of what answers showed, so that an endpoint that
	// becomes slow is known to be slow within a second.
	answerHalfLife = 1500 * time.Millisecond
	// meanHalfLife is the half-life of the mean of the stated figures, of which each is a
	// sample of one that changes many times a second.
	meanHalfLife = 5 * time.Second
	// fadeFrom and fadeUntil are the ages of the last figure between which it fades to the
	// usual pace. An endpoint that is slow may get no calls at all, and is tried again after
	// that. Engines are asked for their state every 2 s.
	fadeFrom  = 2500 * time.Millisecond
	fadeUntil = 5 * time.Second
	// usualWeight is the weight of what was assumed before beside the figures, each of which
	// counts 1.
	usualWeight = 0.5
	// maxWeight bounds the weight of the figures, so that an endpoint that gets many calls
	// and becomes slow is known to be slow within a second.
	maxWeight = 8.0
	// errorHalfLife is the half-life of the errors by which stated figures are judged.
	errorHalfLife = 5 * time.Second
	// minErrors is how many answers have to be compared before a stated figure is judged.
	minErrors = 2.0
	// errorMargin is by how much worse than the answers before, in the logarithm, a stated
	// figure may predict answers: they vary for other reasons, too.
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
	usual    map[plank.ServiceID]*usualTime // of plain services
}

// An entry is what is known of one run of an endpoint. Paces are logarithms.
type entry struct {
	answers, statements mean
	heardAt             time.Time
	stated              float64
	statedAt            time.Time // zero if the endpoint never stated a pace
	// statedError and learnedError are the sums of the differences between answers and what
	// the stated figure and the answers before had predicted, of errors answers.
	statedError, learnedError, errors float64
	errorsAt                          time.Time
	load                              statedLoad
}

// New returns an empty table. all is set to learn the paces of all services; otherwise those
// of a service are learned from when one of its endpoints states a pace.
func New(clock plank.Clock, all bool) *Table {
	t := &Table{clock: clock, all: all, services: make(map[plank.ServiceID]bool), entries: make(map[plank.Run]*entry), usual: make(map[plank.ServiceID]*usualTime)}
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
	return t.RecordStatedBefore(service, run, p, 0)
}

// RecordStatedBefore is RecordStated for a pace that was stated some time ago. It does nothing
// if a later one is known.
func (t *Table) RecordStatedBefore(service plank.ServiceID, run plank.Run, p float64, age time.Duration) (first bool) {
	if t == nil || !IsValid(p) || age < 0 || age > fadeUntil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	first = !t.services[service]
	t.services[service] = true
	t.learned.Store(true)
	now := t.clock.Now()
	e := t.entry(run, now)
	at := now.Add(-age)
	if at.Before(e.statedAt) {
		return first
	}
	e.stated, e.statedAt, e.heardAt = math.Log(p), at, now
	e.statements.add(e.stated, meanHalfLife, at)
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
	most := maxPace
	if b == AtLeast {
		most = maxBoundPace
	}
	p := math.Log(min(most, max(minPace, float64(took)/float64(usual))))
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	e := t.entry(run, now)
	e.compare(p, b, now)
	e.heardAt = now
	if b == Exact || b.excess(p, e.learned(now)) > 0 {
		e.answers.add(p, answerHalfLife, now)
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
	maps.DeleteFunc(t.entries, func(_ plank.Run, e *entry) bool { return now.Sub(e.heardAt) > forgetAfter })
}

// slowPace is the pace from which an endpoint counts as slow in the metrics. It is beyond what
// the usual variation of engines shows (0.83 to 1.2).
const slowPace = 1.5

// CountSlow returns the number of runs whose work takes much longer than usual.
func (t *Table) CountSlow() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, e := range t.entries {
		if e.estimate(now) > math.Log(slowPace) {
			n++
		}
	}
	return n
}

// entry returns the entry of a run. The lock is held.
func (t *Table) entry(run plank.Run, now time.Time) *entry {
	e := t.entries[run]
	if e == nil {
		e = &entry{heardAt: now, errorsAt: now}
		t.entries[run] = e
	}
	return e
}

// decay returns the part of a weight that is left after a time.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, age).Seconds() / halfLife.Seconds())
}

// A mean is a mean of figures of which later ones count more.
type mean struct {
	sum, weight float64
	updatedAt   time.Time
}

// add adds a figure.
func (m *mean) add(p float64, halfLife time.Duration, now time.Time) {
	f := decay(now.Sub(m.updatedAt), halfLife)
	f *= min(1, (maxWeight-1)/max(1, m.weight*f))
	m.sum, m.weight, m.updatedAt = m.sum*f+p, m.weight*f+1, now
}

// apply returns the mean of the figures and of one that was assumed before, to which it returns
// as they age.
func (m *mean) apply(before float64, now time.Time) float64 {
	if m.weight == 0 {
		return before
	}
	age := now.Sub(m.updatedAt)
	left := min(1, max(0, float64(fadeUntil-age)/float64(fadeUntil-fadeFrom)))
	return before + (m.sum/m.weight-before)*left*m.weight/(m.weight+usualWeight)
}

// learned returns the pace that the answers and the stated figures show.
func (e *entry) learned(now time.Time) float64 {
	usual := 0.0
	if e.isBelieved(now) {
		usual = e.statements.apply(usual, now)
	}
	return e.answers.apply(usual, now)
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
	e.learnedError = e.learnedError*f + b.excess(p, e.answers.apply(0, now))
	e.errors, e.errorsAt = e.errors*f+1, now
}

// isBelieved reports whether stated figures predict answers about as well as the answers before.
// An endpoint that states a wrong pace is judged by its answers alone.
func (e *entry) isBelieved(now time.Time) bool {
	n := e.errors * decay(now.Sub(e.errorsAt), errorHalfLife)
	return n < minErrors || e.statedError/e.errors <= e.learnedError/e.errors+errorMargin
}
