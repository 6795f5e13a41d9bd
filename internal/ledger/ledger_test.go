package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/ledger"
	"knapweedplank.org/plank/internal/store/memory"
)

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// TestOneAttemptSends begins the same call on several VMs at once, with a store
// that loses requests and responses. At most one attempt may send the call.
func TestOneAttemptSends(t *testing.T) {
	const seeds, vms = 60, 4
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := memory.New()
			var mu sync.Mutex
			rng := rand.New(rand.NewPCG(seed, 1))
			s.Fault = func() memory.Fault {
				mu.Lock()
				defer mu.Unlock()
				if n := rng.IntN(10); n < 3 {
					return memory.Fault(1 + n%2)
				}
				return memory.NoFault
			}
			var sent atomic.Int32
			var all sync.WaitGroup
			for vm := range vms {
				l := ledger.New(s, plank.SystemClock{}, plank.VMID(fmt.Sprint(vm)), discardLog())
				all.Go(func() { attemptCall(t, l, &sent, plank.WriteToken(fmt.Sprint(vm)), seed%2 == 0) })
			}
			all.Wait()
			if n := sent.Load(); n > 1 {
				t.Errorf("%d attempts sent the call", n)
			}
		})
	}
}

// attemptCall makes one attempt and counts it if it may send the call. With
// crash set, such an attempt ends without writing an outcome, as if its VM had
// crashed.
func attemptCall(t *testing.T, l *ledger.Ledger, sent *atomic.Int32, token plank.WriteToken, crash bool) {
	key := ledger.CallKey{Workspace: "w", Method: "POST", Path: "/b", Key: "k"}
	a, response, err := l.Begin(context.Background(), key, "content", token, time.Now().Add(time.Minute))
	var refused *plank.RefusalError
	switch {
	case errors.As(err, &refused):
		if refused.Code == plank.CodeInProgress && refused.Ran != plank.Unknown {
			t.Errorf("refusal of a call in progress has ran %s, want unknown", refused.Ran)
		}
	case err != nil:
		t.Error(err)
	case response != nil:
		if string(response.Body) != "done" {
			t.Errorf("stored answer %q", response.Body)
		}
	default:
		sent.Add(1)
		if !crash {
			a.Finish(ledger.Response{Status: 200, Body: []byte("done")})
		}
	}
}

// TestOutcomes checks the result of a repeat after each outcome of an attempt.
func TestOutcomes(t *testing.T) {
	key := ledger.CallKey{Workspace: "w", Method: "POST", Path: "/b", Key: "k"}
	cases := []struct {
		name    string
		end     func(*ledger.Attempt)
		content string
		code    plank.Code // of the repeat; empty for a stored response or a new attempt
		again   bool       // the repeat may send
	}{
		{"finished", func(a *ledger.Attempt) { a.Finish(ledger.Response{Status: 201}) }, "c", "", false},
		{"too large", func(a *ledger.Attempt) { a.Finish(ledger.Response{Body: make([]byte, 1<<20)}) }, "c", plank.CodeOutcomeUnknown, false},
		{"lost", (*ledger.Attempt).MarkUnknown, "c", plank.CodeOutcomeUnknown, false},
		{"unsent", (*ledger.Attempt).MarkUnsent, "c", "", true},
		{"in progress", func(*ledger.Attempt) {}, "c", plank.CodeInProgress, false},
		{"other content", (*ledger.Attempt).MarkUnknown, "d", plank.CodeKeyReused, false},
	}
	for _, c := range cases {
		s := memory.New()
		first := ledger.New(s, plank.SystemClock{}, "vm-1", discardLog())
		a, _, err := first.Begin(context.Background(), key, "c", "t1", time.Now().Add(time.Minute))
		assert.NilError(t, err, c.name)
		c.end(a)
		second := ledger.New(s, plank.SystemClock{}, "vm-2", discardLog())
		again, response, err := second.Begin(context.Background(), key, c.content, "t2", time.Now().Add(time.Minute))
		assert.Equal(t, again != nil, c.again, c.name)
		var refused *plank.RefusalError
		if errors.As(err, &refused) {
			assert.Equal(t, refused.Code, c.code, c.name)
			continue
		}
		assert.NilError(t, err, c.name)
		assert.Equal(t, plank.Code(""), c.code, c.name)
		assert.Assert(t, c.again || response.Status == 201, c.name)
	}
}

// TestCrashedAttemptIsUnknown repeats a call whose VM crashed before it wrote an
// outcome: after the deadline the outcome is unknown.
func TestCrashedAttemptIsUnknown(t *testing.T) {
	s := memory.New()
	key := ledger.CallKey{Workspace: "w", Key: "k"}
	l := ledger.New(s, plank.SystemClock{}, "vm-1", discardLog())
	_, _, err := l.Begin(context.Background(), key, "c", "t1", time.Now().Add(-time.Second))
	assert.NilError(t, err)
	_, _, err = l.Begin(context.Background(), key, "c", "t2", time.Now().Add(time.Minute))
	var refused *plank.RefusalError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Code, plank.CodeOutcomeUnknown)
	assert.Equal(t, refused.Ran, plank.Unknown)
}
