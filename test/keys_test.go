package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/keys"
	"knapweedplank.org/plank/internal/stand/plain"
	"knapweedplank.org/plank/pkg/notes"
)

// withdrawalLimit is how long a withdrawn key may still be accepted: a change is in
// force on all VMs within six seconds.
const withdrawalLimit = 6 * time.Second

// TestWithdrawnKeyStops withdraws a key while it has a stream on every daemon, one of
// which cannot reach the platform. Every stream ends, no new request with the key is
// served, and the stream of another key completes.
func TestWithdrawnKeyStops(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallFleet())
	f.daemons[2].platformProxy.Cut()
	var streams sync.WaitGroup
	results := make([]result, len(f.daemons))
	for i, v := range f.daemons {
		streams.Go(func() { results[i] = v.streamCompletion(context.Background(), keyOne, "ad-1@1", "long", 3000) })
	}
	other := make(chan result, 1)
	go func() { other <- f.daemons[0].streamCompletion(context.Background(), keyTwo, "ad-2@1", "other", 600) }()
	eventually(t, 5*time.Second, "streams run", func() bool { return f.tokensGenerated() > 30 })
	n := &notes.Note{}
	n.Keys.Withdraw = []string{"key-one"}
	f.apply(n)
	accepted := time.Now()
	streams.Wait()
	for i, r := range results {
		assert.Equal(t, r.code, plank.CodeKeyWithdrawn, "stream on %s", f.daemons[i].name)
		assert.Assert(t, r.ended.Sub(accepted) < withdrawalLimit, "stream on %s continued for %v", f.daemons[i].name, r.ended.Sub(accepted))
	}
	for _, v := range f.daemons {
		r := v.streamCompletion(context.Background(), keyOne, "ad-1@1", "again", 2)
		assert.Equal(t, r.status, http.StatusUnauthorized, v.name)
	}
	r := <-other
	assert.Assert(t, r.complete, "the stream of another key was truncated: %+v", r)
	f.checkBackends()
}

// TestReplacedKey changes the hash of a key id: the old key is refused and the new
// one accepted.
func TestReplacedKey(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallFleet())
	n := &notes.Note{}
	n.Keys.Set = []notes.Key{{Id: "key-one", Hash: keys.Hash(plain.KeyPrefix + "three"), Workspace: "one"}}
	f.apply(n)
	eventually(t, withdrawalLimit, "new key in force", f.inForce)
	for _, v := range f.daemons {
		assert.Equal(t, v.streamCompletion(context.Background(), keyOne, "ad-1@1", "x", 2).status, http.StatusUnauthorized)
		assert.Assert(t, v.streamCompletion(context.Background(), plain.KeyPrefix+"three", "ad-1@1", "x", 2).complete)
	}
}

// TestOpenRoute checks that callers without a key are served on open routes only.
func TestOpenRoute(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallFleet())
	ctx := context.Background()
	for i, v := range f.daemons {
		resp, err := v.send(ctx, http.MethodGet, fmt.Sprintf("/catalogue/kit-%d", i), "", "", "")
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		resp, err = v.send(ctx, http.MethodGet, "/bookings/1", "", "", "")
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
	}
}

// tokensGenerated returns the number of tokens that all engines have generated.
func (f *fleet) tokensGenerated() int {
	sum := 0
	for _, s := range f.engineStats() {
		sum += s.Tokens
	}
	return sum
}
