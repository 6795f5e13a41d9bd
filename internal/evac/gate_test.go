package evac_test

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/evac"
)

// An endpoint counts what it gets.
type endpoint struct{ requests int }

func (e *endpoint) Send(context.Context, *plank.Call, plank.Dispatch) (*plank.Reply, error) {
	e.requests++
	return nil, nil
}

func (e *endpoint) Order(context.Context, plank.Instance, plank.Order) (plank.OrderResult, error) {
	e.requests++
	return plank.OrderDone, nil
}

func (e *endpoint) Status(context.Context, plank.Instance) (plank.EngineStatus, error) {
	e.requests++
	return plank.EngineStatus{}, nil
}

// Guards against a request that passes because its domain went out of service between the choice
// and the sending, and against a stopped call that counts as one that may have run.
func TestGateStopsRequests(t *testing.T) {
	var stopped []string
	out := false
	g := &evac.Gate{IsOut: func(inst plank.Instance) bool { return out && inst.Domain == "x" }, OnStop: func(_ plank.Instance, op string) { stopped = append(stopped, op) }}
	e := new(endpoint)
	try := func(d plank.DomainID) (errs [3]error) {
		inst := plank.Instance{ID: "e", Domain: d}
		_, errs[0] = g.Sender(e).Send(context.Background(), nil, plank.Dispatch{Instance: inst})
		_, errs[1] = g.Controller(e).Order(context.Background(), inst, plank.Order{})
		_, errs[2] = g.Controller(e).Status(context.Background(), inst)
		return errs
	}
	assert.Equal(t, try("x"), [3]error{})
	out = true
	assert.Equal(t, try("d"), [3]error{})
	assert.Equal(t, e.requests, 6)
	for _, err := range try("x") {
		var outErr *evac.OutOfServiceError
		assert.Assert(t, errors.As(err, &outErr), "%v", err)
		var sendErr *plank.SendError
		assert.Assert(t, !errors.As(err, &sendErr) || !sendErr.Sent)
	}
	assert.Equal(t, e.requests, 6)
	assert.DeepEqual(t, stopped, []string{"call", "order", "status"})
}
