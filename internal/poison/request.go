package poison

import (
	"maps"
	"slices"
	"sync"
	"time"

	"knapweedplank.org/plank"
)

const (
	// requestCrashes is the number of crashes after which a request is quarantined that was
	// never served, and servedRequestCrashes that for one which was.
	requestCrashes       = 3
	servedRequestCrashes = 5
	// MaxRequestObservations bounds the observations of a RequestTable.
	MaxRequestObservations = 1024
)

// A RequestTable finds the requests that crash endpoints: such a request is on endpoint after
// endpoint when they crash, and is never served. Requests that are sound are beside crashes
// too, several equal ones at once if many callers ask for the same, but they are served
// before or afterwards. It is safe for concurrent use.
type RequestTable struct {
	clock plank.Clock
	// onChange is called, without the table's lock, with the observations that are new
	// or were changed.
	onChange func([]Observation)

	mu sync.Mutex
	// observations holds, for each request, those of the crashes of different runs, in
	// order of their time. No list is empty.
	observations map[plank.Fingerprint][]Observation
	count        int // of all observations
	served       recentSet[plank.Fingerprint]
}

// NewRequestTable returns an empty table.
func NewRequestTable(clock plank.Clock, onChange func([]Observation)) *RequestTable {
	return &RequestTable{clock: clock, onChange: onChange, observations: make(map[plank.Fingerprint][]Observation)}
}

// RecordCrash records that a run of an endpoint crashed before the answer to the request with
// the given fingerprint began. Equal requests on the same run count once.
func (t *RequestTable) RecordCrash(c plank.Run, fp plank.Fingerprint) {
	t.Merge([]Observation{{Crash: c, Print: fp, At: t.clock.Now()}})
}

// Merge merges observations, of this VM or of another.
func (t *RequestTable) Merge(others []Observation) {
	var changed []Observation
	t.mu.Lock()
	now := t.clock.Now()
	for _, other := range others {
		if other.IsExpired(now) {
			continue
		}
		if o, ok := t.merge(other); ok {
			changed = append(changed, o)
		}
	}
	t.mu.Unlock()
	if len(changed) > 0 {
		t.onChange(changed)
	}
}

// merge adds an observation, or merges it with the known one of the same request and crash. It
// returns the result and reports whether it is new or changed. The lock is held.
func (t *RequestTable) merge(other Observation) (Observation, bool) {
	known := t.observations[other.Print]
	i := slices.IndexFunc(known, func(o Observation) bool { return o.Crash == other.Crash })
	if i >= 0 {
		before := known[i]
		known[i] = before.Merged(other)
		return known[i], known[i] != before
	}
	if len(known) >= maxOpen {
		return other, false
	}
	if t.count >= MaxRequestObservations {
		t.evict()
		known = t.observations[other.Print]
	}
	other.BegunBefore = other.BegunBefore || t.served.has(other.Print)
	known = append(known, other)
	slices.SortStableFunc(known, func(a, b Observation) int { return a.At.Compare(b.At) })
	t.observations[other.Print] = known
	t.count++
	return other, true
}

// evict removes the observations of the request whose last crash is the oldest. The lock is held.
func (t *RequestTable) evict() {
	var victim plank.Fingerprint
	var oldest time.Time
	for fp, known := range t.observations {
		if last := known[len(known)-1].At; oldest.IsZero() || last.Before(oldest) {
			victim, oldest = fp, last
		}
	}
	t.count -= len(t.observations[victim])
	delete(t.observations, victim)
}

// RecordServed records that the request was served. The crashes that it was beside had
// another cause.
func (t *RequestTable) RecordServed(fp plank.Fingerprint) {
	var changed []Observation
	t.mu.Lock()
	t.served.add(fp)
	for i := range t.observations[fp] {
		if o := &t.observations[fp][i]; !o.Cleared {
			o.Cleared = true
			changed = append(changed, *o)
		}
	}
	t.mu.Unlock()
	if len(changed) > 0 {
		t.onChange(changed)
	}
}

// Lookup returns the number of crashes that the request may have caused, and reports whether it
// is quarantined.
func (t *RequestTable) Lookup(fp plank.Fingerprint) (crashes int, quarantined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	needed := requestCrashes
	var counted time.Time // time of the last crash that counted
	for _, o := range t.observations[fp] {
		if o.BegunBefore {
			needed = servedRequestCrashes
		}
		if o.Cleared || o.IsExpired(now) || crashes > 0 && o.At.Sub(counted) < crashSpacing {
			continue
		}
		crashes++
		counted = o.At
	}
	return crashes, crashes >= needed
}

// Expire removes the observations whose time has passed.
func (t *RequestTable) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for fp, known := range t.observations {
		kept := slices.DeleteFunc(known, func(o Observation) bool { return o.IsExpired(now) })
		t.count -= len(known) - len(kept)
		t.observations[fp] = kept
	}
	maps.DeleteFunc(t.observations, func(_ plank.Fingerprint, known []Observation) bool { return len(known) == 0 })
}
