// Package front defines the way of a call through the system: its route and
// workspace, its admission, the choice of an endpoint, sending, and the answer.
package front

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/health"
	"knapweedplank.org/plank/internal/limit"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/poison"
	"knapweedplank.org/plank/internal/view"
)

// elsewhereRetry is when a caller may come back that is sent to another VM.
const elsewhereRetry = 20 * time.Millisecond

// usualFactor is how many times its target a call may take as a rule.
const usualFactor = 4

// notReadyRetry is when a caller may come back to a VM that has no
// configuration yet.
const notReadyRetry = 500 * time.Millisecond

// Deps are what a server works with.
type Deps struct {
	Domain   plank.DomainID
	View     *view.Holder
	Mesh     *mesh.Mesh
	Reserver Reserver
	Chooser  *Chooser
	Limiter  *limit.GossipLimiter
	Budgets  *Budgets
	Health   *health.Table
	Poison   *poison.Table
	InFlight *InFlight
	Sender   plank.Sender
	// StopTime returns when the process ends, once it takes no more long calls;
	// else it returns the zero time.
	StopTime func() time.Time
	// IsDown tells whether an endpoint that broke a call off is down.
	IsDown  func(inst plank.Instance) bool
	Clock   plank.Clock
	Metrics metrics.Registry
	Log     *logrus.Entry
}

// A Server serves calls.
type Server struct {
	deps   Deps
	bodies bodies
}

var _ plank.CallHandler = (*Server)(nil)

// New returns a server.
func New(deps Deps) *Server { return &Server{deps: deps} }

// A job is a call that was admitted.
type job struct {
	call      *plank.Call
	w         plank.AnswerWriter
	view      *view.View
	route     *plank.Route
	workspace *plank.Workspace // nil on public routes
	service   plank.ServiceID
	pool      *plank.EnginePool // nil for plain services
	priority  int
	deadline  time.Time
	target    time.Time // until when the answer, or its first event, is in time
	cost      plank.Tokens
	print     plank.Fingerprint
	// first is when the first event of a stream arrived.
	first time.Time
	// left tells whether the caller has left.
	left func() bool
	// sends counts the endpoints to which the call was sent.
	sends int
	// ran is set when an endpoint may have run the call.
	ran bool
	log *logrus.Entry
}

// An end tells how a call ended, for the log.
type end struct {
	outcome string
	status  int
	refusal *plank.RefusalError // if the system itself answered
}

// Handle implements plank.CallHandler.
func (s *Server) Handle(caller context.Context, call *plank.Call, w plank.AnswerWriter) {
	log := s.deps.Log.WithField("request", call.ID)
	j, refusal := s.admit(call, w, log)
	if refusal != nil {
		s.finish(call, log, s.refuse(w, log, refusal))
		return
	}
	j.left = func() bool { return caller.Err() != nil }
	ctx, cancel := context.WithDeadline(caller, j.deadline)
	defer cancel()
	var e end
	if j.pool != nil {
		e = s.serveModel(ctx, j)
	} else {
		e = s.servePlain(ctx, j)
	}
	s.settle(j, e)
	s.count(j, e)
	log = log.WithFields(logrus.Fields{"route": j.route.Name, "sends": j.sends})
	if !j.first.IsZero() {
		log = log.WithField("first_ms", j.first.Sub(call.Arrived).Milliseconds())
	}
	s.finish(call, log, e)
	if e.outcome == outcomeBroken {
		w.Abort()
	}
}

// The outcomes of calls.
const (
	outcomeServed  = "served"
	outcomeRefused = "refused"
	outcomeBroken  = "broken off"
	outcomeLeft    = "caller left"
)

// admit checks a call and takes its cost.
func (s *Server) admit(call *plank.Call, w plank.AnswerWriter, log *logrus.Entry) (*job, *plank.RefusalError) {
	v := s.deps.View.Load()
	if v.Manifest == nil {
		r := plank.Refuse(plank.CodeNotReady, "no configuration is known yet")
		r.RetryAfter = notReadyRetry
		return nil, r
	}
	route := v.Route(call.Host, call.Target)
	if route == nil {
		return nil, plank.Refuse(plank.CodeNoRoute, "no route in version %d", v.Manifest.Version)
	}
	ws := v.Workspace(call.Key)
	if ws == nil && v.NeedsKey(route) {
		return nil, plank.Refuse(plank.CodeBadKey, "no workspace holds the key in version %d", v.Manifest.Version)
	}
	j := &job{call: call, w: w, view: v, route: route, workspace: ws, priority: route.Priority, log: log.WithField("route", route.Name)}
	if ws != nil && ws.HasPriority {
		j.priority = ws.Priority
	}
	j.service = splitService(route, call.ID)
	j.pool = v.Pool(j.service)
	j.deadline = call.Arrived.Add(route.Timeout)
	if !call.Deadline.IsZero() && call.Deadline.Before(j.deadline) {
		j.deadline = call.Deadline
	}
	j.target = call.Arrived.Add(route.TargetLatency)
	if ends := s.deps.StopTime(); !ends.IsZero() && (j.pool != nil || call.Arrived.Add(usualFactor*route.TargetLatency).After(ends)) {
		r := plank.Refuse(plank.CodeNotReady, "the process ends before the call could")
		r.RetryAfter = elsewhereRetry
		return nil, r
	}
	j.print = fingerprint(call, j.workspaceID())
	if e, ok := s.deps.Poison.Lookup(j.print); ok && e.Quarantined {
		return nil, plank.Refuse(plank.CodeQuarantined, "the request crashed %d endpoints", e.Crashes)
	}
	return j, s.takeQuota(j)
}

// takeQuota takes the call's cost from its workspace's limit.
func (s *Server) takeQuota(j *job) *plank.RefusalError {
	if j.workspace == nil {
		return nil
	}
	j.cost = cost(j.call, j.workspace)
	ok, wait := s.deps.Limiter.Take(j.workspace.ID, j.cost)
	level, reach := s.deps.Limiter.Level(j.workspace.ID)
	j.log.WithFields(logrus.Fields{
		"workspace": j.workspace.ID, "cost": j.cost, "tokens_left": int(level), "reach": reach, "manifest": j.view.Manifest.Version, "ok": ok,
	}).Info("front: admission")
	if ok {
		return nil
	}
	r := plank.Refuse(plank.CodeRateLimited, "the workspace %s is at its limit", j.workspace.ID)
	r.RetryAfter = wait
	return r
}

// cost returns what a call counts as against its workspace's limit.
func cost(call *plank.Call, ws *plank.Workspace) plank.Tokens {
	switch {
	case !ws.ByToken:
		return 1
	case call.HasTokens:
		return call.PromptTokens + call.MaxOutputTokens
	}
	return ws.DefaultUsage
}

// settle gives the cost of a call back that did not run.
func (s *Server) settle(j *job, e end) {
	if e.outcome == outcomeRefused && !j.ran && j.workspace != nil {
		s.deps.Limiter.Refund(j.workspace.ID, j.cost)
	}
}

func (j *job) workspaceID() plank.WorkspaceID {
	if j.workspace == nil {
		return ""
	}
	return j.workspace.ID
}

// splitService picks a route's service by weight; retries of the same call
// come with other ids.
func splitService(r *plank.Route, id plank.RequestID) plank.ServiceID {
	total := 0.0
	for _, share := range r.Split {
		total += share.Weight
	}
	at := float64(xxhash.Sum64String(string(id))>>11) / (1 << 53) * total
	for _, share := range r.Split {
		if at < share.Weight {
			return share.Service
		}
		at -= share.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// fingerprint recognises repeats of a request by what a caller sends again.
func fingerprint(call *plank.Call, ws plank.WorkspaceID) plank.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{call.Method, call.Target, string(ws)} {
		_, _ = h.WriteString(part + "\x00") // never fails
	}
	_, _ = h.Write(call.Body) // never fails
	return plank.Fingerprint(h.Sum(nil))
}

// refuse answers with a refusal or failure.
func (s *Server) refuse(w plank.AnswerWriter, log *logrus.Entry, r *plank.RefusalError) end {
	if err := w.Refuse(r); err != nil {
		log.WithError(err).Debug("front: the caller left before its refusal")
	}
	return end{outcome: outcomeRefused, refusal: r}
}

// finish logs and counts the end of a call.
func (s *Server) finish(call *plank.Call, log *logrus.Entry, e end) {
	took := s.deps.Clock.Now().Sub(call.Arrived)
	fields := logrus.Fields{"outcome": e.outcome, "took_ms": took.Milliseconds()}
	name := e.outcome
	if e.refusal != nil {
		fields["code"], fields["ran"], fields["detail"] = e.refusal.Code, e.refusal.Ran, e.refusal.Detail
		fields["retry_ms"] = e.refusal.RetryAfter.Milliseconds()
		name += "." + string(e.refusal.Code)
	} else {
		fields["status"] = e.status
	}
	log.WithFields(fields).Info("front: finished")
	metrics.GetOrRegisterCounter("Front.Calls."+name, s.deps.Metrics).Inc(1)
	metrics.GetOrRegisterTimer("Front.Latency", s.deps.Metrics).Update(took)
}

// count counts a call by the kind of its route and its workspace, and its times.
func (s *Server) count(j *job, e end) {
	kind := string(j.route.Kind)
	metrics.GetOrRegisterCounter("Front.Kind."+kind+"."+e.outcome, s.deps.Metrics).Inc(1)
	metrics.GetOrRegisterTimer("Front.Latency."+kind, s.deps.Metrics).Update(s.deps.Clock.Now().Sub(j.call.Arrived))
	if j.workspace != nil {
		metrics.GetOrRegisterCounter("Front.Workspace."+string(j.workspace.ID)+"."+e.outcome, s.deps.Metrics).Inc(1)
	}
	if !j.first.IsZero() {
		metrics.GetOrRegisterTimer("Front.FirstEvent", s.deps.Metrics).Update(j.first.Sub(j.call.Arrived))
	}
	if j.sends > 1 {
		metrics.GetOrRegisterCounter("Front.Retries."+string(j.service), s.deps.Metrics).Inc(int64(j.sends - 1))
	}
}
