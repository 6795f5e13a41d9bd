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
	at        time.Duration // since the start of the load
	workspace int
	adapter   int
	vm        int
	booking   bool
	long      bool
	tokens    int
	prompt    string
	// withinRate reports whether the request is admitted by an exact token bucket
	// with the workspace's rate and burst to which all its requests are applied in
	// order.
	withinRate bool
}

// generateArrivals returns the random arrivals of an experiment in order of time.
// They depend only on the experiment and its seed.
func generateArrivals(exp Experiment) []arrival {
	rng := rand.New(rand.NewPCG(exp.Seed, 1))
	zipf := rand.NewZipf(rng, exp.Load.Zipf, 1, uint64(exp.Load.Adapters-1))
	adapterOfRank := rng.Perm(exp.Load.Adapters)
	adapterAfterShift := rng.Perm(exp.Load.Adapters)
	buckets := make([]tokenBucket, len(exp.Load.Workspaces))
	for i, w := range exp.Load.Workspaces {
		buckets[i] = tokenBucket{rate: w.Rate, burst: w.Burst, level: w.Burst}
	}
	var all []arrival
	end := exp.WarmupSec + exp.MeasureSec
	for t := 0.0; ; {
		weights, total := workspaceWeights(exp, t)
		t += rng.ExpFloat64() / (exp.Load.PerSecond * total)
		if t >= end {
			return all
		}
		a := arrival{at: time.Duration(t * float64(time.Second)), workspace: pickWeighted(rng, weights), vm: pickVM(rng, exp)}
		a.adapter = adapterOfRank[zipf.Uint64()]
		if exp.Load.ShiftAtSec > 0 && t > exp.WarmupSec+exp.Load.ShiftAtSec {
			a.adapter = adapterAfterShift[a.adapter]
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
		a.withinRate = buckets[a.workspace].take(t, a.cost())
		all = append(all, a)
	}
}

// cost returns the number of tokens that the request uses of its workspace's rate. A
// prompt has one token per 4 bytes.
func (a arrival) cost() float64 {
	if a.booking {
		return 1
	}
	return float64(len(a.prompt)/4 + 1 + a.tokens)
}

// workspaceWeights returns the workspaces' shares of the requests at t seconds,
// multiplied by their surges, and the ratio of their sum to the sum without surges.
func workspaceWeights(exp Experiment, t float64) ([]float64, float64) {
	weights := make([]float64, len(exp.Load.Workspaces))
	sum, baseSum := 0.0, 0.0
	for i, w := range exp.Load.Workspaces {
		weights[i] = w.Share
		baseSum += w.Share
		if since := t - exp.WarmupSec; w.Surge > 0 && since >= w.SurgeAtSec && since < w.SurgeEndSec {
			weights[i] *= w.Surge
		}
		sum += weights[i]
	}
	return weights, sum / baseSum
}

// pickWeighted returns a random index with a probability proportional to its weight.
func pickWeighted(rng *rand.Rand, weights []float64) int {
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

// pickVM returns the random index of the VM to which the load balancer sends a request.
func pickVM(rng *rand.Rand, exp Experiment) int {
	weights := make([]float64, exp.Fleet.VMs)
	for i := range weights {
		weights[i] = 1
	}
	weights[0] = max(1, exp.Load.Skew)
	return pickWeighted(rng, weights)
}

// A tokenBucket is an exact rate limit, the reference that decides which refusals are
// wrongful. Times are in seconds and amounts in tokens.
type tokenBucket struct {
	rate, burst, level, at float64
}

func (b *tokenBucket) take(t, cost float64) bool {
	b.level = min(b.burst, b.level+(t-b.at)*b.rate)
	b.at = t
	if cost > b.level {
		return false
	}
	b.level -= cost
	return true
}

// A sample is the outcome of one request.
type sample struct {
	arrival
	status   int
	code     plank.Code
	complete bool            // the whole answer arrived within the caller's patience
	first    time.Duration   // from the scheduled arrival to the first token
	total    time.Duration   // from the scheduled arrival to the end
	gaps     []time.Duration // between tokens
}

// sendAll sends all requests at their scheduled times, without waiting for earlier
// ones to end, and returns their outcomes.
func (f *fleet) sendAll(arrivals []arrival, progress func(sent int)) []sample {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	samples := make([]sample, len(arrivals))
	var done sync.WaitGroup
	start := time.Now()
	for i, a := range arrivals {
		time.Sleep(time.Until(start.Add(a.at)))
		done.Go(func() { samples[i] = f.send(client, a, start.Add(a.at)) })
		progress(i + 1)
	}
	done.Wait()
	return samples
}

// send sends a request and returns its outcome. Like a load balancer, it tries the
// next VM if one was killed or does not respond.
func (f *fleet) send(client *http.Client, a arrival, scheduled time.Time) sample {
	s := sample{arrival: a}
	patience := time.Duration(f.exp.Load.Workspaces[a.workspace].PatienceSec * float64(time.Second))
	ctx, cancel := context.WithDeadline(context.Background(), scheduled.Add(patience+2*time.Second))
	defer cancel()
	for try := range len(f.vms) {
		v := f.vms[(a.vm+try)%len(f.vms)]
		if v.killed {
			continue
		}
		resp, err := client.Do(f.request(ctx, v, a))
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			continue
		}
		s.readResponse(resp, scheduled)
		resp.Body.Close()
		break
	}
	s.total = time.Since(scheduled)
	s.complete = s.complete && s.total <= patience
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
		panic(err) // cannot occur for maps of strings and numbers
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.daemon.CallerAddr()+path, bytes.NewReader(data))
	if err != nil {
		panic(err) // cannot occur for an address from a listener
	}
	req.Header.Set("Authorization", "Bearer "+apiKey(f.exp.Load.Workspaces[a.workspace].Id))
	if a.booking {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("b-%d", a.at))
	}
	return req
}

// readResponse reads the response and records its status, times and completeness.
func (s *sample) readResponse(resp *http.Response, scheduled time.Time) {
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
		s.complete = err == nil
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
			s.complete = true
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
