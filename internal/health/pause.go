package health

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"knapweedplank.org/plank"
)

// MaxPause bounds the pause that an endpoint can ask for, so that one malformed answer does
// not lose the endpoint for good.
const MaxPause = 10 * time.Minute

// Pauses holds the times until which endpoints want no requests of this VM. It is safe for
// concurrent use.
type Pauses struct {
	clock plank.Clock

	mu   sync.Mutex
	ends map[plank.Run]time.Time
	// any is false only if ends is empty, so that choices need no lock.
	any atomic.Bool
}

// NewPauses returns an empty table.
func NewPauses(clock plank.Clock) *Pauses {
	return &Pauses{clock: clock, ends: make(map[plank.Run]time.Time)}
}

// RecordPause records that a run of an endpoint wants no requests until a time. It reports
// whether the pause is longer than the one that was known.
func (p *Pauses) RecordPause(run plank.Run, until time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !until.After(p.ends[run]) {
		return false
	}
	p.ends[run] = until
	p.any.Store(true)
	return true
}

// PausedUntil returns the time until which a run of an endpoint wants no requests, or the
// zero time if it does not pause.
func (p *Pauses) PausedUntil(run plank.Run) time.Time {
	if !p.any.Load() {
		return time.Time{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := p.ends[run]; until.After(p.clock.Now()) {
		return until
	}
	return time.Time{}
}

// IsPaused reports whether a run of an endpoint wants no requests now.
func (p *Pauses) IsPaused(run plank.Run) bool { return !p.PausedUntil(run).IsZero() }

// ExpirePauses forgets the pauses that are over.
func (p *Pauses) ExpirePauses() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	maps.DeleteFunc(p.ends, func(_ plank.Run, until time.Time) bool { return !until.After(now) })
	p.any.Store(len(p.ends) > 0)
}

// A PauseError reports a value that is no time in seconds, or one beyond MaxPause.
type PauseError struct {
	Value string
}

// Error implements error.
func (e *PauseError) Error() string {
	return fmt.Sprintf("no time in seconds up to %v: %.40q", MaxPause, e.Value)
}

// ParsePause returns the pause that an endpoint asks for in a field that holds seconds, with
// fractions. A malformed value gives 0 and one that is too large MaxPause, each with a
// *PauseError.
func ParsePause(value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(value, 64)
	switch {
	case err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(seconds) || seconds < 0:
		return 0, &PauseError{value}
	case seconds > MaxPause.Seconds():
		return MaxPause, &PauseError{value}
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
