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
	"knapweedplank.org/plank/internal/conns"
	"knapweedplank.org/plank/internal/ledger"
	"knapweedplank.org/plank/pkg/notes"
)

// This file defines calls of plain services, which are services without models.

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerWorkspace      = "X-Workspace"
	headerRequestID      = "X-Request-Id"
	headerReplayed       = "Idempotent-Replayed"
	// maxResponseBytes bounds the body of a service's response. A longer body is
	// cut off.
	maxResponseBytes = 8 << 20
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
)

// forwardedHeaders lists the request headers that are forwarded to services.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", headerIdempotencyKey}

// newClient returns an HTTP client for calls of services. With once set, for
// calls that may not be repeated, every call opens a new connection: on a reused
// one the transport would send the call again if it found the connection closed.
func newClient(once bool) *http.Client {
	return &http.Client{
		Transport:     conns.NewTransport(&http.Transport{DisableKeepAlives: once, MaxIdleConnsPerHost: 32, IdleConnTimeout: 30 * time.Second}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// serveService handles a call of a plain service.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	route, ok := findRoute(s.deps.Control.Snapshot().Routes, r.URL.Path)
	if !ok {
		s.serveNoRoute(w, r)
		return
	}
	openWorkspace := plank.WorkspaceID("")
	if route.Open {
		openWorkspace = route.Workspace
	}
	c, err := s.newCall(r, openWorkspace)
	if err == nil {
		err = s.runService(w, r, c, route)
	}
	if err != nil {
		s.refuse(w, c, err)
	}
}

// findRoute returns the first route whose path equals path or is a parent of it.
// The routes are sorted by length, the longest first.
func findRoute(routes []notes.Route, path string) (notes.Route, bool) {
	for _, r := range routes {
		if path == r.Path || strings.HasPrefix(path, strings.TrimSuffix(r.Path, "/")+"/") {
			return r, true
		}
	}
	return notes.Route{}, false
}

// A serviceCall is a call of a plain service.
type serviceCall struct {
	route   notes.Route
	request *http.Request
	body    []byte
	key     string // the caller's idempotency key
}

func (s *Server) runService(w http.ResponseWriter, r *http.Request, c *call, route notes.Route) error {
	body, err := s.readBody(w, r)
	if err != nil {
		return err
	}
	sc := &serviceCall{route: route, request: r, body: body, key: r.Header.Get(headerIdempotencyKey)}
	if len(sc.key) > maxKeyBytes {
		return plank.Refuse(plank.CodeBadRequest, "%s has over %d bytes", headerIdempotencyKey, maxKeyBytes)
	}
	if err := sc.checkSecret(c.caller.secret); err != nil {
		return err
	}
	ctx, end, err := s.bindContext(r.Context(), c)
	if err != nil {
		return err
	}
	defer end()
	grant, err := s.deps.Limiter.Acquire(ctx, c.caller.workspace, route.Cost, c.deadline)
	if err != nil {
		return withdrawnError(ctx, err)
	}
	response, replayed, err := s.callService(ctx, c, sc)
	if err != nil {
		if isNotRun(err) {
			s.deps.Limiter.Refund(grant, grant.Cost)
		}
		return withdrawnError(ctx, err)
	}
	w.Header().Set(headerRequestID, string(c.id))
	if replayed {
		w.Header().Set(headerReplayed, "true")
	}
	if response.ContentType != "" {
		w.Header().Set("Content-Type", response.ContentType)
	}
	w.WriteHeader(response.Status)
	// A failed write is not reported: the caller can repeat the call with its
	// idempotency key and receives the stored response.
	_, _ = w.Write(response.Body)
	return nil
}

// checkSecret refuses a call that would reveal the caller's key to the service.
func (sc *serviceCall) checkSecret(secret string) error {
	parts := []string{string(sc.body), sc.request.URL.Path, sc.request.URL.RawQuery}
	if query, err := url.QueryUnescape(sc.request.URL.RawQuery); err == nil {
		parts = append(parts, query)
	}
	for _, h := range forwardedHeaders {
		parts = append(parts, sc.request.Header.Get(h))
	}
	if containsSecret(secret, parts...) {
		return plank.Refuse(plank.CodeBadRequest, "the call holds the caller's key outside the Authorization header")
	}
	return nil
}

// containsSecret reports whether any of texts contains the caller's key.
func containsSecret(secret string, texts ...string) bool {
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

// callService sends the call, at most once if it may not be repeated. replayed
// reports whether the response is the stored one of an earlier call with the
// same idempotency key.
func (s *Server) callService(ctx context.Context, c *call, sc *serviceCall) (response *ledger.Response, replayed bool, err error) {
	if !sc.route.IsNonIdempotent(sc.request.Method) {
		response, err = s.sendIdempotent(ctx, c, sc)
		return response, false, err
	}
	if sc.key == "" {
		response, _, err = s.sendOnce(ctx, c, sc)
		return response, false, err
	}
	sum := sha256.Sum256(append([]byte(sc.request.URL.RequestURI()+"\n"), sc.body...))
	attempt, stored, err := s.deps.Ledger.Begin(ctx, ledger.CallKey{
		Workspace: c.caller.workspace, Method: sc.request.Method, Path: sc.request.URL.Path, Key: sc.key,
	}, hex.EncodeToString(sum[:]), plank.WriteToken(c.id), c.deadline)
	if err != nil || stored != nil {
		return stored, stored != nil, err
	}
	response, sent, err := s.sendOnce(ctx, c, sc)
	switch {
	case err == nil:
		attempt.Finish(*response)
	case sent:
		attempt.MarkUnknown()
	default:
		attempt.MarkUnsent()
	}
	return response, false, err
}

// sendOnce sends a call that may not be repeated. It tries the next replica only
// if no connection was made to the one before. sent reports whether a part of the
// call may have been sent.
func (s *Server) sendOnce(ctx context.Context, c *call, sc *serviceCall) (response *ledger.Response, sent bool, err error) {
	for _, e := range s.replicas(c, sc) {
		response, sent, err = s.send(ctx, s.onceClient, c, sc, e)
		if err == nil {
			return response, true, nil
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
	return nil, false, s.noReplicaError(ctx, sc)
}

// sendIdempotent sends a call to one replica after another until one responds.
func (s *Server) sendIdempotent(ctx context.Context, c *call, sc *serviceCall) (*ledger.Response, error) {
	ran := plank.NotRun
	for _, e := range s.replicas(c, sc) {
		response, sent, err := s.send(ctx, s.idempotentClient, c, sc, e)
		if err == nil {
			return response, nil
		}
		if sent {
			ran = plank.Unknown
		}
		if ctx.Err() != nil {
			break
		}
	}
	refusal := s.noReplicaError(ctx, sc)
	refusal.Ran = ran
	return nil, refusal
}

func (s *Server) noReplicaError(ctx context.Context, sc *serviceCall) *plank.RefusalError {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return plank.Refuse(plank.CodeDeadlineExceeded, "patience ended before service %s answered", sc.route.Service)
	}
	refusal := plank.Refuse(plank.CodeNoEndpoint, "no replica of service %s can be reached", sc.route.Service)
	refusal.RetryAfter = time.Second
	return refusal
}

// replicas returns the service's replicas in the order in which they are tried.
// The snapshot lists those of the VM's own failure domain first. The replicas of
// the first listed domain are rotated for round robin.
func (s *Server) replicas(c *call, sc *serviceCall) []notes.Endpoint {
	all := c.snap.Services[sc.route.Service]
	localCount := 0
	for localCount < len(all) && all[localCount].Domain == all[0].Domain {
		localCount++
	}
	if localCount == 0 {
		return nil
	}
	offset := int(s.nextReplica.Add(1) % uint64(localCount))
	order := make([]notes.Endpoint, 0, len(all))
	order = append(order, all[offset:localCount]...)
	order = append(order, all[:offset]...)
	return append(order, all[localCount:]...)
}

// connectTimeout bounds the time in which a replica must accept the connection.
const connectTimeout = time.Second

// send sends the call to one replica. sent reports whether a connection was
// made, so that a part of the call may have been sent.
func (s *Server) send(ctx context.Context, client *http.Client, c *call, sc *serviceCall, e notes.Endpoint) (response *ledger.Response, sent bool, err error) {
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
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), sc.request.Method, "http://"+e.Address+sc.request.URL.RequestURI(), bytes.NewReader(sc.body))
	if err != nil {
		return nil, false, eris.Wrap(err, "make request")
	}
	// The transport treats a request with an idempotency key as repeatable if
	// GetBody is set.
	req.GetBody = nil
	for _, h := range forwardedHeaders {
		if v := sc.request.Header.Get(h); v != "" {
			req.Header.Set(h, v)
		}
	}
	req.Header.Set(headerWorkspace, string(c.caller.workspace))
	req.Header.Set(headerRequestID, string(c.id))
	c.log.WithFields(logrus.Fields{
		"service": sc.route.Service, "endpoint": e.Id, "reason": "next replica", "deadline": c.deadline.Format(time.RFC3339Nano),
	}).Info("entry: routed")
	resp, err := client.Do(req)
	if err != nil {
		return nil, connected.Load(), eris.Wrapf(err, "call endpoint %s", e.Id)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, true, eris.Wrapf(err, "read answer of endpoint %s", e.Id)
	}
	return &ledger.Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, true, nil
}
