// Package entry defines the HTTP API for callers: authentication by key, rate
// limits and deadlines, and the writing of responses.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/ctrl"
	"knapweedplank.org/plank/internal/keys"
	"knapweedplank.org/plank/internal/ledger"
	"knapweedplank.org/plank/internal/limit"
	"knapweedplank.org/plank/internal/poison"
	"knapweedplank.org/plank/internal/relay"
	"knapweedplank.org/plank/pkg/notes"
)

// Options holds the limits on requests, from the settings.
type Options struct {
	MaxBodyBytes  int64
	DefaultTokens int           // limit of completion tokens if the request sets none
	WriteTimeout  time.Duration // limit for writing one event to the caller
}

// Deps holds the dependencies of a Server.
type Deps struct {
	Control *ctrl.Controller
	Relay   *relay.Relay
	Limiter *limit.ShareLimiter
	Keys    *keys.Table
	Poison  *poison.Table
	Ledger  *ledger.Ledger
	Clock   plank.Clock
	Metrics metrics.Registry
	Log     *logrus.Entry
}

// A Server is the HTTP handler for callers.
type Server struct {
	opts             Options
	deps             Deps
	mux              *http.ServeMux
	idempotentClient *http.Client // for calls that may be repeated
	onceClient       *http.Client // for calls that may not
	requests         metrics.Meter
	refusals         metrics.Meter
	latency          metrics.Timer
	// nextReplica counts calls for the round robin over the replicas of a failure
	// domain.
	nextReplica atomic.Uint64
}

var _ http.Handler = (*Server)(nil)

// New returns a Server.
func New(opts Options, deps Deps) *Server {
	s := &Server{
		opts: opts, deps: deps, mux: http.NewServeMux(),
		idempotentClient: newClient(false), onceClient: newClient(true),
		requests: metrics.GetOrRegisterMeter("Entry.Requests", deps.Metrics),
		refusals: metrics.GetOrRegisterMeter("Entry.Refusals", deps.Metrics),
		latency:  metrics.GetOrRegisterTimer("Entry.Latency", deps.Metrics),
	}
	s.mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	s.mux.HandleFunc("POST /v1/chat/completions", s.serveCompletion)
	s.mux.HandleFunc("GET /v1/models", s.serveModels)
	s.mux.HandleFunc("/v1/", s.serveNoRoute)
	s.mux.HandleFunc("/", s.serveService)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := s.deps.Clock.Now()
	s.requests.Mark(1)
	s.mux.ServeHTTP(w, r)
	s.latency.UpdateSince(start)
}

// A call is one request in progress.
type call struct {
	id     plank.RequestID
	snap   *ctrl.Snapshot
	caller identity
	// started is when the request was received.
	started time.Time
	// deadline is started plus the patience of the workspace.
	deadline time.Time
	log      *logrus.Entry
	// responseStarted is set before the first part of the response is written.
	responseStarted bool
}

// An identity is the workspace that a request is charged to and the key that it
// was sent with.
type identity struct {
	workspace plank.WorkspaceID
	// key is the zero value if the request has no valid key, which open routes
	// permit.
	key notes.Key
	// secret is the key as received; it must not be sent to another process.
	secret string
}

// newRequestID returns an ID that is unique over all VMs.
func newRequestID() plank.RequestID {
	var b [12]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // the random source of the operating system does not fail
	}
	return plank.RequestID("req-" + hex.EncodeToString(b[:]))
}

// newCall returns the call of a request and identifies its caller.
// openWorkspace is the workspace that an open route is charged to, and empty for
// other routes. The call is also returned with an error, for refuse.
func (s *Server) newCall(r *http.Request, openWorkspace plank.WorkspaceID) (*call, error) {
	c := &call{id: newRequestID(), snap: s.deps.Control.Snapshot(), started: s.deps.Clock.Now()}
	c.log = s.deps.Log.WithField("request", c.id)
	if !c.snap.Ready {
		return c, &plank.RefusalError{Code: plank.CodeNotReady, Ran: plank.NotRun, RetryAfter: time.Second, Detail: "this VM is not ready; try again"}
	}
	id, err := identify(r, c.snap, openWorkspace)
	if err != nil {
		return c, err
	}
	c.caller = id
	c.log = c.log.WithField("workspace", id.workspace)
	c.deadline = c.started.Add(c.snap.Catalog.PatienceAt(id.workspace, c.started))
	return c, nil
}

// identify returns the identity of a request from its Authorization header.
func identify(r *http.Request, snap *ctrl.Snapshot, openWorkspace plank.WorkspaceID) (identity, error) {
	scheme, secret, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || secret == "" {
		if openWorkspace != "" {
			return identity{workspace: openWorkspace}, nil
		}
		return identity{}, plank.Refuse(plank.CodeBadKey, "no key was given; send Authorization: Bearer KEY")
	}
	secret = strings.TrimSpace(secret)
	key, ok := snap.Catalog.KeyByHash[keys.Hash(secret)]
	switch {
	case ok && openWorkspace != "":
		// An open route is charged to its own workspace, whatever key is given.
		return identity{workspace: openWorkspace, key: key, secret: secret}, nil
	case ok:
		return identity{workspace: key.Workspace, key: key, secret: secret}, nil
	case openWorkspace != "":
		return identity{workspace: openWorkspace, secret: secret}, nil
	}
	return identity{}, plank.Refuse(plank.CodeBadKey, "the key is not valid")
}

// bindContext returns a context that ends at the call's deadline or when its key
// is withdrawn, and a function that releases it.
func (s *Server) bindContext(ctx context.Context, c *call) (context.Context, func(), error) {
	ctx, stop := context.WithDeadline(ctx, c.deadline)
	if c.caller.key.Hash == "" {
		return ctx, stop, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	id := ctrl.KeyIDOf(c.caller.key)
	remove := s.deps.Keys.Add(id, cancel)
	end := func() {
		remove()
		cancel(nil)
		stop()
	}
	// The key may have been withdrawn after the look-up and before Add.
	if !ctrl.IsKeyValid(s.deps.Control.Snapshot().Catalog.KeyByHash, id) {
		end()
		return nil, nil, plank.Refuse(plank.CodeBadKey, "the key was withdrawn")
	}
	return ctx, end, nil
}

// withdrawnError returns a refusal with the code CodeKeyWithdrawn if ctx ended
// because the key was withdrawn, and err otherwise.
func withdrawnError(ctx context.Context, err error) error {
	if !errors.Is(context.Cause(ctx), keys.ErrWithdrawn) {
		return err
	}
	out := &plank.RefusalError{Code: plank.CodeKeyWithdrawn, Ran: plank.Unknown, Detail: "the key was withdrawn"}
	var refused *plank.RefusalError
	if errors.As(err, &refused) {
		out.Ran = refused.Ran
	}
	return out
}

func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	c, err := s.newCall(r, "")
	if err != nil {
		s.refuse(w, c, err)
		return
	}
	writeJSON(w, http.StatusOK, listModels(c.snap.Catalog, c.caller.workspace))
}

func (s *Server) serveNoRoute(w http.ResponseWriter, r *http.Request) {
	c := &call{id: newRequestID(), log: s.deps.Log, started: s.deps.Clock.Now()}
	s.refuse(w, c, plank.Refuse(plank.CodeNoRoute, "no route %s %s", r.Method, r.URL.Path))
}
