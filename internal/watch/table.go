package watch

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"knapweedplank.org/plank"
)

// SourceStore is the source of changes that this VM read from the store.
const SourceStore = "store"

// A Batch is a group of changes from one list, watch or message.
type Batch struct {
	Changes []plank.Change
	// Source is SourceStore or the name of the peer that sent the changes.
	Source string
	// OutageEnd is set for a list after the store was unavailable or its history had been
	// truncated: the store was available again at this time at the latest.
	OutageEnd time.Time
}

// A Sink receives the changes of the objects of one prefix, in order. It reports which
// of them are to be sent to other VMs.
type Sink interface {
	Apply(Batch)
	// IsSignificant reports whether a change is to be sent to other VMs.
	IsSignificant(c plank.Change) bool
}

// A Table holds the objects of the watched prefixes, from this VM's own calls and
// from updates of peers. Per object the newest revision wins, so the order in which
// sources deliver changes does not matter. It is safe for concurrent use.
type Table struct {
	// onChange is called with the key of each significant change.
	onChange func(key string)

	mu    sync.Mutex
	sinks map[string]Sink // by prefix
	// objects holds the newest change of each key, deletions included.
	objects map[string]plank.Change
}

// NewTable returns an empty table that calls onChange for each significant change.
func NewTable(onChange func(key string)) *Table {
	return &Table{onChange: onChange, sinks: make(map[string]Sink), objects: make(map[string]plank.Change)}
}

// AddSink sets the sink for the objects of a prefix.
func (t *Table) AddSink(prefix string, sink Sink) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sinks[prefix] = sink
}

// ApplyList applies a list of all objects of a prefix as of a revision. Known objects
// that it lacks are deleted. outageEnd is as in Batch.
func (t *Table) ApplyList(prefix string, objects []plank.Object, rev plank.Revision, outageEnd time.Time) {
	changes := make([]plank.Change, 0, len(objects))
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Key] = true
		changes = append(changes, plank.Change{Object: o, Revision: plank.Revision(o.Version)})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(t.objects)) {
		known := t.objects[key]
		if strings.HasPrefix(key, prefix) && !listed[key] && known.Object.Version > 0 && known.Revision <= rev {
			changes = append(changes, plank.Change{Object: plank.Object{Key: key}, Revision: rev})
		}
	}
	t.apply(prefix, Batch{Changes: changes, Source: SourceStore, OutageEnd: outageEnd})
}

// Apply applies changes of a prefix from the store.
func (t *Table) Apply(prefix string, changes []plank.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(prefix, Batch{Changes: changes, Source: SourceStore})
}

// ApplyFromPeer applies a change from a peer.
func (t *Table) ApplyFromPeer(peer plank.VMID, c plank.Change) { t.applySingle(string(peer), c) }

// applySingle applies a single change from a source.
func (t *Table) applySingle(source string, c plank.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for prefix := range t.sinks {
		if strings.HasPrefix(c.Object.Key, prefix) {
			t.apply(prefix, Batch{Changes: []plank.Change{c}, Source: source})
		}
	}
}

// apply records the changes that are newer than the known ones and passes them to the
// sink. The lock is held.
func (t *Table) apply(prefix string, b Batch) {
	sink := t.sinks[prefix]
	if sink == nil {
		return
	}
	var newer []plank.Change
	for _, c := range b.Changes {
		if known, ok := t.objects[c.Object.Key]; ok && c.Revision <= known.Revision {
			continue
		}
		if sink.IsSignificant(c) {
			defer t.onChange(c.Object.Key)
		}
		t.objects[c.Object.Key] = c
		newer = append(newer, c)
	}
	if len(newer) > 0 || !b.OutageEnd.IsZero() {
		b.Changes = newer
		sink.Apply(b)
	}
}

// hasSink reports whether there is a sink for the key.
func (t *Table) hasSink(key string) bool {
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
