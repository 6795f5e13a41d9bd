// Package delay detects that this VM gets less processor time than it needs, or was paused,
// from how late its own timers fire. It performs no I/O.
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
	// Interval is the interval of the timers that are observed.
	Interval = 150 * time.Millisecond
	// lateTimer is the delay from which on a timer is late: many times the usual one
	// of a few milliseconds.
	lateTimer = 60 * time.Millisecond
	// window is the number of timers that are considered, and maxLate how many of them
	// may be late. A single pause of the process is not enough.
	window, maxLate = 5, 2
	// MinPause is the least delay of a timer that counts as a pause of the process.
	MinPause = time.Second
	// recoveryTime is how long no timer may be late until the VM counts as fast again. It
	// doubles up to maxRecoveryTime if the VM is slow again within relapseTime: without
	// duties a slowed VM is on time.
	recoveryTime    = 3 * time.Second
	maxRecoveryTime = 24 * time.Second
	relapseTime     = 30 * time.Second
)

// A Meter records how late timers fire. It is safe for concurrent use.
type Meter struct {
	mu       sync.Mutex
	delays   []time.Duration // of the last timers
	lastLate time.Time
	slow     bool
	// recovery is how long no timer may be late, and recoveredAt when the VM was last slow.
	recovery    time.Duration
	recoveredAt time.Time
	last        time.Time // of the last timer
	// pauses counts the pauses of the process, confirmed those after which its leases were
	// checked. lastPause is the length of the last, which ended at lastPauseEnd.
	pauses, confirmed int
	lastPause         time.Duration
	lastPauseEnd      time.Time
}

// Observe records a timer that fired at now, late after it was due, and reports whether
// the state has changed.
func (m *Meter) Observe(late time.Duration, now time.Time) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordPause(late, now)
	m.last = now
	m.delays = append(m.delays, late)
	m.delays = m.delays[max(0, len(m.delays)-window):]
	if late >= lateTimer {
		m.lastLate = now
	}
	sorted := slices.Sorted(slices.Values(m.delays))
	before := m.slow
	switch {
	case !m.slow && len(sorted) == window && sorted[window-1-maxLate] >= lateTimer:
		m.slow = true
		if !m.recoveredAt.IsZero() && now.Sub(m.recoveredAt) < relapseTime {
			m.recovery = min(2*m.recovery, maxRecoveryTime)
		} else {
			m.recovery = recoveryTime
		}
	case m.slow && now.Sub(m.lastLate) >= m.recovery:
		m.slow, m.recoveredAt = false, now
	}
	return m.slow != before
}

// IsSlow reports whether the VM gets too little processor time.
func (m *Meter) IsSlow() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.slow
}

// recordPause records a pause. The lock is held.
func (m *Meter) recordPause(late time.Duration, now time.Time) {
	if late >= MinPause {
		m.pauses++
		m.lastPause, m.lastPauseEnd = late, now
	}
}

// Pauses returns the number of pauses until now.
func (m *Meter) Pauses(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticePause(now)
	return m.pauses
}

// noticePause records a pause of which the timer has not fired yet. The lock is held.
func (m *Meter) noticePause(now time.Time) {
	if !m.last.IsZero() {
		if gap := now.Sub(m.last); gap >= MinPause+Interval {
			m.recordPause(gap, now)
			m.last = now
		}
	}
}

// Confirm records that the leases were checked, by a check that began after a number of
// pauses.
func (m *Meter) Confirm(pauses int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmed = max(m.confirmed, pauses)
}

// IsUnconfirmed reports whether the process was paused and its leases have not been
// checked since: others may have taken them over.
func (m *Meter) IsUnconfirmed(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticePause(now)
	return m.pauses > m.confirmed
}

// LastPause returns the length of the last pause and how long ago it ended.
func (m *Meter) LastPause(now time.Time) (length, ago time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticePause(now)
	return m.lastPause, now.Sub(m.lastPauseEnd)
}
