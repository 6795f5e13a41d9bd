package node

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/pause"
	"knapweedplank.org/plank/internal/view"
	"knapweedplank.org/plank/internal/watch"
)

// The rules that decide which VMs call the store.
const (
	// largeDomain is the least number of VMs in a domain at which two of them watch
	// the store instead of one.
	largeDomain = 8
	// decisionInterval is the interval at which a VM decides whether it watches.
	decisionInterval = 80 * time.Millisecond
	// smallFleet is the number of VMs below which updates are sent to all failure
	// domains instead of to the VM's own.
	smallFleet = 16
	// startPatience is how long a VM that starts waits for the updates of others, once it
	// knows that there are any. A VM that starts with its whole fleet calls the store after
	// fleetStartSilence, when the VMs know each other, and waits for fleetStartPatience.
	startPatience      = time.Second
	fleetStartSilence  = 1500 * time.Millisecond
	fleetStartPatience = 3 * time.Second
)

// A watchPolicy decides whether this VM calls the store or relies on the updates
// of its peers.
type watchPolicy struct {
	self   plank.VMID
	mesh   *mesh.Mesh
	domain plank.DomainID
	clock  plank.Clock
	log    *logrus.Entry
	view   *view.Publisher
	// bound is the time within which a configuration must be in force, and link the
	// bandwidth of this VM's link in Mbit/s.
	bound    time.Duration
	linkMbps float64
	// bootstrap is set if the VM was started, at startedAt, with its whole fleet.
	bootstrap bool
	startedAt time.Time

	mu       sync.Mutex
	watchers []*watch.Watcher
	// watching reports whether this VM calls the store. It depends on the VM's rank
	// among the live VMs of its domain.
	watching    bool
	rank, alive int
	// turn is while this VM watches the store, and endpointTurn while it follows the
	// endpoints there, be it for a single list.
	turn, endpointTurn turn
	// endpoints is the watcher of the endpoints' registrations, and covered what this VM
	// knows of their changes, by its own watch and from peers. An endpoint whose removal
	// lies in a gap would stay in use.
	endpoints *watch.Watcher
	covered   plank.Coverage
	// mustList is set while all peers that send updates began to follow the endpoints
	// after the end of covered, so that none of them knows which were removed before.
	mustList bool
	// peerUpdate is the time of the last update that a live peer received from the store
	// and sends to this VM; zero for none.
	peerUpdate time.Time
}

// timing returns the times of following the store, for the size of the
// configuration in force.
func (wp *watchPolicy) timing() watchTiming {
	size := 0
	if m := wp.view.Load().Manifest; m != nil {
		size = m.Size
	}
	return timingFor(wp.bound, transferTime(size, wp.linkMbps))
}

// add registers a watcher of the store.
func (wp *watchPolicy) add(w *watch.Watcher) {
	wp.mu.Lock()
	defer wp.mu.Unlock()
	wp.watchers = append(wp.watchers, w)
}

// addEndpoints registers the watcher of the endpoints' registrations.
func (wp *watchPolicy) addEndpoints(w *watch.Watcher) {
	wp.add(w)
	wp.mu.Lock()
	defer wp.mu.Unlock()
	wp.endpoints = w
}

// lastResponse returns the earliest of the times at which the store last answered
// this VM's watchers. It is the zero time if one has never had an answer.
func (wp *watchPolicy) lastResponse() time.Time {
	wp.mu.Lock()
	defer wp.mu.Unlock()
	var oldest time.Time
	for i, w := range wp.watchers {
		if f := w.LastResponse(); i == 0 || f.Before(oldest) {
			oldest = f
		}
	}
	return oldest
}

// lastUpdate returns the time of the last update from the store, received by this
// VM or by a peer that sends its updates to this VM.
func (wp *watchPolicy) lastUpdate() time.Time {
	newest := wp.lastResponse()
	small := wp.mesh.Size() < smallFleet
	wp.mesh.Each(func(p *mesh.Peer) {
		if (small || p.Domain == wp.domain) && p.LastStoreResponse.After(newest) {
			newest = p.LastStoreResponse
		}
	})
	return newest
}

// newestFirstHand returns the time of the last update that this VM, at own, or a peer of its
// domain received from the store itself. What peers pass on does not count: with the time
// that messages take it would become newer each time that two relays tell it each other.
func (wp *watchPolicy) newestFirstHand(own time.Time) time.Time {
	newest := own
	wp.mesh.Each(func(p *mesh.Peer) {
		if p.Domain == wp.domain && !p.StoreResponseRelayed && p.LastStoreResponse.After(newest) {
			newest = p.LastStoreResponse
		}
	})
	return newest
}

// sendsObjects reports whether this VM sends objects of the store to others. All VMs
// watch while nobody sends them updates, as after the start of a fleet; once one of the
// VMs that are to watch sends them, the others need not.
func (wp *watchPolicy) sendsObjects() bool {
	wp.mu.Lock()
	defer wp.mu.Unlock()
	return wp.rank < 2*watchers(wp.alive) || wp.peerUpdate.IsZero() || wp.clock.Now().Sub(wp.peerUpdate) > wp.timing().successorAge
}

// mustWatch reports whether this VM has to call the store itself.
func (wp *watchPolicy) mustWatch() bool {
	wp.mu.Lock()
	defer wp.mu.Unlock()
	return wp.watching
}

// mustFollowEndpoints reports whether this VM has to call the store for the endpoints'
// registrations.
func (wp *watchPolicy) mustFollowEndpoints() bool {
	wp.mu.Lock()
	defer wp.mu.Unlock()
	wp.updateCovered(wp.clock.Now())
	return wp.endpointTurn.isOn
}

// followed returns the revisions between which this VM knows all changes of the endpoints'
// registrations.
func (wp *watchPolicy) followed() plank.Coverage {
	wp.mu.Lock()
	defer wp.mu.Unlock()
	wp.addOwnCoverage()
	return wp.covered
}

// awaitTurn waits until this VM has to watch the store itself. It reports false if ctx
// ended.
func (wp *watchPolicy) awaitTurn(ctx context.Context) bool { return wp.await(ctx, &wp.turn) }

// awaitEndpointTurn waits until this VM has to call the store for the endpoints'
// registrations. It reports false if ctx ended.
func (wp *watchPolicy) awaitEndpointTurn(ctx context.Context) bool {
	return wp.await(ctx, &wp.endpointTurn)
}

func (wp *watchPolicy) await(ctx context.Context, t *turn) bool {
	wp.mu.Lock()
	began := t.began
	wp.mu.Unlock()
	select {
	case <-began:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// run decides at intervals whether this VM calls the store, until ctx ends.
func (wp *watchPolicy) run(ctx context.Context) {
	for ctx.Err() == nil {
		wp.update(wp.clock.Now())
		pause.For(ctx, decisionInterval)
	}
}

func (wp *watchPolicy) update(now time.Time) {
	wp.mu.Lock()
	defer wp.mu.Unlock()
	before := wp.watching
	wp.watching = wp.decide(now)
	if wp.watching != before {
		fields := logrus.Fields{"watching": wp.watching, "rank": wp.rank, "alive": wp.alive}
		if !wp.peerUpdate.IsZero() {
			fields["update_age_ms"] = now.Sub(wp.peerUpdate).Milliseconds()
		}
		wp.log.WithFields(fields).Info("node: whether this VM watches the store has changed")
	}
	for _, w := range wp.watchers {
		w.RecordPeerResponse(wp.peerUpdate)
	}
	listed := wp.mustList
	wp.updateCovered(now)
	if wp.mustList && !listed {
		wp.log.WithFields(logrus.Fields{"since": wp.covered.Since, "until": wp.covered.Until}).Info("node: removals of endpoints may have been missed, listing them")
	}
	wp.turn.set(wp.watching)
}

// updateCovered adds to covered what this VM's watch and its peers know, and decides whether
// this VM must list the endpoints. The lock is held.
func (wp *watchPolicy) updateCovered(now time.Time) {
	wp.addOwnCoverage()
	updates, unbroken := false, false
	small := wp.mesh.Size() < smallFleet
	wp.mesh.Each(func(p *mesh.Peer) {
		if p.Followed.IsEmpty() || p.Domain != wp.domain && !small {
			return
		}
		if wp.covered.IsEmpty() {
			wp.covered = p.Followed
		}
		meets := wp.covered.Meets(p.Followed)
		if meets {
			wp.covered = wp.covered.Union(p.Followed)
		}
		if p.IsAlive(now) && !p.LastStoreResponse.IsZero() {
			updates, unbroken = true, unbroken || meets
		}
	})
	wp.mustList = updates && !unbroken && !wp.watching
	wp.endpointTurn.set(wp.watching || wp.mustList)
}

// addOwnCoverage adds to covered what this VM's watch knows. The lock is held.
func (wp *watchPolicy) addOwnCoverage() {
	if wp.endpoints == nil {
		return
	}
	own := wp.endpoints.Covered()
	switch {
	case wp.covered.Meets(own):
		wp.covered = wp.covered.Union(own)
	case own.Since > wp.covered.Until:
		wp.covered = own // the list showed what was removed in the gap
	}
}

// decide applies the rules to the state of the peers. The lock is held.
func (wp *watchPolicy) decide(now time.Time) bool {
	ownRank, relaying := watchRank(wp.self), wp.mesh.IsRelay()
	rank, alive := 0, 1
	newest := time.Time{}
	small := wp.mesh.Size() < smallFleet
	wp.mesh.Each(func(p *mesh.Peer) {
		if !p.IsAlive(now) {
			return
		}
		sameDomain := p.Domain == wp.domain
		if sameDomain && !p.Leaving {
			alive++
			// Relays come first, since they send to all VMs of the domain.
			if p.Relaying && !relaying || p.Relaying == relaying && watchRank(p.VM) < ownRank {
				rank++
			}
		}
		if (sameDomain || small) && p.LastStoreResponse.After(newest) {
			newest = p.LastStoreResponse
		}
	})
	wp.rank, wp.alive, wp.peerUpdate = rank, alive, newest
	running, patience := now.Sub(wp.startedAt), startPatience
	if wp.bootstrap {
		if patience = fleetStartPatience; running < fleetStartSilence {
			return false
		}
	}
	if alive > 1 && running < patience && newest.IsZero() {
		return rank < watchers(alive)
	}
	return wp.timing().mustWatch(rank, alive, now.Sub(newest))
}

// retry returns the pause after a number of consecutive failed calls to the store.
func (wp *watchPolicy) retry(failures int) time.Duration {
	wp.mu.Lock()
	defer wp.mu.Unlock()
	return wp.timing().retry(wp.rank, wp.alive, failures)
}

// watchRank returns the key by which VMs are ranked for watching the store, the
// same on all VMs.
func watchRank(vm plank.VMID) uint64 { return xxhash.Sum64String("watch/" + string(vm)) }
