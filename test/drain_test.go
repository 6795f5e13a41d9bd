package test

import (
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank/internal/ctrl"
	"knapweedplank.org/plank/internal/stand/model"
	"knapweedplank.org/plank/internal/stand/objapi"
	"knapweedplank.org/plank/internal/store"
)

// drainNoticeLimit is how long a draining endpoint may still receive new requests.
const drainNoticeLimit = 4 * time.Second

// TestGracefulShutdownTruncatesNoAnswer stops all daemons of a domain by SIGTERM under
// load, while callers continue to use daemons of other domains. No answer is
// truncated.
func TestGracefulShutdownTruncatesNoAnswer(t *testing.T) {
	t.Parallel()
	s := smallFleet()
	s.daemons = 2
	f := newFleet(t, s)
	remaining := []*vm{f.daemons[0], f.daemons[4]}
	tr := f.startTraffic(10, 23, remaining...)
	long := make(chan result, 2)
	for _, v := range f.daemons[2:4] {
		go func() { long <- v.streamCompletion(context.Background(), keyOne, "ad-3@1", "long", 500) }()
	}
	time.Sleep(time.Second)
	for _, v := range f.daemons[2:4] {
		v.proc.signal(syscall.SIGTERM)
	}
	for range 2 {
		r := <-long
		assert.Assert(t, r.complete, "a stream on a stopping daemon was truncated: %+v", r)
	}
	for _, v := range f.daemons[2:4] {
		code, ok := v.proc.exited(20 * time.Second)
		assert.Assert(t, ok, "%s did not stop", v.name)
		assert.Equal(t, code, 0)
	}
	time.Sleep(time.Second)
	fraction := tr.stopAndWait()
	t.Logf("%d requests, fraction complete %.3f", len(tr.results), fraction)
	tr.checkAnswers()
	assert.Equal(t, fraction, 1.0)
	f.checkBackends()
}

// TestGracefulShutdownDuringPlatformOutage stops an owner of engines while the platform
// is unavailable. Requests that other daemons forwarded to it complete, and the
// shutdown does not wait for the platform.
func TestGracefulShutdownDuringPlatformOutage(t *testing.T) {
	t.Parallel()
	s := smallFleet()
	s.domains, s.daemons, s.engines = []string{"a"}, 2, 2
	f := newFleet(t, s)
	long := make(chan result, 6)
	for i := range cap(long) {
		go func() {
			long <- f.daemons[0].streamCompletion(context.Background(), keyOne, fmt.Sprintf("ad-%d@1", i), "long", 800)
		}()
	}
	eventually(t, 5*time.Second, "streams run", func() bool { return f.tokensGenerated() > 100 })
	f.platformFaults(objapi.Faults{Away: true})
	f.daemons[1].proc.signal(syscall.SIGTERM)
	code, ok := f.daemons[1].proc.exited(25 * time.Second)
	assert.Assert(t, ok && code == 0, "the daemon did not stop")
	for range cap(long) {
		r := <-long
		t.Logf("stream of %d bytes took %v", len(r.text), r.ended.Sub(r.began))
		assert.Assert(t, r.complete, "%s after %v with %d bytes", r.code, r.ended.Sub(r.began), len(r.text))
	}
	cancelled := 0
	for _, st := range f.engineStats() {
		cancelled += st.Cancelled
	}
	assert.Equal(t, cancelled, 0, "requests cancelled on engines")
}

// TestDrainingEndpointGetsNoNewWork announces the draining of engines in both ways, by
// the engine's own report and by the platform's VM list. The engines stop receiving
// requests within drainNoticeLimit, and no answer is truncated.
func TestDrainingEndpointGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallFleet())
	tr := f.startTraffic(10, 29, f.daemons...)
	time.Sleep(time.Second)
	post(t, f.engines[0].addr, "/test/leave", nil)
	f.writeVMList(f.engines[2].id)
	notified := time.Now()
	time.Sleep(drainNoticeLimit)
	before := []model.Stats{f.statsOf(0), f.statsOf(2)}
	time.Sleep(2 * time.Second)
	for i, n := range []int{0, 2} {
		after := f.statsOf(n)
		assert.Equal(t, after.Completed+after.Cancelled, before[i].Completed+before[i].Cancelled,
			"%s received requests up to %v after it began draining", f.engines[n].id, time.Since(notified))
	}
	fraction := tr.stopAndWait()
	tr.checkAnswers()
	assert.Equal(t, fraction, 1.0)
}

func (f *fleet) statsOf(engine int) model.Stats {
	return getJSON[model.Stats](f.t, f.engines[engine].addr, "/test/stats")
}

// writeVMList writes the platform's list of VMs: the daemons, and the given VMs as
// leaving.
func (f *fleet) writeVMList(leaving ...string) {
	f.t.Helper()
	var l ctrl.PlatformList
	for _, v := range f.daemons {
		l.VMs = append(l.VMs, ctrl.PlatformVM{Name: v.name})
	}
	for _, id := range leaving {
		l.VMs = append(l.VMs, ctrl.PlatformVM{Name: id, Leaving: true})
	}
	value, err := json.Marshal(l)
	assert.NilError(f.t, err)
	ctx := context.Background()
	s := store.New(f.platformAddr, nil)
	o, err := s.Get(ctx, ctrl.VMListKey)
	assert.NilError(f.t, err)
	_, err = s.Put(ctx, ctrl.VMListKey, value, o.Version)
	assert.NilError(f.t, err)
}

// TestGracefulShutdownOfOwner stops a daemon whose engines run requests that other
// daemons forwarded to it. The other daemons take over its engines, and every
// request completes without a retry.
func TestGracefulShutdownOfOwner(t *testing.T) {
	t.Parallel()
	s := smallFleet()
	s.domains, s.daemons, s.engines = []string{"a"}, 3, 3
	f := newFleet(t, s)
	tr := f.startTraffic(16, 31, f.daemons[0], f.daemons[1])
	long := make(chan result, 4)
	for i := range cap(long) {
		go func() {
			long <- f.daemons[i%2].streamCompletion(context.Background(), keyOne, fmt.Sprintf("ad-%d@1", 30+i), "long", 400)
		}()
	}
	time.Sleep(time.Second)
	f.daemons[2].proc.signal(syscall.SIGTERM)
	code, ok := f.daemons[2].proc.exited(20 * time.Second)
	assert.Assert(t, ok && code == 0, "the owner did not stop")
	eventually(t, 5*time.Second, "all engines have new owners", func() bool {
		return f.ownedBy("vm-a-0")+f.ownedBy("vm-a-1") == len(f.engines)
	})
	for range cap(long) {
		r := <-long
		assert.Assert(t, r.complete, "%+v", r)
	}
	fraction := tr.stopAndWait()
	tr.checkAnswers()
	assert.Equal(t, fraction, 1.0)
	cancelled := 0
	for _, st := range f.engineStats() {
		cancelled += st.Cancelled
	}
	// Retries would also give complete answers, but a graceful shutdown must need none.
	assert.Equal(t, cancelled, 0, "requests cancelled on engines")
	f.checkBackends()
}

// TestAdapterInUseUntilEngineEndsRequest guards against the eviction of an adapter
// while the engine is still ending the request that used it. This happened because a
// request was counted as finished at its last event; it occurred once under load in
// TestGracefulShutdownTruncatesNoAnswer.
func TestAdapterInUseUntilEngineEndsRequest(t *testing.T) {
	t.Parallel()
	s := smallFleet()
	s.daemons = 1
	f := newFleet(t, s)
	for _, e := range f.engines {
		post(t, e.addr, "/test/faults", model.Faults{SlowEnds: 1 << 20})
	}
	tr := f.startTraffic(10, 23, f.daemons...)
	time.Sleep(3 * time.Second)
	assert.Equal(t, tr.stopAndWait(), 1.0)
	tr.checkAnswers()
	f.checkBackends()
}
