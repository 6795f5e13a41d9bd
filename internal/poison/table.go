// Package poison contains requests that crash endpoints. Requests that run on an
// endpoint when it crashes become suspects, each of which then runs alone. A request
// that crashes an endpoint again is quarantined on all VMs.
package poison

import (
	"sync"
	"time"

	"knapweedplank.org/plank"
)

const (
	// MaxCrashes is the number of crashes after which a request is quarantined
	// even if it never ran alone.
	MaxCrashes = 3
	// EntryTTL is how long an entry is kept after the last crash.
	EntryTTL = 24 * time.Hour
	// maxEntries bounds the table; suspects are evicted before quarantined
	// requests.
	maxEntries = 4096
)

// An Entry is the crash record of one request. Print is its fingerprint.
type Entry struct {
	Print       plank.Fingerprint
	Crashes     int
	Quarantined bool
	Until       time.Time
}

// A Table holds suspect and quarantined requests. It is safe for concurrent
// use.
type Table struct {
	clock plank.Clock

	mu       sync.Mutex
	entries  map[plank.Fingerprint]Entry
	onChange func(Entry)
}

// New returns an empty table. onChange, if not nil, is called with each entry that
// RecordCrash changes, without the table's lock.
func New(clock plank.Clock, onChange func(Entry)) *Table {
	return &Table{clock: clock, entries: make(map[plank.Fingerprint]Entry), onChange: onChange}
}

// RecordCrash records that an endpoint crashed while the given requests ran. alone is set
// if no other request ran on the endpoint; the request is then quarantined at its second
// crash.
func (t *Table) RecordCrash(fingerprints []plank.Fingerprint, alone bool) {
	for _, fingerprint := range fingerprints {
		t.mu.Lock()
		e := t.entries[fingerprint]
		e.Print = fingerprint
		e.Crashes++
		e.Quarantined = e.Quarantined || alone && e.Crashes >= 2 || e.Crashes >= MaxCrashes
		e.Until = t.clock.Now().Add(EntryTTL)
		t.put(e)
		t.mu.Unlock()
		if t.onChange != nil {
			t.onChange(e)
		}
	}
}

// Merge merges an entry of another VM. The crash count, Quarantined and Until are
// never lowered. It returns the merged entry and reports whether it has changed.
func (t *Table) Merge(other Entry) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[other.Print]
	if !other.Until.After(t.clock.Now()) {
		return e, false
	}
	before := e
	e.Print = other.Print
	e.Crashes = max(e.Crashes, other.Crashes)
	e.Quarantined = e.Quarantined || other.Quarantined
	if other.Until.After(e.Until) {
		e.Until = other.Until
	}
	t.put(e)
	return e, e != before
}

// put stores an entry, evicting another if the table is full. The lock is held.
func (t *Table) put(e Entry) {
	if _, ok := t.entries[e.Print]; !ok && len(t.entries) >= maxEntries {
		t.evict()
	}
	t.entries[e.Print] = e
}

// evict removes a suspect, or any entry if all are quarantined. The lock is held.
func (t *Table) evict() {
	var victim plank.Fingerprint
	for fingerprint, e := range t.entries {
		victim = fingerprint
		if !e.Quarantined {
			break
		}
	}
	delete(t.entries, victim)
}

// Lookup returns the entry of a request, if there is one that has not expired.
func (t *Table) Lookup(fp plank.Fingerprint) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[fp]
	if ok && !e.Until.After(t.clock.Now()) {
		delete(t.entries, fp)
		return Entry{}, false
	}
	return e, ok
}

// Entries returns up to n entries, quarantined ones first.
func (t *Table) Entries(n int) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var quarantined, suspects []Entry
	for _, e := range t.entries {
		if e.Quarantined {
			quarantined = append(quarantined, e)
		} else {
			suspects = append(suspects, e)
		}
	}
	all := append(quarantined, suspects...)
	return all[:min(n, len(all))]
}
