package bench

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"knapweedplank.org/plank/internal/runner"
	"knapweedplank.org/plank/internal/stand/model"
)

// Run runs the experiment with each of its policies at once, each on a fleet of
// its own with the same arrivals, and returns the results in order.
func Run(exp Experiment, progress io.Writer) ([]Result, error) {
	arrivals := plan(exp)
	results := make([]Result, len(exp.Policies))
	errs := make([]error, len(exp.Policies))
	var done sync.WaitGroup
	for i, p := range exp.Policies {
		done.Go(func() {
			report := func(int) {}
			if i == 0 {
				report = progressEvery(progress, len(arrivals))
			}
			results[i], errs[i] = runOne(exp, p, i, arrivals, report)
		})
	}
	done.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, eris.Wrapf(err, "experiment %s", exp.Name)
		}
	}
	return results, nil
}

// progressEvery returns a function that writes a line now and then.
func progressEvery(w io.Writer, all int) func(int) {
	next := time.Now()
	return func(sent int) {
		if now := time.Now(); now.After(next) {
			next = now.Add(5 * time.Second)
			fmt.Fprintf(w, "%d of %d requests sent\n", sent, all)
		}
	}
}

// runOne runs the experiment with one set of policies.
func runOne(exp Experiment, p PolicySet, base int, arrivals []arrival, progress func(int)) (Result, error) {
	var mu sync.Mutex
	measured := newWaits()
	measuring := false
	waited := func(w runner.Wait) {
		mu.Lock()
		defer mu.Unlock()
		if measuring {
			measured.take(w)
		}
	}
	f, err := startFleet(exp, p.Policies, base, waited)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	warmup := time.Duration(exp.WarmupSec * float64(time.Second))
	var before []model.Stats
	var callsBefore uint64
	time.AfterFunc(warmup, func() {
		mu.Lock()
		defer mu.Unlock()
		measuring = true
		before, callsBefore = f.stats(), f.calls()
	})
	for _, fa := range exp.Faults {
		time.AfterFunc(warmup+time.Duration(fa.AtSec*float64(time.Second)), func() { f.inject(fa) })
	}
	samples := f.drive(arrivals, progress)
	mu.Lock()
	defer mu.Unlock()
	var kept []sample
	for _, s := range samples {
		if s.at >= warmup {
			kept = append(kept, s)
		}
	}
	r := summarize(exp, kept)
	r.Policy = p.Name
	r.LoadStall, r.ResidentWait = quantiles(measured.stall), quantiles(measured.resident)
	r.takeStats(before, f.stats(), exp.Fleet.Batch)
	r.PlatformCallsPerVM = float64(f.calls()-callsBefore) / exp.MeasureSec / float64(len(f.vms))
	return r, nil
}

// stats returns the counts of all engines.
func (f *fleet) stats() []model.Stats {
	all := make([]model.Stats, len(f.engines))
	for i, e := range f.engines {
		all[i] = e.Stats()
	}
	return all
}

// calls returns the platform calls of all VMs so far.
func (f *fleet) calls() uint64 {
	sum := uint64(0)
	for _, v := range f.vms {
		sum += v.daemon.PlatformCalls()
	}
	return sum
}

// takeStats computes what the engines did in the measured part.
func (r *Result) takeStats(before, after []model.Stats, batch int) {
	var steps, rows, adapters int
	for i := range after {
		steps += after[i].Steps - before[i].Steps
		rows += after[i].StepRows - before[i].StepRows
		adapters += after[i].StepAdapters - before[i].StepAdapters
		r.Loads += after[i].Loads - before[i].Loads
	}
	if steps == 0 {
		return
	}
	r.TokensPerStep = float64(rows) / float64(steps)
	r.BatchFill = r.TokensPerStep / float64(batch)
	r.AdaptersPerStep = float64(adapters) / float64(steps)
}
