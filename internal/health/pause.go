package health

import (
	"maps"
	"time"

	"knapweedplank.org/plank"
)

// This file records until when endpoints want no requests of this VM.

// RecordPause records that a run of an endpoint wants no requests until a time. It reports
// whether the pause is longer than the one that was known.
func (t *Table) RecordPause(run plank.Run, until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !until.After(t.pauses[run]) {
		return false
	}
	t.pauses[run] = until
	t.hasPauses.Store(true)
	return true
}

// PausedUntil returns the time until which a run of an endpoint wants no requests, or the
// zero time if it does not pause.
func (t *Table) PausedUntil(run plank.Run) time.Time {
	if !t.hasPauses.Load() {
		return time.Time{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if until := t.pauses[run]; until.After(t.clock.Now()) {
		return until
	}
	return time.Time{}
}

// IsPaused reports whether a run of an endpoint wants no requests now.
func (t *Table) IsPaused(run plank.Run) bool { return !t.PausedUntil(run).IsZero() }

// ExpirePauses forgets the pauses that are over.
func (t *Table) ExpirePauses() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	maps.DeleteFunc(t.pauses, func(_ plank.Run, until time.Time) bool { return !until.After(now) })
	t.hasPauses.Store(len(t.pauses) > 0)
}
