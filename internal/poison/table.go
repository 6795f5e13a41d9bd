// Package poison defines how a request that crashes endpoints is contained:
// what ran on an endpoint as it crashed is suspect and then runs alone, and
// what crashed an endpoint again is quarantined on all VMs.
package poison

import (
	"sync"
	"time"

	"knapweedplank.org/plank"
)

// The rules of containment.
const (
	// MaxCrashes is after how many crashes a request is quarantined even if it
	// never ran alone.
	MaxCrashes = 3
	// EntryTTL is how long a suspect or quarantined request is remembered.
	EntryTTL = 24 * time.Hour
	// maxEntries bounds the table; suspects are forgotten before quarantined.
	maxEntries = 4096
)

// An Entry is what is known of one request.
type Entry struct {
	Print       plank.Fingerprint
	Crashes     int
	Quarantined bool
	Until       time.Time
}

// A Table holds suspects and quarantined requests. It is safe for concurrent
// use.
type Table struct {
	clock plank.Clock

	mu      sync.Mutex
	entries map[plank.Fingerprint]Entry
	changed func(Entry)
}

// New returns an empty table. changed, if not nil, is told of entries that were
// learned on this VM, outside the table's lock.
func New(clock plank.Clock, changed func(Entry)) *Table {
	return &Table{clock: clock, entries: make(map[plank.Fingerprint]Entry), changed: changed}
}

// RecordCrash records that an endpoint crashed while the given requests ran.
func (t *Table) RecordCrash(prints []plank.Fingerprint) {
	alone := len(prints) == 1
	for _, print := range prints {
		t.mu.Lock()
		e := t.entries[print]
		e.Print = print
		e.Crashes++
		e.Quarantined = e.Quarantined || alone && e.Crashes >= 2 || e.Crashes >= MaxCrashes
		e.Until = t.clock.Now().Add(EntryTTL)
		t.put(e)
		t.mu.Unlock()
		if t.changed != nil {
			t.changed(e)
		}
	}
}

// Merge takes what another VM knows. Counts and verdicts only rise.
func (t *Table) Merge(other Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !other.Until.After(t.clock.Now()) {
		return
	}
	e := t.entries[other.Print]
	e.Print = other.Print
	e.Crashes = max(e.Crashes, other.Crashes)
	e.Quarantined = e.Quarantined || other.Quarantined
	if other.Until.After(e.Until) {
		e.Until = other.Until
	}
	t.put(e)
}

// put stores an entry within the bound. The lock is held.
func (t *Table) put(e Entry) {
	if _, ok := t.entries[e.Print]; !ok && len(t.entries) >= maxEntries {
		t.evict()
	}
	t.entries[e.Print] = e
}

// evict forgets a suspect, or any entry if all are quarantined.
func (t *Table) evict() {
	var victim plank.Fingerprint
	for print, e := range t.entries {
		victim = print
		if !e.Quarantined {
			break
		}
	}
	delete(t.entries, victim)
}

// Lookup returns what is known of a request.
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

// Entries returns up to n entries for other VMs, quarantined ones first.
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
