package front

import (
	"context"
	"encoding/hex"
	"errors"
	"mime"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/budget"
	"knapweedplank.org/plank/internal/evac"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/pick"
)

const (
	// attemptTimeoutFactor bounds an attempt as a multiple of the route's target
	// if the call may be sent to another endpoint afterwards.
	attemptTimeoutFactor = 2
	// maxUnsent bounds the unreachable endpoints that are tried for one call.
	maxUnsent = 4
	// noEndpointRetry is the Retry-After time if no endpoint accepted the call.
	noEndpointRetry = 150 * time.Millisecond
	// pauseSpread is the time over which callers return after all endpoints of a service
	// wanted a pause.
	pauseSpread = 300 * time.Millisecond
)

// A result is the outcome of one attempt.
type result int

const (
	served    result = iota // the answer is complete
	unsent                  // the endpoint was not reached
	rejected                // the endpoint states that it did not run the call
	failed                  // a complete error answer of the endpoint
	broken                  // no usable answer; the call may have run
	abandoned               // the caller disconnected
)

// An attempt is the sending of a call to one endpoint, with the answer.
type attempt struct {
	inst   plank.Instance
	result result
	reply  *plank.Reply
	body   []byte
	err    error
	// firstEventAt is when the first event of the attempt's stream arrived; zero before.
	firstEventAt time.Time
	steps        stepMeter
	// begun is set once the stream has gone on for beginTime, or the answer has ended
	// whole: the prompt does not crash an endpoint that begins to answer it.
	begun bool
	// healthRecorded is set if the failure of this attempt was already recorded
	// in the health table.
	healthRecorded bool
	// forwarded is set if the answer is a stream, which reached the caller while it was read.
	forwarded bool
}

// recordFailure records in the health table that the endpoint failed the attempt,
// unless that was done before. It reports whether the endpoint is avoided from now
// on.
func (s *Server) recordFailure(a *attempt) (avoided bool) {
	return !a.healthRecorded && s.deps.Health.RecordFailure(a.inst.ID)
}

// servePlain serves a call on one of the endpoints of a plain service.
func (s *Server) servePlain(ctx context.Context, j *job) callEnd {
	tried := make(map[plank.EndpointID]bool)
	s.deps.Budgets.Of(j.service).AddRequest()
	p := newProgress(j.call)
	var last attempt
	for unreached := 0; unreached < maxUnsent; {
		inst, ok := s.pickReplica(j, tried)
		if !ok {
			break
		}
		tried[inst.ID] = true
		last = s.tryPlain(ctx, j, p, inst)
		if last.result == served || last.result == abandoned {
			break
		}
		if last.result == unsent {
			unreached++
			continue
		}
		if ctx.Err() != nil || !s.allowRetry(j, p, last.result) {
			break
		}
		if refusal := s.checkQuarantine(j); refusal != nil {
			return s.refuseQuarantined(j, p, refusal)
		}
	}
	if p.begun && last.result != served && last.result != abandoned && !j.callerLeft() {
		return callEnd{outcome: outcomeBroken}
	}
	return s.answerFromAttempt(ctx, j, last)
}

// allowRetry reports whether a call may be sent to another endpoint after an
// attempt with result r. If so, it takes a retry from the service's budget. Answers that
// have begun are only continued on routes that say so: two runs may differ.
func (s *Server) allowRetry(j *job, p *progress, r result) bool {
	if j.sends >= j.route.MaxAttempts || r != rejected && !j.route.Repeatable() || p.begun && !j.route.Resumable {
		return false
	}
	if !s.deps.Budgets.Of(j.service).TakeRetry() {
		j.log.Info("front: no retry left in the budget")
		return false
	}
	return true
}

// pickReplica selects an endpoint of the service that was not tried.
func (s *Server) pickReplica(j *job, tried map[plank.EndpointID]bool) (plank.Instance, bool) {
	calls := make(map[plank.EndpointID]int)
	now := s.deps.Clock.Now()
	s.deps.Mesh.Each(func(p *mesh.Peer) {
		if !p.IsAlive(now) {
			return
		}
		for id, f := range p.InFlight {
			calls[id] += f.Calls
		}
	})
	var replicas []pick.Replica
	var excluded exclusions
	v, hash := s.deps.View.Load(), evac.CallHash(j.call.ID)
	maxConns := v.Manifest.Services[j.service].MaxConns
	for _, inst := range v.Endpoints(j.service) {
		if excluded.addOut(inst, v) || excluded.add(inst, s.deps.Health) {
			continue
		}
		isCold := !s.deps.Chooser.Cold.Until(inst).IsZero()
		if !s.coldNextAt(inst, isCold).IsZero() {
			excluded.cold++
			continue
		}
		if maxConns > 0 && s.deps.InFlight.Count(inst.ID) >= maxConns {
			excluded.full++ // it would reset the connection
			continue
		}
		paces := s.deps.Chooser.Paces
		replicas = append(replicas, pick.Replica{
			Pace: paces.Pace(j.service, inst.Run()), Cold: isCold,
			Instance: inst, Calls: max(calls[inst.ID]+s.deps.InFlight.Count(inst.ID), paces.Load(inst.Run())),
			FailRate: s.deps.Health.FailRate(inst.ID), Avoid: s.deps.Health.IsAvoided(inst.ID) || v.HoldsBack(inst, hash, now), Remote: inst.Domain != s.deps.Domain,
		})
	}
	if len(replicas) == 0 {
		return plank.Instance{}, false
	}
	i := pick.LeastLoaded(replicas, xxhash.Sum64String(string(j.call.ID)), func(id plank.EndpointID) bool { return tried[id] })
	if i < 0 {
		return plank.Instance{}, false
	}
	r := replicas[i]
	if r.Cold && !s.deps.Portions.Take(r.Instance) {
		return s.pickReplica(j, tried) // another call took the portion meanwhile
	}
	fields := logrus.Fields{"endpoint": r.Instance.ID, "calls": r.Calls, "fail_rate": r.FailRate, "avoid": r.Avoid, "of": len(replicas)}
	if r.Pace > 0 {
		fields["pace"], fields["cost"] = r.Pace, r.Cost()
	}
	excluded.logTo(fields)
	j.log.WithFields(fields).Info("front: routed")
	return r.Instance, true
}

// tryPlain sends a call to one endpoint. It forwards the answer if that is a stream, and else
// reads it whole.
func (s *Server) tryPlain(ctx context.Context, j *job, p *progress, inst plank.Instance) attempt {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopTimer := s.limitAttempt(j, cancel)
	defer stopTimer()
	sentAt, calls := s.deps.Clock.Now(), s.deps.InFlight.Count(inst.ID)+1
	s.deps.InFlight.Add(inst.ID, plank.AdapterRef{}, 1)
	defer s.deps.InFlight.Add(inst.ID, plank.AdapterRef{}, -1)
	if p.begun {
		s.logContinued(j, p, inst)
	}
	a := attempt{inst: inst}
	a.reply, a.err = s.deps.Sender.Send(ctx, j.call, plank.Dispatch{Instance: inst, Workspace: j.workspaceID(), Deadline: j.deadline, Resume: p.lastID, Urgency: -1})
	if a.err == nil {
		defer a.reply.Body.Close()
	}
	s.receive(ctx, j, p, &a, func() { stopTimer() })
	if a.result == served {
		s.deps.Chooser.Paces.RecordPlain(j.service, inst.Run(), s.deps.Clock.Now().Sub(sentAt), calls, inst.Slots)
		s.recordBegun(j, &a)
	}
	s.recordHealth(j, &a)
	return a
}

// limitAttempt calls cancel when the time of an attempt is over, if another endpoint can be tried
// then, unless stop is called before. A stream has to begin in that time, another answer to end.
func (s *Server) limitAttempt(j *job, cancel func()) (stop func() bool) {
	now := s.deps.Clock.Now()
	timeout := attemptTimeoutFactor * j.route.TargetLatency
	if !j.route.Repeatable() || j.sends+1 >= j.route.MaxAttempts || timeout >= j.deadline.Sub(now)/2 {
		return func() bool { return false }
	}
	return time.AfterFunc(timeout, cancel).Stop
}

// receive forwards the answer of an attempt to the caller if that is a stream, and else reads it
// whole. It sets the attempt's result. onFirstEvent is called at the first event of a stream.
func (s *Server) receive(ctx context.Context, j *job, p *progress, a *attempt, onFirstEvent func()) {
	isStream := a.err == nil && j.isStream(a.reply)
	if a.err == nil && !isStream {
		a.body, a.err = s.bodies.read(ctx, a.reply.Body, budget.FromContext(ctx))
	}
	a.result = s.classify(ctx, j, a)
	switch {
	case a.result == served && isStream:
		a.forwarded = true
		a.result, a.err = s.relay(ctx, j, p, a, onFirstEvent)
		a.healthRecorded = a.healthRecorded || isStopping(ctx) || isOutOfMemory(a.err)
	case (a.result == served || a.result == failed) && p.begun:
		a.result, a.err = broken, &resumeError{a.reply.Status}
	}
}

// isStream reports whether an answer is a series of events, as the kind of the route or the
// answer itself says.
func (j *job) isStream(r *plank.Reply) bool {
	if r.Status != http.StatusOK || j.call.Method == http.MethodHead {
		return false
	}
	if j.route.Kind == plank.Streaming {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// classify returns the result of an attempt and updates the call's record of its
// attempts.
func (s *Server) classify(ctx context.Context, j *job, a *attempt) result {
	var sendErr *plank.SendError
	switch {
	case j.callerLeft():
		j.sends++
		j.mayHaveRun = true
		return abandoned
	case errors.As(a.err, &sendErr) && !sendErr.Sent:
		return unsent
	}
	j.sends++
	if a.err == nil && a.reply.NotRun {
		return rejected
	}
	j.mayHaveRun = true
	// An attempt that was cut, or whose answer found no memory here, says nothing of the endpoint.
	a.healthRecorded = isStopping(ctx) || isOutOfMemory(a.err)
	switch {
	case a.err != nil || a.reply.Encoded || !a.reply.Stamped:
		return broken
	case impliesNotRun(a.reply.Status):
		// To the caller, the status would mean that the call did not run, but the
		// endpoint does not state this.
		a.err = &statusError{a.reply.Status}
		return broken
	case a.reply.Status/100 == 2:
		return served
	}
	return failed
}

// impliesNotRun reports whether callers take a status to mean that the call did
// not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// A statusError reports an answer whose status cannot be forwarded.
type statusError struct {
	status int
}

// Error implements error.
func (e *statusError) Error() string {
	return "status " + strconv.Itoa(e.status) + " for a call that may have run"
}

// recordHealth updates the health of an attempt's endpoint and logs a failure.
func (s *Server) recordHealth(j *job, a *attempt) {
	log := j.log.WithFields(logrus.Fields{"endpoint": a.inst.ID, "sends": j.sends})
	switch a.result {
	case served:
		if s.deps.Health.RecordSuccess(a.inst.ID) {
			log.Info("front: an endpoint that was avoided answers again")
		}
		return
	case abandoned:
		return
	case unsent:
		if !isOutOfService(a.err) {
			s.deps.Health.RecordUnreachable(a.inst.ID)
			s.recordRefused(j, a)
			log = log.WithField("avoided", true)
		}
	case rejected:
		s.deps.Health.RecordRefusal(a.inst.ID)
		log = log.WithField("status", a.reply.Status)
	case failed:
		log = log.WithFields(logrus.Fields{"status": a.reply.Status, "avoided": s.recordFailure(a)})
	case broken:
		log = log.WithField("avoided", s.recordFailure(a))
		s.checkCrash(j, a)
	}
	if a.err != nil {
		log = log.WithError(a.err)
	}
	log.WithField("result", a.result.String()).Info("front: attempt failed")
}

// recordBegun records that the answer of an attempt has begun.
func (s *Server) recordBegun(j *job, a *attempt) {
	if !a.begun {
		a.begun = true
		s.deps.Requests.RecordServed(j.fingerprint)
		s.deps.Parts.RecordBegun(j.call.Parts)
	}
}

// checkCrash checks in the background whether the endpoint crashed while it ran the
// attempt. It records the crash against the request if there was no event yet, and against
// the parts of its prompt if the answer had not begun. Only a refused connection shows a
// crash: one that is not answered may lead to an endpoint that is cut off or paused.
func (s *Server) checkCrash(j *job, a *attempt) {
	if s.deps.Clock.Now().After(j.deadline) || s.deps.Chooser.isOut(a.inst) {
		return // the attempt ended at the deadline, or the endpoint gets no probes
	}
	inst, begun, hasEvent := a.inst, a.begun, !j.firstEventAt.IsZero()
	go func() {
		err := s.deps.Probe(inst)
		if err == nil {
			return
		}
		log := j.log.WithFields(logrus.Fields{
			"endpoint": inst.ID, "born": inst.Born.UnixMilli(), "print": hex.EncodeToString([]byte(j.fingerprint)), "parts": j.call.Parts, "begun": begun,
		})
		s.deps.Health.RecordUnreachable(inst.ID)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			log.WithError(err).Info("front: the endpoint does not answer after the call")
			return
		}
		log.Info("front: the endpoint crashed during the call")
		if !hasEvent {
			s.deps.Requests.RecordCrash(inst.Run(), j.fingerprint)
		}
		if !begun {
			s.deps.Parts.RecordCrash(inst.Run(), j.fingerprint, j.call.Parts)
		}
	}()
}

// answerFromAttempt ends a call with the answer of its last attempt, or with a
// refusal if that has none.
func (s *Server) answerFromAttempt(ctx context.Context, j *job, a attempt) callEnd {
	switch {
	case a.forwarded && a.result == served:
		return callEnd{outcome: outcomeServed, status: a.reply.Status}
	case a.result == abandoned, j.callerLeft():
		return callEnd{outcome: outcomeLeft}
	case j.sends > 0 && (a.result == served || a.result == failed):
		if err := j.w.Respond(a.reply.Head, a.body); err != nil {
			j.log.WithError(err).Debug("front: caller disconnected before the answer was written")
		}
		return callEnd{outcome: outcomeServed, status: a.reply.Status}
	case !j.mayHaveRun:
		return s.refuse(j.w, j.log, s.noEndpoint(ctx, j, "no endpoint of %s took the call", noEndpointRetry))
	}
	return s.refuse(j.w, j.log, s.failure(ctx))
}

// noEndpoint returns the refusal of a call that did not run for lack of an endpoint. retry is
// the time after which the caller may try again. If all endpoints want a pause, it is when the
// first of them wants calls again, spread so that not all callers return at once, or 0 if the
// call's deadline comes before. It is 0 as well if all endpoints are out of service, since the
// operators decide when they return.
func (s *Server) noEndpoint(ctx context.Context, j *job, format string, retry time.Duration) *plank.RefusalError {
	if isStopping(ctx) {
		return refuseStopping("the process ends before the call ran")
	}
	r := plank.Refuse(plank.CodeNoEndpoint, format, j.service)
	r.RetryAfter = retry
	if s.deps.Chooser.isAllOut(j.service) {
		r.Detail, r.RetryAfter = "all endpoints of "+string(j.service)+" are out of service", 0
		return r
	}
	if until := s.deps.Chooser.pauseEnd(j.service); !until.IsZero() {
		spread := time.Duration(xxhash.Sum64String(string(j.call.ID)) % uint64(pauseSpread))
		at := until.Add(spread)
		r.Detail = "all endpoints of " + string(j.service) + " want no calls for now"
		r.RetryAfter = max(retry, at.Sub(s.deps.Clock.Now()))
		if at.After(j.deadline) {
			r.RetryAfter = 0
		}
	}
	if j.pool != nil {
		return r // the holders say when their engines have room
	}
	if until := s.coldEnd(j.service); !until.IsZero() {
		spread := time.Duration(xxhash.Sum64String(string(j.call.ID)) % uint64(pauseSpread))
		r.Detail = "all endpoints of " + string(j.service) + " are cold"
		r.RetryAfter = max(r.RetryAfter, until.Add(spread).Sub(s.deps.Clock.Now()))
	}
	return r
}

// failure returns the error answer to a call that may have run.
func (s *Server) failure(ctx context.Context) *plank.RefusalError {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &plank.RefusalError{Code: plank.CodeDeadlineExceeded, Ran: plank.Unknown, Detail: "no answer in time"}
	}
	if isStopping(ctx) {
		return &plank.RefusalError{Code: plank.CodeNotReady, Ran: plank.Unknown, Detail: "the process ends before the endpoint answered"}
	}
	return &plank.RefusalError{Code: plank.CodeEndpoint, Ran: plank.Unknown, Detail: "the endpoint broke off"}
}

// String returns the result's name as it appears in logs.
func (r result) String() string {
	return [...]string{"served", "unsent", "rejected", "failed", "broken", "abandoned"}[r]
}
