package ctrl_test

import (
	"fmt"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/ctrl"
	"knapweedplank.org/plank/internal/member"
	"knapweedplank.org/plank/internal/route"
	"knapweedplank.org/plank/pkg/notes"
)

func model(i int) plank.Model {
	return plank.Model{Adapter: plank.AdapterID(fmt.Sprintf("ad-%05d", i)), Version: "1"}
}

// snapshot returns a snapshot with n engines of one base model, each with 16
// resident adapters.
func snapshot(n int) *ctrl.Snapshot {
	s := &ctrl.Snapshot{}
	for i := range n {
		e := ctrl.Engine{
			Endpoint: notes.Endpoint{Id: plank.EndpointID(fmt.Sprintf("e-%04d", i)), Base: "base", Batch: 16},
			State:    member.EndpointState{Up: true, Resident: make(map[plank.Model]bool)}, InFlight: new(atomic.Int64), Local: true,
		}
		for j := range 16 {
			e.State.Resident[model(i*16+j)] = true
		}
		s.Engines = append(s.Engines, e.WithHashSeed())
	}
	return s
}

// TestRouterPicksAmongCandidates checks that the router prefers the engine on
// which the adapter is resident, and that all VMs pick the same engine if it is
// resident on none.
func TestRouterPicksAmongCandidates(t *testing.T) {
	s := snapshot(20)
	cs, index := s.Candidates(model(37), "base", nil, nil, nil)
	assert.Equal(t, index[route.Affinity{}.Pick(cs)], 2)
	cs, index = s.Candidates(model(9999), "base", nil, nil, nil)
	first := index[route.Affinity{}.Pick(cs)]
	cs, index = snapshot(20).Candidates(model(9999), "base", nil, nil, nil)
	assert.Equal(t, index[route.Affinity{}.Pick(cs)], first)
	// A busy engine is not picked: waiting for it costs more than a load elsewhere.
	s.Engines[2].State.Outstanding = 100
	cs, index = s.Candidates(model(37), "base", nil, nil, nil)
	assert.Assert(t, index[route.Affinity{}.Pick(cs)] != 2)
	// Engines that are down, leaving, skipped or of another base are no candidates.
	s.Engines[0].State.Up = false
	s.Engines[1].State.Leaving = true
	s.Engines[3].Endpoint.Base = "other"
	cs, _ = s.Candidates(model(37), "base", []plank.EndpointID{"e-0004"}, nil, nil)
	assert.Equal(t, len(cs), 16)
	cs, _ = s.Candidates(model(37), "none", nil, nil, nil)
	assert.Equal(t, route.Affinity{}.Pick(cs), -1)
}

// BenchmarkCandidatesAndPick measures one routing decision among the engines
// that a VM knows.
func BenchmarkCandidatesAndPick(b *testing.B) {
	for _, n := range []int{10, 69, 160, 1100} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			s := snapshot(n)
			var cs []plank.Candidate
			var index []int
			models := make([]plank.Model, 24_000)
			for i := range models {
				models[i] = model(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				cs, index = s.Candidates(models[i%len(models)], "base", nil, cs, index)
				route.Affinity{}.Pick(cs)
			}
		})
	}
}
