package test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/engine/openai"
)

// This file defines the requests of the tests' callers.

// A result is the outcome of a call.
type result struct {
	status   int
	text     string
	complete bool // the stream's final event or the entire body was received
	code     plank.Code
	ran      plank.Ran
	err      error // error of the connection or of decoding
	began    time.Time
	ended    time.Time
}

// streamCompletion requests a completion as a stream and reads it to its end.
func (v *vm) streamCompletion(ctx context.Context, key, model, prompt string, tokens int) result {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens, "stream": true})
	if err != nil {
		panic(err)
	}
	r := result{began: time.Now()}
	defer func() { r.ended = time.Now() }()
	resp, err := v.send(ctx, http.MethodPost, "/v1/completions", key, "", string(body))
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	r.status = resp.StatusCode
	if r.status != http.StatusOK {
		r.readError(resp.Body)
		return r
	}
	r.readStream(resp.Body)
	r.ended = time.Now()
	return r
}

func (v *vm) send(ctx context.Context, method, path, key, idempotency, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.callersAddr+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotency != "" {
		req.Header.Set("Idempotency-Key", idempotency)
	}
	req.GetBody = nil
	return http.DefaultClient.Do(req)
}

func (r *result) readError(body io.Reader) {
	var e openai.ErrorBody
	if err := json.NewDecoder(body).Decode(&e); err != nil {
		r.err = err
		return
	}
	r.code, r.ran = e.Error.Code, e.Error.Ran
}

func (r *result) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.complete = true
			return
		}
		var chunk struct {
			openai.Chunk
			openai.ErrorBody
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			r.err = err
			return
		}
		if chunk.Error.Code != "" {
			r.code, r.ran = chunk.Error.Code, chunk.Error.Ran
			return
		}
		r.text += *chunk.Choices[0].Text
	}
	r.err = errors.New("stream ended early")
}

// book requests a booking, with the idempotency key unless it is empty.
func (v *vm) book(ctx context.Context, key, idempotency, booking string) result {
	r := result{began: time.Now()}
	resp, err := v.send(ctx, http.MethodPost, "/bookings/", key, idempotency, fmt.Sprintf(`{"Booking": %q}`, booking))
	r.ended = time.Now()
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	r.status = resp.StatusCode
	if r.status != http.StatusOK {
		r.readError(resp.Body)
		return r
	}
	text, err := io.ReadAll(resp.Body)
	r.text, r.err, r.complete = string(text), err, err == nil
	return r
}
