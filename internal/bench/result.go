package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/runner"
)

// A Result holds the measurements for one policy set. Times are in milliseconds.
type Result struct {
	Experiment string
	Policy     string
	Seed       uint64
	Requests   int
	// LoadStall is the time that dispatched model requests waited for an adapter
	// load; it is 0 for requests whose adapter was resident.
	LoadStall Quantiles
	// ResidentWait is the time that requests waited whose adapter was resident when
	// they arrived.
	ResidentWait Quantiles
	// TokensPerStep is the mean batch size over the executed decoding steps, and
	// BatchFill the ratio of TokensPerStep to the maximum batch size.
	BatchFill     float64
	TokensPerStep float64
	// AdaptersPerStep is the mean number of distinct adapters in a batch.
	AdaptersPerStep float64
	Loads           int
	// WorstWorkspace is the lowest value in ByWorkspace, and Worst the Id of the
	// workspace that has it; if all values are 1, Worst is empty.
	WorstWorkspace float64
	Worst          string
	// ByWorkspace is, for each workspace, the fraction of its requests within the
	// rate that were answered completely within their patience.
	ByWorkspace map[string]float64
	// P95ByWorkspace is the 95th percentile of the time to the complete answer.
	P95ByWorkspace map[string]float64
	// WrongfulRefusals counts requests within the rate that were refused because of
	// the rate; Inside counts all requests within the rate.
	WrongfulRefusals int
	Inside           int
	// OutsideServed counts requests above the rate that were served.
	OutsideServed int
	// PatienceMet is the fraction of all requests that were served within patience.
	PatienceMet   float64
	FirstToken    Quantiles
	BetweenTokens Quantiles
	// PlatformCallsPerVM is the mean number of calls per second that a VM made to the
	// platform.
	PlatformCallsPerVM float64
	// Seconds is the duration of the measured part; Served holds, for each second of
	// it, the fraction of the requests within the rate that were served.
	Seconds float64
	Served  []float64
	Codes   map[plank.Code]int
}

// Quantiles describes the distribution of a time in milliseconds.
type Quantiles struct {
	P50, P95, P99, Max float64
	Count              int64
}

// newHistogram returns a histogram of times in microseconds up to ten minutes.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// An error is not possible: the range is longer than the maximum patience.
	_ = h.RecordValue(max(0, d.Microseconds()))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000, Count: h.TotalCount()}
}

// waits collects the waits of dispatched requests.
type waits struct {
	stall, resident *hdrhistogram.Histogram
}

func newWaits() *waits { return &waits{stall: newHistogram(), resident: newHistogram()} }

func (w *waits) add(wait runner.Wait) {
	record(w.stall, wait.Load)
	if wait.Resident {
		record(w.resident, wait.Queue)
	}
}

// summarize computes the fields of the result that derive from the measured samples.
func summarize(exp Experiment, samples []sample) Result {
	r := Result{
		Experiment: exp.Name, Seed: exp.Seed, Requests: len(samples), Seconds: exp.MeasureSec,
		ByWorkspace: make(map[string]float64), P95ByWorkspace: make(map[string]float64), Codes: make(map[plank.Code]int),
	}
	first, gaps := newHistogram(), newHistogram()
	inside, served := make([]int, len(exp.Load.Workspaces)), make([]int, len(exp.Load.Workspaces))
	perSecond, servedPerSecond := make([]int, int(exp.MeasureSec)+1), make([]int, int(exp.MeasureSec)+1)
	complete := 0
	totals := make([]*hdrhistogram.Histogram, len(exp.Load.Workspaces))
	for i := range totals {
		totals[i] = newHistogram()
	}
	for _, s := range samples {
		if s.code != "" {
			r.Codes[s.code]++
		}
		if s.complete {
			complete++
			record(totals[s.workspace], s.total)
		}
		if s.first > 0 {
			record(first, s.first)
		}
		for _, g := range s.gaps {
			record(gaps, g)
		}
		if !s.withinRate {
			if s.complete {
				r.OutsideServed++
			}
			continue
		}
		r.Inside++
		inside[s.workspace]++
		second := int((s.at - time.Duration(exp.WarmupSec*float64(time.Second))).Seconds())
		perSecond[second]++
		if s.complete {
			served[s.workspace]++
			servedPerSecond[second]++
		}
		if s.code == plank.CodeRateLimited {
			r.WrongfulRefusals++
		}
	}
	r.PatienceMet = ratio(complete, len(samples))
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

// ratio returns part/total, or 1 if total is 0.
func ratio(part, total int) float64 {
	if total == 0 {
		return 1
	}
	return float64(part) / float64(total)
}
