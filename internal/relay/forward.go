package relay

import (
	"context"
	"errors"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/ctrl"
	"knapweedplank.org/plank/internal/engine"
	"knapweedplank.org/plank/internal/peer"
	"knapweedplank.org/plank/internal/poison"
	"knapweedplank.org/plank/internal/runner"
	"knapweedplank.org/plank/internal/wire"
)

// A lostError reports that the VM that owns the endpoint was lost.
type lostError struct {
	sent bool // the job may have reached the VM
	err  error
}

func (e *lostError) Error() string { return "owner lost: " + e.err.Error() }
func (e *lostError) Unwrap() error { return e.err }

// errSilent is the cause with which a forwarded job on a silent VM ends.
var errSilent = errors.New("the owner no longer answers heartbeats")

// freshEvery is the pause between looks at the owner's heartbeats.
const freshEvery = 250 * time.Millisecond

// forward hands the job to the owner of the engine.
func (r *Relay) forward(ctx context.Context, c *course, e ctrl.Engine) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := r.watchOwner(ctx, e.Owner, cancel)
	defer stop()
	s, err := r.hub.Open(ctx, e.Address, &wire.Call{Body: &wire.Call_Forward{Forward: r.encode(c, e)}})
	if err != nil {
		return &lostError{sent: false, err: err}
	}
	defer s.Close()
	for {
		var reply wire.ForwardReply
		if err := s.Receive(&reply); err != nil {
			return &lostError{sent: true, err: err}
		}
		if end := reply.GetEnd(); end != nil {
			r.poison.Merge(poison.FromWire(end.GetSuspect()))
			return decodeEnd(end, e)
		}
		if err := c.emit(plank.Chunk{Index: int(reply.GetIndex()), Data: reply.GetData()}); err != nil {
			return err
		}
	}
}

func (r *Relay) encode(c *course, e ctrl.Engine) *wire.ForwardRequest {
	return &wire.ForwardRequest{
		Endpoint: string(e.Endpoint.Id), Request: string(c.job.ID), Workspace: string(c.job.Workspace), Key: string(c.job.Key),
		Adapter: string(c.job.Model.Adapter), Version: string(c.job.Model.Version), Path: c.job.Path, Body: c.job.Body,
		Cost: float64(c.job.Cost), Weight: c.job.Weight, TtlMicros: c.job.Deadline.Sub(r.clock.Now()).Microseconds(),
		Print: string(c.job.Fingerprint), Offset: uint32(c.job.Offset), Alone: c.job.Alone,
	}
}

// watchOwner cancels the forwarded job when the owner falls silent, so that it
// can go on elsewhere long before the connection times out.
func (r *Relay) watchOwner(ctx context.Context, owner plank.VMID, cancel context.CancelCauseFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(freshEvery)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if !isPeer(r.control.Snapshot(), owner) {
				cancel(errSilent)
				return
			}
		}
	}()
	return func() { close(done) }
}

func isPeer(s *ctrl.Snapshot, vm plank.VMID) bool {
	for i := range s.Peers {
		if s.Peers[i].VM == vm {
			return true
		}
	}
	return false
}

// decodeEnd turns the end of a forwarded job into an error.
func decodeEnd(end *wire.End, e ctrl.Engine) error {
	switch {
	case end.GetBroken():
		return &runner.BrokenStreamError{Endpoint: e.Endpoint.Id, EngineAlive: !end.GetCrashed(), Err: errors.New(end.GetDetail())}
	case end.GetCode() != "":
		return &plank.RefusalError{Code: plank.Code(end.GetCode()), Ran: plank.Ran(end.GetRan()), Detail: end.GetDetail()}
	}
	return nil
}

// Serve runs a job that another VM forwarded to this one, the endpoint's owner.
func (r *Relay) Serve(ctx context.Context, req *wire.ForwardRequest, s *peer.Stream) {
	job := plank.Job{
		ID: plank.RequestID(req.GetRequest()), Workspace: plank.WorkspaceID(req.GetWorkspace()), Key: plank.KeyID(req.GetKey()),
		Model: plank.Model{Adapter: plank.AdapterID(req.GetAdapter()), Version: plank.Version(req.GetVersion())},
		Path:  req.GetPath(), Body: req.GetBody(), Cost: plank.Tokens(req.GetCost()), Weight: req.GetWeight(),
		Deadline:    r.clock.Now().Add(time.Duration(req.GetTtlMicros()) * time.Microsecond),
		Fingerprint: plank.Fingerprint(req.GetPrint()), Offset: int(req.GetOffset()), Alone: req.GetAlone(),
	}
	err := r.serve(ctx, plank.EndpointID(req.GetEndpoint()), job, func(c plank.Chunk) error {
		return s.Send(&wire.ForwardReply{Index: uint32(c.Index), Data: c.Data})
	})
	if ctx.Err() != nil {
		return
	}
	// The caller's VM may be gone; there is nobody left to tell.
	end := encodeEnd(err)
	if known, ok := r.poison.Lookup(job.Fingerprint); ok {
		end.Suspect = known.ToWire()
	}
	_ = s.Send(&wire.ForwardReply{End: end})
}

func (r *Relay) serve(ctx context.Context, id plank.EndpointID, job plank.Job, emit func(plank.Chunk) error) error {
	for _, e := range r.control.Snapshot().Engines {
		if e.Endpoint.Id == id && e.Runner != nil {
			return e.Runner.Submit(ctx, job, emit)
		}
	}
	return plank.Refuse(plank.CodeWrongOwner, "VM %s does not own endpoint %s", r.self, id)
}

// encodeEnd turns the outcome of a job into its end message.
func encodeEnd(err error) *wire.End {
	var refused *plank.RefusalError
	var broke *plank.UnavailableError
	var wrong *engine.WrongModelError
	var broken *runner.BrokenStreamError
	switch {
	case err == nil:
		return &wire.End{}
	case errors.As(err, &refused):
		return &wire.End{Code: string(refused.Code), Ran: string(refused.Ran), Detail: refused.Detail}
	case errors.As(err, &broken):
		return &wire.End{Broken: true, Crashed: !broken.EngineAlive, Detail: broken.Error()}
	case errors.As(err, &broke):
		return &wire.End{Broken: true, Detail: broke.Error()}
	case errors.As(err, &wrong):
		return &wire.End{Code: string(plank.CodeNoModel), Ran: string(plank.DidRun), Detail: wrong.Error()}
	}
	return &wire.End{Code: string(plank.CodeEndpoint), Ran: string(plank.Unknown), Detail: err.Error()}
}
