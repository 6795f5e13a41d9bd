package watch

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"knapweedplank.org/plank"
)

// SourceStore is the source of changes that this VM read itself.
const SourceStore = "store"

// A Batch is changes that were learned together.
type Batch struct {
	Changes []plank.Change
	// Source is SourceStore or the name of the peer that told of the changes.
	Source string
	// AfterOutage is set for a list after the store did not answer or had lost its
	// history.
	AfterOutage bool
}

// A Sink takes changes of the objects of one prefix, in order. It reports which
// of them matter to other VMs.
type Sink interface {
	Apply(Batch)
	// IsSignificant tells whether a change says something new beside counts.
	IsSignificant(c plank.Change) bool
}

// A Table holds the objects of the followed prefixes, from this VM's own calls
// and from what peers tell. Per object the newest revision wins, so the order
// in which sources tell of it does not matter. It is safe for concurrent use.
type Table struct {
	// changed is told the key of each change that matters.
	changed func(key string)

	mu    sync.Mutex
	sinks map[string]Sink // by prefix
	// objects holds the newest change of each key, deletions included.
	objects map[string]plank.Change
}

// NewTable returns an empty table.
func NewTable(changed func(key string)) *Table {
	return &Table{changed: changed, sinks: make(map[string]Sink), objects: make(map[string]plank.Change)}
}

// AddSink makes a sink take the objects of a prefix.
func (t *Table) AddSink(prefix string, sink Sink) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sinks[prefix] = sink
}

// ApplyList takes a list of all objects of a prefix as of a revision.
func (t *Table) ApplyList(prefix string, objects []plank.Object, rev plank.Revision, lost bool) {
	changes := make([]plank.Change, 0, len(objects))
	seen := make(map[string]bool, len(objects))
	for _, o := range objects {
		seen[o.Key] = true
		changes = append(changes, plank.Change{Object: o, Revision: plank.Revision(o.Version)})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(t.objects)) {
		known := t.objects[key]
		if strings.HasPrefix(key, prefix) && !seen[key] && known.Object.Version > 0 && known.Revision <= rev {
			changes = append(changes, plank.Change{Object: plank.Object{Key: key}, Revision: rev})
		}
	}
	t.apply(prefix, Batch{Changes: changes, Source: SourceStore, AfterOutage: lost})
}

// Apply takes changes of a prefix from the store.
func (t *Table) Apply(prefix string, changes []plank.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(prefix, Batch{Changes: changes, Source: SourceStore})
}

// ApplyFromPeer takes a change from a peer.
func (t *Table) ApplyFromPeer(peer plank.VMID, c plank.Change) { t.fetched(string(peer), c) }

// fetched takes a single change from a source.
func (t *Table) fetched(source string, c plank.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for prefix := range t.sinks {
		if strings.HasPrefix(c.Object.Key, prefix) {
			t.apply(prefix, Batch{Changes: []plank.Change{c}, Source: source})
		}
	}
}

// apply passes what is new to the sink. The lock is held.
func (t *Table) apply(prefix string, b Batch) {
	sink := t.sinks[prefix]
	if sink == nil {
		return
	}
	var fresh []plank.Change
	for _, c := range b.Changes {
		if known, ok := t.objects[c.Object.Key]; ok && c.Revision <= known.Revision {
			continue
		}
		if sink.IsSignificant(c) {
			defer t.changed(c.Object.Key)
		}
		t.objects[c.Object.Key] = c
		fresh = append(fresh, c)
	}
	if len(fresh) > 0 || b.AfterOutage {
		b.Changes = fresh
		sink.Apply(b)
	}
}

// follows tells whether a sink takes the objects of a key's prefix.
func (t *Table) follows(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for prefix := range t.sinks {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// Get returns the newest change of a key.
func (t *Table) Get(key string) plank.Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.objects[key]
}
