package engine_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/engine"
	"knapweedplank.org/plank/internal/engine/openai"
	"knapweedplank.org/plank/internal/health"
)

// A fixedReply is a transport that answers every request with the same status and
// body.
type fixedReply struct {
	status int
	body   string
}

// A pausingReply answers every request with 503 and a Retry-After field.
type pausingReply struct {
	retryAfter string
}

// RoundTrip implements http.RoundTripper.
func (r pausingReply) RoundTrip(*http.Request) (*http.Response, error) {
	resp := &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody, Header: http.Header{}}
	resp.Header.Set("Retry-After", r.retryAfter)
	return resp, nil
}

func TestPauseOfAnEngine(t *testing.T) {
	for value, want := range map[string]time.Duration{"1.5": 1500 * time.Millisecond, "0": 0, "soon": 0, "-2": 0, "1e9": health.MaxPause} {
		_, err := engine.New("e", "host:1", pausingReply{value}, plank.Model.String).Generate(context.Background(), job(0), func(plank.Chunk) error { return nil })
		var refusal *plank.RefusalError
		assert.Assert(t, errors.As(err, &refusal) && refusal.Ran == plank.NotRun, "%v", err)
		assert.Equal(t, refusal.RetryAfter, want, "%q", value)
	}
}

// RoundTrip implements http.RoundTripper.
func (r fixedReply) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: r.status, Body: io.NopCloser(strings.NewReader(r.body)), Header: http.Header{}}, nil
}

func job(offset int) plank.Job {
	return plank.Job{ID: "r", Model: plank.Model{Adapter: "a", Version: "1"}, Path: "/v1/completions", Offset: offset}
}

func chunk(text string) string {
	return "data: " + string(openai.TokenChunk("r", plank.Model{Adapter: "a", Version: "1"}, false, text, false)) + "\n\n"
}

// generate returns the indexes of the chunks that Generate passes to its
// callback.
func generate(r fixedReply, offset int) ([]int, error) {
	var got []int
	wait, err := engine.New("e", "host:1", r, plank.Model.String).Generate(context.Background(), job(offset), func(c plank.Chunk) error {
		got = append(got, c.Index)
		return nil
	})
	if err == nil {
		wait()
	}
	return got, err
}

func TestStreams(t *testing.T) {
	other := strings.ReplaceAll(chunk("x"), "a@1", "a@2")
	cases := []struct {
		name   string
		reply  fixedReply
		offset int
		want   []int
		err    any // target of errors.As, nil for success
	}{
		{"whole", fixedReply{200, chunk("x") + chunk("y") + "data: [DONE]\n\n"}, 0, []int{0, 1}, nil},
		{"duplicates dropped", fixedReply{200, "id: 0\n" + chunk("x") + "id: 0\n" + chunk("x") + "id: 1\n" + chunk("y") + "data: [DONE]\n\n"}, 0, []int{0, 1}, nil},
		{"resumed from the start", fixedReply{200, "id: 0\n" + chunk("x") + "id: 1\n" + chunk("y") + "data: [DONE]\n\n"}, 1, []int{1}, nil},
		{"gap", fixedReply{200, "id: 0\n" + chunk("x") + "id: 2\n" + chunk("z") + "data: [DONE]\n\n"}, 0, []int{0}, new(*plank.UnavailableError)},
		{"cut", fixedReply{200, chunk("x")}, 0, []int{0}, new(*plank.UnavailableError)},
		{"empty", fixedReply{200, ""}, 0, nil, new(*plank.UnavailableError)},
		{"another version", fixedReply{200, other}, 0, nil, new(*engine.WrongModelError)},
		{"not loaded", fixedReply{404, "no"}, 0, nil, new(*plank.RefusalError)},
		{"engine error", fixedReply{500, "no"}, 0, nil, new(*plank.UnavailableError)},
		{"busy", fixedReply{503, "no"}, 0, nil, new(*plank.RefusalError)},
	}
	for _, c := range cases {
		got, err := generate(c.reply, c.offset)
		assert.DeepEqual(t, got, c.want)
		if c.err == nil {
			assert.NilError(t, err, c.name)
			continue
		}
		assert.Assert(t, errors.As(err, c.err), "%s: %v", c.name, err)
	}
}

// A recorder is a transport that keeps the body of the last request.
type recorder struct{ body string }

// RoundTrip implements http.RoundTripper.
func (r *recorder) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	r.body = string(body)
	return &http.Response{StatusCode: 200, Body: http.NoBody}, err
}

// TestLoadSendsWeightsPath checks that a load order holds the path of the weights.
func TestLoadSendsWeightsPath(t *testing.T) {
	r := &recorder{}
	c := engine.New("e", "host:1", r, func(m plank.Model) string { return "weights/" + string(m.Adapter) })
	assert.NilError(t, c.Load(context.Background(), plank.Model{Adapter: "a", Version: "1"}, 3))
	assert.Equal(t, r.body, `{"lora_name":"a@1","lora_path":"weights/a"}`)
}

// FuzzStream checks that for any response of an engine, the chunks passed to the
// callback have consecutive indexes that start at the offset.
func FuzzStream(f *testing.F) {
	f.Add(chunk("x")+"data: [DONE]\n\n", 0)
	f.Add("id: 1\n"+chunk("x")+"id: 0\n"+chunk("y"), 1)
	f.Add("id: -1\ndata: {}\n\ndata: null\n\n", 0)
	f.Add("data:\n\nid: 9999999999999999999\n"+chunk("x"), 3)
	f.Fuzz(func(t *testing.T, body string, offset int) {
		if offset < 0 || offset > 1000 {
			return
		}
		got, _ := generate(fixedReply{200, body}, offset)
		for i, index := range got {
			if index != offset+i {
				t.Fatalf("chunks %v from offset %d", got, offset)
			}
		}
	})
}
