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

// snapshot returns one with n engines of one base, each holding 16 models.
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

// TestChoice checks that the router keeps requests where their adapter is, and
// that all VMs choose alike where it is nowhere.
func TestChoice(t *testing.T) {
	s := snapshot(20)
	cs, index := s.Candidates(model(37), "base", nil, nil, nil)
	assert.Equal(t, index[route.Affinity{}.Pick(cs)], 2)
	cs, index = s.Candidates(model(9999), "base", nil, nil, nil)
	first := index[route.Affinity{}.Pick(cs)]
	cs, index = snapshot(20).Candidates(model(9999), "base", nil, nil, nil)
	assert.Equal(t, index[route.Affinity{}.Pick(cs)], first)
	// A busy endpoint gives way: waiting there is dearer than a load elsewhere.
	s.Engines[2].State.Outstanding = 100
	cs, index = s.Candidates(model(37), "base", nil, nil, nil)
	assert.Assert(t, index[route.Affinity{}.Pick(cs)] != 2)
	// Endpoints that are down, leaving, skipped or of another base are left out.
	s.Engines[0].State.Up = false
	s.Engines[1].State.Leaving = true
	s.Engines[3].Endpoint.Base = "other"
	cs, _ = s.Candidates(model(37), "base", []plank.EndpointID{"e-0004"}, nil, nil)
	assert.Equal(t, len(cs), 16)
	cs, _ = s.Candidates(model(37), "none", nil, nil, nil)
	assert.Equal(t, route.Affinity{}.Pick(cs), -1)
}

// BenchmarkChoice measures one routing decision over the engines that a VM sees.
func BenchmarkChoice(b *testing.B) {
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
