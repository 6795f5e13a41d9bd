// Package relay chooses the endpoint for a job and retries the job on others. The
// job runs on a runner of this VM or is forwarded to the VM that owns the endpoint.
package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/ctrl"
	"knapweedplank.org/plank/internal/pause"
	"knapweedplank.org/plank/internal/peer"
	"knapweedplank.org/plank/internal/poison"
	"knapweedplank.org/plank/internal/retry"
	"knapweedplank.org/plank/internal/runner"
)

// The limits of attempts and waits.
const (
	// maxAttempts is the largest number of attempts of one job that an endpoint
	// may have started.
	maxAttempts = 4
	// maxCrashes is the number of crashed endpoints that returned no part of the
	// answer, after which the job is not sent to others, as it may crash them too.
	maxCrashes = 2
	// waitDivisor divides the time to the deadline: for that part of it a job waits
	// for an endpoint to become available.
	waitDivisor  = 2
	waitInterval = 50 * time.Millisecond
)

// A Relay runs jobs on engines of this and other VMs. It is safe for concurrent use.
type Relay struct {
	self      plank.VMID
	control   *ctrl.Controller
	transport *peer.Transport
	router    plank.Router
	poisons   *poison.Table
	budget    *retry.Budget
	avoided   *avoidedEndpoints
	clock     plank.Clock
	log       *logrus.Entry
	scratch   sync.Pool
}

// New returns a Relay. Its retry budget is full.
func New(self plank.VMID, control *ctrl.Controller, transport *peer.Transport, router plank.Router, poisons *poison.Table, clock plank.Clock, log *logrus.Entry) *Relay {
	return &Relay{
		self: self, control: control, transport: transport, router: router, poisons: poisons, budget: retry.New(retryRatio, retryBurst), avoided: newAvoidedEndpoints(), clock: clock, log: log,
		scratch: sync.Pool{New: func() any { return new(scratch) }},
	}
}

// A scratch holds the reused slices of pick.
type scratch struct {
	candidates []plank.Candidate
	index      []int
	excluded   []plank.EndpointID
}

// A jobState is the state of one job over its attempts.
type jobState struct {
	job        plank.Job
	base       string // the base model
	emit       func(plank.Chunk) error
	tried      []plank.EndpointID // endpoints of failed attempts, not chosen again
	crashes    int                // see maxCrashes
	mayHaveRun bool               // an endpoint may have started the job
	lastErr    error              // of the last attempt, or nil
}

// Run runs the job on engines of the base model and calls emit for each chunk of
// the answer once, in order. The error is a *plank.RefusalError or the error that
// emit returned.
func (r *Relay) Run(ctx context.Context, job plank.Job, base string, emit func(plank.Chunk) error) error {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	r.budget.AddRequest()
	j := &jobState{job: job, base: base}
	j.emit = func(chunk plank.Chunk) error {
		if chunk.Index != j.job.Offset {
			return nil // a chunk that the caller already has
		}
		if err := emit(chunk); err != nil {
			return &callerWriteError{err}
		}
		j.job.Offset++
		return nil
	}
	waitUntil := r.clock.Now().Add(job.Deadline.Sub(r.clock.Now()) / waitDivisor)
	for attempts := 0; ; {
		if known, _ := r.poisons.Lookup(job.Fingerprint); known.Quarantined {
			return j.quarantineRefusal()
		}
		e, ok := r.pick(j)
		if !ok {
			if len(j.tried) > 0 {
				// All available endpoints were tried. Those that refused may accept the
				// job now.
				j.tried = nil
			}
			// An answer that has begun must be completed, so the job waits up to the
			// deadline.
			late := j.job.Offset == 0 && r.clock.Now().After(waitUntil)
			if late || !pause.For(ctx, waitInterval) {
				return j.refusal(ctx)
			}
			continue
		}
		offset := j.job.Offset
		err := r.attempt(ctx, j, e)
		if err == nil {
			return nil
		}
		if mayHaveStarted(err) {
			attempts++
		}
		if retryable := r.handleFailure(ctx, j, e, err, j.job.Offset > offset); !retryable || attempts >= maxAttempts {
			return j.refusal(ctx)
		}
	}
}

// mayHaveStarted reports whether the endpoint may have started the job whose attempt
// failed with err. The other attempts are limited by the deadline and the budget.
func mayHaveStarted(err error) bool {
	var refused *plank.RefusalError
	var lost *ownerLostError
	return !errors.As(err, &refused) && !errors.As(err, &lost)
}

// A callerWriteError wraps an error that the emit function of Run returned.
type callerWriteError struct{ err error }

func (e *callerWriteError) Error() string { return e.err.Error() }
func (e *callerWriteError) Unwrap() error { return e.err }

// pick chooses an engine and logs the choice. An engine that is to be avoided is
// chosen only if there is no other.
func (r *Relay) pick(j *jobState) (ctrl.Engine, bool) {
	snap := r.control.Snapshot()
	s := r.scratch.Get().(*scratch)
	defer r.scratch.Put(s)
	s.excluded = r.avoided.appendTo(append(s.excluded[:0], j.tried...), r.clock.Now())
	s.candidates, s.index = snap.Candidates(j.job.Model, j.base, s.excluded, s.candidates, s.index)
	if len(s.candidates) == 0 {
		s.candidates, s.index = snap.Candidates(j.job.Model, j.base, j.tried, s.candidates, s.index)
	}
	i := r.router.Pick(s.candidates)
	if i < 0 {
		return ctrl.Engine{}, false
	}
	e := snap.Engines[s.index[i]]
	r.log.WithFields(logrus.Fields{
		"request": j.job.ID, "workspace": j.job.Workspace, "model": j.job.Model.String(), "endpoint": e.Endpoint.Id,
		"owner": e.Owner, "policy": r.router.Name(), "reason": reason(&s.candidates[i]), "outstanding": s.candidates[i].Outstanding,
		"offset": j.job.Offset, "deadline": j.job.Deadline.Format(time.RFC3339Nano),
	}).Info("relay: routed")
	return e, true
}

// reason returns the state of the model on a candidate, for the log.
func reason(c *plank.Candidate) string {
	switch {
	case c.Resident:
		return "resident"
	case c.Loading:
		return "loading"
	}
	return "load"
}

// attempt runs the job on one engine.
func (r *Relay) attempt(ctx context.Context, j *jobState, e ctrl.Engine) error {
	e.InFlight.Add(1)
	defer e.InFlight.Add(-1)
	if e.Runner != nil {
		return e.Runner.Submit(ctx, j.job, j.emit)
	}
	return r.forward(ctx, j, e)
}

// handleFailure records a failed attempt and reports whether another may follow.
// progressed is set if the attempt returned a part of the answer.
func (r *Relay) handleFailure(ctx context.Context, j *jobState, e ctrl.Engine, err error, progressed bool) bool {
	j.lastErr = err
	j.tried = append(j.tried, e.Endpoint.Id)
	if ctx.Err() != nil {
		var refused *plank.RefusalError
		j.mayHaveRun = j.mayHaveRun || !errors.As(err, &refused)
		return false
	}
	var refused *plank.RefusalError
	var caller *callerWriteError
	var lost *ownerLostError
	var broken *runner.BrokenStreamError
	switch {
	case errors.As(err, &caller):
		j.mayHaveRun = true
		return false
	case errors.As(err, &refused):
		if isServableElsewhere(refused.Code) {
			r.avoided.add(e.Endpoint.Id, r.clock.Now())
		}
		// A changed owner is no sign of overload, so its retry is not taken from the
		// budget.
		return refused.Code == plank.CodeWrongOwner || isServableElsewhere(refused.Code) && r.takeRetry(j)
	case errors.As(err, &lost):
		// The owner failed, not the endpoint, so the job is not suspected of a crash.
		r.avoided.add(e.Endpoint.Id, r.clock.Now())
		j.mayHaveRun = j.mayHaveRun || lost.sent
		return r.takeRetry(j)
	case errors.As(err, &broken) && !broken.EngineAlive:
		r.avoided.add(e.Endpoint.Id, r.clock.Now())
		// If the job caused the crash, no other requests may run beside it on the
		// next endpoint.
		j.job.Alone = true
		if !progressed {
			j.crashes++
		}
	}
	j.mayHaveRun = true
	return j.crashes < maxCrashes && r.takeRetry(j)
}

// takeRetry takes a retry from the budget and reports whether the job may be retried.
// An answer of which the caller has a part is always continued, since it must be
// completed.
func (r *Relay) takeRetry(j *jobState) bool {
	return r.budget.TakeRetry() || j.job.Offset > 0
}

// isServableElsewhere reports whether another endpoint may serve a request that was
// refused with code.
func isServableElsewhere(code plank.Code) bool {
	switch code {
	case plank.CodeWrongOwner, plank.CodeNoEndpoint, plank.CodeNoModel, plank.CodeLoadFailed:
		return true
	}
	return false
}

// quarantineRefusal returns the refusal of a request that is quarantined because it
// crashed endpoints.
func (j *jobState) quarantineRefusal() error {
	out := plank.Refuse(plank.CodeQuarantined, "this request crashed endpoints and is not run again")
	if j.mayHaveRun {
		out.Ran = plank.DidRun
	}
	return out
}

// refusal returns the error of a job that gets no further attempt.
func (j *jobState) refusal(ctx context.Context) error {
	var caller *callerWriteError
	if errors.As(j.lastErr, &caller) {
		return caller.err
	}
	ran := plank.NotRun
	switch {
	case j.job.Offset > 0:
		ran = plank.DidRun
	case j.mayHaveRun:
		ran = plank.Unknown
	}
	out := &plank.RefusalError{Code: plank.CodeEndpoint, Ran: ran, RetryAfter: time.Second, Detail: "no endpoint served the request whole"}
	var refused *plank.RefusalError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		out.Code, out.Detail = plank.CodeDeadlineExceeded, "patience ended before the answer was whole"
	case j.lastErr == nil:
		out.Code, out.Detail = plank.CodeNoEndpoint, "no endpoint for "+j.job.Model.String()+" can be reached"
	case errors.As(j.lastErr, &refused):
		out.Code, out.Detail = refused.Code, refused.Detail
	}
	return out
}
