// Package model simulates a model engine with continuous batching and dynamic
// adapters.
package model

import (
	"time"

	"knapweedplank.org/plank"
)

// Options are the parameters of a simulated engine.
type Options struct {
	Slots         int           // number of adapter slots
	Batch         int           // maximum number of requests in a batch
	Step          time.Duration // duration of a decoding step
	AdapterStep   time.Duration // added to a step for each adapter beyond the first
	PrefillPer1K  time.Duration // added to a step per 1000 prompt tokens of prefill
	Fencing       bool          // reject orders with an outdated term
	ReportLag     time.Duration // maximum age of the load report
	Weights       string        // address of the weight store; if empty, loads take no time
	CrashOn       string        // a prompt that contains this text crashes the engine
	RestartAfter  time.Duration // time from a crash to the restart without adapters
	DefaultTokens int           // tokens generated if the request has no max_tokens
}

// DefaultOptions returns the options of a small engine.
func DefaultOptions() Options {
	return Options{
		Slots: 8, Batch: 8,
		Step: 10 * time.Millisecond, AdapterStep: 500 * time.Microsecond, PrefillPer1K: 20 * time.Millisecond,
		ReportLag: 200 * time.Millisecond, RestartAfter: 500 * time.Millisecond, DefaultTokens: 16,
	}
}

// Faults are injected through /test/faults.
type Faults struct {
	WrongModel int // the next n answers name a different model
	Crossed    int // the next n answers repeat each chunk under an earlier event id
	SlowLoads  int // the next n loads take slowLoadDelay longer
	FailLoads  int // the next n loads fail
	SlowEnds   int // the next n answers end slowEndDelay after their last event
}

// slowEndDelay is the time for which a request affected by SlowEnds keeps its adapter
// in use after its last event.
const slowEndDelay = 30 * time.Millisecond

// slowLoadDelay is the time added to a load affected by SlowLoads.
const slowLoadDelay = 2 * time.Second

// Stats are counts since the process started; a simulated crash does not reset them.
type Stats struct {
	Steps, StepRows, Tokens int // StepRows is the sum of the batch sizes of all steps
	StepAdapters            int // sum over steps of the distinct adapters in the batch
	BusyNanos               int64
	Loads, Unloads          int
	// InUseEvictions counts unloads of a model that was executing requests,
	// StaleOrders orders with an outdated term, and Leaks requests that contained
	// a caller's API key.
	InUseEvictions, StaleOrders, Leaks int
	Crashes                            int
	Completed, Cancelled               int
	PrefixHits                         int
	Resident                           []plank.Model
}
