// Package ctrl defines the control goroutine, which owns all control state and
// publishes it as immutable snapshots to the goroutines that serve requests.
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

// A Snapshot is the control state at one moment. It is immutable, but for the
// counters Engine.InFlight.
type Snapshot struct {
	Catalog *notes.Catalog
	// Engines lists the model engines whose owner is reachable, by endpoint.
	Engines []Engine
	// Services lists the replicas of each plain service, those of the VM's own
	// failure domain first.
	Services map[plank.ServiceID][]notes.Endpoint
	// Routes is sorted by descending length of path.
	Routes []notes.Route
	// Peers lists the reachable VMs.
	Peers []member.Peer
	// Record is the record of the VM's own domain, as last read.
	Record claim.Record
	// Joined is set while the VM is a member of its domain.
	Joined bool
	// Ready is set while the VM may serve callers.
	Ready bool
}

// An Engine is a model engine with the state that routing depends on.
type Engine struct {
	Endpoint notes.Endpoint
	Owner    plank.VMID
	Address  string // of the owner's peer listener
	State    member.EndpointState
	// Runner is set when this VM is the owner.
	Runner *runner.Runner
	// Local is set when the engine is in this VM's failure domain.
	Local bool
	// InFlight counts the requests of this VM that are in flight on the engine.
	// All snapshots share the counter.
	InFlight *atomic.Int64
	seed     uint64
}

// WithHashSeed returns the engine with the seed that rendezvous hashing needs.
func (e Engine) WithHashSeed() Engine {
	e.seed = xxhash.Sum64String(string(e.Endpoint.Id))
	return e
}

// Candidates returns the engines that may run the model on the given base model,
// without those in skip, and their indexes in Engines. It reuses the memory of
// cs and index.
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
			// The count that the owner reports lags, and may not yet include
			// this VM's own requests.
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

// ResidentCount returns the number of engines on which the model is resident
// according to the last reports.
func (s *Snapshot) ResidentCount(m plank.Model) int {
	n := 0
	for i := range s.Engines {
		if s.Engines[i].State.Resident[m] {
			n++
		}
	}
	return n
}

// sortRoutes sorts the routes so that the longest path is matched first.
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
