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

// The rules on who calls the store.
const (
	// largeDomain is from how many VMs on two of a domain call the store.
	largeDomain = 8
	// decidePace is how long a decision holds: the pause between two looks of a
	// loop that is not needed.
	decidePace = 50 * time.Millisecond
	// smallFleet is up to how many VMs news go to all failure domains.
	smallFleet = 16
)

// A watchPolicy decides whether this VM calls the store, or lives on what its
// peers tell.
type watchPolicy struct {
	self   plank.VMID
	mesh   *mesh.Mesh
	domain plank.DomainID
	clock  plank.Clock
	view   *view.Holder
	// bound is the time in which a configuration must be in force, and link the
	// bandwidth of this VM's link in Mbit/s.
	bound time.Duration
	link  float64

	mu    sync.Mutex
	loops []*watch.Watcher
	// watches is whether this VM calls the store, by its rank among the VMs of its
	// domain that are alive; it is decided anew at decideAt.
	watches     bool
	rank, alive int
	decideAt    time.Time
}

// pace returns the times of following the store, for a configuration of the size
// of the one in force.
func (r *watchPolicy) pace() newsPace {
	size := 0
	if m := r.view.Load().Manifest; m != nil {
		size = m.Size
	}
	return paceFor(r.bound, transferTime(size, r.link))
}

// add takes a loop that follows the store.
func (r *watchPolicy) add(l *watch.Watcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loops = append(r.loops, l)
}

// fresh returns when this VM last had an answer to each of its watches; the
// zero time if it does not watch.
func (r *watchPolicy) fresh() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var oldest time.Time
	for i, l := range r.loops {
		if f := l.LastResponse(); i == 0 || f.Before(oldest) {
			oldest = f
		}
	}
	return oldest
}

// newest returns how new the news from the store are, own or told.
func (r *watchPolicy) newest() time.Time {
	newest := r.fresh()
	r.mesh.Each(func(p *mesh.Peer) {
		if p.LastStoreResponse.After(newest) {
			newest = p.LastStoreResponse
		}
	})
	return newest
}

// mustWatch tells whether this VM is to call the store itself.
func (r *watchPolicy) mustWatch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.clock.Now(); !now.Before(r.decideAt) {
		r.decideAt = now.Add(decidePace)
		r.watches = r.decide(now)
	}
	return r.watches
}

// decide applies the rules to what is known of the peers. The lock is held.
func (r *watchPolicy) decide(now time.Time) bool {
	weight := watchWeight(r.self)
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
			if watchWeight(p.VM) < weight {
				rank++
			}
		}
		if (near || small) && p.LastStoreResponse.After(newest) {
			newest = p.LastStoreResponse
		}
	})
	r.rank, r.alive = rank, alive
	return r.pace().mustWatch(rank, alive, now.Sub(newest))
}

// retry returns the pause after a number of failed calls of the store in a row.
func (r *watchPolicy) retry(failures int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pace().retry(r.rank, r.alive, failures)
}

// watchWeight orders VMs for watching the store, alike on all VMs.
func watchWeight(vm plank.VMID) uint64 { return xxhash.Sum64String("watch/" + string(vm)) }
