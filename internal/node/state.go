package node

import (
	"math"
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

// A state composes what this VM tells the others and takes what they tell.
type state struct {
	changes atomic.Uint64
	wake    func() // sends changes soon
	view    *view.Holder
	tally   *limit.Tally
	flights *front.Flights
	poison  *poison.Table
	table   *watch.Table
	news    *watchPolicy
	clock   plank.Clock
	peers   func() int // how many VMs are known

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

var _ mesh.Local = (*state)(nil)

// stamp numbers a change and wakes the mesh. It is called under the lock that
// guards what changed: a message composed meanwhile must not count the change
// as covered.
func (s *state) stamp() uint64 {
	n := s.changes.Add(1)
	s.wake()
	return n
}

// Gossip implements mesh.Local.
func (s *state) Gossip(after mesh.After) (*wire.Gossip, uint64) {
	last := s.changes.Load()
	// Only the holders of duties need to know which adapters calls use.
	g := &wire.Gossip{NewsMicros: -1, Settled: s.tally.Settled(), Flights: s.flights.All(!after.Brief)}
	if m := s.view.Load().Manifest; m != nil {
		g.Manifest = uint64(m.Version)
	}
	for _, u := range s.tally.Changed(after.Change) {
		g.Usages = append(g.Usages, &wire.Usage{Workspace: string(u.Workspace), Tokens: int64(math.Round(float64(u.Total))), Level: int64(u.Level)})
	}
	if fresh := s.news.fresh(); !fresh.IsZero() && (after.Near || s.peers() < smallFleet) {
		if age := s.clock.Now().Sub(fresh); age < s.news.pace.oldest {
			g.NewsMicros = age.Microseconds()
			g.Objects = s.changedObjects(after.Objects)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Leaving, g.ColdLoads, g.Duties = s.leaving, uint32(s.cold), s.duties
	if !after.Withhold {
		g.Engines = s.changedEngines(after.Engines)
	}
	for fp, c := range s.suspects {
		if c.change > after.Change {
			g.Suspects = append(g.Suspects, &wire.Suspect{
				Print: fmtPrint(fp), Crashes: uint32(c.entry.Crashes), Quarantined: c.entry.Quarantined, UntilUnix: c.entry.Until.Unix(),
			})
		}
	}
	return g, last
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

// changedObjects returns the objects of the store that changed.
func (s *state) changedObjects(after uint64) []*wire.StoredObject {
	s.mu.Lock()
	var keys []string
	for key, change := range s.objects {
		if change > after {
			keys = append(keys, key)
		}
	}
	s.mu.Unlock()
	out := make([]*wire.StoredObject, 0, len(keys))
	for _, key := range keys {
		c := s.table.Get(key)
		out = append(out, &wire.StoredObject{Key: key, Value: c.Object.Value, Version: uint64(c.Object.Version), Revision: uint64(c.Revision)})
	}
	return out
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
	s.tally.Heard(vm, boot, g.Settled, usages)
	for _, o := range g.Objects {
		s.table.Told(vm, plank.Change{
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
