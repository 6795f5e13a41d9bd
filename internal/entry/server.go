// Package entry defines the callers' HTTP API: admission by key, limit and
// patience, and the way of an answer back to its caller.
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

// Options are the bounds on callers, from the settings.
type Options struct {
	MaxBodyBytes  int64
	DefaultTokens int           // completion tokens when the caller names none
	WriteTimeout  time.Duration // for one chunk to a slow caller
}

// Deps are what the entry works with.
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

// A Server is the callers' HTTP handler.
type Server struct {
	opts     Options
	deps     Deps
	mux      *http.ServeMux
	repeat   *http.Client // for calls that may be repeated
	once     *http.Client // for calls that may not
	requests metrics.Meter
	refusals metrics.Meter
	latency  metrics.Timer
	// nextReplica spreads calls over the replicas of a domain.
	nextReplica atomic.Uint64
}

var _ http.Handler = (*Server)(nil)

// New returns a handler.
func New(opts Options, deps Deps) *Server {
	s := &Server{
		opts: opts, deps: deps, mux: http.NewServeMux(),
		repeat: newClient(false), once: newClient(true),
		requests: metrics.GetOrRegisterMeter("Entry.Requests", deps.Metrics),
		refusals: metrics.GetOrRegisterMeter("Entry.Refusals", deps.Metrics),
		latency:  metrics.GetOrRegisterTimer("Entry.Latency", deps.Metrics),
	}
	s.mux.HandleFunc("POST /v1/completions", s.serveModel)
	s.mux.HandleFunc("POST /v1/chat/completions", s.serveModel)
	s.mux.HandleFunc("GET /v1/models", s.serveModels)
	s.mux.HandleFunc("/v1/", s.serveNoRoute)
	s.mux.HandleFunc("/", s.serveService)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begun := s.deps.Clock.Now()
	s.requests.Mark(1)
	s.mux.ServeHTTP(w, r)
	s.latency.UpdateSince(begun)
}

// A call is one request in progress.
type call struct {
	id     plank.RequestID
	snap   *ctrl.Snapshot
	caller caller
	// begun is when the request came.
	begun time.Time
	// deadline ends the caller's patience.
	deadline time.Time
	log      *logrus.Entry
	// sent is set once a part of the answer went out.
	sent bool
}

// A caller is whom a request runs for.
type caller struct {
	workspace plank.WorkspaceID
	// key is empty on open routes.
	key notes.Key
	// secret is the key as presented; it never leaves this process.
	secret string
}

// newRequestID returns an id that is unique over all VMs.
func newRequestID() plank.RequestID {
	var b [12]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // the system's random source does not fail
	}
	return plank.RequestID("req-" + hex.EncodeToString(b[:]))
}

// begin identifies the caller. Routes that are open name the workspace that
// they charge; others pass an empty one.
func (s *Server) begin(r *http.Request, open plank.WorkspaceID) (*call, error) {
	c := &call{id: newRequestID(), snap: s.deps.Control.Snapshot(), begun: s.deps.Clock.Now()}
	c.log = s.deps.Log.WithField("request", c.id)
	if !c.snap.Ready {
		return c, &plank.RefusalError{Code: plank.CodeNotReady, Ran: plank.NotRun, RetryAfter: time.Second, Detail: "this VM is not ready; try again"}
	}
	who, err := identify(r, c.snap, open)
	if err != nil {
		return c, err
	}
	c.caller = who
	c.log = c.log.WithField("workspace", who.workspace)
	c.deadline = c.begun.Add(c.snap.Catalog.PatienceAt(who.workspace, c.begun))
	return c, nil
}

// identify finds the workspace that a request runs for.
func identify(r *http.Request, snap *ctrl.Snapshot, open plank.WorkspaceID) (caller, error) {
	scheme, secret, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || secret == "" {
		if open != "" {
			return caller{workspace: open}, nil
		}
		return caller{}, plank.Refuse(plank.CodeBadKey, "no key was given; send Authorization: Bearer KEY")
	}
	secret = strings.TrimSpace(secret)
	key, ok := snap.Catalog.KeyByHash[keys.Hash(secret)]
	switch {
	case ok && open != "":
		// An open route is charged to its own workspace, whoever calls.
		return caller{workspace: open, key: key, secret: secret}, nil
	case ok:
		return caller{workspace: key.Workspace, key: key, secret: secret}, nil
	case open != "":
		return caller{workspace: open, secret: secret}, nil
	}
	return caller{}, plank.Refuse(plank.CodeBadKey, "the key is not valid")
}

// hold binds the request to its key and deadline: it ends when either does.
func (s *Server) hold(ctx context.Context, c *call) (context.Context, func(), error) {
	ctx, stop := context.WithDeadline(ctx, c.deadline)
	if c.caller.key.Hash == "" {
		return ctx, stop, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	entry := ctrl.KeyIDOf(c.caller.key)
	remove := s.deps.Keys.Add(entry, cancel)
	end := func() {
		remove()
		cancel(nil)
		stop()
	}
	// The key may have been withdrawn between the look-up and the entry.
	if !ctrl.IsKeyValid(s.deps.Control.Snapshot().Catalog.KeyByHash, entry) {
		end()
		return nil, nil, plank.Refuse(plank.CodeBadKey, "the key was withdrawn")
	}
	return ctx, end, nil
}

// explain turns the end of a request by its context into a refusal.
func explain(ctx context.Context, err error) error {
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
	c, err := s.begin(r, "")
	if err != nil {
		s.refuse(w, c, err)
		return
	}
	writeJSON(w, http.StatusOK, listModels(c.snap.Catalog, c.caller.workspace))
}

func (s *Server) serveNoRoute(w http.ResponseWriter, r *http.Request) {
	c := &call{id: newRequestID(), log: s.deps.Log, begun: s.deps.Clock.Now()}
	s.refuse(w, c, plank.Refuse(plank.CodeNoRoute, "no route %s %s", r.Method, r.URL.Path))
}
