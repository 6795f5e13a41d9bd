package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/engine/openai"
	"knapweedplank.org/plank/pkg/notes"
)

// bytesPerToken is the usual estimate for prompts.
const bytesPerToken = 4

// serveModel serves a completion, streamed or not.
func (s *Server) serveModel(w http.ResponseWriter, r *http.Request) {
	c, err := s.begin(r, "")
	if err == nil {
		err = s.runModel(w, r, c)
	}
	if err != nil {
		s.refuse(w, c, err)
	}
}

// A modelCall is a checked completion request.
type modelCall struct {
	request openai.Request
	adapter notes.Adapter
	job     plank.Job
	prompt  plank.Tokens
}

func (s *Server) runModel(w http.ResponseWriter, r *http.Request, c *call) error {
	m, err := s.readModelCall(w, r, c)
	if err != nil {
		return err
	}
	ctx, end, err := s.hold(r.Context(), c)
	if err != nil {
		return err
	}
	defer end()
	grant, err := s.deps.Limiter.Acquire(ctx, c.caller.workspace, m.job.Cost, c.deadline)
	if err != nil {
		return explain(ctx, err)
	}
	out := newOutput(w, s, c, m)
	err = s.deps.Relay.Run(ctx, m.job, m.adapter.Base, out.emit)
	used := m.prompt + plank.Tokens(out.chunks)
	if out.chunks == 0 && isNotRun(err) {
		used = 0
	}
	s.deps.Limiter.Refund(grant, grant.Cost-used)
	if err != nil {
		return explain(ctx, err)
	}
	return out.finish()
}

func isNotRun(err error) bool {
	var refused *plank.RefusalError
	return errors.As(err, &refused) && refused.Ran == plank.NotRun
}

// readModelCall reads and checks a completion request. Nothing has run when it
// returns an error.
func (s *Server) readModelCall(w http.ResponseWriter, r *http.Request, c *call) (*modelCall, error) {
	body, err := s.readBody(w, r)
	if err != nil {
		return nil, err
	}
	m := &modelCall{}
	if err := json.Unmarshal(body, &m.request); err != nil {
		return nil, plank.Refuse(plank.CodeBadRequest, "the body is not a JSON completion request: %v", err)
	}
	if m.request.Model == "" {
		return nil, plank.Refuse(plank.CodeBadRequest, "model is missing; name it as adapter@version")
	}
	if m.request.N > 1 {
		return nil, plank.Refuse(plank.CodeBadRequest, "n above 1 is not served")
	}
	if m.request.OutputLimit(1) < 0 || m.request.MaxTokens < 0 {
		return nil, plank.Refuse(plank.CodeBadRequest, "max_tokens must not be negative")
	}
	adapter, ok := c.snap.Catalog.Adapters[m.request.Model]
	if !ok {
		return nil, plank.Refuse(plank.CodeNoModel, "model %q does not exist; name it as adapter@version", m.request.Model)
	}
	if adapter.Workspace != "" && adapter.Workspace != c.caller.workspace {
		return nil, plank.Refuse(plank.CodeNotAllowed, "model %q belongs to another workspace", m.request.Model)
	}
	m.adapter = adapter
	return m, s.makeJob(r, c, m, body)
}

// makeJob builds the job as engines and other VMs see it.
func (s *Server) makeJob(r *http.Request, c *call, m *modelCall, body []byte) error {
	limit := m.request.OutputLimit(s.opts.DefaultTokens)
	sent, err := engineBody(body, limit)
	if err != nil {
		return err
	}
	if hasSecret(c.caller.secret, string(body), string(sent)) {
		return plank.Refuse(plank.CodeBadRequest, "the body holds the caller's key")
	}
	sum := sha256.Sum256(append([]byte(r.URL.Path+"\n"), sent...))
	fp := plank.Fingerprint(hex.EncodeToString(sum[:16]))
	_, suspect := s.deps.Poison.Lookup(fp)
	m.prompt = plank.Tokens(len(m.request.PromptText())/bytesPerToken + 1)
	m.job = plank.Job{
		ID: c.id, Workspace: c.caller.workspace, Key: c.caller.key.Id, Model: m.adapter.Model(), Path: r.URL.Path, Body: sent,
		Cost: m.prompt + plank.Tokens(limit), Weight: c.snap.Catalog.Weight(c.caller.workspace),
		Deadline: c.deadline, Fingerprint: fp, Alone: suspect,
	}
	return nil
}

// engineBody returns the request as engines get it: always streamed, bounded,
// and otherwise as the caller wrote it.
func engineBody(body []byte, limit int) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, plank.Refuse(plank.CodeBadRequest, "the body is not a JSON object: %v", err)
	}
	fields["stream"] = json.RawMessage("true")
	fields["max_tokens"] = json.RawMessage(fmt.Sprint(limit))
	delete(fields, "max_completion_tokens")
	delete(fields, "stream_options")
	// Decoding and encoding again undoes escapes, so that a key cannot hide in
	// them.
	var plain map[string]any
	joined, err := json.Marshal(fields)
	if err != nil {
		return nil, eris.Wrap(err, "encode request")
	}
	dec := json.NewDecoder(bytes.NewReader(joined))
	dec.UseNumber()
	if err := dec.Decode(&plain); err != nil {
		return nil, eris.Wrap(err, "decode request")
	}
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(plain); err != nil {
		return nil, eris.Wrap(err, "encode request")
	}
	return bytes.TrimSpace(out.Bytes()), nil
}

// readBody reads a bounded body.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.opts.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, plank.Refuse(plank.CodeTooLarge, "the body has over %d bytes", s.opts.MaxBodyBytes)
	case err != nil:
		return nil, plank.Refuse(plank.CodeBadRequest, "the body could not be read: %v", err)
	}
	return body, nil
}

// An output writes an answer to its caller, chunk by chunk or whole.
type output struct {
	w      http.ResponseWriter
	rc     *http.ResponseController
	server *Server
	call   *call
	model  *modelCall
	chunks int
	text   bytes.Buffer
	reason *string
}

func newOutput(w http.ResponseWriter, s *Server, c *call, m *modelCall) *output {
	return &output{w: w, rc: http.NewResponseController(w), server: s, call: c, model: m}
}

// emit takes the next chunk.
func (o *output) emit(chunk plank.Chunk) error {
	o.chunks++
	if !o.model.request.Stream {
		return o.collect(chunk.Data)
	}
	if !o.call.sent {
		o.call.sent = true
		o.w.Header().Set("X-Request-Id", string(o.call.id))
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-cache")
		o.w.WriteHeader(http.StatusOK)
	}
	return o.event(chunk.Data)
}

// event writes one event of the stream.
func (o *output) event(data []byte) error {
	// Not every writer knows deadlines; those of net/http do.
	_ = o.rc.SetWriteDeadline(time.Now().Add(o.server.opts.WriteTimeout))
	if _, err := fmt.Fprintf(o.w, "data: %s\n\n", data); err != nil {
		return eris.Wrap(err, "write to caller")
	}
	return eris.Wrap(o.rc.Flush(), "write to caller")
}

// collect gathers the text of a chunk.
func (o *output) collect(data []byte) error {
	var chunk openai.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return eris.Wrap(err, "decode chunk")
	}
	for _, choice := range chunk.Choices {
		if choice.Text != nil {
			o.text.WriteString(*choice.Text)
		}
		if choice.Delta != nil {
			o.text.WriteString(choice.Delta.Content)
		}
		if choice.FinishReason != nil {
			o.reason = choice.FinishReason
		}
	}
	return nil
}

// finish ends a whole answer.
func (o *output) finish() error {
	if o.model.request.Stream {
		// The whole answer was handed over; a caller that left now has it.
		_ = o.event([]byte("[DONE]"))
		return nil
	}
	text := o.text.String()
	choice := openai.Choice{Text: &text, FinishReason: o.reason}
	object := "text_completion"
	if o.model.job.Path == "/v1/chat/completions" {
		choice = openai.Choice{Message: &openai.OutputMessage{Role: "assistant", Content: text}, FinishReason: o.reason}
		object = "chat.completion"
	}
	o.w.Header().Set("X-Request-Id", string(o.call.id))
	writeJSON(o.w, http.StatusOK, openai.CompletionResponse{
		ID: string(o.call.id), Object: object, Created: o.call.begun.Unix(), Model: o.model.job.Model.String(),
		Choices: []openai.Choice{choice},
		Usage:   openai.Usage{PromptTokens: int(o.model.prompt), CompletionTokens: o.chunks, TotalTokens: int(o.model.prompt) + o.chunks},
	})
	return nil
}
