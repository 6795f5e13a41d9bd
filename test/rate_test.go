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

// A spend is what a whole answer used, within the span in which it was admitted.
type spend struct {
	began, ended time.Time
	tokens       float64
}

// TestRateHoldsOverAllVMs floods one workspace through all daemons while domains
// are cut off, a daemon is killed and restarted and another is paused beyond its
// lease. No interval holds more than rate*T + burst.
func TestRateHoldsOverAllVMs(t *testing.T) {
	t.Parallel()
	const rate, burst, tokens = 300, 600, 20
	s := small()
	s.daemons, s.rate, s.burst, s.seconds = 2, rate, burst, 4
	f := newFleet(t, s)
	var mu sync.Mutex
	var spends []spend
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
				r := v.complete(ctx, keyOne, "ad-1@1", fmt.Sprintf("flood %d %d", i, n), tokens)
				cancel()
				if r.whole {
					mu.Lock()
					const promptTokens = 3 // as the daemon estimates "flood 1 2"
					spends = append(spends, spend{r.began, r.ended, tokens + promptTokens})
					mu.Unlock()
				} else {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	step := func(seconds int) { time.Sleep(time.Duration(seconds) * time.Second) }
	step(3)
	f.cutOff("b")
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
	worst := checkSpends(t, spends, rate, burst)
	t.Logf("%d answers; the fullest interval used %.2f of its bound", len(spends), worst)
	// A limit that admits nothing would hold as well.
	span := 29.0
	used := float64(len(spends)) * (tokens + 3) / (rate * span)
	t.Logf("used %.2f of the rate", used)
	assert.Assert(t, used > 0.5, "used only %.2f of the rate", used)
}

// TestShareAfterPauseAndRestart spends a workspace's whole burst at once through
// two daemons at the moments at which a share could be counted twice: as a
// daemon wakes after its share was taken over, and after a restart.
func TestShareAfterPauseAndRestart(t *testing.T) {
	t.Parallel()
	const rate, burst = 300, 3000
	s := small()
	s.domains, s.daemons, s.rate, s.burst, s.seconds = []string{"a"}, 2, rate, burst, 2
	f := newFleet(t, s)
	awake, sleeper := f.daemons[0], f.daemons[1]
	time.Sleep(time.Second * burst / rate)
	sleeper.proc.signal(syscall.SIGSTOP)
	eventually(t, 30*time.Second, "the sleeper's share is taken over", func() bool {
		st, ok := awake.status()
		return ok && st.Spares["one"] > 0.95*burst
	})
	sleeper.proc.signal(syscall.SIGCONT)
	spends := f.floodBulk(2 * time.Second)
	sleeper.proc.kill()
	sleeper.start()
	time.Sleep(5 * time.Second)
	spends = append(spends, f.floodBulk(2*time.Second)...)
	worst := checkSpends(t, spends, rate, burst)
	t.Logf("%d calls; the fullest interval used %.2f of its bound", len(spends), worst)
	assert.Assert(t, worst > 0.6, "the test spends too little to show a fault: %.2f", worst)
}

// floodBulk makes costly calls through all daemons for a time, many at once.
func (f *fleet) floodBulk(d time.Duration) []spend {
	var mu sync.Mutex
	var spends []spend
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
					spends = append(spends, spend{began, time.Now(), bulkCost})
					mu.Unlock()
				}
			}
		})
	}
	callers.Wait()
	return spends
}

// checkSpends fails if the answers that lie wholly within any interval used
// more than rate*T + burst, and returns the fullest part.
func checkSpends(t *testing.T, spends []spend, rate, burst float64) float64 {
	t.Helper()
	worst := 0.0
	for _, first := range spends {
		for _, last := range spends {
			if !first.began.Before(last.ended) {
				continue
			}
			sum := 0.0
			for _, s := range spends {
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

// TestSkewedCallerIsNotRefused sends all of a workspace's traffic, half its
// rate, to one daemon of six, each of which holds a sixth of the rate. Lending
// keeps refusals away.
func TestSkewedCallerIsNotRefused(t *testing.T) {
	t.Parallel()
	const rate, burst, tokens = 1200, 2400, 20
	s := small()
	s.daemons, s.rate, s.burst = 2, rate, burst
	f := newFleet(t, s)
	time.Sleep(2 * time.Second) // the buckets begin empty
	var callers sync.WaitGroup
	var mu sync.Mutex
	refused, all := 0, 0
	for range 300 {
		callers.Go(func() {
			r := f.daemons[0].complete(context.Background(), keyOne, "ad-1@1", "skewed", tokens)
			mu.Lock()
			defer mu.Unlock()
			all++
			if r.status == http.StatusTooManyRequests {
				refused++
			} else {
				assert.Check(t, r.whole, "%+v", r)
			}
		})
		time.Sleep(time.Second * tokens / (rate / 2))
	}
	callers.Wait()
	t.Logf("%d of %d refused", refused, all)
	// The target is one in a thousand with a skew of four to one.
	assert.Equal(t, refused, 0)
}

// TestFloodIsRefusedTruthfully sends far more than the rate: the refusals say
// "not run" and when to come again, and another workspace is served.
func TestFloodIsRefusedTruthfully(t *testing.T) {
	t.Parallel()
	s := small()
	s.rate, s.burst = 200, 400
	f := newFleet(t, s)
	var callers sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for i := range 60 {
		v := f.daemons[i%len(f.daemons)]
		callers.Go(func() {
			for range 5 {
				r := v.complete(context.Background(), keyOne, "ad-1@1", "flood", 50)
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
	r := f.daemons[1].complete(context.Background(), keyTwo, "ad-2@1", "other", 10)
	assert.Assert(t, r.whole, "%+v", r)
	callers.Wait()
	assert.Assert(t, refused > 0)
}
