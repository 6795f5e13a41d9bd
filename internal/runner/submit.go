package runner

import (
	"context"
	"errors"

	"knapweedplank.org/plank"
)

// Submit runs the job and calls emit for each chunk. The error is a
// *plank.RefusalError with NotRun if the engine did not start the job, a
// *BrokenStreamError if the stream broke off, and a *plank.UnavailableError if
// the engine no longer answers.
func (r *Runner) Submit(ctx context.Context, job plank.Job, emit func(plank.Chunk) error) error {
	// The caller's context ends with the answer, but the engine may end the request
	// later.
	caller := ctx
	ctx, stop := context.WithCancelCause(context.WithoutCancel(caller))
	detach := context.AfterFunc(caller, func() { stop(context.Cause(caller)) })
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	end := func() {
		detach()
		cancel()
		stop(nil)
	}
	detached := false // the engine ends the request after the answer
	defer func() {
		if !detached {
			end()
		}
	}()
	req, err := r.enqueue(job, stop)
	if err != nil {
		return err
	}
	select {
	case err := <-req.decision:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		if !r.abandon(req) {
			// The request was dispatched meanwhile but has not been sent.
			r.finish(req, nil)
		}
		return plank.Refuse(plank.CodeDeadlineExceeded, "patience ended while the request waited on endpoint %s", r.opts.Endpoint)
	}
	wait, err := r.deps.Engine.Generate(ctx, req.job, func(c plank.Chunk) error {
		r.endExclusive(req)
		return emit(c)
	})
	var unavailable *plank.UnavailableError
	switch {
	case err != nil && errors.Is(context.Cause(ctx), errDown):
		err = &plank.UnavailableError{Target: "endpoint " + string(r.opts.Endpoint), Op: "generate", Err: errDown}
	case errors.As(err, &unavailable) && ctx.Err() == nil:
		err = &BrokenStreamError{Endpoint: r.opts.Endpoint, EngineAlive: r.recordBrokenStream(req.job.Fingerprint).wait(), Err: err}
	}
	var refused *plank.RefusalError
	if errors.As(err, &refused) && refused.Code == plank.CodeNoModel {
		r.dropSlot(req)
	}
	if refused != nil && refused.RetryAfter > 0 {
		r.startPause(req, r.deps.Clock.Now().Add(refused.RetryAfter))
	}
	if err == nil && wait != nil {
		// The answer is complete, but the adapter is in use until wait returns.
		detached = true
		detach()
		go func() {
			defer end()
			wait()
			r.finish(req, nil)
		}()
		return nil
	}
	if err != nil && refused == nil {
		r.keepSlot(req)
	}
	r.finish(req, err)
	return err
}
