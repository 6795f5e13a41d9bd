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

// An idleEngine is a plank.EngineController of an engine that holds adapter a of model m.
type idleEngine struct{ orders atomic.Int64 }

// Status implements plank.EngineController.
func (*idleEngine) Status(_ context.Context, inst plank.Instance) (plank.EngineStatus, error) {
	return plank.EngineStatus{Born: inst.Born, Bases: []plank.BaseID{"m"}, Resident: []plank.Residency{{Adapter: plank.AdapterRef{Base: "m", Name: "a"}, Version: 1}}}, nil
}

// Order implements plank.EngineController.
func (e *idleEngine) Order(context.Context, plank.Instance, plank.Order) (plank.OrderResult, error) {
	e.orders.Add(1)
	return plank.OrderDone, nil
}

// newScheduler starts a scheduler of engines of service llm, which learns costs.
func newScheduler(ctx context.Context, engine *idleEngine, isUnconfirmed func() bool) *grant.Scheduler {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return grant.NewScheduler(ctx, grant.Deps{
		Self: "vm", Controller: engine, Evictor: place.LowestValue{}, Clock: plank.SystemClock{}, Log: log.WithField("vm", "vm"),
		NewestVersion:  func(plank.AdapterRef) plank.VersionNumber { return 0 },
		SupersededAt:   func(plank.AdapterRef, plank.VersionNumber) time.Time { return time.Time{} },
		InUseElsewhere: func(plank.EndpointID, plank.AdapterRef) bool { return false },
		RecentAdapters: func(plank.Instance) []plank.AdapterRef { return nil }, RemoteColdLoads: func() int { return 0 },
		Health: func(plank.EndpointID) (float64, bool) { return 0, false }, CountOrder: func(bool, string) {},
		PublishColdLoads: func(int) {}, PublishState: func(plank.EndpointID, *wire.EngineState) {},
		PausedUntil: func(plank.Run) time.Time { return time.Time{} }, IsUnconfirmed: isUnconfirmed, ReportFenced: func(plank.DomainID, plank.Term) {},
		LearnsCost: func(s plank.ServiceID) bool { return s == "llm" },
	})
}

// A process that had been paused granted calls and gave orders under a lease that had
// ended meanwhile, until it looked at its leases again.
func TestPausedSchedulerUsesNoLease(t *testing.T) {
	engine := new(idleEngine)
	var paused atomic.Bool
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := newScheduler(ctx, engine, paused.Load)
	inst := plank.Instance{ID: "e1", Service: "llm", Domain: "d", Born: time.UnixMilli(1)}
	s.Sync([]grant.HeldEngine{{Instance: inst, Limits: grant.Limits{MaxRunning: 8, Memory: 1e6, MaxAdapters: 4, Base: "m"}, Term: 7}}, 1)
	reserve := func(adapter plank.AdapterID, wait time.Duration) bool {
		now := time.Now()
		waitCtx, stop := context.WithTimeout(ctx, wait)
		defer stop()
		res, err := s.Reserve(waitCtx, "e1", inst.Born, grant.Request{ID: "r", Adapter: plank.AdapterRef{Base: "m", Name: adapter}, Target: now.Add(wait), Deadline: now.Add(wait)})
		if err != nil {
			return false
		}
		defer res.Release()
		return res.Granted
	}
	assert.Assert(t, reserve("a", 5*time.Second))
	paused.Store(true)
	assert.Assert(t, !reserve("a", 300*time.Millisecond), "a call was granted")
	assert.Assert(t, !reserve("b", 300*time.Millisecond), "a call was granted")
	assert.Equal(t, engine.orders.Load(), int64(0))
	paused.Store(false)
	assert.Assert(t, reserve("b", 5*time.Second))
}
