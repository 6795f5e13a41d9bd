package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/runner"
)

// A Result is what one set of policies gave. Times are in milliseconds.
type Result struct {
	Experiment string
	Policy     string
	Seed       uint64
	Requests   int
	// LoadStall is the waiting for an adapter load, over all model requests:
	// one that found its adapter loaded did not stall.
	LoadStall Quantiles
	// ResidentWait is the waiting of requests whose adapter was loaded as they
	// came.
	ResidentWait Quantiles
	// BatchFill is tokens generated per step and place in the batch, over the
	// steps that were made; TokensPerStep is the mean batch.
	BatchFill     float64
	TokensPerStep float64
	// AdaptersPerStep is the mean number of distinct adapters in a batch.
	AdaptersPerStep float64
	Loads           int
	// WorstWorkspace is the lowest share, over workspaces, of the requests
	// inside the rate that were answered whole within their patience.
	WorstWorkspace float64
	Worst          string
	// ByWorkspace is that share for each workspace.
	ByWorkspace map[string]float64
	// P95ByWorkspace is the 95th percentile of the time to the whole answer.
	P95ByWorkspace map[string]float64
	// WrongfulRefusals counts requests refused for their rate though inside it.
	WrongfulRefusals int
	Inside           int
	// OutsideServed counts requests outside the rate that were served.
	OutsideServed int
	PatienceMet   float64
	FirstToken    Quantiles
	BetweenTokens Quantiles
	// PlatformCallsPerVM is per second.
	PlatformCallsPerVM float64
	// Seconds is the length of the measured part; Served holds, for each second
	// of it, the share of requests inside the rate that were served.
	Seconds float64
	Served  []float64
	Codes   map[plank.Code]int
}

// Quantiles of a time in milliseconds.
type Quantiles struct {
	P50, P95, P99, Max float64
	Count              int64
}

// histogram of microseconds up to ten minutes.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values out of range cannot occur: patience is below the range's end.
	_ = h.RecordValue(max(0, d.Microseconds()))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000, Count: h.TotalCount()}
}

// waits collects what the runners report.
type waits struct {
	stall, resident *hdrhistogram.Histogram
}

func newWaits() *waits { return &waits{stall: newHistogram(), resident: newHistogram()} }

func (w *waits) take(wait runner.Wait) {
	record(w.stall, wait.Load)
	if wait.Resident {
		record(w.resident, wait.Queue)
	}
}

// summarize computes the result of the measured samples.
func summarize(exp Experiment, samples []sample) Result {
	r := Result{
		Experiment: exp.Name, Seed: exp.Seed, Requests: len(samples), Seconds: exp.MeasureSec,
		ByWorkspace: make(map[string]float64), P95ByWorkspace: make(map[string]float64), Codes: make(map[plank.Code]int),
	}
	first, gaps := newHistogram(), newHistogram()
	inside, served := make([]int, len(exp.Load.Workspaces)), make([]int, len(exp.Load.Workspaces))
	perSecond, servedPerSecond := make([]int, int(exp.MeasureSec)+1), make([]int, int(exp.MeasureSec)+1)
	whole := 0
	totals := make([]*hdrhistogram.Histogram, len(exp.Load.Workspaces))
	for i := range totals {
		totals[i] = newHistogram()
	}
	for _, s := range samples {
		if s.code != "" {
			r.Codes[s.code]++
		}
		if s.whole {
			whole++
			record(totals[s.workspace], s.total)
		}
		if s.first > 0 {
			record(first, s.first)
		}
		for _, g := range s.gaps {
			record(gaps, g)
		}
		if !s.inside {
			if s.whole {
				r.OutsideServed++
			}
			continue
		}
		r.Inside++
		inside[s.workspace]++
		second := int((s.at - time.Duration(exp.WarmupSec*float64(time.Second))).Seconds())
		perSecond[second]++
		if s.whole {
			served[s.workspace]++
			servedPerSecond[second]++
		}
		if s.code == plank.CodeRateLimited {
			r.WrongfulRefusals++
		}
	}
	r.PatienceMet = ratio(whole, len(samples))
	r.FirstToken, r.BetweenTokens = quantiles(first), quantiles(gaps)
	r.WorstWorkspace = 1
	for i, w := range exp.Load.Workspaces {
		share := ratio(served[i], inside[i])
		r.ByWorkspace[w.Id] = share
		r.P95ByWorkspace[w.Id] = quantiles(totals[i]).P95
		if share < r.WorstWorkspace {
			r.WorstWorkspace, r.Worst = share, w.Id
		}
	}
	for i := range perSecond {
		r.Served = append(r.Served, ratio(servedPerSecond[i], perSecond[i]))
	}
	return r
}

// ratio of a part; an empty whole counts as met.
func ratio(part, all int) float64 {
	if all == 0 {
		return 1
	}
	return float64(part) / float64(all)
}
