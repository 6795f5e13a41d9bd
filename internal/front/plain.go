package front

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/pick"
)

const (
	// patienceFactor is how many times the target an attempt may take, when
	// the call may be sent to another endpoint.
	patienceFactor = 2
	// maxUnsent bounds the endpoints that are tried without being reached.
	maxUnsent = 4
	// busyRetry is when a caller may come back whose call no endpoint took.
	busyRetry = 150 * time.Millisecond
)

// A result is what became of one attempt.
type result int

const (
	served    result = iota // the answer is complete
	unsent                  // the endpoint was not reached
	rejected                // the endpoint says that it did not run the call
	failed                  // the endpoint's own failure, complete
	broken                  // no usable answer; the call may have run
	abandoned               // the caller left or its time is over
)

// An attempt is one sending of a call and its answer.
type attempt struct {
	inst   plank.Instance
	result result
	reply  *plank.Reply
	body   []byte
	err    error
	// judged is set when the endpoint has been judged for the attempt already.
	judged bool
}

// bad records that the endpoint failed the attempt, once.
func (s *Server) bad(a *attempt) (avoided bool) {
	return !a.judged && s.deps.Health.RecordFailure(a.inst.ID)
}

// servePlain serves a call of a plain service.
func (s *Server) servePlain(ctx context.Context, j *job) end {
	tried := make(map[plank.EndpointID]bool)
	s.deps.Budgets.Of(j.service).AddRequest()
	var last attempt
	for unreached := 0; unreached < maxUnsent; {
		inst, ok := s.pickReplica(j, tried)
		if !ok {
			break
		}
		tried[inst.ID] = true
		last = s.tryPlain(ctx, j, inst)
		if last.result == served || last.result == abandoned {
			break
		}
		if last.result == unsent {
			unreached++
			continue
		}
		if !s.mayRepeat(j, last.result) {
			break
		}
	}
	return s.answerPlain(ctx, j, last)
}

// mayRepeat tells whether a call may be sent to another endpoint, and takes it
// from the budget.
func (s *Server) mayRepeat(j *job, r result) bool {
	if j.sends >= j.route.MaxAttempts || r != rejected && !j.route.Repeatable() {
		return false
	}
	if !s.deps.Budgets.Of(j.service).TakeRetry() {
		j.log.Info("front: no retry left in the budget")
		return false
	}
	return true
}

// pickReplica chooses an endpoint that was not tried.
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
	for _, inst := range s.deps.View.Load().Endpoints(j.service) {
		if inst.Leaving {
			continue
		}
		replicas = append(replicas, pick.Replica{
			Instance: inst, Calls: calls[inst.ID] + s.deps.InFlight.Count(inst.ID),
			FailRate: s.deps.Health.FailRate(inst.ID), Avoid: s.deps.Health.IsAvoided(inst.ID), Remote: inst.Domain != s.deps.Domain,
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
	j.log.WithFields(logrus.Fields{
		"endpoint": r.Instance.ID, "calls": r.Calls, "fail_rate": r.FailRate, "avoid": r.Avoid, "of": len(replicas),
	}).Info("front: routed")
	return r.Instance, true
}

// tryPlain sends a call to one endpoint and reads the whole answer.
func (s *Server) tryPlain(ctx context.Context, j *job, inst plank.Instance) attempt {
	deadline := j.deadline
	if j.route.Repeatable() && j.sends+1 < j.route.MaxAttempts {
		now := s.deps.Clock.Now()
		if d := now.Add(patienceFactor * j.route.TargetLatency); d.Before(now.Add(deadline.Sub(now) / 2)) {
			var cancel context.CancelFunc
			ctx, cancel = context.WithDeadline(ctx, d)
			defer cancel()
		}
	}
	s.deps.InFlight.Add(inst.ID, plank.AdapterRef{}, 1)
	defer s.deps.InFlight.Add(inst.ID, plank.AdapterRef{}, -1)
	reply, err := s.deps.Sender.Send(ctx, j.call, plank.Dispatch{Instance: inst, Workspace: j.workspaceID(), Deadline: deadline, Urgency: -1})
	a := attempt{inst: inst, reply: reply, err: err}
	if err == nil {
		defer reply.Body.Close()
		a.body, a.err = s.bodies.read(reply.Body)
	}
	a.result = s.classify(j, &a)
	s.judge(j, &a)
	return a
}

// classify tells what became of an attempt.
func (s *Server) classify(j *job, a *attempt) result {
	var send *plank.SendError
	switch {
	case j.left():
		j.sends++
		j.ran = true
		return abandoned
	case errors.As(a.err, &send) && !send.Sent:
		return unsent
	}
	j.sends++
	if a.err == nil && a.reply.NotRun {
		return rejected
	}
	j.ran = true
	switch {
	case a.err != nil || a.reply.Encoded || !a.reply.Stamped:
		return broken
	case promises(a.reply.Status):
		// The endpoint does not say that it has not run the call, which the
		// status would tell the caller.
		a.err = &statusError{a.reply.Status}
		return broken
	case a.reply.Status/100 == 2:
		return served
	}
	return failed
}

// promises tells whether a status tells callers that the call has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// A statusError reports an answer that cannot be passed on.
type statusError struct {
	status int
}

// Error returns the message.
func (e *statusError) Error() string {
	return "status " + strconv.Itoa(e.status) + " for a call that may have run"
}

// judge records what the attempt tells of its endpoint.
func (s *Server) judge(j *job, a *attempt) {
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
		s.deps.Health.RecordUnreachable(a.inst.ID)
		log = log.WithField("avoided", true)
	case rejected:
		s.deps.Health.RecordRefusal(a.inst.ID)
		log = log.WithField("status", a.reply.Status)
	case failed:
		log = log.WithFields(logrus.Fields{"status": a.reply.Status, "avoided": s.bad(a)})
	case broken:
		log = log.WithField("avoided", s.bad(a))
		s.suspect(j, a.inst)
	}
	if a.err != nil {
		log = log.WithError(a.err)
	}
	log.WithField("result", a.result.String()).Info("front: attempt failed")
}

// suspect looks whether the endpoint crashed while it ran the call.
func (s *Server) suspect(j *job, inst plank.Instance) {
	if s.deps.Clock.Now().After(j.deadline) {
		return // the call ended by its time
	}
	go func() {
		if s.deps.IsDown(inst) {
			s.deps.Health.RecordUnreachable(inst.ID)
			s.deps.Poison.RecordCrash([]plank.Fingerprint{j.print})
		}
	}()
}

// answerPlain ends a call with its last attempt's answer.
func (s *Server) answerPlain(ctx context.Context, j *job, a attempt) end {
	if j.left() {
		return end{outcome: outcomeLeft}
	}
	switch {
	case j.sends > 0 && (a.result == served || a.result == failed):
		if err := j.w.Respond(a.reply.Head, a.body); err != nil {
			j.log.WithError(err).Debug("front: the caller left before its answer")
		}
		return end{outcome: outcomeServed, status: a.reply.Status}
	case !j.ran:
		r := plank.Refuse(plank.CodeNoEndpoint, "no endpoint of %s took the call", j.service)
		r.RetryAfter = busyRetry
		return s.refuse(j.w, j.log, r)
	}
	return s.refuse(j.w, j.log, s.failure(ctx))
}

// failure returns the answer to a call that may have run.
func (s *Server) failure(ctx context.Context) *plank.RefusalError {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &plank.RefusalError{Code: plank.CodeDeadlineExceeded, Ran: plank.Unknown, Detail: "no answer in time"}
	}
	return &plank.RefusalError{Code: plank.CodeEndpoint, Ran: plank.Unknown, Detail: "the endpoint broke off"}
}

// String returns the result's name in logs.
func (r result) String() string {
	return [...]string{"served", "unsent", "rejected", "failed", "broken", "abandoned"}[r]
}
