package front_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/front"
	"knapweedplank.org/plank/internal/grant"
	"knapweedplank.org/plank/internal/health"
	"knapweedplank.org/plank/internal/limit"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/peer"
	"knapweedplank.org/plank/internal/poison"
	"knapweedplank.org/plank/internal/view"
	"knapweedplank.org/plank/internal/wire"
)

const (
	modelService plank.ServiceID = "models"
	plainService plank.ServiceID = "plain"
)

// maxConns is the number of connections that a plain endpoint takes.
const maxConns = 20

// A harness is a Server whose holder and endpoints are functions.
type harness struct {
	*front.Server
	view     *view.Publisher
	chooser  *front.Chooser
	health   *health.Table
	parts    *poison.PartTable
	requests *poison.RequestTable
	// reserveErr, if not nil, is the error of each reservation.
	reserveErr error
	// learnsCost is set if the services learn costs.
	learnsCost bool
	// reserve returns the engine that is granted for the nth reservation, from 0.
	reserve func(n int) plank.EndpointID
	// send returns the answer of an endpoint.
	send func(id plank.EndpointID) (*plank.Reply, error)
	// probe returns the error of connecting to an endpoint.
	probe func(id plank.EndpointID) error

	mu           sync.Mutex
	reservations int
	request      grant.Request // the latest
	sent         []plank.EndpointID
}

// instance returns an endpoint of a service.
func instance(id plank.EndpointID, service plank.ServiceID) plank.Instance {
	return plank.Instance{ID: id, Service: service, Addr: "10.0.0.1:1", Domain: "d", Born: time.UnixMilli(1), Slots: 4}
}

// register replaces the registered endpoints.
func (h *harness) register(instances ...plank.Instance) {
	all := make(map[plank.EndpointID]plank.Instance)
	for _, inst := range instances {
		all[inst.ID] = inst
	}
	h.view.SetInstances(all)
}

// newHarness returns a server with two engines and two plain endpoints.
func newHarness(t *testing.T) *harness {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	clock := plank.SystemClock{}
	h := &harness{
		view: view.New(nil), health: health.New(clock),
		parts:    poison.NewPartTable(clock, func([]poison.Observation) {}, func(poison.Quarantine, bool) {}),
		requests: poison.NewRequestTable(clock, func([]poison.Observation) {}),
		probe:    func(plank.EndpointID) error { return nil },
	}
	m := mesh.New(ctx, mesh.Self{VM: "vm", Boot: "boot", Domain: "d", Address: "10.0.0.9:1"}, mesh.PeerTransport(peer.New(nil, nil, log)), noState{}, clock, log)
	route := func(name string, kind plank.RouteKind, service plank.ServiceID) plank.Route {
		return plank.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 4 * time.Second, TargetLatency: 500 * time.Millisecond,
			Split: []plank.ServiceShare{{Service: service, Weight: 1}}, MaxAttempts: 2, Public: true,
		}
	}
	h.view.SetManifest(&plank.Manifest{
		Version: 1, Routes: []plank.Route{route("ask", plank.Streaming, modelService), route("look", plank.Idempotent, plainService)},
		Services: map[plank.ServiceID]plank.Service{
			modelService: {ID: modelService, Pool: &plank.EnginePool{Slots: 4, KVCapacity: 100000, MaxAdapters: 4}},
			plainService: {ID: plainService, MaxConns: maxConns},
		},
	})
	h.register(instance("e1", modelService), instance("e2", modelService), instance("p1", plainService), instance("p2", plainService))
	for _, id := range []plank.EndpointID{"e1", "e2"} {
		m.SetOwnEngine(id, &wire.EngineState{Endpoint: string(id), Born: 1})
	}
	h.reserve = func(int) plank.EndpointID { return "" }
	h.send = func(plank.EndpointID) (*plank.Reply, error) { return stream(), nil }
	h.chooser = &front.Chooser{Domain: "d", View: h.view, Mesh: m, Health: h.health, Clock: clock, LearnsCost: func(plank.ServiceID) bool { return h.learnsCost }}
	h.Server = front.New(front.Deps{
		Domain: "d", View: h.view, Mesh: m, Reserver: h, Limiter: limit.NewGossipLimiter(clock, true, func() uint64 { return 0 }),
		Chooser: h.chooser, Budgets: front.NewBudgets(0.2, 10),
		Health: h.health, Requests: h.requests, Parts: h.parts,
		InFlight: front.NewInFlight(func() {}), Sender: h, StopTime: func() time.Time { return time.Time{} }, Stopping: context.Background(),
		Probe: func(inst plank.Instance) error { return h.probe(inst.ID) }, Clock: clock, Metrics: metrics.NewRegistry(), Log: log,
	})
	return h
}

// noState is the state of a VM that sends and receives nothing.
type noState struct{}

// Gossip implements mesh.LocalState.
func (noState) Gossip(mesh.GossipOptions) (*wire.Gossip, mesh.Covered) {
	return &wire.Gossip{NewsMicros: -1}, mesh.Covered{}
}

// Merge implements mesh.LocalState.
func (noState) Merge(plank.VMID, plank.BootID, *wire.Gossip, time.Duration) {}

// A grantedReservation is a reservation without a holder.
type grantedReservation struct{}

func (grantedReservation) Version() plank.VersionNumber { return 1 }
func (grantedReservation) MarkStarted()                 {}
func (grantedReservation) ReportPace(front.PaceReport)  {}
func (grantedReservation) MarkAdapterMissing()          {}
func (grantedReservation) MarkFailed(bool)              {}
func (grantedReservation) Release()                     {}

// Reserve implements front.Reserver.
func (h *harness) Reserve(_ context.Context, _ mesh.Engine, inst plank.Instance, r grant.Request) (plank.Instance, front.Reservation, error) {
	h.mu.Lock()
	h.request = r
	n := h.reservations
	h.reservations++
	h.mu.Unlock()
	if h.reserveErr != nil {
		return inst, nil, h.reserveErr
	}
	if id := h.reserve(n); id != "" {
		inst.ID = id
	}
	return inst, grantedReservation{}, nil
}

// ReserveAny implements front.Reserver.
func (h *harness) ReserveAny(context.Context, string, front.AnyRequest) (plank.Instance, front.Reservation, error) {
	return plank.Instance{}, nil, errors.New("not used")
}

// Send implements plank.Sender.
func (h *harness) Send(_ context.Context, _ *plank.Call, d plank.Dispatch) (*plank.Reply, error) {
	h.mu.Lock()
	h.sent = append(h.sent, d.Instance.ID)
	h.mu.Unlock()
	return h.send(d.Instance.ID)
}

// stream returns a complete stream of one event.
func stream() *plank.Reply {
	return &plank.Reply{Head: plank.Head{Status: http.StatusOK, Header: http.Header{}}, Stamped: true, Body: io.NopCloser(bytes.NewBufferString("id: 1\ndata: x\n\n"))}
}

// refusal returns the answer of an endpoint that did not run a call.
func refusal() *plank.Reply {
	return &plank.Reply{Head: plank.Head{Status: http.StatusServiceUnavailable, Header: http.Header{}}, NotRun: true, Body: http.NoBody}
}

// An answer records what the caller received.
type answer struct {
	refusal *plank.RefusalError
	status  int
	aborted bool
}

func (a *answer) Respond(head plank.Head, _ []byte) error {
	a.status = head.Status
	return nil
}

func (a *answer) Begin(head plank.Head) error {
	a.status = head.Status
	return nil
}

func (a *answer) Append([]byte) error { return nil }

func (a *answer) Refuse(r *plank.RefusalError) error {
	a.refusal = r
	return nil
}

func (a *answer) Abort() { a.aborted = true }

var calls struct {
	sync.Mutex
	n int
}

// call sends a call on a route, with the given prompt parts, and returns the answer.
func (h *harness) call(route string, parts ...plank.PartID) *answer {
	return h.callWith(route, func(c *plank.Call) { c.Parts = parts })
}

// callWith sends a call that modify has changed.
func (h *harness) callWith(route string, modify func(*plank.Call)) *answer {
	calls.Lock()
	calls.n++
	id := plank.RequestID(fmt.Sprint("call-", calls.n))
	calls.Unlock()
	a := new(answer)
	call := &plank.Call{ID: id, Method: http.MethodPost, Host: "h", Target: "/" + route + "/", Header: http.Header{}, Arrived: time.Now()}
	modify(call)
	h.Handle(context.Background(), call, a)
	return a
}

// A call that had waited for its reservation was sent to an engine that had said meanwhile
// that it leaves, if the holder that granted it did not know this, for example as it was cut
// off from the store.
func TestGrantedCallIsSentToAnEngineThatLeaves(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(h *harness)
	}{
		{"leaves", func(h *harness) {
			leaving := instance("e1", modelService)
			leaving.Leaving = true
			h.register(leaving, instance("e2", modelService))
		}},
		{"is gone", func(h *harness) { h.register(instance("e2", modelService)) }},
		{"another run has its id", func(h *harness) {
			other := instance("e1", modelService)
			other.Born = other.Born.Add(time.Second)
			h.register(other, instance("e2", modelService))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.reserve = func(n int) plank.EndpointID {
				if n > 0 {
					return "e2"
				}
				test.change(h)
				return "e1"
			}
			a := h.call("ask")
			assert.Equal(t, a.status, http.StatusOK, "%v", a.refusal)
			assert.DeepEqual(t, h.sent, []plank.EndpointID{"e2"})
		})
	}
}

// Endpoints that had refused a call and asked for a pause got the next calls all the same.
func TestEndpointThatWantsAPauseGetsCalls(t *testing.T) {
	for route, endpoints := range map[string][]plank.EndpointID{"ask": {"e1", "e2"}, "look": {"p1", "p2"}} {
		t.Run(route, func(t *testing.T) {
			h := newHarness(t)
			var pausing plank.EndpointID
			h.send = func(id plank.EndpointID) (*plank.Reply, error) {
				if pausing != "" && id != pausing {
					return stream(), nil
				}
				pausing = id
				h.health.RecordPause(plank.Run{Endpoint: id, Born: 1}, time.Now().Add(200*time.Millisecond))
				return refusal(), nil
			}
			for range 10 {
				assert.Equal(t, h.call(route).status, http.StatusOK)
			}
			assert.Equal(t, len(h.sent), 11, "%v", h.sent)
			time.Sleep(200 * time.Millisecond)
			for _, id := range endpoints {
				if id != pausing {
					h.health.RecordPause(plank.Run{Endpoint: id, Born: 1}, time.Now().Add(time.Minute))
				}
			}
			h.call(route)
			assert.Equal(t, h.sent[len(h.sent)-1], pausing, "it gets calls again")
		})
	}
}

// A call whose engine asked for a pause after it was granted goes to another engine.
func TestGrantedCallIsSentToAnEngineThatWantsAPause(t *testing.T) {
	h := newHarness(t)
	h.reserve = func(n int) plank.EndpointID {
		if n > 0 {
			return "e2"
		}
		h.health.RecordPause(plank.Run{Endpoint: "e1", Born: 1}, time.Now().Add(time.Minute))
		return "e1"
	}
	assert.Equal(t, h.call("ask").status, http.StatusOK)
	assert.DeepEqual(t, h.sent, []plank.EndpointID{"e2"})
}

// Where all endpoints want a pause, callers are refused at once and return when the first wants
// calls again, not all at the same moment.
func TestAllEndpointsWantAPause(t *testing.T) {
	for _, test := range []struct {
		route         string
		first, second plank.EndpointID
	}{{"ask", "e1", "e2"}, {"look", "p1", "p2"}} {
		for _, pause := range []time.Duration{time.Second, time.Minute} {
			h := newHarness(t)
			until := time.Now().Add(pause)
			h.health.RecordPause(plank.Run{Endpoint: test.first, Born: 1}, until.Add(time.Second))
			h.health.RecordPause(plank.Run{Endpoint: test.second, Born: 1}, until)
			moments := make(map[time.Duration]bool)
			for range 20 {
				begin := time.Now()
				a := h.call(test.route)
				assert.Assert(t, time.Since(begin) < 100*time.Millisecond)
				assert.Equal(t, a.refusal.Ran, plank.NotRun)
				back := time.Now().Add(a.refusal.RetryAfter)
				if pause == time.Minute { // beyond the call's deadline
					assert.Equal(t, a.refusal.RetryAfter, time.Duration(0))
					continue
				}
				assert.Assert(t, !back.Before(until) && back.Before(until.Add(400*time.Millisecond)), "%v before the pause ends", until.Sub(back))
				moments[back.Sub(until).Round(10*time.Millisecond)] = true
			}
			assert.Equal(t, len(h.sent), 0)
			assert.Assert(t, pause == time.Minute || len(moments) > 5, "%v", moments)
		}
	}
}

// A stream clears the parts of its prompt while it runs, but not with its first event, which
// engines may send before they crash.
func TestRunningStreamClearsItsParts(t *testing.T) {
	const part plank.PartID = "part"
	for _, test := range []struct {
		name        string
		events      int // 70 ms apart
		quarantined bool
	}{
		{"first event", 1, true},
		{"goes on", 3, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			crash := func(n int64) {
				time.Sleep(250 * time.Millisecond) // crashes at the same moment count once
				h.parts.RecordCrash(plank.Run{Endpoint: "e", Born: n}, plank.Fingerprint(fmt.Sprint(n)), []plank.PartID{part})
			}
			crash(1)
			crash(2)
			r, w := io.Pipe()
			h.send = func(plank.EndpointID) (*plank.Reply, error) {
				reply := stream()
				reply.Body = r
				return reply, nil
			}
			ended := make(chan *answer, 1)
			go func() { ended <- h.call("ask", part) }()
			for n := range test.events {
				_, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1)
				assert.NilError(t, err)
				time.Sleep(70 * time.Millisecond)
			}
			crash(3)
			_, quarantined := h.parts.Lookup([]plank.PartID{part})
			assert.Equal(t, quarantined, test.quarantined)
			w.Close()
			assert.Equal(t, (<-ended).status, http.StatusOK)
		})
	}
}

// One crash of an endpoint with several equal lookups in progress counted as so many crashes of
// the lookup, and every later one was refused. So did an endpoint that was cut off.
func TestEqualLookupsBesideOneCrashAreRefused(t *testing.T) {
	for _, test := range []struct {
		name string
		err  error // of connecting to the endpoint
	}{
		{"crashed", syscall.ECONNREFUSED},
		{"cut off", context.DeadlineExceeded},
	} {
		t.Run(test.name, func(t *testing.T) {
			const lookups = 8
			h := newHarness(t)
			h.register(instance("p1", plainService))
			var arrived, probed sync.WaitGroup
			arrived.Add(lookups)
			probed.Add(lookups)
			h.send = func(id plank.EndpointID) (*plank.Reply, error) {
				arrived.Done()
				arrived.Wait()
				return nil, &plank.SendError{Endpoint: id, Op: "read", Sent: true, Err: io.EOF}
			}
			h.probe = func(plank.EndpointID) error {
				defer probed.Done()
				return test.err
			}
			var all sync.WaitGroup
			for range lookups {
				all.Go(func() { h.call("look") })
			}
			all.Wait()
			probed.Wait()
			time.Sleep(20 * time.Millisecond) // for what follows the probes
			again := instance("p1", plainService)
			again.Born = again.Born.Add(time.Second)
			h.register(again)
			h.send = func(plank.EndpointID) (*plank.Reply, error) { return stream(), nil }
			assert.Equal(t, h.call("look").status, http.StatusOK)
		})
	}
}

// A lookup that crashes each endpoint that runs it is refused after its third crash, without
// being sent to another one; others are served.
func TestLookupThatCrashesEndpointsIsContained(t *testing.T) {
	h := newHarness(t)
	probed := make(chan struct{}, 1)
	h.probe = func(plank.EndpointID) error {
		defer func() { probed <- struct{}{} }()
		return syscall.ECONNREFUSED
	}
	h.send = func(id plank.EndpointID) (*plank.Reply, error) {
		return nil, &plank.SendError{Endpoint: id, Op: "read", Sent: true, Err: io.EOF}
	}
	for n := range 3 {
		run := instance("p1", plainService)
		run.Born = run.Born.Add(time.Duration(n) * time.Second)
		h.register(run)
		assert.Assert(t, h.call("look").refusal.Code != plank.CodeQuarantined)
		<-probed
		time.Sleep(250 * time.Millisecond) // crashes at the same moment count once
	}
	sent := len(h.sent)
	assert.Equal(t, h.call("look").refusal.Code, plank.CodeQuarantined)
	assert.Equal(t, len(h.sent), sent)
	h.send = func(plank.EndpointID) (*plank.Reply, error) { return stream(), nil }
	assert.Equal(t, h.callWith("look", func(c *plank.Call) { c.Body = []byte("other") }).status, http.StatusOK)
}

// An endpoint that holds its calls got more of them than it takes connections, without a bound.
func TestEndpointGetsMoreCallsThanItTakesConnections(t *testing.T) {
	const calls = 3 * maxConns
	h := newHarness(t)
	h.register(instance("p1", plainService))
	release := make(chan struct{})
	h.send = func(plank.EndpointID) (*plank.Reply, error) {
		<-release
		return stream(), nil
	}
	var all sync.WaitGroup
	answers := make(chan *answer, calls)
	for range calls {
		all.Go(func() { answers <- h.call("look") })
		time.Sleep(time.Millisecond) // one after the other
	}
	for range calls - maxConns {
		a := <-answers
		assert.Equal(t, a.refusal.Code, plank.CodeNoEndpoint)
		assert.Equal(t, a.refusal.Ran, plank.NotRun)
		assert.Assert(t, a.refusal.RetryAfter > 0)
	}
	assert.Equal(t, len(h.sent), maxConns)
	close(release)
	all.Wait()
	assert.Equal(t, h.call("look").status, http.StatusOK)
}
