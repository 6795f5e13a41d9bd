package front_test

import (
	"context"
	"math"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/front"
	"knapweedplank.org/plank/internal/grant"
)

// The parts of a prompt and the limit of its output must reach the holder of an engine only if the
// service learns costs, so that messages of other deployments do not change. The limit is what an
// engine can put out before the deadline.
func TestRequestsHavePartsWhileCostsAreLearned(t *testing.T) {
	parts := []plank.PromptPart{{ID: "b", Tokens: 10}, {ID: "own", Tokens: 20}}
	for _, active := range []bool{false, true} {
		h := newHarness(t)
		h.learnsCost = active
		h.Handle(context.Background(), &plank.Call{
			ID: "call-parts", Method: http.MethodPost, Host: "h", Target: "/ask/", Header: http.Header{}, Arrived: time.Now(),
			PromptTokens: 30, MaxOutputTokens: 1e6, HasTokens: true, Hint: 10, PromptParts: parts,
		}, new(answer))
		m := front.NewReserveRequest(h.request, time.Now())
		if !active {
			assert.Assert(t, len(m.Parts) == 0 && m.MaxOutput == 0)
			continue
		}
		assert.DeepEqual(t, front.PromptParts(m.Parts), parts)
		assert.Assert(t, m.MaxOutput > 500 && m.MaxOutput <= float64(4*time.Second/grant.FastestStep))
	}
}

// Invalid lengths must not reach a holder as other lengths.
func TestInvalidPartsAreNotSent(t *testing.T) {
	for _, n := range []plank.Tokens{plank.Tokens(math.NaN()), -1, plank.Tokens(math.Inf(1)), 1 << 33} {
		m := front.NewReserveRequest(grant.Request{Parts: []plank.PromptPart{{ID: "a", Tokens: 1}, {ID: "b", Tokens: n}, {ID: "c", Tokens: 1}}}, time.Now())
		assert.Equal(t, len(m.Parts), 1)
	}
	assert.Equal(t, len(front.NewReserveRequest(grant.Request{Parts: make([]plank.PromptPart, 5000)}, time.Now()).Parts), 32)
}
