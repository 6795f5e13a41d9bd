package grant_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/grant"
	"knapweedplank.org/plank/internal/pace"
)

// newPacedHarness returns a harness whose engine is known to have a pace.
func newPacedHarness(limits grant.Limits, p float64) *harness {
	h := newHarness(limits)
	h.paces = pace.New(fixedClock{}, false)
	h.paces.RecordStated("", plank.Instance{ID: h.id}.Run(), p)
	h.newHolder(limits)
	return h
}

// Guards against a backlog of several seconds on an engine that is slow, and a fast one that
// waits for work.
func TestBacklogIsASecondAtThePaceOfTheEngine(t *testing.T) {
	for _, test := range []struct {
		pace    float64
		granted int
	}{{2, 2}, {1, 4}, {0.5, 8}} {
		h := newPacedHarness(grant.Limits{MaxRunning: 64, Memory: 1 << 20, MaxAdapters: 3, Base: "m"}, test.pace)
		var calls []*grant.TestReservation
		for range 12 {
			calls = append(calls, h.engine.Reserve(grant.Request{Adapter: adapter(1), Prompt: 9000, Output: 50, Deadline: h.now.Add(10 * time.Second)}))
		}
		h.advance(400 * time.Millisecond)
		granted := 0
		for _, c := range calls {
			if c.Outcome != nil {
				granted++
			}
		}
		assert.Equal(t, granted, test.granted, "pace %v", test.pace)
		assert.Equal(t, h.engine.State(h.now).Pace, test.pace)
	}
}

// Guards against a Retry-After that is too early for an engine that is slow.
func TestRetryAfterFollowsThePace(t *testing.T) {
	wait := func(p float64) time.Duration {
		h := newPacedHarness(grant.Limits{MaxRunning: 64, Memory: 1 << 20, MaxAdapters: 3, Base: "m"}, p)
		var last *grant.TestReservation
		for range 12 {
			last = h.engine.Reserve(grant.Request{Adapter: adapter(1), Prompt: 9000, Output: 50, Deadline: h.now.Add(600 * time.Millisecond)})
		}
		h.advance(700 * time.Millisecond)
		assert.Assert(t, last.Outcome != nil && !last.Outcome.Granted)
		return last.Outcome.RetryAfter
	}
	usual, slow := wait(1), wait(1.9)
	assert.Assert(t, slow > usual*3/2, "%v and %v", usual, slow)
}

// Guards against a slow engine that is not noticed where engines state no pace.
func TestFirstEventsTellThePace(t *testing.T) {
	limits := grant.Limits{MaxRunning: 64, Memory: 1 << 20, MaxAdapters: 3, Base: "m"}
	h := newHarness(limits)
	h.paces = pace.New(fixedClock{}, true)
	h.newHolder(limits)
	for range 6 {
		res := h.engine.Reserve(grant.Request{Adapter: adapter(1), Prompt: 9000, Output: 50, Deadline: h.now.Add(10 * time.Second)})
		h.advance(400 * time.Millisecond)
		assert.Assert(t, res.Outcome != nil)
		h.advance(480 * time.Millisecond)
		h.engine.MarkStartedAt(res, h.now)
		h.engine.Release(res, h.now)
	}
	p := h.paces.Pace("", plank.Instance{ID: h.id}.Run())
	assert.Assert(t, p > 1.7, "%v", p)
}

// Guards against long prompts that avoid streams which are late already, and ones that take
// streams for late which they do not delay.
func TestStrictGapsCountStreamsThatAreNotLateYet(t *testing.T) {
	for _, test := range []struct {
		name   string
		pace   float64
		prompt plank.Tokens
		want   float64
	}{
		{"a long prompt on a slow engine", 1.8, 12_000, 1},
		{"a short prompt on a slow engine", 1.8, 800, 3},
		{"a long prompt on a fast engine", 0.8, 12_000, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newPacedHarness(grant.Limits{MaxRunning: 64, Memory: 1 << 20, MaxAdapters: 3, EventTokens: 5, Base: "m"}, test.pace)
			reserve := func(prompt, output plank.Tokens, gap time.Duration) *grant.TestReservation {
				return h.engine.Reserve(grant.Request{Adapter: adapter(1), Prompt: prompt, Output: output, MaxGap: gap, Deadline: h.now.Add(10 * time.Second)})
			}
			first := reserve(100, 290, 300*time.Millisecond)
			reserve(100, 290, 300*time.Millisecond)
			reserve(100, 290, 0) // its pauses do not matter
			reserve(100, 3, 300*time.Millisecond)
			h.advance(400 * time.Millisecond)
			assert.Equal(t, h.engine.State(h.now).StrictGaps, 2.0)
			long := reserve(test.prompt, 50, 300*time.Millisecond)
			h.advance(50 * time.Millisecond)
			assert.Assert(t, long.Outcome != nil)
			assert.Equal(t, h.engine.State(h.now).StrictGaps, test.want)
			h.engine.Release(first, h.now)
			h.engine.Release(long, h.now)
			assert.Equal(t, h.engine.State(h.now).StrictGaps, max(0, test.want-2))
		})
	}
}

// Guards against larger messages and other choices where no pace is learned.
func TestNoStrictGapsAreToldWithoutPaces(t *testing.T) {
	h := newHarness(grant.Limits{MaxRunning: 64, Memory: 1 << 20, MaxAdapters: 3, EventTokens: 5, Base: "m"})
	h.engine.Reserve(grant.Request{Adapter: adapter(1), Prompt: 100, Output: 290, MaxGap: 300 * time.Millisecond, Deadline: h.now.Add(10 * time.Second)})
	h.advance(400 * time.Millisecond)
	s := h.engine.State(h.now)
	assert.Equal(t, s.StrictGaps, 0.0)
	assert.Equal(t, s.Pace, 0.0)
}
