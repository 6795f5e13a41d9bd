package node

import "time"

// readAllowance is what a VM needs to read the store by itself, before the bound in
// which a configuration must be in force, and besides the time that a large
// configuration takes on its link.
const readAllowance = 300 * time.Millisecond

// transferFraction is the part of a link that is taken to be free for a configuration,
// and maxTransferFraction the most of the bound that is kept for it.
const (
	transferFraction    = 0.5
	maxTransferFraction = 1.0 / 3
)

// transferTime returns how long bytes take on a link with other traffic.
func transferTime(bytes int, linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) * 8 / (linkMbps * 1e6 * transferFraction) * float64(time.Second))
}

// defaultBound is taken where the settings name no bound; the users' smaller
// sites have it.
const defaultBound = 2 * time.Second

// The paces of news from the store, as parts of that bound: watches wait for
// half of it, events are gathered for a little less than a quarter, and the next
// in rank begins to watch after three quarters.
const (
	waitFraction      = 0.5
	batchFraction     = 0.225
	successorFraction = 0.75
)

// The pauses after failed calls. A VM whose turn it is to watch notices a store
// that comes back within the first and tells the others; these ask less and less
// often, in case they are told nothing. The longest pause leaves them time to read
// the store before the users hold them to the bound, three seconds after its
// return.
const (
	firstRetry = 200 * time.Millisecond
	maxRetry   = time.Second
)

// A watchTiming holds the times of following the store.
type watchTiming struct {
	wait         time.Duration // of a watch
	batchDelay   time.Duration // events, into one call
	successorAge time.Duration // age of news at which the next in rank watch
	maxAge       time.Duration // age of news at which all watch
}

// timingFor returns the times for a bound in which a configuration must be in force
// that takes a time to transfer.
func timingFor(bound, transfer time.Duration) watchTiming {
	if bound <= readAllowance {
		bound = defaultBound
	}
	bound -= min(transfer, time.Duration(maxTransferFraction*float64(bound)))
	fraction := func(p float64) time.Duration { return time.Duration(p * float64(bound)) }
	return watchTiming{wait: fraction(waitFraction), batchDelay: fraction(batchFraction), successorAge: fraction(successorFraction), maxAge: max(0, bound-readAllowance)}
}

// mustWatch tells whether the VM of a rank among the alive ones of its domain
// watches the store, when its news have an age. In a domain whose watchers are
// cut off from the store the next in rank go first, so that not all call it.
func (p watchTiming) mustWatch(rank, alive int, age time.Duration) bool {
	watchers := watchers(alive)
	switch {
	case rank < watchers, age > p.maxAge:
		return true
	case rank < 2*watchers:
		return age > p.successorAge
	}
	return false
}

// watchers returns how many VMs of a domain watch the store, of those alive.
func watchers(alive int) int {
	if alive >= largeDomain {
		return 2
	}
	return 1
}

// retry returns the pause after a number of failed calls in a row, for the VM of
// a rank among the alive ones of its domain.
func (p watchTiming) retry(rank, alive, failures int) time.Duration {
	if rank < watchers(alive) {
		return firstRetry
	}
	return min(maxRetry, firstRetry<<min(failures-1, 8))
}
