package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/ledger"
	"knapweedplank.org/plank/pkg/notes"
)

// This file defines calls of plain services.

const (
	headerKey       = "Idempotency-Key"
	headerWorkspace = "X-Workspace"
	headerRequest   = "X-Request-Id"
	headerReplayed  = "Idempotent-Replayed"
	// maxAnswerBytes bounds a service's answer.
	maxAnswerBytes = 8 << 20
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
)

// passed lists the callers' headers that services get.
var passed = []string{"Content-Type", "Accept", "Accept-Language", headerKey}

// newClient returns a client of services. For calls that may not be repeated
// every call has a connection of its own: on a reused one the transport could
// send the call again when the connection turns out to be closed.
func newClient(once bool) *http.Client {
	return &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: once, MaxIdleConnsPerHost: 32, IdleConnTimeout: 30 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// serveService serves a call of a plain service.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	route, ok := findRoute(s.deps.Control.Snapshot().Routes, r.URL.Path)
	if !ok {
		s.serveNoRoute(w, r)
		return
	}
	open := plank.WorkspaceID("")
	if route.Open {
		open = route.Workspace
	}
	c, err := s.begin(r, open)
	if err == nil {
		err = s.runService(w, r, c, route)
	}
	if err != nil {
		s.refuse(w, c, err)
	}
}

// findRoute returns the longest route that the path lies below.
func findRoute(routes []notes.Route, path string) (notes.Route, bool) {
	for _, r := range routes {
		if path == r.Path || strings.HasPrefix(path, strings.TrimSuffix(r.Path, "/")+"/") {
			return r, true
		}
	}
	return notes.Route{}, false
}

// A serviceCall is a checked call of a plain service.
type serviceCall struct {
	route notes.Route
	in    *http.Request
	body  []byte
	key   string // the caller's idempotency key
}

func (s *Server) runService(w http.ResponseWriter, r *http.Request, c *call, route notes.Route) error {
	body, err := s.readBody(w, r)
	if err != nil {
		return err
	}
	sc := &serviceCall{route: route, in: r, body: body, key: r.Header.Get(headerKey)}
	if len(sc.key) > maxKeyBytes {
		return plank.Refuse(plank.CodeBadRequest, "%s has over %d bytes", headerKey, maxKeyBytes)
	}
	if err := sc.checkSecret(c.caller.secret); err != nil {
		return err
	}
	ctx, end, err := s.hold(r.Context(), c)
	if err != nil {
		return err
	}
	defer end()
	grant, err := s.deps.Limiter.Acquire(ctx, c.caller.workspace, route.Cost, c.deadline)
	if err != nil {
		return explain(ctx, err)
	}
	answer, replayed, err := s.callService(ctx, c, sc)
	if err != nil {
		if isNotRun(err) {
			s.deps.Limiter.Refund(grant, grant.Cost)
		}
		return explain(ctx, err)
	}
	w.Header().Set(headerRequest, string(c.id))
	if replayed {
		w.Header().Set(headerReplayed, "true")
	}
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	w.WriteHeader(answer.Status)
	// The caller may be gone; a repeat with its idempotency key gets the answer.
	_, _ = w.Write(answer.Body)
	return nil
}

// checkSecret refuses a call that would show the caller's key to the service.
func (sc *serviceCall) checkSecret(secret string) error {
	parts := []string{string(sc.body), sc.in.URL.Path, sc.in.URL.RawQuery}
	if query, err := url.QueryUnescape(sc.in.URL.RawQuery); err == nil {
		parts = append(parts, query)
	}
	for _, h := range passed {
		parts = append(parts, sc.in.Header.Get(h))
	}
	if hasSecret(secret, parts...) {
		return plank.Refuse(plank.CodeBadRequest, "the call holds the caller's key outside the Authorization header")
	}
	return nil
}

// hasSecret reports whether any text holds the caller's key.
func hasSecret(secret string, texts ...string) bool {
	if secret == "" {
		return false
	}
	for _, text := range texts {
		if strings.Contains(text, secret) {
			return true
		}
	}
	return false
}

// callService sends the call, at most once if it may not be repeated.
func (s *Server) callService(ctx context.Context, c *call, sc *serviceCall) (answer *ledger.Response, replayed bool, err error) {
	if !sc.route.IsNonIdempotent(sc.in.Method) {
		answer, err = s.sendRepeatable(ctx, c, sc)
		return answer, false, err
	}
	if sc.key == "" {
		answer, _, err = s.sendOnce(ctx, c, sc)
		return answer, false, err
	}
	sum := sha256.Sum256(append([]byte(sc.in.URL.RequestURI()+"\n"), sc.body...))
	attempt, stored, err := s.deps.Ledger.Begin(ctx, ledger.CallKey{
		Workspace: c.caller.workspace, Method: sc.in.Method, Path: sc.in.URL.Path, Key: sc.key,
	}, hex.EncodeToString(sum[:]), plank.WriteToken(c.id), c.deadline)
	if err != nil || stored != nil {
		return stored, stored != nil, err
	}
	answer, sent, err := s.sendOnce(ctx, c, sc)
	switch {
	case err == nil:
		attempt.Finish(*answer)
	case sent:
		attempt.MarkUnknown()
	default:
		attempt.MarkUnsent()
	}
	return answer, false, err
}

// sendOnce sends a call that may not be repeated. It turns to another replica
// only as long as no connection was made. sent tells that bytes may have gone
// out.
func (s *Server) sendOnce(ctx context.Context, c *call, sc *serviceCall) (answer *ledger.Response, sent bool, err error) {
	for _, e := range s.replicas(c, sc) {
		answer, sent, err = s.send(ctx, s.once, c, sc, e)
		if err == nil {
			return answer, true, nil
		}
		if sent {
			return nil, true, &plank.RefusalError{
				Code: plank.CodeOutcomeUnknown, Ran: plank.Unknown,
				Detail: "the call was sent once and its answer did not come; it is not sent again",
			}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, false, s.noReplica(ctx, sc)
}

// sendRepeatable sends a call to one replica after another until one answers.
func (s *Server) sendRepeatable(ctx context.Context, c *call, sc *serviceCall) (*ledger.Response, error) {
	ran := plank.NotRun
	for _, e := range s.replicas(c, sc) {
		answer, sent, err := s.send(ctx, s.repeat, c, sc, e)
		if err == nil {
			return answer, nil
		}
		if sent {
			ran = plank.Unknown
		}
		if ctx.Err() != nil {
			break
		}
	}
	refused := s.noReplica(ctx, sc)
	refused.Ran = ran
	return nil, refused
}

func (s *Server) noReplica(ctx context.Context, sc *serviceCall) *plank.RefusalError {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return plank.Refuse(plank.CodeDeadlineExceeded, "patience ended before service %s answered", sc.route.Service)
	}
	refused := plank.Refuse(plank.CodeNoEndpoint, "no replica of service %s can be reached", sc.route.Service)
	refused.RetryAfter = time.Second
	return refused
}

// replicas returns the order in which the service's replicas are tried: those
// of the own failure domain first, and among them in turn.
func (s *Server) replicas(c *call, sc *serviceCall) []notes.Endpoint {
	all := c.snap.Services[sc.route.Service]
	local := 0
	for local < len(all) && all[local].Domain == all[0].Domain {
		local++
	}
	if local == 0 {
		return nil
	}
	turn := int(s.nextReplica.Add(1) % uint64(local))
	order := make([]notes.Endpoint, 0, len(all))
	order = append(order, all[turn:local]...)
	order = append(order, all[:turn]...)
	return append(order, all[local:]...)
}

// connectTimeout is the part of a call's time that one replica gets to accept
// the connection.
const connectTimeout = time.Second

// send makes one call of one replica. sent tells that a connection was made, so
// that bytes may have gone out.
func (s *Server) send(ctx context.Context, client *http.Client, c *call, sc *serviceCall, e notes.Endpoint) (answer *ledger.Response, sent bool, err error) {
	var connected atomic.Bool
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(connectTimeout, func() {
		if !connected.Load() {
			cancel()
		}
	})
	defer timer.Stop()
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), sc.in.Method, "http://"+e.Address+sc.in.URL.RequestURI(), bytes.NewReader(sc.body))
	if err != nil {
		return nil, false, eris.Wrap(err, "make request")
	}
	// The transport takes a request with an idempotency key for repeatable if
	// it can read the body again.
	req.GetBody = nil
	for _, h := range passed {
		if v := sc.in.Header.Get(h); v != "" {
			req.Header.Set(h, v)
		}
	}
	req.Header.Set(headerWorkspace, string(c.caller.workspace))
	req.Header.Set(headerRequest, string(c.id))
	c.log.WithFields(logrus.Fields{
		"service": sc.route.Service, "endpoint": e.Id, "reason": "next replica", "deadline": c.deadline.Format(time.RFC3339Nano),
	}).Info("entry: routed")
	resp, err := client.Do(req)
	if err != nil {
		return nil, connected.Load(), eris.Wrapf(err, "call endpoint %s", e.Id)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, true, eris.Wrapf(err, "read answer of endpoint %s", e.Id)
	}
	return &ledger.Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, true, nil
}
