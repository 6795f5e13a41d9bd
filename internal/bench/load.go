package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/engine/openai"
)

// An arrival is one request of the open-loop load.
type arrival struct {
	at        time.Duration // from the start of the load
	workspace int
	adapter   int
	vm        int
	booking   bool
	long      bool
	tokens    int
	prompt    string
	// inside is set when an exact token bucket of the workspace's rate and
	// burst, fed with all its requests in order, admits the request.
	inside bool
}

// plan draws all arrivals of an experiment; the same seed gives the same.
func plan(exp Experiment) []arrival {
	rng := rand.New(rand.NewPCG(exp.Seed, 1))
	zipf := rand.NewZipf(rng, exp.Load.Zipf, 1, uint64(exp.Load.Adapters-1))
	places := rng.Perm(exp.Load.Adapters)
	shifted := rng.Perm(exp.Load.Adapters)
	buckets := make([]bucket, len(exp.Load.Workspaces))
	for i, w := range exp.Load.Workspaces {
		buckets[i] = bucket{rate: w.Rate, burst: w.Burst, level: w.Burst}
	}
	var all []arrival
	end := exp.WarmupSec + exp.MeasureSec
	for t := 0.0; ; {
		weights, total := shares(exp, t)
		t += rng.ExpFloat64() / (exp.Load.PerSecond * total)
		if t >= end {
			return all
		}
		a := arrival{at: time.Duration(t * float64(time.Second)), workspace: pick(rng, weights), vm: pickVM(rng, exp)}
		a.adapter = places[zipf.Uint64()]
		if exp.Load.ShiftAtSec > 0 && t > exp.WarmupSec+exp.Load.ShiftAtSec {
			a.adapter = shifted[a.adapter]
		}
		a.booking = rng.Float64() < exp.Load.Bookings
		a.long = rng.Float64() < exp.Load.LongShare
		length := exp.Load.ShortPrompt
		a.tokens = 1 + exp.Load.ShortTokens/2 + rng.IntN(exp.Load.ShortTokens)
		if a.long {
			length = exp.Load.LongPrompt
			a.tokens = 1 + exp.Load.LongTokens/2 + rng.IntN(exp.Load.LongTokens)
		}
		a.prompt = fmt.Sprintf("%d ", len(all)) + strings.Repeat("x", length)
		a.inside = buckets[a.workspace].take(t, a.cost())
		all = append(all, a)
	}
}

// cost is what the request uses of its workspace's rate.
func (a arrival) cost() float64 {
	if a.booking {
		return 1
	}
	return float64(len(a.prompt)/4 + 1 + a.tokens)
}

// shares returns the workspaces' weights at a time, and the sum relative to a
// time without a surge.
func shares(exp Experiment, t float64) ([]float64, float64) {
	weights := make([]float64, len(exp.Load.Workspaces))
	sum, plain := 0.0, 0.0
	for i, w := range exp.Load.Workspaces {
		weights[i] = w.Share
		plain += w.Share
		if since := t - exp.WarmupSec; w.Surge > 0 && since >= w.SurgeAtSec && since < w.SurgeEndSec {
			weights[i] *= w.Surge
		}
		sum += weights[i]
	}
	return weights, sum / plain
}

// pick draws an index by weight.
func pick(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := rng.Float64() * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// pickVM draws the VM that the balancer sends a request to.
func pickVM(rng *rand.Rand, exp Experiment) int {
	weights := make([]float64, exp.Fleet.VMs)
	for i := range weights {
		weights[i] = 1
	}
	weights[0] = max(1, exp.Load.Skew)
	return pick(rng, weights)
}

// A bucket is the reference against which refusals are judged.
type bucket struct {
	rate, burst, level, at float64
}

func (b *bucket) take(t, cost float64) bool {
	b.level = min(b.burst, b.level+(t-b.at)*b.rate)
	b.at = t
	if cost > b.level {
		return false
	}
	b.level -= cost
	return true
}

// A sample is how one request ended.
type sample struct {
	arrival
	status int
	code   plank.Code
	whole  bool
	first  time.Duration // from the scheduled arrival to the first token
	total  time.Duration
	gaps   []time.Duration // between tokens
}

// drive sends all arrivals at their times, whatever became of earlier ones, and
// returns how they ended.
func (f *fleet) drive(arrivals []arrival, progress func(sent int)) []sample {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	samples := make([]sample, len(arrivals))
	var done sync.WaitGroup
	began := time.Now()
	for i, a := range arrivals {
		time.Sleep(time.Until(began.Add(a.at)))
		done.Go(func() { samples[i] = f.one(client, a, began.Add(a.at)) })
		progress(i + 1)
	}
	done.Wait()
	return samples
}

// one sends a request. A caller whose VM is dead turns to the next one, as a
// balancer would have it do.
func (f *fleet) one(client *http.Client, a arrival, scheduled time.Time) sample {
	s := sample{arrival: a}
	patience := time.Duration(f.exp.Load.Workspaces[a.workspace].PatienceSec * float64(time.Second))
	ctx, cancel := context.WithDeadline(context.Background(), scheduled.Add(patience+2*time.Second))
	defer cancel()
	for try := range len(f.vms) {
		v := f.vms[(a.vm+try)%len(f.vms)]
		if v.dead {
			continue
		}
		resp, err := client.Do(f.request(ctx, v, a))
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			continue
		}
		s.read(resp, scheduled)
		resp.Body.Close()
		break
	}
	s.total = time.Since(scheduled)
	s.whole = s.whole && s.total <= patience
	return s
}

func (f *fleet) request(ctx context.Context, v *vm, a arrival) *http.Request {
	path, body := "/v1/completions", map[string]any{
		"model": plank.Model{Adapter: adapterID(a.adapter), Version: "1"}.String(), "prompt": a.prompt, "max_tokens": a.tokens, "stream": true,
	}
	if a.booking {
		path, body = "/bookings/", map[string]any{"Booking": a.prompt[:min(20, len(a.prompt))]}
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // maps of strings and numbers encode
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.daemon.CallerAddr()+path, bytes.NewReader(data))
	if err != nil {
		panic(err) // the address is one that a listener gave
	}
	req.Header.Set("Authorization", "Bearer "+keyOf(f.exp.Load.Workspaces[a.workspace].Id))
	if a.booking {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("b-%d", a.at))
	}
	return req
}

// read takes the answer in.
func (s *sample) read(resp *http.Response, scheduled time.Time) {
	s.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		var e openai.ErrorBody
		if json.NewDecoder(resp.Body).Decode(&e) == nil {
			s.code = e.Error.Code
		}
		return
	}
	if s.booking {
		_, err := io.Copy(io.Discard, resp.Body)
		s.whole = err == nil
		return
	}
	lines := bufio.NewScanner(resp.Body)
	var last time.Time
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.whole = true
			return
		}
		now := time.Now()
		if last.IsZero() {
			s.first = now.Sub(scheduled)
		} else {
			s.gaps = append(s.gaps, now.Sub(last))
		}
		last = now
	}
}
