package front_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/front"
	"knapweedplank.org/plank/internal/health"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/peer"
	"knapweedplank.org/plank/internal/pick"
	"knapweedplank.org/plank/internal/view"
	"knapweedplank.org/plank/internal/wire"
)

// BenchmarkChoose measures a choice among as many engines as the system is designed for.
func BenchmarkChoose(b *testing.B) {
	const engines = 1100
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := plank.SystemClock{}
	m := mesh.New(ctx, mesh.Self{VM: "vm", Boot: "boot", Domain: "d", Address: "10.0.0.9:1"}, mesh.PeerTransport(peer.New(nil, nil, log)), noState{}, clock, log)
	v := view.New(nil)
	pool := &plank.EnginePool{Slots: 4, KVCapacity: 100000, MaxAdapters: 4}
	v.SetManifest(&plank.Manifest{Version: 1, Services: map[plank.ServiceID]plank.Service{modelService: {ID: modelService, Pool: pool}}})
	all := make(map[plank.EndpointID]plank.Instance)
	for i := range engines {
		inst := plank.Instance{ID: plank.EndpointID(fmt.Sprint("e", i)), Service: modelService, Domain: "d", Born: time.UnixMilli(1), Slots: 4}
		all[inst.ID] = inst
		m.SetOwnEngine(inst.ID, &wire.EngineState{Endpoint: string(inst.ID), Born: 1, Running: uint32(i % 4)})
	}
	v.SetInstances(all)
	c := &front.Chooser{Domain: "d", View: v, Mesh: m, Health: health.New(clock), Clock: clock}
	call := pick.Call{Adapter: plank.ParseAdapterRef("base/a1"), Prompt: 1000, Output: 100, Target: time.Second}
	for b.Loop() {
		_, ok := c.Choose(modelService, pool, call, func(plank.EndpointID) bool { return false })
		assert.Assert(b, ok)
	}
}
