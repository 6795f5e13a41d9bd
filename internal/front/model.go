package front

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/grant"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/pause"
	"knapweedplank.org/plank/internal/pick"
	"knapweedplank.org/plank/internal/sse"
)

const (
	// maxReservations bounds the engines that are asked for room for one call.
	maxReservations = 3
	// lateWait is how much longer than until it is late a call waits for room.
	// Until then calls that can still be in time go first.
	lateWait = time.Second
	// maxHolderWait is how long a call waits for any engine's holder; a lease
	// is taken within it when all VMs have started anew.
	maxHolderWait = 800 * time.Millisecond
	holderPace    = 20 * time.Millisecond
	// stallTime is how long a call may be on an engine without a first event until
	// the engine counts as failing: prompts of a second may be ahead of it, and
	// the largest takes another second.
	stallTime = 2 * time.Second
	// minRun is the least time in which a call can still be served, beside the
	// reading of its prompt.
	minRun = 100 * time.Millisecond
	// fullRetry is when a caller may come back when no engine has room.
	fullRetry = 400 * time.Millisecond
	// outputShare is the part of the most output tokens that a call without an
	// estimate is expected to need.
	outputShare = 0.5
	// maxFailRate is from which part of failed calls on an engine is left out.
	maxFailRate = 0.3
	// maxUrgency is the last rank that engines know.
	maxUrgency = 9
)

// serveModel serves a call of a model engine.
func (s *Server) serveModel(ctx context.Context, j *job) end {
	s.deps.Budgets.Of(j.service).AddRequest()
	s.awaitHolder(ctx, j)
	skip := make(map[plank.EndpointID]bool)
	p := &progress{lastID: j.call.LastEvent, order: sse.NewOrder(j.call.LastEvent)}
	retry := time.Duration(0)
	for n := 0; n < maxReservations; n++ {
		inst, res, err := s.reserve(ctx, j, skip)
		if err != nil {
			retry = err.RetryAfter
			if inst.ID == "" {
				break
			}
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
			skip[inst.ID] = false // it may hold the adapter next time
		}
		if !s.mayRepeat(j, r) {
			break
		}
	}
	return s.endModel(ctx, j, p, retry)
}

// awaitHolder waits while no engine of the service has a holder that is heard,
// as in the first moments after a restart of all VMs.
func (s *Server) awaitHolder(ctx context.Context, j *job) {
	until := s.deps.Clock.Now().Add(min(maxHolderWait, j.route.TargetLatency))
	for !s.hasHolder(j) && s.deps.Clock.Now().Before(until) {
		if !pause.For(ctx, holderPace) {
			return
		}
	}
}

// hasHolder tells whether any holder is heard.
func (s *Server) hasHolder(j *job) bool {
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

// endModel ends a call that could not be served.
func (s *Server) endModel(ctx context.Context, j *job, p *progress, retry time.Duration) end {
	switch {
	case j.left():
		return end{outcome: outcomeLeft}
	case p.begun:
		return end{outcome: outcomeBroken}
	case j.ran:
		return s.refuse(j.w, j.log, s.failure(ctx))
	}
	r := plank.Refuse(plank.CodeNoEndpoint, "no engine of %s has room", j.service)
	r.RetryAfter = max(retry, fullRetry)
	return s.refuse(j.w, j.log, r)
}

// work describes the call to the choice of an engine.
func (j *job) work() pick.Call {
	w := pick.Call{Adapter: j.call.Adapter, Prompt: j.call.PromptTokens, Output: outputShare * j.call.MaxOutputTokens}
	if j.call.Hint > 0 {
		w.Output = min(j.call.Hint, j.call.MaxOutputTokens)
	}
	return w
}

// reserve chooses an engine and gets room on it. The engine is named with the
// refusal if there was one to ask.
func (s *Server) reserve(ctx context.Context, j *job, skip map[plank.EndpointID]bool) (plank.Instance, Reservation, *plank.RefusalError) {
	w := j.work()
	now := s.deps.Clock.Now()
	w.Target = j.target.Sub(now)
	until := s.waitLimit(j, now)
	if !until.After(now) {
		return plank.Instance{}, nil, noCapacity("no room in time", 0)
	}
	r := grant.Request{
		ID: j.call.ID, Adapter: w.Adapter, Version: j.view.Versions[w.Adapter], Prompt: w.Prompt, Output: w.Output,
		Priority: j.priority, Target: j.target, Deadline: until, Skip: s.unfit(j, skip),
	}
	choice, ok := s.deps.Chooser.Choose(j.service, j.pool, w, func(id plank.EndpointID) bool { return skip[id] })
	if !choice.StateKnown {
		return s.reserveAny(ctx, j, w, r)
	}
	if !ok {
		return plank.Instance{}, nil, noCapacity("no engine to ask", 0)
	}
	if now.Add(choice.Expected).After(j.deadline.Add(-minRun)) {
		return plank.Instance{}, nil, noCapacity("no engine in time", choice.Expected/2)
	}
	log := j.log.WithFields(choice.fields()).WithField("adapter", w.Adapter.String())
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

// waitLimit returns until when a call waits for room.
func (s *Server) waitLimit(j *job, now time.Time) time.Time {
	from := j.target
	if j.sends > 0 && from.Before(now) {
		from = now // a stream that is carried on
	}
	return roomLimit(from, j.deadline, j.call.PromptTokens)
}

// roomLimit returns until when room is of use to a call: a while after its
// target, and no longer than its answer can still begin before its deadline.
func roomLimit(target, deadline time.Time, prompt plank.Tokens) time.Time {
	until := target.Add(lateWait)
	if last := deadline.Add(-minRun - pick.PrefillTime(prompt)); last.Before(until) {
		return last
	}
	return until
}

// reserveAny lets a holder choose, in a fleet that is too large for each VM to
// know all engines. The holder of the own domain is asked first.
func (s *Server) reserveAny(ctx context.Context, j *job, w pick.Call, r grant.Request) (plank.Instance, Reservation, *plank.RefusalError) {
	now := s.deps.Clock.Now()
	for _, holder := range s.holders(now) {
		inst, res, err := s.deps.Reserver.ReserveAny(ctx, holder, AnyRequest{Request: r, Service: j.service})
		log := j.log.WithFields(logrus.Fields{
			"endpoint": inst.ID, "adapter": w.Adapter.String(), "holder": holder, "waited_ms": s.deps.Clock.Now().Sub(now).Milliseconds(),
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
	return plank.Instance{}, nil, noCapacity("no holder answers", fullRetry)
}

// holders returns the addresses of the VMs with duties, the own domain's first.
func (s *Server) holders(now time.Time) []string {
	var near, far []string
	s.deps.Mesh.Each(func(p *mesh.Peer) {
		if !p.IsAlive(now) || len(p.Leases) == 0 {
			return
		}
		if _, ok := p.Leases[s.deps.Domain]; ok {
			near = append(near, p.Address)
		} else {
			far = append(far, p.Address)
		}
	})
	slices.Sort(far) // asked in the same order at each call
	holders := append(near, far...)
	slices.SortStableFunc(holders, func(a, b string) int {
		switch doubtA, doubtB := s.deps.Chooser.IsUnresponsive(a), s.deps.Chooser.IsUnresponsive(b); {
		case doubtA == doubtB:
			return 0
		case doubtA:
			return 1
		}
		return -1
	})
	return holders
}

// unfit lists the engines that were tried, and those that fail this VM.
func (s *Server) unfit(j *job, skip map[plank.EndpointID]bool) []plank.EndpointID {
	var out []plank.EndpointID
	for id, tried := range skip {
		if tried {
			out = append(out, id) // also of engines that are not known here yet
		}
	}
	for _, inst := range s.deps.View.Load().Endpoints(j.service) {
		if s.deps.Health.IsAvoided(inst.ID) || s.deps.Health.FailRate(inst.ID) > maxFailRate {
			out = append(out, inst.ID)
		}
	}
	return out
}

// reserveOn asks an engine's holder for room. If the holder cannot be asked, an
// engine that was known to hold the adapter is used without.
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
	if c.State.State != nil && (c.Engine.Resident && !c.Engine.Stale || r.Adapter.Name == "") {
		return c.Engine.Instance, unmanagedReservation{version: residentVersion(c.State.State, r.Adapter)}, nil
	}
	return c.Engine.Instance, nil, noCapacity("nobody orders the engine", fullRetry)
}

// tryModel sends a call to an engine and passes its events on.
func (s *Server) tryModel(ctx context.Context, j *job, p *progress, inst plank.Instance, res Reservation) (result, end) {
	defer res.Release()
	s.deps.InFlight.Add(inst.ID, j.call.Adapter, 1)
	defer s.deps.InFlight.Add(inst.ID, j.call.Adapter, -1)
	var stalled atomic.Bool // the engine was judged for it
	stall := time.AfterFunc(stallTime, func() {
		stalled.Store(true)
		j.log.WithFields(logrus.Fields{"endpoint": inst.ID, "after_ms": stallTime.Milliseconds()}).Info("front: no first event yet")
		s.deps.Health.RecordFailure(inst.ID)
		res.Failed(true)
	})
	defer stall.Stop()
	if p.begun {
		j.log.WithFields(logrus.Fields{"endpoint": inst.ID, "after_event": p.lastID, "sends": j.sends}).Info("front: stream carried on")
	}
	a := attempt{inst: inst}
	a.reply, a.err = s.deps.Sender.Send(ctx, j.call, plank.Dispatch{
		Instance: inst, Workspace: j.workspaceID(), Deadline: j.deadline, Version: res.Version(),
		Resume: p.lastID, Urgency: min(maxUrgency, max(0, j.priority)),
	})
	var e end
	isStream := a.err == nil && a.reply.Status == 200
	if a.err == nil {
		defer a.reply.Body.Close()
		if !isStream {
			a.body, a.err = s.bodies.read(a.reply.Body)
		}
	}
	a.result = s.classify(j, &a)
	if a.result == served && isStream {
		a.result, a.err = s.relay(j, p, a.reply, func() {
			stall.Stop()
			res.Began()
		})
		e = end{outcome: outcomeServed, status: a.reply.Status}
	}
	if a.result == failed {
		e = s.answerPlain(ctx, j, a)
	}
	if a.result == abandoned {
		e = end{outcome: outcomeLeft}
	}
	switch {
	case a.result == rejected && a.reply.Status == 421:
		res.Missing()
	case a.result == unsent:
		res.Failed(false)
	case (a.result == broken || a.result == failed) && !stalled.Load():
		res.Failed(true)
	}
	a.judged = stalled.Load()
	s.judge(j, &a)
	return a.result, e
}
