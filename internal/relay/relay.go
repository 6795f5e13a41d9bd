// Package relay defines how a job finds an endpoint and is retried: on this
// VM's own runner, or forwarded to the VM that owns the endpoint.
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

// The rules of retries.
const (
	// maxAttempts bounds the endpoints that begin one job.
	maxAttempts = 4
	// maxBroken is after how many endpoints that broke off before they gave a
	// part of the answer no other is put at risk by the job.
	maxBroken = 2
	// waitPart is the part of the remaining patience that a job waits for an
	// endpoint to become available.
	waitPart  = 2
	waitPause = 50 * time.Millisecond
)

// A Relay runs jobs on endpoints. It is safe for concurrent use.
type Relay struct {
	self    plank.VMID
	control *ctrl.Controller
	hub     *peer.Transport
	router  plank.Router
	poison  *poison.Table
	budget  *retry.Budget
	avoid   *avoidance
	clock   plank.Clock
	log     *logrus.Entry
	scratch sync.Pool
}

// New returns a relay.
func New(self plank.VMID, control *ctrl.Controller, hub *peer.Transport, router plank.Router, poisons *poison.Table, clock plank.Clock, log *logrus.Entry) *Relay {
	return &Relay{
		self: self, control: control, hub: hub, router: router, poison: poisons, budget: retry.New(retryRatio, retryBurst), avoid: newAvoidance(), clock: clock, log: log,
		scratch: sync.Pool{New: func() any { return new(scratch) }},
	}
}

type scratch struct {
	candidates []plank.Candidate
	index      []int
	skip       []plank.EndpointID
}

// A course is the state of one job over its attempts.
type course struct {
	job    plank.Job
	base   string
	emit   func(plank.Chunk) error
	skip   []plank.EndpointID
	broken int
	began  bool // an endpoint may have begun the job
	last   error
}

// Run runs the job on engines of the base model, in order and whole, and hands
// its chunks to emit. Errors: *plank.RefusalError, or what emit returned.
func (r *Relay) Run(ctx context.Context, job plank.Job, base string, emit func(plank.Chunk) error) error {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	r.budget.AddRequest()
	c := &course{job: job, base: base}
	c.emit = func(chunk plank.Chunk) error {
		if chunk.Index != c.job.Offset {
			return nil // a repeat of what the caller has
		}
		if err := emit(chunk); err != nil {
			return &callerError{err}
		}
		c.job.Offset++
		return nil
	}
	giveUp := r.clock.Now().Add(job.Deadline.Sub(r.clock.Now()) / waitPart)
	for attempt := 0; ; {
		if known, _ := r.poison.Lookup(job.Fingerprint); known.Quarantined {
			return c.quarantined()
		}
		e, ok := r.pick(c)
		if !ok {
			if len(c.skip) > 0 {
				// Every endpoint was tried; those that refused may take it now.
				c.skip = nil
			}
			// An answer that began is owed whole, up to the deadline.
			late := c.job.Offset == 0 && r.clock.Now().After(giveUp)
			if late || !pause.For(ctx, waitPause) {
				return c.refusal(ctx)
			}
			continue
		}
		offset := c.job.Offset
		err := r.try(ctx, c, e)
		if err == nil {
			return nil
		}
		if hasBegun(err) {
			attempt++
		}
		if again := r.judge(ctx, c, e, err, c.job.Offset > offset); !again || attempt >= maxAttempts {
			return c.refusal(ctx)
		}
	}
}

// hasBegun reports whether the endpoint itself may have begun the job that
// failed so. Of the others the deadline and the budget bound how many are asked.
func hasBegun(err error) bool {
	var refused *plank.RefusalError
	var lost *lostError
	return !errors.As(err, &refused) && !errors.As(err, &lost)
}

// A callerError wraps an error of the caller's connection.
type callerError struct{ err error }

func (e *callerError) Error() string { return e.err.Error() }
func (e *callerError) Unwrap() error { return e.err }

// pick chooses an engine and logs the decision.
func (r *Relay) pick(c *course) (ctrl.Engine, bool) {
	snap := r.control.Snapshot()
	s := r.scratch.Get().(*scratch)
	defer r.scratch.Put(s)
	s.skip = r.avoid.appendTo(append(s.skip[:0], c.skip...), r.clock.Now())
	s.candidates, s.index = snap.Candidates(c.job.Model, c.base, s.skip, s.candidates, s.index)
	if len(s.candidates) == 0 {
		s.candidates, s.index = snap.Candidates(c.job.Model, c.base, c.skip, s.candidates, s.index)
	}
	i := r.router.Pick(s.candidates)
	if i < 0 {
		return ctrl.Engine{}, false
	}
	e := snap.Engines[s.index[i]]
	r.log.WithFields(logrus.Fields{
		"request": c.job.ID, "workspace": c.job.Workspace, "model": c.job.Model.String(), "endpoint": e.Endpoint.Id,
		"owner": e.Owner, "policy": r.router.Name(), "reason": reason(&s.candidates[i]), "outstanding": s.candidates[i].Outstanding,
		"offset": c.job.Offset, "deadline": c.job.Deadline.Format(time.RFC3339Nano),
	}).Info("relay: routed")
	return e, true
}

// reason tells what speaks for a candidate, for the log.
func reason(c *plank.Candidate) string {
	switch {
	case c.Resident:
		return "resident"
	case c.Loading:
		return "loading"
	}
	return "load"
}

// try runs the job on one engine.
func (r *Relay) try(ctx context.Context, c *course, e ctrl.Engine) error {
	e.InFlight.Add(1)
	defer e.InFlight.Add(-1)
	if e.Runner != nil {
		return e.Runner.Submit(ctx, c.job, c.emit)
	}
	return r.forward(ctx, c, e)
}

// judge records a failed attempt and reports whether another may follow.
// progress tells that the attempt gave a part of the answer.
func (r *Relay) judge(ctx context.Context, c *course, e ctrl.Engine, err error, progress bool) bool {
	c.last = err
	c.skip = append(c.skip, e.Endpoint.Id)
	if ctx.Err() != nil {
		var refused *plank.RefusalError
		c.began = c.began || !errors.As(err, &refused)
		return false
	}
	var refused *plank.RefusalError
	var caller *callerError
	var lost *lostError
	var broken *runner.BrokenStreamError
	switch {
	case errors.As(err, &caller):
		c.began = true
		return false
	case errors.As(err, &refused):
		if isElsewhere(refused.Code) {
			r.avoid.add(e.Endpoint.Id, r.clock.Now())
		}
		// A changed owner is a redirection, not a sign of overload.
		return refused.Code == plank.CodeWrongOwner || isElsewhere(refused.Code) && r.mayRetry(c)
	case errors.As(err, &lost):
		// The peer is gone, not the endpoint: nothing speaks against the job.
		r.avoid.add(e.Endpoint.Id, r.clock.Now())
		c.began = c.began || lost.sent
		return r.mayRetry(c)
	case errors.As(err, &broken) && !broken.EngineAlive:
		r.avoid.add(e.Endpoint.Id, r.clock.Now())
		// If the job is the cause it must not take others down with the next
		// endpoint.
		c.job.Alone = true
		if !progress {
			c.broken++
		}
	}
	c.began = true
	return c.broken < maxBroken && r.mayRetry(c)
}

// mayRetry takes a retry from the budget. An answer of which the caller has a
// part is carried on regardless: it is owed whole.
func (r *Relay) mayRetry(c *course) bool {
	return r.budget.TakeRetry() || c.job.Offset > 0
}

// isElsewhere reports whether another endpoint may serve what one refused.
func isElsewhere(code plank.Code) bool {
	switch code {
	case plank.CodeWrongOwner, plank.CodeNoEndpoint, plank.CodeNoModel, plank.CodeLoadFailed:
		return true
	}
	return false
}

// quarantined is the answer to a request that crashed endpoints.
func (c *course) quarantined() error {
	out := plank.Refuse(plank.CodeQuarantined, "this request crashed endpoints and is not run again")
	if c.began {
		out.Ran = plank.DidRun
	}
	return out
}

// refusal is the answer after the last attempt.
func (c *course) refusal(ctx context.Context) error {
	var caller *callerError
	if errors.As(c.last, &caller) {
		return caller.err
	}
	ran := plank.NotRun
	switch {
	case c.job.Offset > 0:
		ran = plank.DidRun
	case c.began:
		ran = plank.Unknown
	}
	out := &plank.RefusalError{Code: plank.CodeEndpoint, Ran: ran, RetryAfter: time.Second, Detail: "no endpoint served the request whole"}
	var refused *plank.RefusalError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		out.Code, out.Detail = plank.CodeDeadlineExceeded, "patience ended before the answer was whole"
	case c.last == nil:
		out.Code, out.Detail = plank.CodeNoEndpoint, "no endpoint for "+c.job.Model.String()+" can be reached"
	case errors.As(c.last, &refused):
		out.Code, out.Detail = refused.Code, refused.Detail
	}
	return out
}
