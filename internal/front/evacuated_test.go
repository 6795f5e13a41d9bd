package front_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/evac"
)

// evacuate registers an engine and a plain endpoint in each of the failure domains d and x, and
// takes the given ones out of service.
func (h *harness) evacuate(domains ...plank.DomainID) {
	e2, p2 := instance("e2", modelService), instance("p2", plainService)
	e2.Domain, p2.Domain = "x", "x"
	h.register(instance("e1", modelService), e2, instance("p1", plainService), p2)
	var out evac.Domains
	for _, d := range domains {
		out = out.With(d, true, time.Now())
	}
	h.view.SetEvacuated(out)
}

// Guards against calls to endpoints out of service, as first choice, as retry after the other
// endpoint broke off, and after the endpoints registered anew.
func TestEndpointOutOfServiceGetsCalls(t *testing.T) {
	for _, route := range []string{"ask", "look"} {
		h := newHarness(t)
		h.evacuate("d") // which is near, so that its endpoints would be preferred
		for range 10 {
			assert.Equal(t, h.call(route).status, http.StatusOK)
		}
		assert.Assert(t, h.reservations <= 10, "%d: engines out of service were chosen", h.reservations)
		h.send = func(plank.EndpointID) (*plank.Reply, error) { return refusal(), nil }
		h.call(route)
		anew := instance("e1", modelService)
		anew.Born, anew.Addr = time.UnixMilli(2), "10.0.0.2:2"
		h.register(anew, instance("p3", plainService))
		h.call(route)
		for _, id := range h.sent {
			assert.Assert(t, id == "e2" || id == "p2", "%v", h.sent)
		}
	}
}

// Guards against a call that is sent although its engine went out of service after the holder,
// which does not know, granted it.
func TestGrantedCallIsSentToAnEngineOutOfService(t *testing.T) {
	h := newHarness(t)
	h.reserve = func(n int) plank.EndpointID {
		if n > 0 {
			return "e1"
		}
		h.evacuate("x")
		return "e2"
	}
	assert.Equal(t, h.call("ask").status, http.StatusOK)
	assert.DeepEqual(t, h.sent, []plank.EndpointID{"e1"})
}

// Guards against callers that wait, or are told a time, while only the operators know when a
// service returns. An endpoint that leaves does not count.
func TestAllEndpointsOutOfService(t *testing.T) {
	for _, route := range []string{"ask", "look"} {
		h := newHarness(t)
		h.evacuate("d", "x")
		begin := time.Now()
		a := h.call(route)
		assert.Assert(t, a.refusal != nil && time.Since(begin) < 300*time.Millisecond)
		assert.Equal(t, a.refusal.Ran, plank.NotRun)
		assert.Equal(t, a.refusal.RetryAfter, time.Duration(0))
		assert.Equal(t, len(h.sent), 0)
		engine := instance("e9", modelService) // without a live holder, which calls wait for
		h.register(engine)
		begin = time.Now()
		h.call(route)
		assert.Assert(t, time.Since(begin) < 300*time.Millisecond)
		h.evacuate("x")
		h.view.MarkLeaving(plank.Run{Endpoint: "e1", Born: 1})
		h.view.MarkLeaving(plank.Run{Endpoint: "p1", Born: 1})
		assert.Equal(t, h.call(route).refusal.RetryAfter, time.Duration(0))
		assert.Equal(t, len(h.sent), 0)
	}
}

// Guards against an idle domain that gets all calls at the moment of its return, and against one
// that gets none although it is the only one.
func TestReturnedDomainGetsAllCallsAtOnce(t *testing.T) {
	for _, route := range []string{"ask", "look"} {
		h := newHarness(t)
		h.evacuate()
		h.view.SetEvacuated(evac.Domains{}.With("d", true, time.Now()).With("d", false, time.Now()))
		for range 20 {
			assert.Equal(t, h.call(route).status, http.StatusOK)
		}
		early := 0
		for _, id := range h.sent {
			if id == "e1" || id == "p1" {
				early++
			}
		}
		assert.Assert(t, early < 5, "%d of 20", early)
		h.register(instance("e1", modelService), instance("p1", plainService))
		assert.Equal(t, h.call(route).status, http.StatusOK)
	}
}
