package node

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/cold"
	"knapweedplank.org/plank/internal/front"
	"knapweedplank.org/plank/internal/limit"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/pace"
	"knapweedplank.org/plank/internal/poison"
	"knapweedplank.org/plank/internal/view"
	"knapweedplank.org/plank/internal/watch"
	"knapweedplank.org/plank/internal/wire"
)

// The limits of the store's objects in a message, in bytes. In the users' grown
// sites a VM sends to all others of its domain, about 20, on a link of 10 Mbit/s,
// and heartbeats are delayed meanwhile.
const (
	// maxInlineBytes is the size of the largest value that is sent. Larger values
	// are only announced, and peers fetch them.
	maxInlineBytes = 16 << 10
	// maxObjectsBytes limits the size of the values in a message with more than one
	// object.
	maxObjectsBytes = 32 << 10
)

// A state composes the gossip that this VM sends to the others and applies the
// gossip that it receives.
type state struct {
	changes     atomic.Uint64
	wake        func() // makes the mesh send the changes soon
	view        *view.Publisher
	limiter     *limit.GossipLimiter
	inFlight    *front.InFlight
	requests    *poison.RequestTable
	parts       *poison.PartTable
	table       *watch.Table
	watchPolicy *watchPolicy
	clock       plank.Clock
	log         *logrus.Entry
	fleetSize   func() int // returns the number of known VMs
	fetcher     *watch.Fetcher

	mu        sync.Mutex
	draining  bool
	coldLoads int
	duties    []*wire.Duty
	engines   map[plank.EndpointID]engineChange
	// objects holds the number of the last change of each of the store's objects.
	objects map[string]uint64
	// partCrashes and requestCrashes hold the crash observations of prompt parts and of
	// requests with the numbers of their last changes.
	partCrashes, requestCrashes map[poison.ObservationKey]observationChange
	// leaving holds the endpoints that said themselves that they leave, with the
	// numbers of the changes.
	leaving map[plank.Run]uint64
	// cold holds which endpoints are cold, and coldEndpoints what is published of it.
	cold          *cold.Table
	coldEndpoints map[plank.Run]coldChange
	// paces holds the paces that endpoints of plain services stated in answers to this VM.
	paces map[plank.Run]paceChange

	paceTable *pace.Table
}

// An engineChange is the state of an engine with the number of its last change.
// The state is nil if this VM no longer publishes it.
type engineChange struct {
	state  *wire.EngineState
	change uint64
}

type observationChange struct {
	observation poison.Observation
	change      uint64
}

var _ mesh.LocalState = (*state)(nil)

// recordChange returns the number of a new change and wakes the mesh. The caller
// must hold the lock that guards the changed data, so that a message that is
// composed meanwhile does not count the change as covered.
func (s *state) recordChange() uint64 {
	n := s.changes.Add(1)
	s.wake()
	return n
}

// Gossip implements mesh.LocalState.
func (s *state) Gossip(opts mesh.GossipOptions) (*wire.Gossip, mesh.Covered) {
	covered := mesh.Covered{Change: s.changes.Load(), Objects: opts.AfterObjects, Followed: opts.Followed}
	// Only lease holders need the adapters that calls use.
	g := &wire.Gossip{NewsMicros: -1, Settled: s.limiter.Settled(), Flights: s.inFlight.Messages(!opts.OmitEngineCalls)}
	if m := s.view.Load().Manifest; m != nil {
		g.Manifest = uint64(m.Version)
	}
	for _, u := range s.limiter.ChangedSince(opts.AfterChange) {
		g.Usages = append(g.Usages, &wire.Usage{Workspace: string(u.Workspace), Tokens: int64(math.Round(float64(u.Total))), Level: int64(u.Level)})
	}
	if opts.SameDomain || s.fleetSize() < smallFleet {
		if age, relayed, ok := s.updateAge(opts.Relaying); ok {
			g.NewsRelayed = relayed
			followed := s.watchPolicy.followed()
			g.Objects, covered.Objects = s.changedObjects(opts.AfterObjects, covered.Change)
			if covered.Objects == covered.Change {
				g.NewsMicros = age.Microseconds()
				if covered.Followed = followed; followed != opts.Followed {
					g.FollowedSince, g.FollowedUntil = uint64(followed.Since), uint64(followed.Until)
				}
			}
		}
	}
	g.Objects = append(g.Objects, s.changedEvacuations(opts.AfterChange)...)
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Leaving, g.ColdLoads, g.Duties = s.draining, uint32(s.coldLoads), s.duties
	if !opts.OmitEngines {
		g.Engines = s.changedEngines(opts.AfterEngines)
	}
	now := s.clock.Now()
	for _, observations := range []map[poison.ObservationKey]observationChange{s.partCrashes, s.requestCrashes} {
		for _, c := range observations {
			if c.change > opts.AfterChange {
				g.CrashObservations = append(g.CrashObservations, encodeObservation(c.observation, now))
			}
		}
	}
	g.ColdEndpoints = s.changedCold(opts)
	for run, change := range s.leaving {
		if change > opts.AfterChange {
			g.LeavingEndpoints = append(g.LeavingEndpoints, &wire.Run{Endpoint: string(run.Endpoint), Born: run.Born})
		}
	}
	g.Paces = s.changedPaces(opts.AfterChange, now)
	return g, covered
}

// updateAge returns how old this VM's view of the store is, whether it is that of another
// VM, and whether it is recent enough to be sent to others. The view of a relay is as recent
// as that of the watching VMs that send theirs to it, unless it is still fetching an object
// that they announced.
func (s *state) updateAge(relaying bool) (age time.Duration, relayed, ok bool) {
	own := s.watchPolicy.lastResponse()
	updated := own
	if relaying && !s.fetcher.IsFetching() {
		updated = s.watchPolicy.newestFirstHand(own)
	}
	age = s.clock.Now().Sub(updated)
	return age, updated.After(own), !updated.IsZero() && age < s.watchPolicy.timing().maxAge && s.watchPolicy.sendsObjects()
}

// changedEngines returns the engine states that changed after a change. The
// lock is held.
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

// changedObjects returns the objects of the store that changed after the change
// numbered after, in the order of their changes, as many as fit in a message. It
// also returns the number up to which changes are covered, which is last if all
// objects fit. Evacuations are sent apart.
func (s *state) changedObjects(after, last uint64) ([]*wire.StoredObject, uint64) {
	s.mu.Lock()
	var keys []string
	changes := make(map[string]uint64)
	for key, change := range s.objects {
		if change > after && !isEvacuation(key) {
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

// storedObject encodes a change for a message. A large value is replaced by its
// size.
func storedObject(c plank.Change) *wire.StoredObject {
	o := &wire.StoredObject{Key: c.Object.Key, Version: uint64(c.Object.Version), Revision: uint64(c.Revision)}
	if len(c.Object.Value) > maxInlineBytes {
		o.Size = uint64(len(c.Object.Value))
	} else {
		o.Value = c.Object.Value
	}
	return o
}

// setObject publishes the change of an object of the store. It must be called
// after the table has applied the change.
func (s *state) setObject(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[key] = s.recordChange()
}

// Merge implements mesh.LocalState.
func (s *state) Merge(vm plank.VMID, boot plank.BootID, g *wire.Gossip, age time.Duration) {
	usages := make([]limit.Usage, 0, len(g.Usages))
	for _, u := range g.Usages {
		usages = append(usages, limit.Usage{
			Workspace: plank.WorkspaceID(u.Workspace), Total: plank.Tokens(u.Tokens), Level: plank.Tokens(u.Level),
		})
	}
	s.limiter.MergeUsages(vm, boot, g.Settled, usages, age)
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
	s.mergePaces(g.Paces, age)
	for _, x := range g.LeavingEndpoints {
		s.markLeaving(plank.Run{Endpoint: plank.EndpointID(x.Endpoint), Born: x.Born}, string(vm))
	}
	s.mergeCold(vm, g.ColdEndpoints, age)
	if len(g.CrashObservations) > 0 {
		now := s.clock.Now()
		var ofParts, ofRequests []poison.Observation
		for _, x := range g.CrashObservations {
			if o := decodeObservation(x, now.Add(-age)); o.Part != "" {
				ofParts = append(ofParts, o)
			} else {
				ofRequests = append(ofRequests, o)
			}
		}
		s.parts.Merge(ofParts)
		s.requests.Merge(ofRequests)
	}
}

// setEngine publishes the state of an engine; nil withdraws it.
func (s *state) setEngine(id plank.EndpointID, e *wire.EngineState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines[id] = engineChange{state: e, change: s.recordChange()}
}

// setPartCrashes publishes crash observations of prompt parts.
func (s *state) setPartCrashes(observations []poison.Observation) {
	s.setObservations(s.partCrashes, observations, poison.MaxObservations)
}

// setRequestCrashes publishes crash observations of requests.
func (s *state) setRequestCrashes(observations []poison.Observation) {
	s.setObservations(s.requestCrashes, observations, poison.MaxRequestObservations)
}

// setObservations adds crash observations to those that are published, of which there are
// limit at most.
func (s *state) setObservations(published map[poison.ObservationKey]observationChange, observations []poison.Observation, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := s.recordChange()
	for _, o := range observations {
		// Two changes of an observation can arrive here in either order.
		published[o.Key()] = observationChange{o.Merged(published[o.Key()].observation), change}
	}
	for key := range published {
		if len(published) <= limit {
			break
		}
		delete(published, key)
	}
}

// expireObservations removes the crash observations that no longer count.
func (s *state) expireObservations() {
	s.parts.Expire()
	s.requests.Expire()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	isExpired := func(_ poison.ObservationKey, c observationChange) bool { return c.observation.IsExpired(now) }
	maps.DeleteFunc(s.partCrashes, isExpired)
	maps.DeleteFunc(s.requestCrashes, isExpired)
}

// markLeaving records and publishes that an endpoint leaves, as source says.
func (s *state) markLeaving(run plank.Run, source string) {
	if !s.view.MarkLeaving(run) {
		return
	}
	s.log.WithFields(logrus.Fields{"endpoint": run.Endpoint, "born": run.Born, "source": source}).Info("node: an endpoint says that it leaves")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving[run] = s.recordChange()
}

// forgetLeaving stops publishing the runs of endpoints that are no longer registered.
func (s *state) forgetLeaving(registered map[plank.EndpointID]plank.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.leaving, func(run plank.Run, _ uint64) bool { return registered[run.Endpoint].Run() != run })
}

// setDuties publishes the domains whose duties this VM holds.
func (s *state) setDuties(duties []*wire.Duty) {
	s.mu.Lock()
	changed := len(duties) != len(s.duties)
	s.duties = duties
	s.mu.Unlock()
	if changed {
		s.recordChange()
	}
}

// dutyCount returns the number of duties that this VM holds.
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

func (s *state) setColdLoads(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldLoads = n
}
