package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
)

// A usage is the number of tokens that a complete answer used. The call was admitted
// at some time between began and ended.
type usage struct {
	began, ended time.Time
	tokens       float64
}

// TestRateLimitAcrossVMs sends more than a workspace's rate through all daemons while
// a domain is partitioned, a daemon is killed and restarted, and another is paused for
// longer than its lease. No interval of length T uses more than rate*T + burst.
func TestRateLimitAcrossVMs(t *testing.T) {
	t.Parallel()
	const rate, burst, tokens = 300, 600, 20
	s := smallFleet()
	s.daemons, s.rate, s.burst, s.patienceSec = 2, rate, burst, 4
	f := newFleet(t, s)
	var mu sync.Mutex
	var usages []usage
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 30 {
		v := f.daemons[i%len(f.daemons)]
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				r := v.streamCompletion(ctx, keyOne, "ad-1@1", fmt.Sprintf("flood %d %d", i, n), tokens)
				cancel()
				if r.complete {
					mu.Lock()
					const promptTokens = 3 // the daemon's estimate for "flood 1 2"
					usages = append(usages, usage{r.began, r.ended, tokens + promptTokens})
					mu.Unlock()
				} else {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	step := func(seconds int) { time.Sleep(time.Duration(seconds) * time.Second) }
	step(3)
	f.partition("b")
	step(3)
	f.daemons[0].proc.kill()
	f.daemons[5].proc.signal(syscall.SIGSTOP)
	step(2)
	f.daemons[0].start()
	f.heal("b")
	step(12)
	f.daemons[5].proc.signal(syscall.SIGCONT)
	step(6)
	close(stop)
	callers.Wait()
	worst := checkUsages(t, usages, rate, burst)
	t.Logf("%d answers; highest use of an interval %.2f of its bound", len(usages), worst)
	// The bound alone would also hold for a limiter that admits nothing.
	span := 29.0
	used := float64(len(usages)) * (tokens + 3) / (rate * span)
	t.Logf("used %.2f of the rate", used)
	assert.Assert(t, used > 0.5, "used only %.2f of the rate", used)
}

// TestShareAfterPauseAndRestart uses a workspace's entire burst at once through two
// daemons when a share could be counted twice: when a daemon resumes after its share
// was taken over, and after a restart.
func TestShareAfterPauseAndRestart(t *testing.T) {
	t.Parallel()
	const rate, burst = 300, 3000
	s := smallFleet()
	s.domains, s.daemons, s.rate, s.burst, s.patienceSec = []string{"a"}, 2, rate, burst, 2
	f := newFleet(t, s)
	running, paused := f.daemons[0], f.daemons[1]
	time.Sleep(time.Second * burst / rate)
	paused.proc.signal(syscall.SIGSTOP)
	eventually(t, 30*time.Second, "the share of the paused daemon is taken over", func() bool {
		st, ok := running.status()
		return ok && st.Spares["one"] > 0.95*burst
	})
	paused.proc.signal(syscall.SIGCONT)
	usages := f.floodBulk(2 * time.Second)
	paused.proc.kill()
	paused.start()
	time.Sleep(5 * time.Second)
	usages = append(usages, f.floodBulk(2*time.Second)...)
	worst := checkUsages(t, usages, rate, burst)
	t.Logf("%d calls; highest use of an interval %.2f of its bound", len(usages), worst)
	assert.Assert(t, worst > 0.6, "the test uses too few tokens to detect a fault: %.2f", worst)
}

// floodBulk sends concurrent calls of cost bulkCost through all daemons for the
// duration d, and returns the usages of the admitted ones.
func (f *fleet) floodBulk(d time.Duration) []usage {
	var mu sync.Mutex
	var usages []usage
	var callers sync.WaitGroup
	end := time.Now().Add(d)
	for i := range 40 {
		v := f.daemons[i%len(f.daemons)]
		callers.Go(func() {
			for time.Now().Before(end) {
				began := time.Now()
				resp, err := v.send(context.Background(), http.MethodGet, "/bulk/x", keyOne, "", "")
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					mu.Lock()
					usages = append(usages, usage{began, time.Now(), bulkCost})
					mu.Unlock()
				}
			}
		})
	}
	callers.Wait()
	return usages
}

// checkUsages fails the test if the answers that began and ended within any interval
// of length T used more than rate*T + burst. It returns the highest ratio of use to
// bound over all intervals.
func checkUsages(t *testing.T, usages []usage, rate, burst float64) float64 {
	t.Helper()
	worst := 0.0
	for _, first := range usages {
		for _, last := range usages {
			if !first.began.Before(last.ended) {
				continue
			}
			sum := 0.0
			for _, s := range usages {
				if !s.began.Before(first.began) && !s.ended.After(last.ended) {
					sum += s.tokens
				}
			}
			worst = max(worst, sum/(rate*last.ended.Sub(first.began).Seconds()+burst))
		}
	}
	assert.Assert(t, worst <= 1, "an interval used %.2f of its bound", worst)
	return worst
}

// TestSkewedTrafficIsNotRefused sends all of a workspace's traffic, at half its rate,
// to one of six daemons, each of which holds a sixth of the rate. The daemon borrows
// tokens from the others and refuses nothing.
func TestSkewedTrafficIsNotRefused(t *testing.T) {
	t.Parallel()
	const rate, burst, tokens = 1200, 2400, 20
	s := smallFleet()
	s.daemons, s.rate, s.burst = 2, rate, burst
	f := newFleet(t, s)
	time.Sleep(2 * time.Second) // the token buckets start empty
	var callers sync.WaitGroup
	var mu sync.Mutex
	refused, all := 0, 0
	for range 300 {
		callers.Go(func() {
			r := f.daemons[0].streamCompletion(context.Background(), keyOne, "ad-1@1", "skewed", tokens)
			mu.Lock()
			defer mu.Unlock()
			all++
			if r.status == http.StatusTooManyRequests {
				refused++
			} else {
				assert.Check(t, r.complete, "%+v", r)
			}
		})
		time.Sleep(time.Second * tokens / (rate / 2))
	}
	callers.Wait()
	t.Logf("%d of %d refused", refused, all)
	// The target is at most one refusal in a thousand with a skew of four to one.
	assert.Equal(t, refused, 0)
}

// TestFloodIsRefusedAsNotRun sends far more than a workspace's rate. The refusals
// report that the request has not run, and another workspace is served.
func TestFloodIsRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	s := smallFleet()
	s.rate, s.burst = 200, 400
	f := newFleet(t, s)
	var callers sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for i := range 60 {
		v := f.daemons[i%len(f.daemons)]
		callers.Go(func() {
			for range 5 {
				r := v.streamCompletion(context.Background(), keyOne, "ad-1@1", "flood", 50)
				mu.Lock()
				if r.status == http.StatusTooManyRequests {
					refused++
					assert.Check(t, r.ran == plank.NotRun, "%+v", r)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	r := f.daemons[1].streamCompletion(context.Background(), keyTwo, "ad-2@1", "other", 10)
	assert.Assert(t, r.complete, "%+v", r)
	callers.Wait()
	assert.Assert(t, refused > 0)
}
