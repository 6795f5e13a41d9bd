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
	"knapweedplank.org/plank/internal/prefix"
	"knapweedplank.org/plank/internal/view"
	"knapweedplank.org/plank/internal/wire"
)

// engineState returns the state of an engine that holds an adapter.
func engineState(id plank.EndpointID, ref plank.AdapterRef) *wire.EngineState {
	return &wire.EngineState{Endpoint: string(id), Born: 1, Places: []*wire.Place{{Adapter: ref.String(), Version: 1}}}
}

// newChooser returns a Chooser that knows n engines which hold an adapter.
func newChooser(tb testing.TB, n int, ref plank.AdapterRef) (*front.Chooser, *plank.EnginePool) {
	tb.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	clock := plank.SystemClock{}
	c := &front.Chooser{
		Domain: "d", View: view.New(nil), Health: health.New(clock), Clock: clock, LearnsCost: func(plank.ServiceID) bool { return true },
		Mesh: mesh.New(ctx, mesh.Self{VM: "vm", Boot: "boot", Domain: "d", Address: "10.0.0.9:1"}, mesh.PeerTransport(peer.New(nil, nil, log)), noState{}, clock, log),
	}
	pool := &plank.EnginePool{Slots: 4, KVCapacity: 100000, MaxAdapters: 4}
	c.View.SetManifest(&plank.Manifest{Version: 1, Services: map[plank.ServiceID]plank.Service{modelService: {ID: modelService, Pool: pool}}})
	all := make(map[plank.EndpointID]plank.Instance)
	for i := range n {
		inst := instance(plank.EndpointID(fmt.Sprint("e", i)), modelService)
		all[inst.ID] = inst
		c.Mesh.SetOwnEngine(inst.ID, engineState(inst.ID, ref))
	}
	c.View.SetInstances(all)
	return c, pool
}

// keptDirectory returns the directory of an engine that keeps the first n parts.
func keptDirectory(ref plank.AdapterRef, parts []plank.PromptPart) *prefix.Directory {
	d := prefix.NewDirectory(prefix.MaxEntries(1))
	d.SetRoom(1e6)
	u := d.Acquire(prefix.NewPrompt(ref, 1e6, parts), 1)
	u.Begin()
	u.Release(false)
	return d
}

func anyEngine(plank.EndpointID) bool { return false }

// Calls must go to an engine that keeps most of their prompt, but not stay with the engines of this
// holder for more than the kept tokens are worth: engines of other holders keep some of them, too.
func TestChooseByKeptParts(t *testing.T) {
	ref := plank.ParseAdapterRef("base/a1")
	parts := []plank.PromptPart{{ID: "b", Tokens: 6000}, {ID: "own", Tokens: 3000}}
	call := pick.Call{Adapter: ref, Prompt: 9000, Output: 100, Target: time.Second, Parts: parts}
	for _, test := range []struct {
		name     string
		inactive bool
		running  uint32 // on the engine that keeps the beginning
		want     plank.EndpointID
		kept     plank.Tokens
	}{
		{"keeps the beginning", false, 0, "e2", 6000},
		{"is worth a few running calls", false, 2, "e2", 6000},
		{"is not worth a full batch", false, 4, "e1", 3000},
		{"inactive", true, 1, "e1", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, pool := newChooser(t, 3, ref)
			c.LearnsCost = func(plank.ServiceID) bool { return !test.inactive }
			c.Directories = func() map[plank.Run]*prefix.Directory {
				return map[plank.Run]*prefix.Directory{
					{Endpoint: "e0", Born: 1}: keptDirectory(ref, nil), {Endpoint: "e2", Born: 1}: keptDirectory(ref, parts[:1]),
				}
			}
			busy := engineState("e0", ref)
			busy.Running = 3
			c.Mesh.SetOwnEngine("e0", busy)
			keeps := engineState("e2", ref)
			keeps.Running = test.running
			c.Mesh.SetOwnEngine("e2", keeps)
			choice, ok := c.Choose(modelService, pool, call, anyEngine)
			assert.Assert(t, ok)
			assert.Equal(t, choice.Engine.Instance.ID, test.want)
			assert.Equal(t, choice.Engine.Kept, test.kept)
		})
	}
}

// BenchmarkChooseKept measures a choice at a holder of 140 engines that keep all parts of a prompt;
// it must take less than 50 microseconds.
func BenchmarkChooseKept(b *testing.B) {
	ref := plank.ParseAdapterRef("base/a1")
	parts := []plank.PromptPart{{ID: "00000001", Tokens: 2000}, {ID: "00000002", Tokens: 2000}, {ID: "00000003", Tokens: 2000}, {ID: "00000004", Tokens: 3000}}
	c, pool := newChooser(b, 140, ref)
	held := make(map[plank.Run]*prefix.Directory)
	for _, inst := range c.View.Load().Instances {
		held[inst.Run()] = keptDirectory(ref, parts)
	}
	c.Directories = func() map[plank.Run]*prefix.Directory { return held }
	call := pick.Call{Adapter: ref, Prompt: 9000, Output: 100, Target: time.Second}
	for name, p := range map[string][]plank.PromptPart{"parts=0": nil, "parts=4": parts} {
		b.Run(name, func(b *testing.B) {
			call.Parts = p
			for b.Loop() {
				_, ok := c.Choose(modelService, pool, call, anyEngine)
				assert.Assert(b, ok)
			}
		})
	}
}

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
