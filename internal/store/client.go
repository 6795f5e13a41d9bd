// Package store defines the client of the platform's object API and the JSON
// bodies of its responses.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
	"knapweedplank.org/plank"
)

// The timeouts of calls to the platform.
const (
	callTimeout = 1500 * time.Millisecond
	// WatchWait is how long the platform may wait for a change before it answers
	// a watch.
	WatchWait = 20 * time.Second
)

// maxResponseBytes bounds the body of a response from the platform.
const maxResponseBytes = 64 << 20

// A Client sends requests to the platform's object API, which uses HTTP and JSON.
type Client struct {
	base    string
	http    *http.Client
	limiter *rate.Limiter // nil for no limit
	calls   atomic.Uint64
}

var _ plank.Store = (*Client)(nil)

// New returns a client of the object API at addr (host:port). limiter limits the
// rate of its calls; nil means no limit.
func New(addr string, limiter *rate.Limiter) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}
	return &Client{
		base: "http://" + addr, http: &http.Client{Transport: transport},
		limiter: limiter,
	}
}

// Calls returns the number of calls made. A watch counts as one call.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Get implements plank.Store.
func (c *Client) Get(ctx context.Context, key string) (plank.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply ObjectReply
	status, err := c.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(key), nil, &reply)
	if err != nil {
		return plank.Object{}, c.unavailable("get "+key, err)
	}
	if status == http.StatusNotFound {
		return plank.Object{Key: key}, nil
	}
	return plank.Object{Key: key, Value: reply.Value, Version: reply.Version}, nil
}

// Put implements plank.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, want plank.ObjectVersion) (plank.ObjectVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path := fmt.Sprintf("/v1/objects/%s?version=%d", url.PathEscape(key), want)
	var reply ObjectReply
	status, err := c.call(ctx, http.MethodPut, path, value, &reply)
	if err != nil {
		return 0, c.unavailable("put "+key, err)
	}
	if status == http.StatusConflict {
		return 0, &plank.ConflictError{Key: key, Want: want}
	}
	return reply.Version, nil
}

// List implements plank.Store.
func (c *Client) List(ctx context.Context, prefix, after string) ([]plank.Object, plank.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	query := url.Values{"prefix": {prefix}, "after": {after}}
	var reply ListReply
	if _, err := c.call(ctx, http.MethodGet, "/v1/list?"+query.Encode(), nil, &reply); err != nil {
		return nil, 0, c.unavailable("list "+prefix, err)
	}
	objects := make([]plank.Object, len(reply.Objects))
	for i, o := range reply.Objects {
		objects[i] = plank.Object(o)
	}
	return objects, reply.Revision, nil
}

// Watch implements plank.Store.
func (c *Client) Watch(ctx context.Context, prefixes []string, after plank.Revision) ([]plank.Change, plank.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchWait+callTimeout)
	defer cancel()
	query := url.Values{
		"prefix": prefixes,
		"after":  {strconv.FormatUint(uint64(after), 10)},
		"wait":   {strconv.FormatInt(WatchWait.Milliseconds(), 10)},
	}
	var reply WatchReply
	if _, err := c.call(ctx, http.MethodGet, "/v1/watch?"+query.Encode(), nil, &reply); err != nil {
		return nil, 0, c.unavailable("watch", err)
	}
	changes := make([]plank.Change, len(reply.Changes))
	for i, o := range reply.Changes {
		changes[i] = plank.Change{Object: plank.Object(o.Object), Revision: o.Revision}
	}
	return changes, reply.Revision, nil
}

// call makes one call, decodes the body of a successful response into out and
// returns the status code. Status codes other than 200, 404 and 409 are errors.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) (int, error) {
	if c.limiter != nil {
		if err := c.limiter.Wait(ctx); err != nil {
			return 0, eris.Wrap(err, "wait for the rate limit of calls")
		}
	}
	c.calls.Add(1)
	var r io.Reader
	if body != nil {
		r = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, r)
	if err != nil {
		return 0, eris.Wrap(err, "make request")
	}
	// The transport may repeat a request if GetBody is set. A conditional update
	// that is repeated after it succeeded would fail with a conflict.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return resp.StatusCode, json.Unmarshal(data, out)
	case http.StatusNotFound, http.StatusConflict:
		return resp.StatusCode, nil
	}
	return 0, eris.Errorf("status %d", resp.StatusCode)
}

func (c *Client) unavailable(op string, err error) error {
	return &plank.UnavailableError{Target: "platform", Op: op, Err: err}
}
