package front

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/evac"
	"knapweedplank.org/plank/internal/grant"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/pause"
	"knapweedplank.org/plank/internal/pick"
)

const (
	// maxReservations bounds the reservations requested for one call.
	maxReservations = 3
	// maxWaitPastTarget is how long after its target time a call still waits for
	// a reservation. Calls that can meet their target are served before late ones.
	maxWaitPastTarget = time.Second
	// maxHolderWait bounds the wait until any engine of the service has a lease
	// holder. After a restart of all VMs a lease is acquired within this time.
	maxHolderWait = 800 * time.Millisecond
	// holderPollInterval is the time between checks for a holder.
	holderPollInterval = 20 * time.Millisecond
	// firstEventTimeout is how long a call may run on an engine without a first
	// event before the engine counts as failing. One second of prefill may be
	// ahead of the call, and the largest prompt takes another second.
	firstEventTimeout = 2 * time.Second
	// minServeTime is the least time left before the deadline in which a call can
	// still be served, in addition to its prefill.
	minServeTime = 100 * time.Millisecond
	// noCapacityRetry is the Retry-After time if no engine has capacity.
	noCapacityRetry = 400 * time.Millisecond
	// noHolderRetry is the Retry-After time if no lease holder answers: another VM acquires
	// the lease of a holder that is slow or silent within about a second.
	noHolderRetry = time.Second
	// defaultOutputFraction is the fraction of its maximum output tokens that a
	// call without an estimate is expected to generate.
	defaultOutputFraction = 0.5
	// maxFailRate is the fraction of failed calls above which an engine is excluded.
	maxFailRate = 0.3
	// maxUrgency is the least urgent rank that engines accept; 0 is the most urgent.
	maxUrgency = 9
)

// serveModel serves a call on one of the service's model engines.
func (s *Server) serveModel(ctx context.Context, j *job) callEnd {
	s.deps.Budgets.Of(j.service).AddRequest()
	p := newProgress(j.call)
	unusable := func() bool {
		return !s.deps.Chooser.pauseEnd(j.service).IsZero() || s.deps.Chooser.isAllOut(j.service)
	}
	if !unusable() {
		s.awaitHolder(ctx, j)
	}
	skip := make(map[plank.EndpointID]bool)
	retry := time.Duration(0)
	for n := 0; n < maxReservations && !unusable(); n++ {
		inst, res, err := s.reserve(ctx, j, skip)
		if err != nil {
			retry = err.RetryAfter
			if inst.ID == "" {
				break
			}
			skip[inst.ID] = true
			continue
		}
		if refusal := s.checkQuarantine(j); refusal != nil {
			res.Release()
			return s.refuseQuarantined(j, p, refusal)
		}
		if !s.deps.Chooser.isAvailable(inst) {
			j.log.WithField("endpoint", inst.ID).Info("front: the granted engine leaves, is gone, wants a pause or is out of service")
			res.Release()
			skip[inst.ID] = true
			continue
		}
		r, e := s.tryModel(ctx, j, p, inst, res)
		if r == served || r == failed || r == abandoned {
			return e
		}
		skip[inst.ID] = true
		if r == unsent {
			continue
		}
		if r == rejected {
			skip[inst.ID] = false // the engine may hold the adapter at the next attempt
		}
		if ctx.Err() != nil || !s.allowRetry(j, p, r) {
			break
		}
	}
	return s.answerUnserved(ctx, j, p, retry)
}

// awaitHolder waits while no engine of the service has a live holder, as happens
// shortly after a restart of all VMs.
func (s *Server) awaitHolder(ctx context.Context, j *job) {
	until := s.deps.Clock.Now().Add(min(maxHolderWait, j.route.TargetLatency))
	for !s.hasLiveHolder(j) && s.deps.Clock.Now().Before(until) {
		if !pause.For(ctx, holderPollInterval) {
			return
		}
	}
}

// hasLiveHolder reports whether any dispatch lease has a live holder, or any engine
// of the call's service.
func (s *Server) hasLiveHolder(j *job) bool {
	if len(s.holders(s.deps.Clock.Now())) > 0 {
		return true
	}
	for _, inst := range s.deps.View.Load().Endpoints(j.service) {
		if _, alive := s.deps.Mesh.Engine(inst.ID); alive {
			return true
		}
	}
	return false
}

// answerUnserved ends a call that no engine served.
func (s *Server) answerUnserved(ctx context.Context, j *job, p *progress, retry time.Duration) callEnd {
	switch {
	case j.callerLeft():
		return callEnd{outcome: outcomeLeft}
	case p.begun:
		return callEnd{outcome: outcomeBroken}
	case j.mayHaveRun:
		return s.refuse(j.w, j.log, s.failure(ctx))
	}
	return s.refuse(j.w, j.log, s.noEndpoint(ctx, j, "no engine of %s has room", max(retry, noCapacityRetry)))
}

// refuseQuarantined ends a call that was quarantined, or a part of its prompt, while it waited
// or between two attempts.
func (s *Server) refuseQuarantined(j *job, p *progress, r *plank.RefusalError) callEnd {
	if p.begun {
		return callEnd{outcome: outcomeBroken}
	}
	if j.mayHaveRun {
		r.Ran = plank.Unknown
	}
	return s.refuse(j.w, j.log, r)
}

// pickCall returns the call with its expected output, for the selection of an engine.
func (j *job) pickCall() pick.Call {
	call := pick.Call{Adapter: j.call.Adapter, Prompt: j.call.PromptTokens, Output: defaultOutputFraction * j.call.MaxOutputTokens, Hash: evac.CallHash(j.call.ID)}
	if j.call.Hint > 0 {
		call.Output = min(j.call.Hint, j.call.MaxOutputTokens)
	}
	return call
}

// reserve selects an engine and reserves capacity on it. With a refusal it returns
// the engine whose reservation was refused, if there was one.
func (s *Server) reserve(ctx context.Context, j *job, skip map[plank.EndpointID]bool) (plank.Instance, Reservation, *plank.RefusalError) {
	call := j.pickCall()
	now := s.deps.Clock.Now()
	call.Target = j.target.Sub(now)
	if s.deps.Chooser.Paces.IsLearned(j.service) {
		call.MaxGap, call.Left = j.route.MaxGap, j.deadline.Sub(now)
	}
	until := s.reservationDeadline(j, now)
	if !until.After(now) {
		return plank.Instance{}, nil, noCapacity("no room in time", 0)
	}
	r := grant.Request{
		ID: j.call.ID, Adapter: call.Adapter, Version: j.view.Versions[call.Adapter], Prompt: call.Prompt, Output: call.Output, MaxGap: call.MaxGap,
		Priority: j.priority, Target: j.target, Deadline: until, Skip: s.excluded(j, skip),
	}
	s.setParts(j, &call, &r)
	choice, ok := s.deps.Chooser.Choose(j.service, j.pool, call, func(id plank.EndpointID) bool { return skip[id] })
	if !choice.AnyStateKnown {
		return s.reserveAny(ctx, j, call, r)
	}
	if !ok {
		fields := logrus.Fields{"adapter": call.Adapter.String()}
		choice.excluded.logTo(fields)
		refusal := noCapacity("no engine to ask", 0)
		j.log.WithFields(fields).WithError(refusal).Info("front: not reserved")
		return plank.Instance{}, nil, refusal
	}
	if now.Add(choice.Expected).After(j.deadline.Add(-minServeTime)) {
		return plank.Instance{}, nil, noCapacity("no engine in time", choice.Expected/2)
	}
	log := j.log.WithFields(choice.logFields()).WithField("adapter", call.Adapter.String())
	inst, res, err := s.reserveOn(ctx, j, choice, r)
	metrics.GetOrRegisterTimer("Front.ReserveWait", s.deps.Metrics).Update(s.deps.Clock.Now().Sub(now))
	log = log.WithField("waited_ms", s.deps.Clock.Now().Sub(now).Milliseconds())
	if err != nil {
		log.WithError(err).Info("front: not reserved")
		return choice.Engine.Instance, nil, err
	}
	log.WithFields(logrus.Fields{"version": res.Version(), "granted_on": inst.ID}).Info("front: reserved")
	return inst, res, nil
}

// reservationDeadline returns the time until which a call waits for a reservation.
func (s *Server) reservationDeadline(j *job, now time.Time) time.Time {
	from := j.target
	if j.sends > 0 && from.Before(now) {
		from = now // an interrupted stream is resumed
	}
	return latestReservation(from, j.deadline, j.call.PromptTokens)
}

// latestReservation returns the latest useful time of a reservation:
// maxWaitPastTarget after the target, or earlier if the answer could otherwise not
// begin before the deadline.
func latestReservation(target, deadline time.Time, prompt plank.Tokens) time.Time {
	until := target.Add(maxWaitPastTarget)
	if last := deadline.Add(-minServeTime - pick.PrefillTime(prompt)); last.Before(until) {
		return last
	}
	return until
}

// reserveAny lets a holder select the engine. It is used in fleets that are too
// large for each VM to have the state of all engines. The holder of this VM's
// failure domain is tried first.
func (s *Server) reserveAny(ctx context.Context, j *job, call pick.Call, r grant.Request) (plank.Instance, Reservation, *plank.RefusalError) {
	now := s.deps.Clock.Now()
	for _, holder := range s.holders(now) {
		if !s.deps.Chooser.MayAsk(holder) {
			continue
		}
		inst, res, err := s.deps.Reserver.ReserveAny(ctx, holder, AnyRequest{Request: r, Service: j.service})
		log := j.log.WithFields(logrus.Fields{
			"endpoint": inst.ID, "adapter": call.Adapter.String(), "holder": holder, "waited_ms": s.deps.Clock.Now().Sub(now).Milliseconds(),
		})
		var refusal *plank.RefusalError
		switch {
		case err == nil:
			log.WithField("version", res.Version()).Info("front: reserved")
			return inst, res, nil
		case errors.As(err, &refusal):
			log.WithError(err).Info("front: not reserved")
			return inst, nil, refusal
		}
		log.WithError(err).Warn("front: a holder does not answer")
	}
	return plank.Instance{}, nil, noCapacity("no holder answers", noHolderRetry)
}

// holders returns the addresses of the live VMs that hold dispatch leases. The
// holder of this VM's domain comes first.
func (s *Server) holders(now time.Time) []string {
	var ownDomain, otherDomains []string
	s.deps.Mesh.Each(func(p *mesh.Peer) {
		if !p.IsAlive(now) || len(p.Leases) == 0 {
			return
		}
		if _, ok := p.Leases[s.deps.Domain]; ok {
			ownDomain = append(ownDomain, p.Address)
		} else {
			otherDomains = append(otherDomains, p.Address)
		}
	})
	slices.Sort(otherDomains) // for the same order in each call
	return append(ownDomain, otherDomains...)
}

// excluded returns the engines that were tried, are avoided or fail too many
// calls.
func (s *Server) excluded(j *job, skip map[plank.EndpointID]bool) []plank.EndpointID {
	var out []plank.EndpointID
	for id, tried := range skip {
		if tried {
			out = append(out, id) // even if this VM does not know the engine yet
		}
	}
	for _, inst := range s.deps.View.Load().Endpoints(j.service) {
		if s.deps.Health.IsPaused(inst.Run()) || s.deps.Health.IsAvoided(inst.ID) || s.deps.Health.FailRate(inst.ID) > maxFailRate {
			out = append(out, inst.ID)
		}
	}
	return out
}

// reserveOn requests a reservation from the holder of the selected engine. If the
// holder is unavailable, the engine is used without a reservation, provided that
// its last known state lists the current version of the adapter, or that the call
// needs no adapter, and that the engine is not cold.
func (s *Server) reserveOn(ctx context.Context, j *job, c Choice, r grant.Request) (plank.Instance, Reservation, *plank.RefusalError) {
	var refusal *plank.RefusalError
	if c.Engine.StateKnown {
		inst, res, err := s.deps.Reserver.Reserve(ctx, c.State, c.Engine.Instance, r)
		if err == nil {
			return inst, res, nil
		}
		if errors.As(err, &refusal) {
			return inst, nil, refusal
		}
		j.log.WithField("endpoint", c.Engine.Instance.ID).WithError(err).Warn("front: the holder of an engine does not answer")
	}
	if c.State.State != nil && (c.Engine.Resident && !c.Engine.Stale || r.Adapter.Name == "") && !s.deps.Chooser.isCold(c.Engine.Instance, c.State) {
		return c.Engine.Instance, unmanagedReservation{version: residentVersion(c.State.State, r.Adapter)}, nil
	}
	return c.Engine.Instance, nil, noCapacity("nobody orders the engine", noCapacityRetry)
}

// A resumeError reports that an engine answered the continuation of a stream with a whole
// answer, which cannot follow the events that the caller has received.
type resumeError struct {
	status int
}

// Error implements error.
func (e *resumeError) Error() string {
	return "status " + strconv.Itoa(e.status) + " for the continuation of a stream"
}

// tryModel sends a call to an engine and forwards the stream's events.
func (s *Server) tryModel(ctx context.Context, j *job, p *progress, inst plank.Instance, res Reservation) (result, callEnd) {
	defer res.Release()
	s.deps.InFlight.Add(inst.ID, j.call.Adapter, 1)
	defer s.deps.InFlight.Add(inst.ID, j.call.Adapter, -1)
	var stalled atomic.Bool // the missing first event was recorded as a failure
	stallTimer := time.AfterFunc(firstEventTimeout, func() {
		stalled.Store(true)
		j.log.WithFields(logrus.Fields{"endpoint": inst.ID, "after_ms": firstEventTimeout.Milliseconds()}).Info("front: no first event yet")
		s.deps.Health.RecordFailure(inst.ID)
		res.MarkFailed(true)
	})
	defer stallTimer.Stop()
	if p.begun {
		s.logContinued(j, p, inst)
	}
	a := attempt{inst: inst}
	a.reply, a.err = s.deps.Sender.Send(ctx, j.call, plank.Dispatch{
		Instance: inst, Workspace: j.workspaceID(), Deadline: j.deadline, Version: res.Version(),
		Resume: p.lastID, Urgency: min(maxUrgency, max(0, j.priority)),
	})
	s.reportCold(inst, res)
	if a.err == nil {
		defer a.reply.Body.Close()
		if a.reply.Stamped && a.reply.Status/100 == 2 {
			res.ReportPace(PaceReport{Stated: a.reply.Pace})
		}
	}
	s.receive(ctx, j, p, &a, func() {
		stallTimer.Stop()
		res.MarkStarted()
	})
	if a.forwarded && s.deps.Chooser.Paces.IsLearned(j.service) {
		res.ReportPace(PaceReport{Step: a.steps.step(j.pool.EventTokens)})
	}
	var e callEnd
	if a.result == served || a.result == failed {
		e = s.answerFromAttempt(ctx, j, a)
	}
	if a.result == abandoned {
		e = callEnd{outcome: outcomeLeft}
	}
	switch {
	case a.result == rejected && a.reply.Status == 421:
		res.MarkAdapterMissing()
	case a.result == unsent && !isOutOfService(a.err):
		res.MarkFailed(false)
	case (a.result == broken || a.result == failed) && !stalled.Load() && !isStopping(ctx) && !isOutOfMemory(a.err):
		res.MarkFailed(true)
	}
	a.healthRecorded = stalled.Load() || isStopping(ctx) || isOutOfMemory(a.err)
	s.recordHealth(j, &a)
	return a.result, e
}
