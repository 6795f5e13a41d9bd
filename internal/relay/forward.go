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

// An ownerLostError reports that the connection to the VM that owns the endpoint
// failed.
type ownerLostError struct {
	sent bool // the VM may have received the job
	err  error
}

func (e *ownerLostError) Error() string { return "owner lost: " + e.err.Error() }
func (e *ownerLostError) Unwrap() error { return e.err }

// errOwnerSilent is the cause with which a forwarded job is cancelled when the owner
// is no longer a live peer.
var errOwnerSilent = errors.New("no heartbeats from the owner")

// ownerCheckInterval is the time between checks of whether the owner is alive.
const ownerCheckInterval = 250 * time.Millisecond

// forward sends the job to the VM that owns the engine and relays the answer.
func (r *Relay) forward(ctx context.Context, j *jobState, e ctrl.Engine) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := r.cancelOnSilence(ctx, e.Owner, cancel)
	defer stop()
	s, err := r.transport.Open(ctx, e.Address, &wire.Call{Body: &wire.Call_Forward{Forward: r.encodeRequest(j, e)}})
	if err != nil {
		return &ownerLostError{sent: false, err: err}
	}
	defer s.Close()
	for {
		var reply wire.ForwardReply
		if err := s.Receive(&reply); err != nil {
			return &ownerLostError{sent: true, err: err}
		}
		if end := reply.GetEnd(); end != nil {
			r.poisons.Merge(poison.FromWire(end.GetSuspect()))
			return decodeEnd(end, e)
		}
		if err := j.emit(plank.Chunk{Index: int(reply.GetIndex()), Data: reply.GetData()}); err != nil {
			return err
		}
	}
}

func (r *Relay) encodeRequest(j *jobState, e ctrl.Engine) *wire.ForwardRequest {
	return &wire.ForwardRequest{
		Endpoint: string(e.Endpoint.Id), Request: string(j.job.ID), Workspace: string(j.job.Workspace), Key: string(j.job.Key),
		Adapter: string(j.job.Model.Adapter), Version: string(j.job.Model.Version), Path: j.job.Path, Body: j.job.Body,
		Cost: float64(j.job.Cost), Weight: j.job.Weight, TtlMicros: j.job.Deadline.Sub(r.clock.Now()).Microseconds(),
		Print: string(j.job.Fingerprint), Offset: uint32(j.job.Offset), Alone: j.job.Alone,
	}
}

// cancelOnSilence cancels the forwarded job when the owner's heartbeats stop, so that
// the job can continue elsewhere long before the connection times out. The caller
// must call stop.
func (r *Relay) cancelOnSilence(ctx context.Context, owner plank.VMID, cancel context.CancelCauseFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(ownerCheckInterval)
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
				cancel(errOwnerSilent)
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

// decodeEnd returns the error that the end of a forwarded job stands for.
func decodeEnd(end *wire.End, e ctrl.Engine) error {
	switch {
	case end.GetBroken():
		return &runner.BrokenStreamError{Endpoint: e.Endpoint.Id, EngineAlive: !end.GetCrashed(), Err: errors.New(end.GetDetail())}
	case end.GetCode() != "":
		return &plank.RefusalError{Code: plank.Code(end.GetCode()), Ran: plank.Ran(end.GetRan()), Detail: end.GetDetail()}
	}
	return nil
}

// Serve runs a job that another VM forwarded to this VM as the endpoint's owner.
func (r *Relay) Serve(ctx context.Context, req *wire.ForwardRequest, s *peer.Stream) {
	job := plank.Job{
		ID: plank.RequestID(req.GetRequest()), Workspace: plank.WorkspaceID(req.GetWorkspace()), Key: plank.KeyID(req.GetKey()),
		Model: plank.Model{Adapter: plank.AdapterID(req.GetAdapter()), Version: plank.Version(req.GetVersion())},
		Path:  req.GetPath(), Body: req.GetBody(), Cost: plank.Tokens(req.GetCost()), Weight: req.GetWeight(),
		Deadline:    r.clock.Now().Add(time.Duration(req.GetTtlMicros()) * time.Microsecond),
		Fingerprint: plank.Fingerprint(req.GetPrint()), Offset: int(req.GetOffset()), Alone: req.GetAlone(),
	}
	err := r.runLocally(ctx, plank.EndpointID(req.GetEndpoint()), job, func(c plank.Chunk) error {
		return s.Send(&wire.ForwardReply{Index: uint32(c.Index), Data: c.Data})
	})
	if ctx.Err() != nil {
		return
	}
	end := encodeEnd(err)
	if known, ok := r.poisons.Lookup(job.Fingerprint); ok {
		end.Suspect = known.ToWire()
	}
	// If the sending VM is gone, there is no recipient for the error.
	_ = s.Send(&wire.ForwardReply{End: end})
}

func (r *Relay) runLocally(ctx context.Context, id plank.EndpointID, job plank.Job, emit func(plank.Chunk) error) error {
	for _, e := range r.control.Snapshot().Engines {
		if e.Endpoint.Id == id && e.Runner != nil {
			return e.Runner.Submit(ctx, job, emit)
		}
	}
	return plank.Refuse(plank.CodeWrongOwner, "VM %s does not own endpoint %s", r.self, id)
}

// encodeEnd returns the end message for the result of a job.
func encodeEnd(err error) *wire.End {
	var refused *plank.RefusalError
	var unavailable *plank.UnavailableError
	var wrongModel *engine.WrongModelError
	var broken *runner.BrokenStreamError
	switch {
	case err == nil:
		return &wire.End{}
	case errors.As(err, &refused):
		return &wire.End{Code: string(refused.Code), Ran: string(refused.Ran), Detail: refused.Detail}
	case errors.As(err, &broken):
		return &wire.End{Broken: true, Crashed: !broken.EngineAlive, Detail: broken.Error()}
	case errors.As(err, &unavailable):
		return &wire.End{Broken: true, Detail: unavailable.Error()}
	case errors.As(err, &wrongModel):
		return &wire.End{Code: string(plank.CodeNoModel), Ran: string(plank.DidRun), Detail: wrongModel.Error()}
	}
	return &wire.End{Code: string(plank.CodeEndpoint), Ran: string(plank.Unknown), Detail: err.Error()}
}
