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
	"knapweedplank.org/plank/internal/cold"
	"knapweedplank.org/plank/internal/front"
	"knapweedplank.org/plank/internal/grant"
	"knapweedplank.org/plank/internal/health"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/peer"
	"knapweedplank.org/plank/internal/pick"
	"knapweedplank.org/plank/internal/view"
	"knapweedplank.org/plank/internal/wire"
)

func coldServices(plank.ServiceID) plank.Service {
	return plank.Service{ColdRate: 6.9, ColdTime: 3 * time.Second}
}

// Guards against calls that wait for cold engines while warm ones would serve them sooner, and
// against capacity that is wasted: of 90 engines, those of a failure domain are cold. They get
// no calls before the warm ones have a backlog, and then few.
func TestWarmEnginesTakeTheCalls(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := plank.SystemClock{}
	m := mesh.New(ctx, mesh.Self{VM: "vm", Boot: "boot", Domain: "d", Address: "10.0.0.9:1"}, mesh.PeerTransport(peer.New(nil, nil, log)), noState{}, clock, log)
	v := view.New(nil)
	pool := &plank.EnginePool{Slots: 64, KVCapacity: 250_000, MaxAdapters: 4}
	all := make(map[plank.EndpointID]plank.Instance)
	states := make(map[plank.EndpointID]*wire.EngineState)
	for i := range 90 {
		inst := plank.Instance{ID: plank.EndpointID(fmt.Sprint("e", i)), Service: modelService, Domain: "d", Born: time.UnixMilli(1), Slots: 64}
		s := &wire.EngineState{Endpoint: string(inst.ID), Born: 1, Places: []*wire.Place{{Adapter: "base/a1", Version: 1}}}
		if i < 30 {
			s.ColdMillis, s.ColdRoom = 3000, 1
		}
		all[inst.ID], states[inst.ID] = inst, s
		m.SetOwnEngine(inst.ID, s)
	}
	v.SetInstances(all)
	c := &front.Chooser{Domain: "d", View: v, Mesh: m, Health: health.New(clock), Cold: cold.NewTable(clock, coldServices), Clock: clock}
	call := pick.Call{Adapter: plank.ParseAdapterRef("base/a1"), Prompt: 1000, Output: 100, Target: time.Second}
	chosen := func(n int) (ofCold int) {
		for range n {
			choice, ok := c.Choose(modelService, pool, call, func(plank.EndpointID) bool { return false })
			assert.Assert(t, ok)
			s := states[choice.Engine.Instance.ID]
			if s.ColdMillis > 0 {
				ofCold++
				s.Queued++
			} else {
				s.Backlog += 1000
			}
		}
		return ofCold
	}
	assert.Equal(t, chosen(120), 0)
	some := chosen(900)
	assert.Assert(t, some >= 30 && some < 200, "%d of 900 calls to cold engines", some)
}

// Guards against calls without a reservation to a cold engine whose holder does not answer.
func TestNothingIsSentToAColdEngineWithoutAHolder(t *testing.T) {
	h := newHarness(t)
	table := cold.NewTable(plank.SystemClock{}, coldServices)
	h.chooser.Cold = table
	h.reserveErr = &plank.UnavailableError{Target: "holder", Op: "reserve"}
	assert.Equal(t, h.call("ask").status, 200)
	for _, id := range []plank.EndpointID{"e1", "e2"} {
		table.Record(instance(id, modelService), time.Now().Add(time.Minute), cold.Answer, true)
	}
	assert.Assert(t, h.call("ask").refusal != nil)
	assert.Equal(t, len(h.sent), 1)
}

// Guards against a holder that grants at the warm rate although calls of other VMs have shown
// that the engine is cold.
func TestNotesTellTheHolderThatAnEngineIsCold(t *testing.T) {
	table := cold.NewTable(fixedClock{}, coldServices)
	b := &front.Broker{Chooser: &front.Chooser{Health: health.New(fixedClock{}), Cold: table}, Clock: fixedClock{}}
	e := instance("e", modelService)
	isCold := func(millis int64) bool {
		front.HandleNote(b, &grant.Reservation{Instance: e}, &wire.ReserveNote{StatesCold: true, ColdMillis: millis})
		return !table.Until(e).IsZero()
	}
	assert.Assert(t, !isCold(-1) && !isCold(1<<60) && isCold(3000))
}
