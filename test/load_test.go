package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/stand/model"
)

// A traffic is a load of completions over many adapters, sent by concurrent callers.
type traffic struct {
	fleet *fleet
	stop  chan struct{}
	done  sync.WaitGroup

	mu        sync.Mutex
	results   []result
	wrong     []string // complete answers with a wrong text
	truncated []string // answers that began but did not complete
	// quarantined holds truncated answers of requests that are suspected of crashing
	// engines. crashes is how often the test crashed an engine, which may hit a request
	// that runs alone after an earlier crash.
	quarantined []string
	crashes     int
	completed   atomic.Int64
}

// startTraffic sends completions from n callers to the given daemons until
// stopAndWait is called. It compares the text of each answer with the expected one.
func (f *fleet) startTraffic(n int, seed uint64, daemons ...*vm) *traffic {
	tr := &traffic{fleet: f, stop: make(chan struct{})}
	for i := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		tr.done.Go(func() {
			for {
				select {
				case <-tr.stop:
					return
				default:
				}
				tr.sendOne(rng, daemons[rng.IntN(len(daemons))])
			}
		})
	}
	return tr
}

// sendOne requests one completion and checks its answer.
func (tr *traffic) sendOne(rng *rand.Rand, v *vm) {
	// The distribution is skewed: adapters with low numbers are chosen more often.
	n := int(float64(tr.fleet.cfg.adapters) * rng.Float64() * rng.Float64())
	name := fmt.Sprintf("ad-%d@1", n)
	prompt := fmt.Sprintf("question %d", rng.Uint32())
	tokens := 5 + rng.IntN(40)
	r := v.streamCompletion(context.Background(), keyOne, name, prompt, tokens)
	m, _ := plank.ParseModel(name)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.results = append(tr.results, r)
	switch {
	case r.complete && r.text != model.Completion(m, prompt, tokens):
		tr.wrong = append(tr.wrong, fmt.Sprintf("%s %q: %q", name, prompt, r.text))
	case r.complete:
		tr.completed.Add(1)
	case r.text != "" && r.code == plank.CodeQuarantined:
		tr.quarantined = append(tr.quarantined, fmt.Sprintf("%s on %s: %+v", name, v.name, r))
	case r.status != 0 && r.code == "" || r.text != "":
		tr.truncated = append(tr.truncated, fmt.Sprintf("%s on %s: %+v", name, v.name, r))
	}
	if !r.complete && r.status == 0 {
		time.Sleep(10 * time.Millisecond) // the daemon is gone
	}
}

// stopAndWait stops the traffic and returns the fraction of requests with a complete
// and correct answer.
func (tr *traffic) stopAndWait() float64 {
	close(tr.stop)
	tr.done.Wait()
	return float64(tr.completed.Load()) / float64(max(1, len(tr.results)))
}

// checkAnswers fails the test if an answer was wrong or truncated. Each crash by the test
// may have truncated one that ran alone.
func (tr *traffic) checkAnswers() {
	tr.fleet.t.Helper()
	assert.Equal(tr.fleet.t, len(tr.wrong), 0, "%v", tr.wrong)
	assert.Equal(tr.fleet.t, len(tr.truncated), 0, "%v", tr.truncated)
	assert.Assert(tr.fleet.t, len(tr.quarantined) <= tr.crashes, "%v", tr.quarantined)
}

// TestAnswersAreCompleteAndCorrect serves many adapters with few adapter slots while
// engines crash, their connections break, loads fail or are slow, answers name another
// adapter, and chunks arrive twice with outdated event ids. Every answer that began
// completes and is that of the requested adapter, and no adapter is evicted while in
// use.
func TestAnswersAreCompleteAndCorrect(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallFleet())
	tr := f.startTraffic(24, 11, f.daemons...)
	time.Sleep(2 * time.Second)
	for i := range 4 {
		f.engines[i].proxy.CloseConns()
		time.Sleep(700 * time.Millisecond)
		post(t, f.engines[(i+3)%len(f.engines)].addr, "/test/crash", nil)
		tr.crashes++
		post(t, f.engines[(i+1)%len(f.engines)].addr, "/test/faults", model.Faults{WrongModel: 3, SlowLoads: 1})
		post(t, f.engines[(i+2)%len(f.engines)].addr, "/test/faults", model.Faults{Crossed: 3, FailLoads: 2})
		time.Sleep(1500 * time.Millisecond)
	}
	fraction := tr.stopAndWait()
	t.Logf("%d requests, fraction complete %.3f", len(tr.results), fraction)
	tr.checkAnswers()
	assert.Assert(t, fraction > 0.9, "fraction complete %.3f", fraction)
	f.checkBackends()
}

// TestNoEvictionInUseDuringTakeover kills one owner and pauses another for longer than
// its lease, with engines that ignore fencing tokens. The adapters in use stay
// resident during the takeover and when the paused owner resumes.
func TestNoEvictionInUseDuringTakeover(t *testing.T) {
	t.Parallel()
	s := smallFleet()
	s.domains = []string{"a"}
	s.daemons, s.engines, s.services, s.slots, s.patienceSec = 4, 6, 1, 3, 120
	// The patience covers the pause (up to 26 s), the wait for an adapter slot (a
	// quarter of the patience) and the stream itself (17 s).
	f := newFleet(t, s)
	tr := f.startTraffic(20, 13, f.daemons[0], f.daemons[1])
	// Streams through the daemon that is paused, some of them on its own engines,
	// which continue them during the takeover.
	long := make(chan result, 12)
	for i := range cap(long) {
		go func() {
			long <- f.daemons[3].streamCompletion(context.Background(), keyTwo, fmt.Sprintf("ad-%d@1", 28+i), "long", 3000)
		}()
	}
	time.Sleep(2 * time.Second)
	f.daemons[2].proc.kill()
	f.daemons[3].proc.signal(syscall.SIGSTOP)
	eventually(t, 40*time.Second, "engines of the lost owners are taken over", func() bool {
		return f.ownedBy("vm-a-0")+f.ownedBy("vm-a-1") == len(f.engines)
	})
	// Requests that the paused daemon receives when it resumes, for adapters that
	// its former engines would have to load although it no longer owns them.
	resumed := make(chan result, 30)
	for i := range cap(resumed) {
		go func() {
			resumed <- f.daemons[3].streamCompletion(context.Background(), keyTwo, fmt.Sprintf("ad-%d@1", i), "woken", 20)
		}()
	}
	time.Sleep(200 * time.Millisecond)
	f.daemons[3].proc.signal(syscall.SIGCONT)
	time.Sleep(3 * time.Second)
	fraction := tr.stopAndWait()
	t.Logf("%d requests, fraction complete %.3f", len(tr.results), fraction)
	for range cap(resumed) {
		r := <-resumed
		assert.Assert(t, r.complete || r.ran == plank.NotRun, "a request when the daemon resumed: %v: %+v", r.err, r)
	}
	for range cap(long) {
		r := <-long
		assert.Assert(t, r.complete, "a stream through the paused daemon: %+v", r.code)
	}
	assert.Equal(t, len(tr.wrong), 0, "%v", tr.wrong)
	assert.Equal(t, len(tr.truncated), 0, "%v", tr.truncated)
	f.checkBackends()
}

// ownedBy returns the number of running engines that a VM owns, as reported by the
// first daemon.
func (f *fleet) ownedBy(name string) int {
	st, _ := f.daemons[0].status()
	n := 0
	for _, e := range st.Engines {
		if string(e.Owner) == name && e.Up {
			n++
		}
	}
	return n
}

// TestPoisonRequestIsQuarantined repeatedly sends a request that crashes every engine
// that runs it, along with other traffic. All daemons quarantine it after at most
// three crashes, and no other answer is truncated or wrong.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	s := smallFleet()
	s.engineArgs = append(s.engineArgs, "--crash-on=poison", "--restart-after=300ms")
	f := newFleet(t, s)
	tr := f.startTraffic(12, 17, f.daemons...)
	time.Sleep(time.Second)
	quarantined := func(v *vm) bool {
		return v.streamCompletion(context.Background(), keyTwo, "ad-1@1", "poison pill", 5).code == plank.CodeQuarantined
	}
	eventually(t, 20*time.Second, "quarantined on one daemon", func() bool { return quarantined(f.daemons[0]) })
	crashes := f.crashes()
	for _, v := range f.daemons {
		eventually(t, 6*time.Second, "quarantined on "+v.name, func() bool { return quarantined(v) })
	}
	t.Logf("crashes until the first quarantine %d, in all %d", crashes, f.crashes())
	// The first crash makes the request suspect, the second shows that it is the
	// cause. A repeat may reach another daemon before the update does.
	assert.Assert(t, f.crashes() <= 3, "%d crashes", f.crashes())
	tr.stopAndWait()
	tr.checkAnswers()
	r := f.daemons[1].streamCompletion(context.Background(), keyTwo, "ad-1@1", "harmless", 5)
	assert.Assert(t, r.complete, "%+v", r)
}

func (f *fleet) crashes() int {
	sum := 0
	for _, s := range f.engineStats() {
		sum += s.Crashes
	}
	return sum
}
