package evac

import (
	"context"

	"knapweedplank.org/plank"
)

// A Gate is the last check before a request is sent to an endpoint. Choices and grants exclude the
// endpoints of domains that are out of service before; the gate holds the bound also where the
// domain went out of service in between.
type Gate struct {
	// IsOut reports whether an endpoint gets no requests.
	IsOut func(plank.Instance) bool
	// OnStop is called with each request that was not sent. op is call, order or status.
	OnStop func(inst plank.Instance, op string)
}

// An OutOfServiceError reports a request that was not sent because the failure domain of the
// endpoint is out of service.
type OutOfServiceError struct {
	Domain plank.DomainID
}

// Error implements error.
func (e *OutOfServiceError) Error() string {
	return "the failure domain " + string(e.Domain) + " is out of service"
}

// check returns an error if a request must not be sent.
func (g *Gate) check(inst plank.Instance, op string) error {
	if !g.IsOut(inst) {
		return nil
	}
	g.OnStop(inst, op)
	return &OutOfServiceError{inst.Domain}
}

type gatedSender struct {
	*Gate
	next plank.Sender
}

// Sender returns a sender that sends through next what the gate lets pass. Other calls are not sent.
func (g *Gate) Sender(next plank.Sender) plank.Sender { return &gatedSender{g, next} }

// Send implements plank.Sender.
func (s *gatedSender) Send(ctx context.Context, call *plank.Call, d plank.Dispatch) (*plank.Reply, error) {
	if err := s.check(d.Instance, "call"); err != nil {
		return nil, &plank.SendError{Endpoint: d.Instance.ID, Op: "call", Err: err}
	}
	return s.next.Send(ctx, call, d)
}

type gatedController struct {
	*Gate
	next plank.EngineController
}

// Controller returns a controller that sends through next what the gate lets pass.
func (g *Gate) Controller(next plank.EngineController) plank.EngineController {
	return &gatedController{g, next}
}

// Order implements plank.EngineController.
func (c *gatedController) Order(ctx context.Context, inst plank.Instance, o plank.Order) (plank.OrderResult, error) {
	if err := c.check(inst, "order"); err != nil {
		return "", &plank.UnavailableError{Target: string(inst.ID), Op: "order", Err: err}
	}
	return c.next.Order(ctx, inst, o)
}

// Status implements plank.EngineController.
func (c *gatedController) Status(ctx context.Context, inst plank.Instance) (plank.EngineStatus, error) {
	if err := c.check(inst, "status"); err != nil {
		return plank.EngineStatus{}, &plank.UnavailableError{Target: string(inst.ID), Op: "status", Err: err}
	}
	return c.next.Status(ctx, inst)
}
