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

// Run runs the experiment with all of its policy sets concurrently, each on a fleet of
// its own with the same arrivals, and returns the results in the order of the policy
// sets.
func Run(exp Experiment, progress io.Writer) ([]Result, error) {
	arrivals := generateArrivals(exp)
	results := make([]Result, len(exp.Policies))
	errs := make([]error, len(exp.Policies))
	var done sync.WaitGroup
	for i, p := range exp.Policies {
		done.Go(func() {
			report := func(int) {}
			if i == 0 {
				report = progressWriter(progress, len(arrivals))
			}
			results[i], errs[i] = runPolicySet(exp, p, i, arrivals, report)
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

// progressWriter returns a function that writes the number of sent requests to w at
// most every 5 s.
func progressWriter(w io.Writer, total int) func(int) {
	next := time.Now()
	return func(sent int) {
		if now := time.Now(); now.After(next) {
			next = now.Add(5 * time.Second)
			fmt.Fprintf(w, "%d of %d requests sent\n", sent, total)
		}
	}
}

// runPolicySet runs the experiment with one policy set.
func runPolicySet(exp Experiment, policies PolicySet, fleetIndex int, arrivals []arrival, progress func(int)) (Result, error) {
	var mu sync.Mutex
	dispatchWaits := newWaits()
	measuring := false
	onDispatch := func(w runner.Wait) {
		mu.Lock()
		defer mu.Unlock()
		if measuring {
			dispatchWaits.add(w)
		}
	}
	f, err := startFleet(exp, policies.Policies, fleetIndex, onDispatch)
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
		before, callsBefore = f.engineStats(), f.platformCalls()
	})
	for _, fa := range exp.Faults {
		time.AfterFunc(warmup+time.Duration(fa.AtSec*float64(time.Second)), func() { f.injectFault(fa) })
	}
	samples := f.sendAll(arrivals, progress)
	mu.Lock()
	defer mu.Unlock()
	var measuredSamples []sample
	for _, s := range samples {
		if s.at >= warmup {
			measuredSamples = append(measuredSamples, s)
		}
	}
	r := summarize(exp, measuredSamples)
	r.Policy = policies.Name
	r.LoadStall, r.ResidentWait = quantiles(dispatchWaits.stall), quantiles(dispatchWaits.resident)
	r.setEngineStats(before, f.engineStats(), exp.Fleet.Batch)
	r.PlatformCallsPerVM = float64(f.platformCalls()-callsBefore) / exp.MeasureSec / float64(len(f.vms))
	return r, nil
}

// engineStats returns the current counts of each engine.
func (f *fleet) engineStats() []model.Stats {
	all := make([]model.Stats, len(f.engines))
	for i, e := range f.engines {
		all[i] = e.Stats()
	}
	return all
}

// platformCalls returns the total number of calls that the VMs made to the platform.
func (f *fleet) platformCalls() uint64 {
	sum := uint64(0)
	for _, v := range f.vms {
		sum += v.daemon.PlatformCalls()
	}
	return sum
}

// setEngineStats sets the fields that derive from the engines' counts before and
// after the measured part.
func (r *Result) setEngineStats(before, after []model.Stats, batch int) {
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
