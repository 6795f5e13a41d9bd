// Package cold limits the requests to cold endpoints. An endpoint is cold for some seconds
// after a start during traffic, and may become cold again at any moment; it crashes if more
// requests arrive than it tolerates meanwhile. The package performs no I/O.
//
// A Table holds which endpoints are cold. A Pacer paces the grants of the one VM that holds
// an engine. Portions divide what a replica of a plain service tolerates among all VMs.
package cold

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"knapweedplank.org/plank"
)

const (
	// MaxLeft bounds the remaining time that an endpoint can state, so that one wrong answer
	// does not restrict it for long. Each answer renews the statement.
	MaxLeft = time.Minute
	// maxDelay is how late a registration or a message of another VM may be: the store is
	// followed within about 2 s. One that says that an endpoint is warm does not override what
	// the endpoint stated itself within this time.
	maxDelay = 2 * time.Second
	// Tolerance is the difference between two statements of the end of one cold period, by
	// the time that answers and messages take.
	Tolerance = 500 * time.Millisecond
	// retention is how long what is known of a warm endpoint is kept.
	retention = MaxLeft
)

// ParseLeft returns the remaining time that a message states in milliseconds, and whether it is
// valid.
func ParseLeft(millis int64) (left time.Duration, ok bool) {
	if millis < 0 || millis > MaxLeft.Milliseconds() {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

// A Source is where a statement was received from.
type Source int

// The values of Source.
const (
	Answer       Source = iota // an answer of the endpoint to this VM
	Registration               // the endpoint's registration in the store
	Peer                       // a message of another VM
)

// An entry is what is known of one run of an endpoint.
type entry struct {
	until time.Time // the end of the cold period
	at    time.Time // when this was stated or assumed
	// notBefore is the earliest time of a request to a replica that was warm before, since
	// VMs that do not know yet that it is cold still send to it; zero for a new run.
	notBefore time.Time
	// unreached is set from a failed contact until the next answer.
	unreached bool
}

// A Table holds which endpoints are cold, by the latest statement of each run. It is safe for
// concurrent use.
type Table struct {
	clock   plank.Clock
	service func(plank.ServiceID) plank.Service

	mu      sync.Mutex
	entries map[plank.Run]*entry
	// any is false only if entries is empty, so that choices need no lock.
	any atomic.Bool
}

// NewTable returns an empty table. service returns the current configuration of a service,
// or the zero value.
func NewTable(clock plank.Clock, service func(plank.ServiceID) plank.Service) *Table {
	return &Table{clock: clock, service: service, entries: make(map[plank.Run]*entry)}
}

// Rate returns the requests per second that cold endpoints of a service tolerate; 0 if they
// are never cold. It may be called on a nil table.
func (t *Table) Rate(service plank.ServiceID) float64 {
	if t == nil {
		return 0
	}
	return t.service(service).ColdRate
}

// Record records a statement that a run of an endpoint is cold until a time, or warm if that
// is not in the future. wasKnown is set if the run was known before, so that VMs may send
// requests to it as to a warm one. It reports whether the statement begins, extends or ends a
// cold period; the remaining time of a known period merely counts down.
func (t *Table) Record(inst plank.Instance, until time.Time, source Source, wasKnown bool) (changed bool) {
	now := t.clock.Now()
	if !until.After(now) && !t.any.Load() {
		return false
	}
	// The configuration may become known after the registrations.
	enabled := t.Rate(inst.Service) > 0
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[inst.Run()]
	if e == nil {
		if !until.After(now) {
			return false
		}
		e = t.add(inst.Run())
	}
	wasCold, isCold := e.until.After(now), until.After(now)
	if source != Answer && until.Before(e.until) && now.Sub(e.at) < maxDelay {
		return false
	}
	if source == Answer {
		e.unreached = false
	}
	changed = isCold != wasCold || isCold && until.Sub(e.until).Abs() > Tolerance
	if isCold && !wasCold && wasKnown {
		e.notBefore = now.Add(window)
	}
	if !changed && isCold && source != Answer {
		return false // delays of messages would shift the end again and again
	}
	e.until, e.at = until, now
	return changed && enabled
}

// add adds an entry. The lock is held.
func (t *Table) add(run plank.Run) *entry {
	e := new(entry)
	t.entries[run] = e
	t.any.Store(true)
	return e
}

// MarkUnreached records that an engine could not be reached by its holder. It may have
// started again, so it counts as cold until it answers.
func (t *Table) MarkUnreached(inst plank.Instance) {
	if t.Rate(inst.Service) <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[inst.Run()]
	if e == nil {
		e = t.add(inst.Run())
	}
	e.unreached, e.at = true, t.clock.Now()
}

// RecordRefused records that a replica refused a connection: its process is down. It counts as
// cold for the time of a start, so that the VMs to which the registration of its next run is
// late do not send their calls as to a warm one.
func (t *Table) RecordRefused(inst plank.Instance) {
	if t.Rate(inst.Service) <= 0 {
		return
	}
	now := t.clock.Now()
	coldTime := t.service(inst.Service).ColdTime
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[inst.Run()]
	if e == nil {
		e = t.add(inst.Run())
	}
	e.until, e.at = later(e.until, now.Add(coldTime)), now
}

// RecordContact records an answer in which the endpoint does not state whether it is cold. An
// engine that was not reached before counts as cold for the time of a start.
func (t *Table) RecordContact(inst plank.Instance) {
	if t == nil || !t.any.Load() {
		return
	}
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[inst.Run()]; e != nil && e.unreached {
		e.unreached = false
		e.until, e.at = now.Add(t.service(inst.Service).ColdTime), now
	}
}

// Until returns the time until which an endpoint counts as cold, or the zero time if it is
// warm. It may be called on a nil table.
func (t *Table) Until(inst plank.Instance) time.Time {
	if t == nil || !t.any.Load() {
		return time.Time{}
	}
	service := t.service(inst.Service)
	if service.ColdRate <= 0 {
		return time.Time{}
	}
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[inst.Run()]
	switch {
	case e == nil:
		return time.Time{}
	case e.unreached:
		return now.Add(service.ColdTime)
	case !e.until.After(now):
		return time.Time{}
	}
	return e.until
}

// notBefore returns the earliest time of a request to a cold replica.
func (t *Table) notBefore(run plank.Run) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[run]; e != nil {
		return e.notBefore
	}
	return time.Time{}
}

// Count returns the number of endpoints that count as cold.
func (t *Table) Count() (n int) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.unreached || e.until.After(now) {
			n++
		}
	}
	return n
}

// Expire forgets the runs that have been warm for long, and those that are not registered.
func (t *Table) Expire(registered map[plank.EndpointID]plank.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	maps.DeleteFunc(t.entries, func(run plank.Run, e *entry) bool {
		old := now.Sub(e.at) > retention && !e.until.After(now)
		return old && !e.unreached || now.Sub(e.at) > maxDelay && registered[run.Endpoint].Run() != run
	})
	t.any.Store(len(t.entries) > 0)
}
