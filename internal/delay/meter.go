// Package delay detects that this VM gets less processor time than it needs, from how
// late its own timers fire. It performs no I/O.
//
// It answers machines that turn slow while they hold duties for others: in a fleet of 67
// VMs two of three lease holders had their processors slowed to a fifth, and the grants
// of the fleet fell from 165 a second to 6 until their leases ended, 8 s later.
package delay

import (
	"slices"
	"sync"
	"time"
)

// Parameters of a Meter.
const (
	// lateTimer is the delay from which on a timer is late: many times the usual one
	// of a few milliseconds.
	lateTimer = 60 * time.Millisecond
	// window is the number of timers that are considered, and maxLate how many of them
	// may be late. A single pause of the process is not enough.
	window, maxLate = 5, 2
	// recoveryTime is how long no timer may be late until the VM counts as fast again.
	recoveryTime = 3 * time.Second
)

// A Meter records how late timers fire. It is safe for concurrent use.
type Meter struct {
	mu       sync.Mutex
	delays   []time.Duration // of the last timers
	lastLate time.Time
	slow     bool
}

// Observe records a timer that fired at now, late after it was due, and reports whether
// the state has changed.
func (m *Meter) Observe(late time.Duration, now time.Time) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delays = append(m.delays, late)
	m.delays = m.delays[max(0, len(m.delays)-window):]
	if late >= lateTimer {
		m.lastLate = now
	}
	sorted := slices.Sorted(slices.Values(m.delays))
	before := m.slow
	switch {
	case len(sorted) == window && sorted[window-1-maxLate] >= lateTimer:
		m.slow = true
	case now.Sub(m.lastLate) >= recoveryTime:
		m.slow = false
	}
	return m.slow != before
}

// IsSlow reports whether the VM gets too little processor time.
func (m *Meter) IsSlow() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.slow
}
