package node

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/watch"
)

// The rules on who calls the store.
const (
	// largeDomain is from how many VMs on two of a domain call the store.
	largeDomain = 8
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
	pace   newsPace

	mu    sync.Mutex
	loops []*watch.Loop
}

// add takes a loop that follows the store.
func (r *watchPolicy) add(l *watch.Loop) {
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
		if f := l.Fresh(); i == 0 || f.Before(oldest) {
			oldest = f
		}
	}
	return oldest
}

// newest returns how new the news from the store are, own or told.
func (r *watchPolicy) newest() time.Time {
	newest := r.fresh()
	for _, p := range r.mesh.Peers() {
		if p.News.After(newest) {
			newest = p.News
		}
	}
	return newest
}

// mustWatch tells whether this VM is to call the store itself.
func (r *watchPolicy) mustWatch() bool {
	now := r.clock.Now()
	alive := []plank.VMID{r.self}
	newest := time.Time{}
	peers := r.mesh.Peers()
	for _, p := range peers {
		if !p.IsAlive(now) {
			continue
		}
		near := p.Domain == r.domain
		if near && !p.Leaving {
			alive = append(alive, p.VM)
		}
		if (near || len(peers) < smallFleet) && p.News.After(newest) {
			newest = p.News
		}
	}
	return r.pace.mustWatch(slices.Index(byHash("watch", alive), r.self), len(alive), now.Sub(newest))
}

// byHash orders VMs for a task, alike on all VMs.
func byHash(task string, vms []plank.VMID) []plank.VMID {
	weight := func(vm plank.VMID) uint64 { return xxhash.Sum64String(task + "/" + string(vm)) }
	slices.SortFunc(vms, func(a, b plank.VMID) int { return cmp.Compare(weight(a), weight(b)) })
	return vms
}
