package runner

import (
	"context"
	"errors"

	"knapweedplank.org/plank"
)

// Submit runs the job and hands its chunks to emit. It returns a
// *plank.RefusalError with NotRun if the engine did not begin it here, a
// *BrokenError if the engine broke off, and a *plank.UnavailableError if it
// no longer answers.
func (r *Runner) Submit(ctx context.Context, job plank.Job, emit func(plank.Chunk) error) error {
	// The caller's context ends with its answer, the engine's request may not.
	caller := ctx
	ctx, stop := context.WithCancelCause(context.WithoutCancel(caller))
	detach := context.AfterFunc(caller, func() { stop(context.Cause(caller)) })
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	end := func() {
		detach()
		cancel()
		stop(nil)
	}
	ending := false // the engine ends the request after its answer
	defer func() {
		if !ending {
			end()
		}
	}()
	w, err := r.enqueue(job, stop)
	if err != nil {
		return err
	}
	select {
	case err := <-w.granted:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		if !r.abandon(w) {
			// Granted meanwhile; it has not begun.
			r.finish(w, nil)
		}
		return plank.Refuse(plank.CodeDeadlineExceeded, "patience ended while the request waited on endpoint %s", r.opts.Endpoint)
	}
	wait, err := r.deps.Engine.Generate(ctx, w.job, func(c plank.Chunk) error {
		r.endExclusive(w)
		return emit(c)
	})
	var broke *plank.UnavailableError
	switch {
	case err != nil && errors.Is(context.Cause(ctx), errDown):
		err = &plank.UnavailableError{Target: "endpoint " + string(r.opts.Endpoint), Op: "generate", Err: errDown}
	case errors.As(err, &broke) && ctx.Err() == nil:
		err = &BrokenStreamError{Endpoint: r.opts.Endpoint, EngineAlive: r.noteBroken(w.job.Fingerprint).wait(), Err: err}
	}
	var refused *plank.RefusalError
	if errors.As(err, &refused) && refused.Code == plank.CodeNoModel {
		r.dropSlot(w.job.Model)
	}
	if err == nil && wait != nil {
		// The caller has its answer; the adapter is in use for a little longer.
		ending = true
		detach()
		go func() {
			defer end()
			wait()
			r.finish(w, nil)
		}()
		return nil
	}
	r.finish(w, err)
	return err
}
