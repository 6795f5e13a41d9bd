// Package engine defines the client of OpenAI-compatible model engines that load
// and unload adapters at run time.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/engine/openai"
	"knapweedplank.org/plank/internal/health"
)

// streamEndTimeout bounds the wait for the end of a response body after the last
// event of its stream.
const streamEndTimeout = time.Second

// maxLineBytes bounds one line of an engine's stream, and the body of a load
// report.
const maxLineBytes = 1 << 20

// A Client sends requests to one engine.
type Client struct {
	id   plank.EndpointID
	base string
	http *http.Client
	// weightsPath returns the path of a model's weights in the weight store.
	weightsPath func(plank.Model) string
}

var _ plank.Engine = (*Client)(nil)

// New returns a client of the engine at addr (host:port). weightsPath returns the
// path of a model's weights in the weight store.
func New(id plank.EndpointID, addr string, transport http.RoundTripper, weightsPath func(plank.Model) string) *Client {
	return &Client{id: id, base: "http://" + addr, http: &http.Client{Transport: transport}, weightsPath: weightsPath}
}

// A WrongModelError reports a response from another model than the requested one.
type WrongModelError struct {
	Want plank.Model
	Got  string
}

// Error returns the message.
func (e *WrongModelError) Error() string {
	return fmt.Sprintf("asked for %s, answered by %q", e.Want, e.Got)
}

// Generate implements plank.Engine.
func (c *Client) Generate(ctx context.Context, job plank.Job, emit func(plank.Chunk) error) (wait func(), err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+job.Path, bytes.NewReader(job.Body))
	if err != nil {
		return nil, eris.Wrap(err, "make request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(openai.HeaderRequestID, string(job.ID))
	if job.Offset > 0 {
		req.Header.Set(openai.HeaderResumeOffset, strconv.Itoa(job.Offset))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, c.unavailable("generate", err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, c.statusError(resp)
	}
	if err := c.readStream(resp.Body, job, emit); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return func() { drain(resp.Body) }, nil
}

// drain reads and discards the rest of a response body for at most
// streamEndTimeout, and closes it.
func drain(body io.ReadCloser) {
	timer := time.AfterFunc(streamEndTimeout, func() { body.Close() })
	defer timer.Stop()
	defer body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxLineBytes)) // only the end of the body is awaited
}

// statusError returns the error for a response with a status other than 200.
func (c *Client) statusError(resp *http.Response) error {
	message, err := io.ReadAll(io.LimitReader(resp.Body, 1024))
	if err != nil {
		return c.unavailable("read refusal", err)
	}
	detail := fmt.Sprintf("endpoint %s: status %d: %s", c.id, resp.StatusCode, strings.TrimSpace(string(message)))
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return plank.Refuse(plank.CodeNoModel, "%s", detail)
	case resp.StatusCode < http.StatusInternalServerError:
		return plank.Refuse(plank.CodeBadRequest, "%s", detail)
	case resp.StatusCode == http.StatusServiceUnavailable:
		refusal := plank.Refuse(plank.CodeNoEndpoint, "%s", detail)
		if v := resp.Header.Get("Retry-After"); v != "" {
			var err error
			if refusal.RetryAfter, err = health.ParsePause(v); err != nil {
				refusal.Detail += " (Retry-After: " + err.Error() + ")"
			}
		}
		return refusal
	}
	return c.unavailable("generate", errors.New(detail))
}

// readStream passes the chunks of a stream to emit, starting with chunk
// job.Offset. Chunks with a lower index than expected are dropped. A missing
// chunk and an end of the stream without the event [DONE] are errors.
func (c *Client) readStream(r io.Reader, job plank.Job, emit func(plank.Chunk) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	next := job.Offset
	index := next
	for lines.Scan() {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			if n, err := strconv.Atoi(strings.TrimSpace(id)); err == nil {
				index = n
			}
			continue
		}
		data, ok := strings.CutPrefix(line, "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return nil
		}
		if index < next {
			continue
		}
		if index > next {
			return c.unavailable("generate", eris.Errorf("chunk %d after %d", index, next-1))
		}
		if err := checkModel(data, job.Model); err != nil {
			return err
		}
		if err := emit(plank.Chunk{Index: next, Data: []byte(data)}); err != nil {
			return err
		}
		next++
		index = next
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return c.unavailable("generate", err)
}

// checkModel returns a *WrongModelError if a chunk names another model than want.
func checkModel(data string, want plank.Model) error {
	var chunk struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return eris.Wrap(err, "decode chunk")
	}
	if chunk.Model != want.String() {
		return &WrongModelError{Want: want, Got: chunk.Model}
	}
	return nil
}

// Load implements plank.Engine.
func (c *Client) Load(ctx context.Context, m plank.Model, term plank.Term) error {
	return c.sendOrder(ctx, "/v1/load_lora_adapter", openai.AdapterRequest{Name: m.String(), Path: c.weightsPath(m)}, term)
}

// Unload implements plank.Engine.
func (c *Client) Unload(ctx context.Context, m plank.Model, term plank.Term) error {
	return c.sendOrder(ctx, "/v1/unload_lora_adapter", openai.AdapterRequest{Name: m.String()}, term)
}

func (c *Client) sendOrder(ctx context.Context, path string, order openai.AdapterRequest, term plank.Term) error {
	body, err := json.Marshal(order)
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "make request")
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(openai.HeaderTerm, strconv.FormatUint(uint64(term), 10))
	resp, err := c.http.Do(req)
	if err != nil {
		return c.unavailable("order", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return c.statusError(resp)
	}
	return nil
}

// reportTimeout bounds a request for an engine's load report.
const reportTimeout = time.Second

// Report implements plank.Engine.
func (c *Client) Report(ctx context.Context) (plank.EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var report plank.EngineReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/report", nil)
	if err != nil {
		return report, eris.Wrap(err, "make request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return report, c.unavailable("report", err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLineBytes)).Decode(&report); err != nil {
		return report, c.unavailable("report", err)
	}
	return report, nil
}

func (c *Client) unavailable(op string, err error) error {
	return &plank.UnavailableError{Target: "endpoint " + string(c.id), Op: op, Err: err}
}
