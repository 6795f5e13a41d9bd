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

// bytesPerToken is the customary estimate of the bytes of prompt text per token.
const bytesPerToken = 4

// serveCompletion handles a completion request, streamed or not.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	c, err := s.newCall(r, "")
	if err == nil {
		err = s.runCompletion(w, r, c)
	}
	if err != nil {
		s.refuse(w, c, err)
	}
}

// A completionCall is a validated completion request.
type completionCall struct {
	request openai.Request
	adapter notes.Adapter
	job     plank.Job
	prompt  plank.Tokens // estimated from the length of the prompt
}

func (s *Server) runCompletion(w http.ResponseWriter, r *http.Request, c *call) error {
	m, err := s.readCompletionCall(w, r, c)
	if err != nil {
		return err
	}
	ctx, end, err := s.bindContext(r.Context(), c)
	if err != nil {
		return err
	}
	defer end()
	grant, err := s.deps.Limiter.Acquire(ctx, c.caller.workspace, m.job.Cost, c.deadline)
	if err != nil {
		return withdrawnError(ctx, err)
	}
	rw := newResponseWriter(w, s, c, m)
	err = s.deps.Relay.Run(ctx, m.job, m.adapter.Base, rw.emit)
	used := m.prompt + plank.Tokens(rw.chunks)
	if rw.chunks == 0 && isNotRun(err) {
		used = 0
	}
	s.deps.Limiter.Refund(grant, grant.Cost-used)
	if err != nil {
		return withdrawnError(ctx, err)
	}
	return rw.finish()
}

func isNotRun(err error) bool {
	var refused *plank.RefusalError
	return errors.As(err, &refused) && refused.Ran == plank.NotRun
}

// readCompletionCall reads and validates a completion request. No part of the
// request has run if it returns an error.
func (s *Server) readCompletionCall(w http.ResponseWriter, r *http.Request, c *call) (*completionCall, error) {
	body, err := s.readBody(w, r)
	if err != nil {
		return nil, err
	}
	m := &completionCall{}
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

// makeJob sets m.job, the form of the request that is sent to engines and to
// other VMs, and m.prompt.
func (s *Server) makeJob(r *http.Request, c *call, m *completionCall, body []byte) error {
	limit := m.request.OutputLimit(s.opts.DefaultTokens)
	forwarded, err := engineBody(body, limit)
	if err != nil {
		return err
	}
	if containsSecret(c.caller.secret, string(body), string(forwarded)) {
		return plank.Refuse(plank.CodeBadRequest, "the body holds the caller's key")
	}
	sum := sha256.Sum256(append([]byte(r.URL.Path+"\n"), forwarded...))
	fp := plank.Fingerprint(hex.EncodeToString(sum[:16]))
	_, suspect := s.deps.Poison.Lookup(fp)
	m.prompt = plank.Tokens(len(m.request.PromptText())/bytesPerToken + 1)
	m.job = plank.Job{
		ID: c.id, Workspace: c.caller.workspace, Key: c.caller.key.Id, Model: m.adapter.Model(), Path: r.URL.Path, Body: forwarded,
		Cost: m.prompt + plank.Tokens(limit), Weight: c.snap.Catalog.Weight(c.caller.workspace),
		Deadline: c.deadline, Fingerprint: fp, Alone: suspect,
	}
	return nil
}

// engineBody returns the request body that is sent to an engine. It always
// requests a stream of at most limit tokens; the other fields are the caller's.
func engineBody(body []byte, limit int) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, plank.Refuse(plank.CodeBadRequest, "the body is not a JSON object: %v", err)
	}
	fields["stream"] = json.RawMessage("true")
	fields["max_tokens"] = json.RawMessage(fmt.Sprint(limit))
	delete(fields, "max_completion_tokens")
	delete(fields, "stream_options")
	// Decoding and encoding again removes escape sequences, in which the
	// caller's key would not be found by containsSecret.
	var normalized map[string]any
	encoded, err := json.Marshal(fields)
	if err != nil {
		return nil, eris.Wrap(err, "encode request")
	}
	dec := json.NewDecoder(bytes.NewReader(encoded))
	dec.UseNumber()
	if err := dec.Decode(&normalized); err != nil {
		return nil, eris.Wrap(err, "decode request")
	}
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(normalized); err != nil {
		return nil, eris.Wrap(err, "encode request")
	}
	return bytes.TrimSpace(out.Bytes()), nil
}

// readBody reads the request body, of at most MaxBodyBytes.
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

// A responseWriter writes a completion to the caller, as a stream of events or
// as one JSON object.
type responseWriter struct {
	w            http.ResponseWriter
	rc           *http.ResponseController
	server       *Server
	call         *call
	completion   *completionCall
	chunks       int
	text         bytes.Buffer
	finishReason *string
}

func newResponseWriter(w http.ResponseWriter, s *Server, c *call, m *completionCall) *responseWriter {
	return &responseWriter{w: w, rc: http.NewResponseController(w), server: s, call: c, completion: m}
}

// emit writes the next chunk to the stream, or collects its text if the caller
// did not request a stream.
func (rw *responseWriter) emit(chunk plank.Chunk) error {
	rw.chunks++
	if !rw.completion.request.Stream {
		return rw.appendText(chunk.Data)
	}
	if !rw.call.responseStarted {
		rw.call.responseStarted = true
		rw.w.Header().Set("X-Request-Id", string(rw.call.id))
		rw.w.Header().Set("Content-Type", "text/event-stream")
		rw.w.Header().Set("Cache-Control", "no-cache")
		rw.w.WriteHeader(http.StatusOK)
	}
	return rw.writeEvent(chunk.Data)
}

// writeEvent writes one server-sent event and flushes it.
func (rw *responseWriter) writeEvent(data []byte) error {
	// A writer without support for deadlines returns an error. Those of
	// net/http support them.
	_ = rw.rc.SetWriteDeadline(time.Now().Add(rw.server.opts.WriteTimeout))
	if _, err := fmt.Fprintf(rw.w, "data: %s\n\n", data); err != nil {
		return eris.Wrap(err, "write to caller")
	}
	return eris.Wrap(rw.rc.Flush(), "write to caller")
}

// appendText appends the text of a chunk to the text of the completion.
func (rw *responseWriter) appendText(data []byte) error {
	var chunk openai.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return eris.Wrap(err, "decode chunk")
	}
	for _, choice := range chunk.Choices {
		if choice.Text != nil {
			rw.text.WriteString(*choice.Text)
		}
		if choice.Delta != nil {
			rw.text.WriteString(choice.Delta.Content)
		}
		if choice.FinishReason != nil {
			rw.finishReason = choice.FinishReason
		}
	}
	return nil
}

// finish ends the stream, or writes the JSON object if the caller did not
// request a stream.
func (rw *responseWriter) finish() error {
	if rw.completion.request.Stream {
		// The caller has received all chunks, so that a failed write of the
		// final event is not an error.
		_ = rw.writeEvent([]byte("[DONE]"))
		return nil
	}
	text := rw.text.String()
	choice := openai.Choice{Text: &text, FinishReason: rw.finishReason}
	object := "text_completion"
	if rw.completion.job.Path == "/v1/chat/completions" {
		choice = openai.Choice{Message: &openai.OutputMessage{Role: "assistant", Content: text}, FinishReason: rw.finishReason}
		object = "chat.completion"
	}
	rw.w.Header().Set("X-Request-Id", string(rw.call.id))
	writeJSON(rw.w, http.StatusOK, openai.CompletionResponse{
		ID: string(rw.call.id), Object: object, Created: rw.call.started.Unix(), Model: rw.completion.job.Model.String(),
		Choices: []openai.Choice{choice},
		Usage:   openai.Usage{PromptTokens: int(rw.completion.prompt), CompletionTokens: rw.chunks, TotalTokens: int(rw.completion.prompt) + rw.chunks},
	})
	return nil
}
