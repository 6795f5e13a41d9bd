package node

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/view"
	"knapweedplank.org/plank/internal/watch"
)

// The rules that decide which VMs call the store.
const (
	// largeDomain is the number of VMs from which on two of a domain watch the
	// store instead of one.
	largeDomain = 8
	// decisionInterval is how long a decision is valid. It is the interval at which
	// an inactive watcher checks whether it is needed.
	decisionInterval = 50 * time.Millisecond
	// smallFleet is the number of VMs below which updates are sent to all failure
	// domains instead of to the VM's own.
	smallFleet = 16
)

// A watchPolicy decides whether this VM calls the store or relies on the updates
// of its peers.
type watchPolicy struct {
	self   plank.VMID
	mesh   *mesh.Mesh
	domain plank.DomainID
	clock  plank.Clock
	view   *view.Publisher
	// bound is the time within which a configuration must be in force, and link the
	// bandwidth of this VM's link in Mbit/s.
	bound    time.Duration
	linkMbps float64

	mu       sync.Mutex
	watchers []*watch.Watcher
	// watching reports whether this VM calls the store. It depends on the VM's rank
	// among the alive VMs of its domain, and is decided anew at decideAt.
	watching    bool
	rank, alive int
	decideAt    time.Time
}

// timing returns the times of following the store, for the size of the
// configuration in force.
func (r *watchPolicy) timing() watchTiming {
	size := 0
	if m := r.view.Load().Manifest; m != nil {
		size = m.Size
	}
	return timingFor(r.bound, transferTime(size, r.linkMbps))
}

// add registers a watcher of the store.
func (r *watchPolicy) add(w *watch.Watcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers = append(r.watchers, w)
}

// lastResponse returns the earliest of the times at which the store last answered
// this VM's watchers. It is the zero time if one has never had an answer.
func (r *watchPolicy) lastResponse() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var oldest time.Time
	for i, w := range r.watchers {
		if f := w.LastResponse(); i == 0 || f.Before(oldest) {
			oldest = f
		}
	}
	return oldest
}

// lastUpdate returns the time of the last update from the store, received by this
// VM or by a peer.
func (r *watchPolicy) lastUpdate() time.Time {
	newest := r.lastResponse()
	r.mesh.Each(func(p *mesh.Peer) {
		if p.LastStoreResponse.After(newest) {
			newest = p.LastStoreResponse
		}
	})
	return newest
}

// mustWatch reports whether this VM has to call the store itself.
func (r *watchPolicy) mustWatch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.clock.Now(); !now.Before(r.decideAt) {
		r.decideAt = now.Add(decisionInterval)
		r.watching = r.decide(now)
	}
	return r.watching
}

// decide applies the rules to the state of the peers. It requires r.mu.
func (r *watchPolicy) decide(now time.Time) bool {
	weight := watchRank(r.self)
	rank, alive := 0, 1
	newest := time.Time{}
	small := r.mesh.Size() < smallFleet
	r.mesh.Each(func(p *mesh.Peer) {
		if !p.IsAlive(now) {
			return
		}
		near := p.Domain == r.domain
		if near && !p.Leaving {
			alive++
			if watchRank(p.VM) < weight {
				rank++
			}
		}
		if (near || small) && p.LastStoreResponse.After(newest) {
			newest = p.LastStoreResponse
		}
	})
	r.rank, r.alive = rank, alive
	return r.timing().mustWatch(rank, alive, now.Sub(newest))
}

// retry returns the pause after a number of consecutive failed calls to the store.
func (r *watchPolicy) retry(failures int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.timing().retry(r.rank, r.alive, failures)
}

// watchRank returns the key by which VMs are ranked for watching the store, the
// same on all VMs.
func watchRank(vm plank.VMID) uint64 { return xxhash.Sum64String("watch/" + string(vm)) }
