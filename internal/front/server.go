// Package front implements the processing of callers' requests: routing,
// admission by workspace limits, selection of an endpoint, attempts, and the
// answer.
package front

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/cold"
	"knapweedplank.org/plank/internal/health"
	"knapweedplank.org/plank/internal/limit"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/poison"
	"knapweedplank.org/plank/internal/view"
)

// otherVMRetry is the Retry-After time of calls that should go to another VM.
const otherVMRetry = 20 * time.Millisecond

// notReadyRetry is the Retry-After time of a VM without a configuration.
const notReadyRetry = 500 * time.Millisecond

// Deps are the dependencies of a Server.
type Deps struct {
	Domain   plank.DomainID
	View     *view.Publisher
	Mesh     *mesh.Mesh
	Reserver Reserver
	Chooser  *Chooser
	Limiter  *limit.GossipLimiter
	Budgets  *Budgets
	Health   *health.Table
	Requests *poison.RequestTable
	Parts    *poison.PartTable
	// Portions are this VM's portions of the calls to cold replicas; nil if the chooser
	// knows no cold endpoints.
	Portions *cold.Portions
	InFlight *InFlight
	Sender   plank.Sender
	// StopTime returns when Stopping ends. It returns the zero time until draining
	// begins, after which calls that could last longer are refused.
	StopTime func() time.Time
	// Stopping ends shortly before the process does: calls in progress are then answered.
	Stopping context.Context
	// Probe connects to an endpoint and returns the error, if any. It is called after an attempt
	// was broken off.
	Probe   func(inst plank.Instance) error
	Clock   plank.Clock
	Metrics metrics.Registry
	Log     *logrus.Entry
}

// A Server serves calls on model engines and plain services.
type Server struct {
	deps   Deps
	bodies bodyReader
}

var _ plank.CallHandler = (*Server)(nil)

// New returns a Server.
func New(deps Deps) *Server { return &Server{deps: deps} }

// A job is an admitted call with the state of its processing.
type job struct {
	call        *plank.Call
	w           plank.AnswerWriter
	view        *view.View
	route       *plank.Route
	workspace   *plank.Workspace // nil on public routes
	service     plank.ServiceID
	pool        *plank.EnginePool // nil for plain services
	priority    int
	deadline    time.Time
	target      time.Time // latest time at which the answer, or its first event, is not late
	cost        plank.Tokens
	fingerprint plank.Fingerprint
	// firstEventAt is when the first event of a stream arrived; zero before.
	firstEventAt time.Time
	// callerLeft reports whether the caller has disconnected.
	callerLeft func() bool
	// sends counts the attempts that may have reached their endpoint.
	sends int
	// mayHaveRun is set once an endpoint may have run the call.
	mayHaveRun bool
	log        *logrus.Entry
}

// A callEnd is the end of a call as it is logged and counted.
type callEnd struct {
	outcome string
	status  int
	refusal *plank.RefusalError // set if the answer came from the system itself
}

// Handle implements plank.CallHandler.
func (s *Server) Handle(caller context.Context, call *plank.Call, w plank.AnswerWriter) {
	log := s.deps.Log.WithField("request", call.ID)
	j, refusal := s.admit(caller, call, w, log)
	if refusal != nil {
		s.finish(call, log, s.refuse(w, log, refusal))
		return
	}
	j.callerLeft = func() bool { return caller.Err() != nil }
	ctx, cancel := context.WithDeadline(caller, j.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer context.AfterFunc(s.deps.Stopping, func() { end(&stoppingError{}) })()
	var e callEnd
	if j.pool != nil {
		e = s.serveModel(ctx, j)
	} else {
		e = s.servePlain(ctx, j)
	}
	s.refundUnrun(j, e)
	s.countCall(j, e)
	log = log.WithFields(logrus.Fields{"route": j.route.Name, "sends": j.sends})
	if !j.firstEventAt.IsZero() {
		log = log.WithField("first_ms", j.firstEventAt.Sub(call.Arrived).Milliseconds())
	}
	s.finish(call, log, e)
	if e.outcome == outcomeBroken || e.outcome == outcomeLeft {
		// Otherwise the HTTP server would complete the answer. A caller that has ended
		// only its own side of the connection still reads.
		w.Abort()
	}
}

// Outcomes of calls, as they appear in logs and metrics.
const (
	outcomeServed  = "served"
	outcomeRefused = "refused"
	outcomeBroken  = "broken off"
	outcomeLeft    = "caller left"
)

// admit checks a call and takes its cost from its workspace's limit.
func (s *Server) admit(ctx context.Context, call *plank.Call, w plank.AnswerWriter, log *logrus.Entry) (*job, *plank.RefusalError) {
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
	if ws == nil && v.RequiresKey(route) {
		return nil, plank.Refuse(plank.CodeBadKey, "no workspace holds the key in version %d", v.Manifest.Version)
	}
	j := &job{call: call, w: w, view: v, route: route, workspace: ws, priority: route.Priority, log: log.WithField("route", route.Name)}
	if ws != nil && ws.HasPriority {
		j.priority = ws.Priority
	}
	j.service = pickService(route, call.ID)
	j.pool = v.Pool(j.service)
	j.deadline = call.Arrived.Add(route.Timeout)
	if !call.Deadline.IsZero() && call.Deadline.Before(j.deadline) {
		j.deadline = call.Deadline
	}
	j.target = call.Arrived.Add(route.TargetLatency)
	if stopTime := s.deps.StopTime(); !stopTime.IsZero() && (j.pool != nil || j.deadline.After(stopTime)) {
		return nil, refuseStopping("the process ends before the call could")
	}
	j.fingerprint = fingerprint(call, j.workspaceID())
	if r := s.checkQuarantine(j); r != nil {
		return nil, r
	}
	return j, s.takeQuota(ctx, j)
}

// A stoppingError reports that a call was ended because the process ends.
type stoppingError struct{}

// Error implements error.
func (*stoppingError) Error() string { return "the process ends" }

// isStopping reports whether a call's context ended because the process ends.
func isStopping(ctx context.Context) bool {
	var stopping *stoppingError
	return errors.As(context.Cause(ctx), &stopping)
}

// refuseStopping returns the refusal of a call that has not run and cannot before the process
// ends.
func refuseStopping(detail string) *plank.RefusalError {
	r := plank.Refuse(plank.CodeNotReady, "%s", detail)
	r.RetryAfter = otherVMRetry
	return r
}

// checkQuarantine refuses a call that is quarantined, or has a quarantined part in its prompt.
func (s *Server) checkQuarantine(j *job) *plank.RefusalError {
	if crashes, quarantined := s.deps.Requests.Lookup(j.fingerprint); quarantined {
		return plank.Refuse(plank.CodeQuarantined, "the request crashed %d endpoints", crashes)
	}
	if q, ok := s.deps.Parts.Lookup(j.call.Parts); ok {
		return plank.Refuse(plank.CodeQuarantined, "the parts %v of the prompt crashed %d endpoints", q.Parts, q.Crashes)
	}
	return nil
}

// turnFraction is the part of its target for which a call may wait until the pacing of its
// workspace admits it. The rest is left for the endpoint.
const turnFraction = 0.25

// takeQuota takes the call's cost from its workspace's limit, or refuses the call.
func (s *Server) takeQuota(ctx context.Context, j *job) *plank.RefusalError {
	if j.workspace == nil {
		return nil
	}
	j.cost = cost(j.call, j.workspace)
	until := j.call.Arrived.Add(time.Duration(turnFraction * float64(j.route.TargetLatency)))
	decision := s.deps.Limiter.AdmitInTurn(ctx, j.workspace.ID, limit.Demand{Cost: j.cost, Priority: j.priority}, until)
	level, reachable := s.deps.Limiter.Level(j.workspace.ID)
	fields := logrus.Fields{
		"workspace": j.workspace.ID, "cost": j.cost, "tokens_left": int(level), "reach": reachable, "manifest": j.view.Manifest.Version, "ok": decision.Admitted,
	}
	if decision.Waited > 0 {
		fields["turn_ms"] = decision.Waited.Milliseconds()
		metrics.GetOrRegisterTimer("Front.TurnWait", s.deps.Metrics).Update(decision.Waited)
	}
	if decision.Paced && !decision.Admitted {
		fields["paced"] = true
		metrics.GetOrRegisterCounter("Front.RefusedPaced", s.deps.Metrics).Inc(1)
	}
	j.log.WithFields(fields).Info("front: admission")
	if decision.Admitted {
		return nil
	}
	r := plank.Refuse(plank.CodeRateLimited, "the workspace %s is at its limit", j.workspace.ID)
	r.RetryAfter = decision.Wait
	return r
}

// cost returns a call's cost against its workspace's limit: 1 in a workspace that is
// limited by calls, else the call's tokens, or a fixed number if they are unknown.
func cost(call *plank.Call, ws *plank.Workspace) plank.Tokens {
	switch {
	case !ws.ByToken:
		return 1
	case call.HasTokens:
		return call.PromptTokens + call.MaxOutputTokens
	}
	return ws.DefaultUsage
}

// refundUnrun returns the cost of a refused call that did not run.
func (s *Server) refundUnrun(j *job, e callEnd) {
	if e.outcome == outcomeRefused && !j.mayHaveRun && j.workspace != nil {
		s.deps.Limiter.Refund(j.workspace.ID, j.cost)
	}
}

// workspaceID returns the id of the call's workspace, empty on public routes.
func (j *job) workspaceID() plank.WorkspaceID {
	if j.workspace == nil {
		return ""
	}
	return j.workspace.ID
}

// pickService selects one of a route's services by weight. The selection depends on
// the call's id, and callers' retries have other ids.
func pickService(r *plank.Route, id plank.RequestID) plank.ServiceID {
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

// fingerprint returns a hash that is equal for repeats of a request: it covers the
// method, target, workspace and body.
func fingerprint(call *plank.Call, ws plank.WorkspaceID) plank.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{call.Method, call.Target, string(ws)} {
		_, _ = h.WriteString(part + "\x00") // never fails
	}
	_, _ = h.Write(call.Body) // never fails
	return plank.Fingerprint(h.Sum(nil))
}

// refuse answers the caller with r, a refusal or an error.
func (s *Server) refuse(w plank.AnswerWriter, log *logrus.Entry, r *plank.RefusalError) callEnd {
	if err := w.Refuse(r); err != nil {
		log.WithError(err).Debug("front: caller disconnected before the refusal was written")
	}
	return callEnd{outcome: outcomeRefused, refusal: r}
}

// finish logs the end of a call and updates the metrics of all calls.
func (s *Server) finish(call *plank.Call, log *logrus.Entry, e callEnd) {
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

// countCall updates the metrics by route kind, workspace and service, and those of
// the first event.
func (s *Server) countCall(j *job, e callEnd) {
	kind := string(j.route.Kind)
	metrics.GetOrRegisterCounter("Front.Kind."+kind+"."+e.outcome, s.deps.Metrics).Inc(1)
	metrics.GetOrRegisterTimer("Front.Latency."+kind, s.deps.Metrics).Update(s.deps.Clock.Now().Sub(j.call.Arrived))
	if j.workspace != nil {
		metrics.GetOrRegisterCounter("Front.Workspace."+string(j.workspace.ID)+"."+e.outcome, s.deps.Metrics).Inc(1)
	}
	if !j.firstEventAt.IsZero() {
		metrics.GetOrRegisterTimer("Front.FirstEvent", s.deps.Metrics).Update(j.firstEventAt.Sub(j.call.Arrived))
	}
	if j.sends > 1 {
		metrics.GetOrRegisterCounter("Front.Retries."+string(j.service), s.deps.Metrics).Inc(int64(j.sends - 1))
	}
}
