package node

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/front"
	"knapweedplank.org/plank/internal/limit"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/poison"
	"knapweedplank.org/plank/internal/view"
	"knapweedplank.org/plank/internal/watch"
	"knapweedplank.org/plank/internal/wire"
)

// The sizes of what a message tells of the store's objects, in bytes. A VM sends
// to all others of its domain, some twenty, on a link of 10 Mbit/s in the users'
// grown sites, and heartbeats wait meanwhile.
const (
	// maxInlineBytes is the largest value that is told; of larger ones peers are told
	// that they changed, and fetch them.
	maxInlineBytes = 16 << 10
	// maxObjectsBytes bounds the values in a message of more than one object.
	maxObjectsBytes = 32 << 10
)

// A state composes what this VM tells the others and takes what they tell.
type state struct {
	changes     atomic.Uint64
	wake        func() // sends changes soon
	view        *view.Holder
	tally       *limit.Tally
	flights     *front.Flights
	poison      *poison.Table
	table       *watch.Table
	watchPolicy *watchPolicy
	clock       plank.Clock
	fleetSize   func() int // how many VMs are known
	fetcher     *watch.Fetcher

	mu          sync.Mutex
	draining    bool
	weightLoads int
	duties      []*wire.Duty
	engines     map[plank.EndpointID]engineChange
	// objects holds the numbers of the changes of the store's objects.
	objects map[string]uint64
	// suspects holds the numbers of the changes of poison entries.
	suspects map[plank.Fingerprint]suspectChange
}

type engineChange struct {
	state  *wire.EngineState
	change uint64
}

type suspectChange struct {
	entry  poison.Entry
	change uint64
}

var _ mesh.Local = (*state)(nil)

// recordChange numbers a change and wakes the mesh. It is called under the lock that
// guards what changed: a message composed meanwhile must not count the change
// as covered.
func (s *state) recordChange() uint64 {
	n := s.changes.Add(1)
	s.wake()
	return n
}

// Gossip implements mesh.Local.
func (s *state) Gossip(after mesh.After) (*wire.Gossip, mesh.Covered) {
	covered := mesh.Covered{Change: s.changes.Load(), Objects: after.Objects}
	// Only the holders of duties need to know which adapters calls use.
	g := &wire.Gossip{NewsMicros: -1, Settled: s.tally.Settled(), Flights: s.flights.All(!after.Brief)}
	if m := s.view.Load().Manifest; m != nil {
		g.Manifest = uint64(m.Version)
	}
	for _, u := range s.tally.Changed(after.Change) {
		g.Usages = append(g.Usages, &wire.Usage{Workspace: string(u.Workspace), Tokens: int64(math.Round(float64(u.Total))), Level: int64(u.Level)})
	}
	if fresh := s.watchPolicy.lastAnswer(); !fresh.IsZero() && (after.Near || s.fleetSize() < smallFleet) {
		if age := s.clock.Now().Sub(fresh); age < s.watchPolicy.timing().maxAge {
			g.Objects, covered.Objects = s.changedObjects(after.Objects, covered.Change)
			if covered.Objects == covered.Change {
				g.NewsMicros = age.Microseconds()
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Leaving, g.ColdLoads, g.Duties = s.draining, uint32(s.weightLoads), s.duties
	if !after.Withhold {
		g.Engines = s.changedEngines(after.Engines)
	}
	for fp, c := range s.suspects {
		if c.change > after.Change {
			g.Suspects = append(g.Suspects, &wire.Suspect{
				Print: formatFingerprint(fp), Crashes: uint32(c.entry.Crashes), Quarantined: c.entry.Quarantined, UntilUnix: c.entry.Until.Unix(),
			})
		}
	}
	return g, covered
}

// changedEngines returns the states that changed. The lock is held.
func (s *state) changedEngines(after uint64) []*wire.EngineState {
	var out []*wire.EngineState
	for id, e := range s.engines {
		if e.change <= after {
			continue
		}
		if e.state != nil {
			out = append(out, e.state)
		} else {
			out = append(out, &wire.EngineState{Endpoint: string(id), Gone: true})
		}
	}
	return out
}

// changedObjects returns the objects of the store that changed after one change
// and up to another, in the order of their changes, as many as fit a message. It
// returns the last change that is covered.
func (s *state) changedObjects(after, last uint64) ([]*wire.StoredObject, uint64) {
	s.mu.Lock()
	var keys []string
	changes := make(map[string]uint64)
	for key, change := range s.objects {
		if change > after {
			keys = append(keys, key)
			changes[key] = change
		}
	}
	s.mu.Unlock()
	slices.SortFunc(keys, func(a, b string) int { return cmp.Compare(changes[a], changes[b]) })
	var out []*wire.StoredObject
	size := 0
	for i, key := range keys {
		o := storedObject(s.table.Get(key))
		size += len(o.Value)
		if i > 0 && size > maxObjectsBytes {
			return out, changes[keys[i-1]]
		}
		out = append(out, o)
	}
	return out, last
}

// storedObject returns a change as peers are told of it, without a large value.
func storedObject(c plank.Change) *wire.StoredObject {
	o := &wire.StoredObject{Key: c.Object.Key, Version: uint64(c.Object.Version), Revision: uint64(c.Revision)}
	if len(c.Object.Value) > maxInlineBytes {
		o.Size = uint64(len(c.Object.Value))
	} else {
		o.Value = c.Object.Value
	}
	return o
}

// setObject tells the others that an object of the store changed. It is called
// once the change is in the table.
func (s *state) setObject(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[key] = s.recordChange()
}

// Merge implements mesh.Local.
func (s *state) Merge(vm plank.VMID, boot plank.BootID, g *wire.Gossip) {
	usages := make([]limit.Usage, 0, len(g.Usages))
	for _, u := range g.Usages {
		usages = append(usages, limit.Usage{
			Workspace: plank.WorkspaceID(u.Workspace), Total: plank.Tokens(u.Tokens), Level: plank.Tokens(u.Level),
		})
	}
	s.tally.Heard(vm, boot, g.Settled, usages)
	for _, o := range g.Objects {
		if o.Size > 0 {
			s.fetcher.Announced(vm, o.Key, plank.Revision(o.Revision))
			continue
		}
		s.table.Told(vm, plank.Change{
			Object:   plank.Object{Key: o.Key, Value: o.Value, Version: plank.ObjectVersion(o.Version)},
			Revision: plank.Revision(o.Revision),
		})
	}
	for _, x := range g.Suspects {
		s.poison.Merge(decodeSuspect(x))
	}
}

// setEngine tells the others the state of an engine; nil ends it.
func (s *state) setEngine(id plank.EndpointID, e *wire.EngineState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines[id] = engineChange{state: e, change: s.recordChange()}
}

// setSuspect tells the others of a request that crashed an endpoint.
func (s *state) setSuspect(e poison.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects[e.Print] = suspectChange{entry: e, change: s.recordChange()}
}

// setDuties tells the others which domains this VM has the duty of.
func (s *state) setDuties(duties []*wire.Duty) {
	s.mu.Lock()
	changed := len(duties) != len(s.duties)
	s.duties = duties
	s.mu.Unlock()
	if changed {
		s.recordChange()
	}
}

// dutyCount returns how many duties this VM has.
func (s *state) dutyCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.duties)
}

func (s *state) setDraining() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.recordChange()
}

func (s *state) setWeightLoads(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weightLoads = n
}
