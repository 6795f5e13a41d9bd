package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"knapweedplank.org/plank"
)

const (
	// partCrashes is the number of crashes after which a prompt part is quarantined that
	// no answer has begun with, and that explains them better than the parts beside it.
	partCrashes = 3
	// contestedPartCrashes is that number for a part with which answers had begun before,
	// or that explains no more crashes than another.
	contestedPartCrashes = 5
	// crashSpacing is the time between two crashes of which both count. Crashes at the
	// same moment have one cause, such as the loss of a rack.
	crashSpacing = 200 * time.Millisecond
	// observationTTL is how long an observation counts.
	observationTTL = time.Hour
	// MaxObservations bounds the observations of a PartTable, all of which are sent to a VM
	// that starts, and maxOpen those of one part that are not cleared.
	MaxObservations = 512
	maxOpen         = 16
)

// An Observation records that a request was on an endpoint, and its answer had not begun, when
// the endpoint crashed. It is one of the request itself, or of a part of its prompt.
type Observation struct {
	// Part is empty in an observation of the request itself.
	Part plank.PartID
	// Crash is the run of the endpoint that the crash ended.
	Crash plank.Run
	// Print is the fingerprint of the request.
	Print plank.Fingerprint
	// BegunBefore is set if an answer to another request with the part, or to an equal
	// request, had begun before.
	BegunBefore bool
	// Cleared is set once such an answer has begun since. The part, or the request, does not
	// crash endpoints then.
	Cleared bool
	// At is the time of the crash.
	At time.Time
}

// An ObservationKey identifies an observation on all VMs. Print is empty in that of a part.
type ObservationKey struct {
	Part  plank.PartID
	Crash plank.Run
	Print plank.Fingerprint
}

// Key returns the observation's key.
func (o Observation) Key() ObservationKey {
	if o.Part == "" {
		return ObservationKey{Crash: o.Crash, Print: o.Print}
	}
	return ObservationKey{Part: o.Part, Crash: o.Crash}
}

// Merged returns the observation with what another record of it tells. It does not matter
// which of the two is older.
func (o Observation) Merged(other Observation) Observation {
	o.BegunBefore = o.BegunBefore || other.BegunBefore
	o.Cleared = o.Cleared || other.Cleared
	return o
}

// IsExpired reports whether the observation no longer counts.
func (o Observation) IsExpired(now time.Time) bool { return now.Sub(o.At) >= observationTTL }

// A PartTable finds the prompt parts that crash endpoints: a part that crashes each
// endpoint that begins to answer a request with it is present in each of these crashes,
// and no answer with it goes on. An answer counts as begun here once it has gone on for a
// while after its first event. It is safe for concurrent use.
type PartTable struct {
	clock plank.Clock
	// onChange is called, without the table's lock, with the observations that are new
	// or were changed.
	onChange func([]Observation)
	// onQuarantine is called, without the table's lock, when a quarantine begins or ends.
	onQuarantine func(q Quarantine, begins bool)

	mu           sync.Mutex
	observations map[ObservationKey]*Observation
	// open holds the observations that are not cleared, by part, in order of their time.
	// No list is empty.
	open map[plank.PartID][]*Observation
	// begun holds the parts with which answers have begun.
	begun recentSet[plank.PartID]
	// quarantined is replaced, not modified.
	quarantined []Quarantine
}

// A Quarantine holds the parts of a prompt that were present in the same crashes. Requests
// with all of them are refused. Requests with some of them show which part is to blame.
type Quarantine struct {
	Parts   []plank.PartID // in alphabetical order
	Crashes int
}

// applies reports whether a request with the given parts is refused.
func (q *Quarantine) applies(parts []plank.PartID) bool {
	return !slices.ContainsFunc(q.Parts, func(part plank.PartID) bool { return !slices.Contains(parts, part) })
}

// equals reports whether two quarantines are of the same parts.
func (q *Quarantine) equals(other Quarantine) bool { return slices.Equal(q.Parts, other.Parts) }

// NewPartTable returns an empty table.
func NewPartTable(clock plank.Clock, onChange func([]Observation), onQuarantine func(q Quarantine, begins bool)) *PartTable {
	return &PartTable{
		clock: clock, onChange: onChange, onQuarantine: onQuarantine,
		observations: make(map[ObservationKey]*Observation), open: make(map[plank.PartID][]*Observation),
	}
}

// RecordCrash records that an endpoint crashed before the answer to a request with the
// given parts began.
func (t *PartTable) RecordCrash(c plank.Run, fp plank.Fingerprint, parts []plank.PartID) {
	t.update(func(now time.Time) []Observation {
		var changed []Observation
		for _, part := range parts {
			if o, ok := t.merge(Observation{Part: part, Crash: c, Print: fp, At: now}); ok {
				changed = append(changed, o)
			}
		}
		return changed
	})
}

// Merge merges observations of another VM.
func (t *PartTable) Merge(others []Observation) {
	t.update(func(now time.Time) []Observation {
		var changed []Observation
		for _, other := range others {
			if other.IsExpired(now) {
				continue
			}
			if o, ok := t.merge(other); ok {
				changed = append(changed, o)
			}
		}
		return changed
	})
}

// RecordBegun records that the answer to a request with the given parts has begun.
func (t *PartTable) RecordBegun(parts []plank.PartID) {
	t.update(func(time.Time) []Observation {
		var changed []Observation
		for _, part := range parts {
			t.begun.add(part)
			for _, o := range t.open[part] {
				o.Cleared = true
				changed = append(changed, *o)
			}
			delete(t.open, part)
		}
		return changed
	})
}

// Expire removes the observations whose time has passed.
func (t *PartTable) Expire() {
	t.update(func(now time.Time) []Observation {
		for key, o := range t.observations {
			if o.IsExpired(now) {
				t.remove(key)
			}
		}
		return nil
	})
}

// Lookup returns the quarantine that applies to a request with the given parts, if there
// is one.
func (t *PartTable) Lookup(parts []plank.PartID) (Quarantine, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, q := range t.quarantined {
		if q.applies(parts) {
			return q, true
		}
	}
	return Quarantine{}, false
}

// Quarantines returns all quarantines.
func (t *PartTable) Quarantines() []Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.quarantined)
}

// update applies f, which returns the observations that it added or changed, and then
// updates the quarantine.
func (t *PartTable) update(f func(now time.Time) []Observation) {
	t.mu.Lock()
	known := len(t.observations)
	changed := f(t.clock.Now())
	before := t.quarantined
	if len(changed) > 0 || len(t.observations) != known {
		t.quarantined = t.culprits()
	}
	after := t.quarantined
	t.mu.Unlock()
	if len(changed) > 0 {
		t.onChange(changed)
	}
	for _, q := range after {
		if !slices.ContainsFunc(before, q.equals) {
			t.onQuarantine(q, true)
		}
	}
	for _, q := range before {
		if !slices.ContainsFunc(after, q.equals) {
			t.onQuarantine(q, false)
		}
	}
}

// merge adds an observation, or merges it with the known one of the same part and crash.
// It returns the result and reports whether it is new or changed. The lock is held.
func (t *PartTable) merge(other Observation) (Observation, bool) {
	key := other.Key()
	o := t.observations[key]
	if o == nil {
		if !other.Cleared && len(t.open[other.Part]) >= maxOpen {
			return other, false
		}
		if len(t.observations) >= MaxObservations {
			t.evict()
		}
		other.BegunBefore = other.BegunBefore || t.begun.has(other.Part)
		o = &other
		t.observations[key] = o
		if !o.Cleared {
			t.open[o.Part] = append(t.open[o.Part], o)
			slices.SortStableFunc(t.open[o.Part], func(a, b *Observation) int { return a.At.Compare(b.At) })
		}
		return other, true
	}
	before := *o
	*o = o.Merged(other)
	if o.Cleared && !before.Cleared {
		t.close(o)
	}
	return *o, *o != before
}

// close removes an observation from those that are not cleared. The lock is held.
func (t *PartTable) close(o *Observation) {
	rest := slices.DeleteFunc(t.open[o.Part], func(other *Observation) bool { return other == o })
	if len(rest) == 0 {
		delete(t.open, o.Part)
	} else {
		t.open[o.Part] = rest
	}
}

// remove removes an observation. The lock is held.
func (t *PartTable) remove(key ObservationKey) {
	t.close(t.observations[key])
	delete(t.observations, key)
}

// evict removes one observation, a cleared one if there is any. The lock is held.
func (t *PartTable) evict() {
	var victim ObservationKey
	for key, o := range t.observations {
		victim = key
		if o.Cleared {
			break
		}
	}
	t.remove(victim)
}

// A suspect is a part with the crashes in its open observations that no quarantine
// explains.
type suspect struct {
	part    plank.PartID
	crashes map[plank.Run]struct{}
	// count is the number of crashes without those at the same moment. It is 0 if all are
	// of one request, which is quarantined by its fingerprint.
	count       int
	begunBefore bool // answers with the part had begun before
}

// culprits returns the quarantines that explain the open observations, those with the most
// crashes first. The lock is held.
func (t *PartTable) culprits() []Quarantine {
	var found []Quarantine
	for {
		var suspects []suspect
		for part, open := range t.open {
			if s := t.suspect(part, open, found); s.count > 0 {
				suspects = append(suspects, s)
			}
		}
		slices.SortFunc(suspects, func(a, b suspect) int {
			return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.part, b.part))
		})
		var next []Quarantine
		for _, s := range suspects {
			if len(next) > 0 && s.count < next[0].Crashes {
				break
			}
			if q := s.quarantine(suspects); s.isCulprit(suspects) && !slices.ContainsFunc(next, q.equals) {
				next = append(next, q)
			}
		}
		if len(next) == 0 {
			return found
		}
		found = append(found, next...)
	}
}

// suspect summarizes the open observations of a part. The lock is held.
func (t *PartTable) suspect(part plank.PartID, open []*Observation, found []Quarantine) suspect {
	s := suspect{part: part, crashes: make(map[plank.Run]struct{})}
	requests := make(map[plank.Fingerprint]struct{})
	var counted time.Time // time of the last crash that counted
	for _, o := range open {
		if t.isExplained(o.Crash, found) {
			continue
		}
		s.crashes[o.Crash] = struct{}{}
		requests[o.Print] = struct{}{}
		s.begunBefore = s.begunBefore || o.BegunBefore
		if s.count == 0 || o.At.Sub(counted) >= crashSpacing {
			s.count++
			counted = o.At
		}
	}
	if len(requests) < 2 {
		s.count = 0
	}
	return s
}

// isExplained reports whether the parts of one of the found quarantines were present in a
// crash. The lock is held.
func (t *PartTable) isExplained(c plank.Run, found []Quarantine) bool {
	return slices.ContainsFunc(found, func(q Quarantine) bool {
		return !slices.ContainsFunc(q.Parts, func(part plank.PartID) bool {
			o := t.observations[ObservationKey{Part: part, Crash: c}]
			return o == nil || o.Cleared
		})
	})
}

// quarantine returns the quarantine of the suspect and of those that were present in the same
// crashes.
func (s *suspect) quarantine(suspects []suspect) Quarantine {
	q := Quarantine{Crashes: s.count}
	for _, other := range suspects {
		if other.begunBefore == s.begunBefore && maps.Equal(other.crashes, s.crashes) {
			q.Parts = append(q.Parts, other.part)
		}
	}
	return q
}

// isCulprit reports whether a part explains its crashes better than the other suspects. Parts
// with which answers had begun before explain less than others, and parts that were present in
// the same crashes explain as much.
func (s *suspect) isCulprit(suspects []suspect) bool {
	if s.count < partCrashes {
		return false
	}
	contested := s.begunBefore
	for _, other := range suspects {
		if other.begunBefore && !s.begunBefore || maps.Equal(s.crashes, other.crashes) || !s.sharesCrash(other) {
			continue
		}
		if other.count > s.count {
			return false
		}
		contested = contested || other.count == s.count
	}
	return !contested || s.count >= contestedPartCrashes
}

// sharesCrash reports whether both parts were present in one crash.
func (s *suspect) sharesCrash(other suspect) bool {
	for c := range s.crashes {
		if _, ok := other.crashes[c]; ok {
			return true
		}
	}
	return false
}
