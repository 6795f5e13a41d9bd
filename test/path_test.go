package test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/stand/model"
)

// TestOpenAIClientThroughEachDaemon checks that each daemon serves an unmodified OpenAI
// client from the adapter and version that the client names, and runs a booking.
func TestOpenAIClientThroughEachDaemon(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallFleet())
	eventually(t, 6*time.Second, "first note in force", f.inForce)
	ctx := context.Background()
	for i, v := range f.daemons {
		name := fmt.Sprintf("ad-%d@1", i)
		m, _ := plank.ParseModel(name)
		client := openai.NewClient(option.WithBaseURL("http://"+v.callersAddr+"/v1/"), option.WithAPIKey(keyOne), option.WithMaxRetries(0))
		stream := client.Completions.NewStreaming(ctx, openai.CompletionNewParams{
			Model: openai.CompletionNewParamsModel(name), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("bulbs?")}, MaxTokens: openai.Int(6),
		})
		text := ""
		for stream.Next() {
			text += stream.Current().Choices[0].Text
		}
		assert.NilError(t, stream.Err())
		assert.Equal(t, text, model.Completion(m, "bulbs?", 6))
		chat, err := client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{
			Model: name, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("run length?")}, MaxTokens: openai.Int(4),
		})
		assert.NilError(t, err)
		assert.Equal(t, chat.Choices[0].Message.Content, model.Completion(m, "user: run length?\n", 4))
		assert.Equal(t, v.book(ctx, keyOne, "path-"+v.name, "b-"+v.name).status, http.StatusOK)
		models, err := client.Models.List(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(models.Data), f.cfg.adapters)
	}
	f.checkBackends()
}

// TestInvalidRequests sends requests that must be refused and must not run.
func TestInvalidRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallFleet())
	v := f.daemons[0]
	ctx := context.Background()
	cases := []struct {
		name, path, key, body string
		status                int
	}{
		{"no key", "/v1/completions", "", `{"model":"ad-1@1","prompt":"x"}`, 401},
		{"wrong key", "/v1/completions", "kp-wrong", `{"model":"ad-1@1","prompt":"x"}`, 401},
		{"not JSON", "/v1/completions", keyOne, `{"model"`, 400},
		{"a JSON list", "/v1/completions", keyOne, `[]`, 400},
		{"no model", "/v1/completions", keyOne, `{"prompt":"x"}`, 400},
		{"no version", "/v1/completions", keyOne, `{"model":"ad-1","prompt":"x"}`, 404},
		{"unknown version", "/v1/completions", keyOne, `{"model":"ad-1@9","prompt":"x"}`, 404},
		{"another workspace", "/v1/completions", keyOne, `{"model":"private@1","prompt":"x"}`, 403},
		{"own key in prompt", "/v1/completions", keyOne, `{"model":"ad-1@1","prompt":"` + keyOne + `"}`, 400},
		{"own key escaped", "/v1/completions", keyOne, `{"model":"ad-1@1","prompt":"kp\u002done"}`, 400},
		{"own key in query", "/bookings/?k=kp%2Done", keyOne, `{}`, 400},
		{"own key as idempotency key", "/bookings/", keyOne, keyOne, 400},
		{"too large", "/v1/completions", keyOne, `{"model":"ad-1@1","prompt":"` + strings.Repeat("x", 2<<20) + `"}`, 413},
		{"negative tokens", "/v1/completions", keyOne, `{"model":"ad-1@1","prompt":"x","max_tokens":-4}`, 400},
		{"more tokens than the burst", "/v1/completions", keyOne, `{"model":"ad-1@1","prompt":"x","max_tokens":900000}`, 429},
		{"no route", "/nowhere", keyOne, `{}`, 404},
		{"unsupported API", "/v1/embeddings", keyOne, `{}`, 404},
	}
	for _, c := range cases {
		resp, err := v.send(ctx, http.MethodPost, c.path, c.key, "", c.body)
		assert.NilError(t, err, c.name)
		var r result
		r.readError(resp.Body)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, c.status, "%s: %s", c.name, r.code)
		assert.Equal(t, r.ran, plank.NotRun, c.name)
	}
	for _, s := range f.engineStats() {
		assert.Equal(t, s.Completed+s.Cancelled, 0)
	}
	assert.Equal(t, len(f.bookingRuns()), 0)
	f.checkBackends()
}

// TestSlowAndOversizedRequests sends a header that never ends, one that is too large
// and an incomplete body. The limits end each of these requests, and other callers are
// served meanwhile.
func TestSlowAndOversizedRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallFleet())
	v := f.daemons[0]
	dial := func(text string) net.Conn {
		conn, err := net.Dial("tcp", v.callersAddr)
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
		_, err = conn.Write([]byte(text))
		assert.NilError(t, err)
		return conn
	}
	slow := dial("POST /v1/completions HTTP/1.1\r\nHost: x\r\n")
	large := dial("GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Large: " + strings.Repeat("x", 40<<10) + "\r\n\r\n")
	head := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + keyOne + "\r\nContent-Length: 100\r\n\r\n"
	half := dial(head + `{"model":`)
	assert.Assert(t, v.streamCompletion(context.Background(), keyOne, "ad-1@1", "x", 2).complete)
	readAll := func(conn net.Conn) string {
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(30*time.Second)))
		text, err := io.ReadAll(conn)
		assert.NilError(t, err, "the daemon did not close the connection")
		return string(text)
	}
	assert.Assert(t, strings.Contains(readAll(large), "431"))
	readAll(slow)
	assert.Assert(t, strings.Contains(readAll(half), "not_run"))
	for _, s := range f.engineStats() {
		assert.Equal(t, s.Cancelled, 0)
	}
}

// TestAddressInUse starts a daemon on an address that is in use. The error names the
// line of the settings file.
func TestAddressInUse(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	path := filepath.Join(t.TempDir(), "s.json")
	writeFile(t, path, fmt.Sprintf("{\"VM\": \"v\", \"Domain\": \"d\", \"PlainPeers\": true, \"Platform\": \"127.0.0.1:1\",\n\"Callers\": %q}", ln.Addr()))
	out, err := exec.Command(filepath.Join(binDir, "knapweedplank"), "serve", "--settings", path).CombinedOutput()
	var exit *exec.ExitError
	assert.Assert(t, errors.As(err, &exit))
	assert.Equal(t, exit.ExitCode(), 2)
	assert.Assert(t, strings.Contains(string(out), "s.json:2: Callers: listen"), "%s", out)
}

// TestCommandLine checks exit codes and messages for faulty and valid files.
func TestCommandLine(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	cases := []struct {
		name, file, text, want string
		args                   []string
		code                   int
	}{
		{"unknown field", "a.json", "{\n\"VM\": \"x\",\n\"Colour\": 1}", "a.json:3: Colour: unknown field", []string{"settings", "check"}, 2},
		{"wrong type", "b.json", "{\n\"VM\": 7}", "b.json:2: VM: got a number", []string{"settings", "check"}, 2},
		{"out of range", "c.json", "{\"VM\": \"x\", \"Domain\": \"d\", \"Platform\": \"h:1\", \"PlainPeers\": true,\n\"Limits\": {\"MaxBodyBytes\": 1}}", "c.json:2: Limits.MaxBodyBytes", []string{"settings", "check"}, 2},
		{"faulty note", "d.json", `{"Id": "n", "Workspaces": {"Set": [{"Id": "w", "Rate": -1, "Burst": 1}]}, "Keys": {"Set": [{"Id": "k", "Hash": "x", "Workspace": "w"}]}}`, "Hash must be", []string{"note", "check"}, 2},
		{"valid note", "e.json", `{"Id": "n", /* nothing */ }`, "is fine", []string{"note", "check"}, 0},
	}
	for _, c := range cases {
		path := filepath.Join(dir, c.file)
		writeFile(t, path, c.text)
		cmd := exec.Command(filepath.Join(binDir, "knapweedplank"), append(c.args, path)...)
		out, _ := cmd.CombinedOutput()
		assert.Equal(t, cmd.ProcessState.ExitCode(), c.code, "%s: %s", c.name, out)
		assert.Assert(t, strings.Contains(string(out), c.want), "%s: %s", c.name, out)
	}
}
