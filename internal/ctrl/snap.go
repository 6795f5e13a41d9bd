// Package ctrl defines the control thread: the one goroutine that owns all
// control state and publishes it to the traffic goroutines as immutable
// snapshots.
package ctrl

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/claim"
	"knapweedplank.org/plank/internal/member"
	"knapweedplank.org/plank/internal/runner"
	"knapweedplank.org/plank/pkg/notes"
)

// A Snapshot is what the traffic goroutines know. It never changes.
type Snapshot struct {
	Catalog *notes.Catalog
	// Engines lists the model engines whose owner is reachable, by endpoint.
	Engines []Engine
	// Services lists the replicas of each plain service, own domain first.
	Services map[plank.ServiceID][]notes.Endpoint
	// Routes is sorted by falling length of path.
	Routes []notes.Route
	// Peers lists the reachable VMs.
	Peers []member.Peer
	// Record is the own domain's record as last read.
	Record claim.Record
	// Joined is set while the VM is a member of its domain.
	Joined bool
	// Ready is set when callers may be served.
	Ready bool
}

// An Engine is a model engine as a router sees it.
type Engine struct {
	Endpoint notes.Endpoint
	Owner    plank.VMID
	Address  string // of the owner's peer listener
	State    member.EndpointState
	// Runner is set when this VM is the owner.
	Runner *runner.Runner
	// Local is set when the engine is in this VM's failure domain.
	Local bool
	// InFlight counts requests that this VM has under way on the engine. It is
	// shared by all snapshots.
	InFlight *atomic.Int64
	seed     uint64
}

// WithHashSeed returns the engine ready for rendezvous hashing.
func (e Engine) WithHashSeed() Engine {
	e.seed = xxhash.Sum64String(string(e.Endpoint.Id))
	return e
}

// Candidates appends the engines that may run the model of the given base, and
// returns them with their indexes in Engines. The slices given are reused.
func (s *Snapshot) Candidates(m plank.Model, base string, skip []plank.EndpointID, cs []plank.Candidate, index []int) ([]plank.Candidate, []int) {
	cs, index = cs[:0], index[:0]
	h := xxhash.Sum64String(string(m.Adapter)) ^ xxhash.Sum64String(string(m.Version))
	for i := range s.Engines {
		e := &s.Engines[i]
		if e.Endpoint.Base != base || !e.State.Up || e.State.Leaving || slices.Contains(skip, e.Endpoint.Id) {
			continue
		}
		cs = append(cs, plank.Candidate{
			Endpoint: e.Endpoint.Id, Owner: e.Owner, Resident: e.State.Resident[m], Loading: e.State.Loading[m],
			// The owner's count lags; this VM knows its own part at once.
			Outstanding: max(e.State.Outstanding, int(e.InFlight.Load())),
			Loads:       e.State.WaitingLoads, Batch: e.Endpoint.Batch, Local: e.Local, Hash: mix(h ^ e.seed),
		})
		index = append(index, i)
	}
	return cs, index
}

// mix spreads the bits of a combined hash.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// ResidentCount counts the engines that hold the model, as known.
func (s *Snapshot) ResidentCount(m plank.Model) int {
	n := 0
	for i := range s.Engines {
		if s.Engines[i].State.Resident[m] {
			n++
		}
	}
	return n
}

// sortRoutes orders routes so that the longest path matches first.
func sortRoutes(routes map[string]notes.Route) []notes.Route {
	sorted := make([]notes.Route, 0, len(routes))
	for _, r := range routes {
		sorted = append(sorted, r)
	}
	slices.SortFunc(sorted, func(a, b notes.Route) int {
		if c := cmp.Compare(len(b.Path), len(a.Path)); c != 0 {
			return c
		}
		return cmp.Compare(a.Path, b.Path)
	})
	return sorted
}
