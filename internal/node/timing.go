package node

import "time"

// readAllowance is the time that a VM needs to read the store by itself, without
// the transfer time of a large configuration. It is reserved before the end of the
// bound within which a configuration must be in force.
const readAllowance = 300 * time.Millisecond

// transferFraction is the fraction of a link that is assumed to be free for a
// configuration, and maxTransferFraction the largest fraction of the bound that is
// reserved for its transfer.
const (
	transferFraction    = 0.5
	maxTransferFraction = 1.0 / 3
)

// transferTime returns the transfer time of a number of bytes on a link with other
// traffic.
func transferTime(bytes int, linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) * 8 / (linkMbps * 1e6 * transferFraction) * float64(time.Second))
}

// defaultBound applies if the settings have no usable bound. It is the bound of
// the users' smaller sites.
const defaultBound = 2 * time.Second

// The times of following the store, as fractions of the bound: a watch waits for
// half of it, events are batched for a little less than a quarter, and the VMs that
// are next in rank start to watch after three quarters.
const (
	waitFraction      = 0.5
	batchFraction     = 0.225
	successorFraction = 0.75
)

// The pauses after failed calls. A watcher detects within firstRetry that the
// store is available again and sends updates to the other VMs. These back off, and
// poll the store only in case they receive no update. maxRetry leaves them time to
// read the store before the bound applies again, three seconds after its return.
const (
	firstRetry = 200 * time.Millisecond
	maxRetry   = time.Second
)

// A watchTiming holds the times of following the store.
type watchTiming struct {
	wait         time.Duration // the longest wait of a watch
	batchDelay   time.Duration // how long events are batched into one call
	successorAge time.Duration // age of the last update at which the next in rank watch
	maxAge       time.Duration // age of the last update at which all VMs watch
}

// timingFor returns the times for a bound within which a configuration must be in
// force. transfer is the transfer time of the configuration.
func timingFor(bound, transfer time.Duration) watchTiming {
	if bound <= readAllowance {
		bound = defaultBound
	}
	bound -= min(transfer, time.Duration(maxTransferFraction*float64(bound)))
	fraction := func(p float64) time.Duration { return time.Duration(p * float64(bound)) }
	return watchTiming{wait: fraction(waitFraction), batchDelay: fraction(batchFraction), successorAge: fraction(successorFraction), maxAge: max(0, bound-readAllowance)}
}

// mustWatch reports whether the VM of a rank among the live VMs of its domain
// watches the store; age is the age of its last update. In a domain whose watchers
// are cut off from the store the next in rank start first, so that not all call it.
func (t watchTiming) mustWatch(rank, alive int, age time.Duration) bool {
	watchers := watchers(alive)
	switch {
	case rank < watchers, age > t.maxAge:
		return true
	case rank < 2*watchers:
		return age > t.successorAge
	}
	return false
}

// watchers returns the number of VMs that watch the store, in a domain with a
// number of live VMs.
func watchers(alive int) int {
	if alive >= largeDomain {
		return 2
	}
	return 1
}

// retry returns the pause after a number of consecutive failed calls, for the VM
// of a rank among the live VMs of its domain.
func (t watchTiming) retry(rank, alive, failures int) time.Duration {
	if rank < watchers(alive) {
		return firstRetry
	}
	return min(maxRetry, firstRetry<<min(failures-1, 8))
}
