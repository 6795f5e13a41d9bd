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

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// TestOneAttemptSends lets several VMs begin the same call at once on a store
// that loses calls and answers. At most one attempt may send, over all rounds in
// which nothing was given back unsent.
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
				l := ledger.New(s, plank.SystemClock{}, plank.VMID(fmt.Sprint(vm)), quiet())
				all.Go(func() { begin(t, l, &sent, plank.WriteToken(fmt.Sprint(vm)), seed%2 == 0) })
			}
			all.Wait()
			if n := sent.Load(); n > 1 {
				t.Errorf("%d attempts sent the call", n)
			}
		})
	}
}

// begin makes one attempt and counts it if it may send. An attempt that may send
// sometimes dies, which leaves its record as it is.
func begin(t *testing.T, l *ledger.Ledger, sent *atomic.Int32, token plank.WriteToken, dies bool) {
	key := ledger.CallKey{Workspace: "w", Method: "POST", Path: "/b", Key: "k"}
	a, answer, err := l.Begin(context.Background(), key, "content", token, time.Now().Add(time.Minute))
	var refused *plank.RefusalError
	switch {
	case errors.As(err, &refused):
		if refused.Code == plank.CodeInProgress && refused.Ran != plank.Unknown {
			t.Errorf("in progress says %s", refused.Ran)
		}
	case err != nil:
		t.Error(err)
	case answer != nil:
		if string(answer.Body) != "done" {
			t.Errorf("stored answer %q", answer.Body)
		}
	default:
		sent.Add(1)
		if !dies {
			a.Finish(ledger.Response{Status: 200, Body: []byte("done")})
		}
	}
}

// TestOutcomes checks what a repeat is told after each end of an attempt.
func TestOutcomes(t *testing.T) {
	key := ledger.CallKey{Workspace: "w", Method: "POST", Path: "/b", Key: "k"}
	cases := []struct {
		name    string
		end     func(*ledger.Attempt)
		content string
		code    plank.Code // of the repeat; empty for a stored answer or a new right
		again   bool       // the repeat may send
	}{
		{"finished", func(a *ledger.Attempt) { a.Finish(ledger.Response{Status: 201}) }, "c", "", false},
		{"too large", func(a *ledger.Attempt) { a.Finish(ledger.Response{Body: make([]byte, 1<<20)}) }, "c", plank.CodeOutcomeUnknown, false},
		{"lost", (*ledger.Attempt).MarkUnknown, "c", plank.CodeOutcomeUnknown, false},
		{"unsent", (*ledger.Attempt).MarkUnsent, "c", "", true},
		{"under way", func(*ledger.Attempt) {}, "c", plank.CodeInProgress, false},
		{"other content", (*ledger.Attempt).MarkUnknown, "d", plank.CodeKeyReused, false},
	}
	for _, c := range cases {
		s := memory.New()
		first := ledger.New(s, plank.SystemClock{}, "vm-1", quiet())
		a, _, err := first.Begin(context.Background(), key, "c", "t1", time.Now().Add(time.Minute))
		assert.NilError(t, err, c.name)
		c.end(a)
		second := ledger.New(s, plank.SystemClock{}, "vm-2", quiet())
		again, answer, err := second.Begin(context.Background(), key, c.content, "t2", time.Now().Add(time.Minute))
		assert.Equal(t, again != nil, c.again, c.name)
		var refused *plank.RefusalError
		if errors.As(err, &refused) {
			assert.Equal(t, refused.Code, c.code, c.name)
			continue
		}
		assert.NilError(t, err, c.name)
		assert.Equal(t, plank.Code(""), c.code, c.name)
		assert.Assert(t, c.again || answer.Status == 201, c.name)
	}
}

// TestDeadAttemptIsUnknown repeats a call whose VM died while it was under way.
func TestDeadAttemptIsUnknown(t *testing.T) {
	s := memory.New()
	key := ledger.CallKey{Workspace: "w", Key: "k"}
	l := ledger.New(s, plank.SystemClock{}, "vm-1", quiet())
	_, _, err := l.Begin(context.Background(), key, "c", "t1", time.Now().Add(-time.Second))
	assert.NilError(t, err)
	_, _, err = l.Begin(context.Background(), key, "c", "t2", time.Now().Add(time.Minute))
	var refused *plank.RefusalError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Code, plank.CodeOutcomeUnknown)
	assert.Equal(t, refused.Ran, plank.Unknown)
}
