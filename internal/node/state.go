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
	// maxTold is the largest value that is told; of larger ones peers are told
	// that they changed, and fetch them.
	maxTold = 16 << 10
	// maxObjects bounds the values in a message of more than one object.
	maxObjects = 32 << 10
)

// A state composes what this VM tells the others and takes what they tell.
type state struct {
	changes atomic.Uint64
	wake    func() // sends changes soon
	view    *view.Holder
	tally   *limit.GossipLimiter
	flights *front.InFlight
	poison  *poison.Table
	table   *watch.Table
	news    *watchPolicy
	clock   plank.Clock
	peers   func() int // how many VMs are known
	fetcher *watch.Fetcher

	mu      sync.Mutex
	leaving bool
	cold    int
	duties  []*wire.Duty
	engines map[plank.EndpointID]engineChange
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

var _ mesh.LocalState = (*state)(nil)

// stamp numbers a change and wakes the mesh. It is called under the lock that
// guards what changed: a message composed meanwhile must not count the change
// as covered.
func (s *state) stamp() uint64 {
	n := s.changes.Add(1)
	s.wake()
	return n
}

// Gossip implements mesh.Local.
func (s *state) Gossip(opts mesh.GossipOptions) (*wire.Gossip, mesh.Covered) {
	covered := mesh.Covered{Change: s.changes.Load(), Objects: opts.AfterObjects}
	// Only the holders of duties need to know which adapters calls use.
	g := &wire.Gossip{NewsMicros: -1, Settled: s.tally.Settled(), Flights: s.flights.Messages(!opts.OmitEngineCalls)}
	if m := s.view.Load().Manifest; m != nil {
		g.Manifest = uint64(m.Version)
	}
	for _, u := range s.tally.ChangedSince(opts.AfterChange) {
		g.Usages = append(g.Usages, &wire.Usage{Workspace: string(u.Workspace), Tokens: int64(math.Round(float64(u.Total))), Level: int64(u.Level)})
	}
	if fresh := s.news.fresh(); !fresh.IsZero() && (opts.SameDomain || s.peers() < smallFleet) {
		if age := s.clock.Now().Sub(fresh); age < s.news.pace().oldest {
			g.Objects, covered.Objects = s.changedObjects(opts.AfterObjects, covered.Change)
			if covered.Objects == covered.Change {
				g.NewsMicros = age.Microseconds()
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Leaving, g.ColdLoads, g.Duties = s.leaving, uint32(s.cold), s.duties
	if !opts.OmitEngines {
		g.Engines = s.changedEngines(opts.AfterEngines)
	}
	for fp, c := range s.suspects {
		if c.change > opts.AfterChange {
			g.Suspects = append(g.Suspects, &wire.Suspect{
				Print: fmtPrint(fp), Crashes: uint32(c.entry.Crashes), Quarantined: c.entry.Quarantined, UntilUnix: c.entry.Until.Unix(),
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
		if i > 0 && size > maxObjects {
			return out, changes[keys[i-1]]
		}
		out = append(out, o)
	}
	return out, last
}

// storedObject returns a change as peers are told of it, without a large value.
func storedObject(c plank.Change) *wire.StoredObject {
	o := &wire.StoredObject{Key: c.Object.Key, Version: uint64(c.Object.Version), Revision: uint64(c.Revision)}
	if len(c.Object.Value) > maxTold {
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
	s.objects[key] = s.stamp()
}

// Merge implements mesh.Local.
func (s *state) Merge(vm plank.VMID, boot plank.BootID, g *wire.Gossip) {
	usages := make([]limit.Usage, 0, len(g.Usages))
	for _, u := range g.Usages {
		usages = append(usages, limit.Usage{
			Workspace: plank.WorkspaceID(u.Workspace), Total: plank.Tokens(u.Tokens), Level: plank.Tokens(u.Level),
		})
	}
	s.tally.MergeUsages(vm, boot, g.Settled, usages)
	for _, o := range g.Objects {
		if o.Size > 0 {
			s.fetcher.HandleAnnouncement(vm, o.Key, plank.Revision(o.Revision))
			continue
		}
		s.table.ApplyFromPeer(vm, plank.Change{
			Object:   plank.Object{Key: o.Key, Value: o.Value, Version: plank.ObjectVersion(o.Version)},
			Revision: plank.Revision(o.Revision),
		})
	}
	for _, x := range g.Suspects {
		s.poison.Merge(suspectEntry(x))
	}
}

// setEngine tells the others the state of an engine; nil ends it.
func (s *state) setEngine(id plank.EndpointID, e *wire.EngineState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines[id] = engineChange{state: e, change: s.stamp()}
}

// setSuspect tells the others of a request that crashed an endpoint.
func (s *state) setSuspect(e poison.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects[e.Print] = suspectChange{entry: e, change: s.stamp()}
}

// setDuties tells the others which domains this VM has the duty of.
func (s *state) setDuties(duties []*wire.Duty) {
	s.mu.Lock()
	changed := len(duties) != len(s.duties)
	s.duties = duties
	s.mu.Unlock()
	if changed {
		s.stamp()
	}
}

// held returns how many duties this VM has.
func (s *state) held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.duties)
}

func (s *state) setLeaving() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.stamp()
}

func (s *state) setCold(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = n
}
