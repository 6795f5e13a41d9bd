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

// A traffic is a stream of completions over many adapters.
type traffic struct {
	fleet *fleet
	stop  chan struct{}
	done  sync.WaitGroup

	mu      sync.Mutex
	results []result
	wrong   []string // answers that were whole but not the right ones
	cut     []string // answers that began and did not end whole
	whole   atomic.Int64
}

// startTraffic sends completions from n callers to the given daemons until the
// traffic is ended. Each caller checks its answers word for word.
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
				tr.one(rng, daemons[rng.IntN(len(daemons))])
			}
		})
	}
	return tr
}

// one sends a completion and checks its answer.
func (tr *traffic) one(rng *rand.Rand, v *vm) {
	// A skewed choice: low numbers are popular.
	n := int(float64(tr.fleet.shape.adapters) * rng.Float64() * rng.Float64())
	name := fmt.Sprintf("ad-%d@1", n)
	prompt := fmt.Sprintf("question %d", rng.Uint32())
	tokens := 5 + rng.IntN(40)
	r := v.complete(context.Background(), keyOne, name, prompt, tokens)
	m, _ := plank.ParseModel(name)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.results = append(tr.results, r)
	switch {
	case r.whole && r.text != model.Completion(m, prompt, tokens):
		tr.wrong = append(tr.wrong, fmt.Sprintf("%s %q: %q", name, prompt, r.text))
	case r.whole:
		tr.whole.Add(1)
	case r.status != 0 && r.code == "" || r.text != "":
		tr.cut = append(tr.cut, fmt.Sprintf("%s on %s: %+v", name, v.name, r))
	}
	if !r.whole && r.status == 0 {
		time.Sleep(10 * time.Millisecond) // the daemon is gone
	}
}

// end stops the traffic and returns the share of answers that came whole.
func (tr *traffic) end() float64 {
	close(tr.stop)
	tr.done.Wait()
	return float64(tr.whole.Load()) / float64(max(1, len(tr.results)))
}

// checkWhole fails if an answer was wrong or cut.
func (tr *traffic) checkWhole() {
	tr.fleet.t.Helper()
	assert.Equal(tr.fleet.t, len(tr.wrong), 0, "%v", tr.wrong)
	assert.Equal(tr.fleet.t, len(tr.cut), 0, "%v", tr.cut)
}

// TestAnswersWholeAndRight runs many adapters through few slots while engines
// crash, their connections break, loads fail or are slow, and answers come from
// another adapter, twice or crossed. Every answer that began comes whole and
// from the adapter that it named, and no adapter is evicted while it serves.
func TestAnswersWholeAndRight(t *testing.T) {
	t.Parallel()
	f := newFleet(t, small())
	tr := f.startTraffic(24, 11, f.daemons...)
	time.Sleep(2 * time.Second)
	for i := range 4 {
		f.engines[i].proxy.CloseConns()
		time.Sleep(700 * time.Millisecond)
		post(t, f.engines[(i+3)%len(f.engines)].addr, "/test/crash", nil)
		post(t, f.engines[(i+1)%len(f.engines)].addr, "/test/faults", model.Faults{WrongModel: 3, SlowLoads: 1})
		post(t, f.engines[(i+2)%len(f.engines)].addr, "/test/faults", model.Faults{Crossed: 3, FailLoads: 2})
		time.Sleep(1500 * time.Millisecond)
	}
	share := tr.end()
	t.Logf("%d requests, share whole %.3f", len(tr.results), share)
	tr.checkWhole()
	assert.Assert(t, share > 0.9, "share whole %.3f", share)
	f.checkEngines()
}

// TestNoEvictionInUseOverTakeover kills one owner and pauses another beyond its
// lease while engines that ignore fencing numbers serve. The adapters in use
// stay through the takeover and through the waking of the paused owner.
func TestNoEvictionInUseOverTakeover(t *testing.T) {
	t.Parallel()
	s := small()
	s.domains = []string{"a"}
	s.daemons, s.engines, s.services, s.slots, s.seconds = 4, 6, 1, 3, 120
	// The patience leaves room for the pause (up to 26 s), a wait for a slot (a
	// quarter of it) and the stream itself (17 s).
	f := newFleet(t, s)
	tr := f.startTraffic(20, 13, f.daemons[0], f.daemons[1])
	// Streams through the paused daemon, some of them on its own engines, which
	// go on with them over the takeover.
	long := make(chan result, 12)
	for i := range cap(long) {
		go func() {
			long <- f.daemons[3].complete(context.Background(), keyTwo, fmt.Sprintf("ad-%d@1", 28+i), "long", 3000)
		}()
	}
	time.Sleep(2 * time.Second)
	f.daemons[2].proc.kill()
	f.daemons[3].proc.signal(syscall.SIGSTOP)
	eventually(t, 40*time.Second, "engines of the lost owners are taken over", func() bool {
		return f.ownedBy("vm-a-0")+f.ownedBy("vm-a-1") == len(f.engines)
	})
	// Requests that the paused daemon finds as it wakes, for adapters that its
	// engines would have to load, although the engines are no longer its own.
	woken := make(chan result, 30)
	for i := range cap(woken) {
		go func() {
			woken <- f.daemons[3].complete(context.Background(), keyTwo, fmt.Sprintf("ad-%d@1", i), "woken", 20)
		}()
	}
	time.Sleep(200 * time.Millisecond)
	f.daemons[3].proc.signal(syscall.SIGCONT)
	time.Sleep(3 * time.Second)
	share := tr.end()
	t.Logf("%d requests, share whole %.3f", len(tr.results), share)
	for range cap(woken) {
		r := <-woken
		assert.Assert(t, r.whole || r.ran == plank.NotRun, "a request as the daemon woke: %v: %+v", r.err, r)
	}
	for range cap(long) {
		r := <-long
		assert.Assert(t, r.whole, "a stream through the paused daemon: %+v", r.code)
	}
	assert.Equal(t, len(tr.wrong), 0, "%v", tr.wrong)
	assert.Equal(t, len(tr.cut), 0, "%v", tr.cut)
	f.checkEngines()
}

// ownedBy counts the engines that a VM owns, as the first daemon sees it.
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

// TestPoisonIsContained sends a request that crashes every engine that runs it,
// again and again, beside other traffic. It is quarantined on all daemons after
// few crashes, and the others' answers come whole.
func TestPoisonIsContained(t *testing.T) {
	t.Parallel()
	s := small()
	s.engineArgs = append(s.engineArgs, "--crash-on=poison", "--restart-after=300ms")
	f := newFleet(t, s)
	tr := f.startTraffic(12, 17, f.daemons...)
	time.Sleep(time.Second)
	quarantined := func(v *vm) bool {
		return v.complete(context.Background(), keyTwo, "ad-1@1", "poison pill", 5).code == plank.CodeQuarantined
	}
	eventually(t, 20*time.Second, "quarantined on one daemon", func() bool { return quarantined(f.daemons[0]) })
	crashes := f.crashes()
	for _, v := range f.daemons {
		eventually(t, 6*time.Second, "quarantined on "+v.name, func() bool { return quarantined(v) })
	}
	t.Logf("crashes until the first verdict %d, in all %d", crashes, f.crashes())
	// The first crash makes the request suspect, the second shows that it is the
	// cause. A repeat may come to another daemon before the news.
	assert.Assert(t, f.crashes() <= 3, "%d crashes", f.crashes())
	tr.end()
	tr.checkWhole()
	r := f.daemons[1].complete(context.Background(), keyTwo, "ad-1@1", "harmless", 5)
	assert.Assert(t, r.whole, "%+v", r)
}

func (f *fleet) crashes() int {
	sum := 0
	for _, s := range f.engineStats() {
		sum += s.Crashes
	}
	return sum
}
