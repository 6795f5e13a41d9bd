// Package model defines a stand-in for a model engine with continuous batching
// and dynamic adapters.
package model

import (
	"time"

	"knapweedplank.org/plank"
)

// Options set an engine's size and speed.
type Options struct {
	Slots         int           // adapters held at once
	Batch         int           // requests run at once
	Step          time.Duration // one decoding step
	AdapterStep   time.Duration // added to a step per adapter beyond the first
	PrefillPer1K  time.Duration // added to a step per 1000 prompt tokens taken in
	Fencing       bool          // refuse orders with an old fencing number
	ReportLag     time.Duration // age of the load report
	Weights       string        // address of the weight store; empty loads at once
	CrashOn       string        // a prompt that holds this text crashes the engine
	RestartAfter  time.Duration // time from a crash until the engine is back, empty
	DefaultTokens int           // tokens generated when max_tokens is not given
}

// DefaultOptions is a small engine.
func DefaultOptions() Options {
	return Options{
		Slots: 8, Batch: 8,
		Step: 10 * time.Millisecond, AdapterStep: 500 * time.Microsecond, PrefillPer1K: 20 * time.Millisecond,
		ReportLag: 200 * time.Millisecond, RestartAfter: 500 * time.Millisecond, DefaultTokens: 16,
	}
}

// Faults are brought about on demand.
type Faults struct {
	WrongModel int // the next n answers name another model
	Crossed    int // the next n answers hold chunks twice and out of date
	SlowLoads  int // the next n loads take slowLoad longer
	FailLoads  int // the next n loads fail
	SlowEnds   int // the next n answers end slowEnd after their last event
}

// slowEnd is how long a request with a slow end uses its adapter after its answer.
const slowEnd = 30 * time.Millisecond

// slowLoad is the time added to a slow load.
const slowLoad = 2 * time.Second

// Stats is what the engine counts since its process started, over restarts.
type Stats struct {
	Steps, StepRows, Tokens int
	StepAdapters            int // sum over steps of the distinct adapters in the batch
	BusyNanos               int64
	Loads, Unloads          int
	// Evictions of a model that was serving, orders refused as stale, and
	// requests that carried a caller's key.
	InUseEvictions, StaleOrders, Leaks int
	Crashes                            int
	Completed, Cancelled               int
	PrefixHits                         int
	Resident                           []plank.Model
}
