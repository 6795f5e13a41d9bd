package grant_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/grant"
	"knapweedplank.org/plank/internal/place"
	"knapweedplank.org/plank/internal/wire"
)

// A countingEngine counts the requests to it and never carries out an order, so that calls for
// adapters other than a wait.
type countingEngine struct {
	idleEngine
	requests atomic.Int64
}

// Status implements plank.EngineController.
func (e *countingEngine) Status(ctx context.Context, inst plank.Instance) (plank.EngineStatus, error) {
	e.requests.Add(1)
	return e.idleEngine.Status(ctx, inst)
}

// Order implements plank.EngineController.
func (e *countingEngine) Order(context.Context, plank.Instance, plank.Order) (plank.OrderResult, error) {
	e.requests.Add(1)
	return plank.OrderConflict, nil
}

// Guards against calls that wait for an engine out of service until they expire, and against grants,
// orders and status requests of its holder. After the return the engine gets them again, and the
// call that ran meanwhile still counts.
func TestEngineOutOfService(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	engine := new(countingEngine)
	var out atomic.Bool
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := grant.NewScheduler(ctx, grant.Deps{
		Self: "vm", Controller: engine, Evictor: place.LowestValue{}, Clock: plank.SystemClock{}, Log: log.WithField("vm", "vm"),
		NewestVersion:  func(plank.AdapterRef) plank.VersionNumber { return 0 },
		SupersededAt:   func(plank.AdapterRef, plank.VersionNumber) time.Time { return time.Time{} },
		InUseElsewhere: func(plank.EndpointID, plank.AdapterRef) bool { return false },
		RecentAdapters: func(plank.Instance) []plank.AdapterRef { return nil }, RemoteColdLoads: func() int { return 0 },
		Health: func(plank.EndpointID) (float64, bool) { return 0, false }, CountOrder: func(bool, string) {},
		PublishColdLoads: func(int) {}, PublishState: func(plank.EndpointID, *wire.EngineState) {},
		PausedUntil: func(plank.Run) time.Time { return time.Time{} }, IsUnconfirmed: func() bool { return false }, ReportFenced: func(plank.DomainID, plank.Term) {},
		IsOutOfService: func(d plank.DomainID) bool { return d == "x" && out.Load() },
	})
	held := func(id plank.EndpointID, d plank.DomainID) grant.HeldEngine {
		inst := plank.Instance{ID: id, Service: "llm", Domain: d, Born: time.UnixMilli(1)}
		return grant.HeldEngine{Instance: inst, Limits: grant.Limits{MaxRunning: 1, Memory: 1e6, MaxAdapters: 4, Base: "m"}, Term: 7}
	}
	s.Sync([]grant.HeldEngine{held("e1", "x")}, 1)
	reserve := func(adapter plank.AdapterID, wait time.Duration) *grant.Reservation {
		due := time.Now().Add(wait)
		res, err := s.Reserve(ctx, "e1", time.UnixMilli(1), grant.Request{ID: "r", Adapter: plank.AdapterRef{Base: "m", Name: adapter}, Target: due, Deadline: due})
		assert.NilError(t, err)
		return res
	}
	first := reserve("a", 5*time.Second)
	assert.Assert(t, first.Granted)
	waiting := make(chan *grant.Reservation, 1)
	go func() { waiting <- reserve("b", 20*time.Second) }()
	time.Sleep(50 * time.Millisecond) // it waits for a load
	out.Store(true)
	begin := time.Now()
	refused := <-waiting
	assert.Assert(t, !refused.Granted && time.Since(begin) < 5*time.Second, "it waited %v", time.Since(begin))
	refused.Release()
	time.Sleep(50 * time.Millisecond) // one request may be under way
	requests := engine.requests.Load()
	res := reserve("a", 5*time.Second)
	assert.Assert(t, !res.Granted)
	res.Release()
	s.Sync([]grant.HeldEngine{held("e1", "x"), held("e3", "x")}, 2) // the state of e3 is not known
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, engine.requests.Load(), requests)

	s.Sync([]grant.HeldEngine{held("e1", "x"), held("e2", "y")}, 2)
	begin = time.Now()
	for moved := false; !moved; { // once e2 is known
		assert.Assert(t, time.Since(begin) < 5*time.Second, "calls do not move")
		res := reserve("a", 5*time.Second)
		moved = res.Granted && res.Instance.ID == "e2"
		res.Release()
	}
	s.Sync([]grant.HeldEngine{held("e1", "x")}, 1)
	out.Store(false)
	res = reserve("a", 300*time.Millisecond)
	assert.Assert(t, !res.Granted, "the first call fills the engine's only slot")
	res.Release()
	first.Release()
	assert.Assert(t, reserve("a", 5*time.Second).Granted)
}
