package runner

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pause"
)

// This file defines how a runner detects failures, restarts and crashes of its
// engine.

// maxMissedReports is the number of consecutive failed requests for a report
// after which the engine counts as down.
const maxMissedReports = 3

// pollReports requests the engine's report periodically until ctx ends.
func (r *Runner) pollReports(ctx context.Context) {
	missed := 0
	for ctx.Err() == nil {
		requestedAt := r.deps.Clock.Now()
		if r.mayRequestReport() {
			report, err := r.deps.Engine.Report(ctx)
			if err != nil {
				missed++
				if missed == maxMissedReports {
					r.setDown()
				}
			} else {
				missed = 0
				r.applyReport(report, requestedAt)
			}
		}
		select {
		case <-r.reportNow:
		case <-time.After(reportInterval):
		case <-ctx.Done():
		}
	}
}

// mayRequestReport reports whether the engine may be asked for a report.
func (r *Runner) mayRequestReport() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkPause()
	return !r.pauses.IsPaused(r.run())
}

// setDown marks the endpoint as down, refuses waiting requests and cancels running
// ones.
func (r *Runner) setDown() {
	r.mu.Lock()
	changed := r.up
	r.up = false
	r.refuseWaiting(plank.Refuse(plank.CodeNoEndpoint, "endpoint %s is down", r.opts.Endpoint))
	for _, req := range r.running {
		req.stop(errDown)
	}
	r.mu.Unlock()
	if changed {
		r.deps.Log.WithField("endpoint", r.opts.Endpoint).Warn("runner: endpoint is down")
	}
}

// applyReport updates the runner's state from a report, which may lag behind by
// maxReportAge. requestedAt is the time at which the report was requested.
func (r *Runner) applyReport(report plank.EngineReport, requestedAt time.Time) {
	r.mu.Lock()
	switch {
	case r.boot == "":
		r.syncSlots(report, requestedAt)
		for _, s := range r.slots {
			s.pinned = true
		}
	case r.boot != report.Boot:
		r.handleRestart(report)
	case requestedAt.Sub(r.lastOrder) > maxReportAge && r.loading == (plank.Model{}):
		r.syncSlots(report, requestedAt)
	}
	r.boot, r.reportedAt = report.Boot, requestedAt
	r.up = true
	if report.Leaving && !r.leaving {
		r.leaving = true
		r.refuseWaiting(plank.Refuse(plank.CodeNoEndpoint, "endpoint %s is leaving", r.opts.Endpoint))
	}
	r.unpin(report, requestedAt)
	r.schedule()
	r.mu.Unlock()
}

// unpin clears the pinned mark of models that a previous owner's requests no longer
// use: the report is recent enough to include them, and this runner has not used
// the models meanwhile. The lock is held.
func (r *Runner) unpin(report plank.EngineReport, requestedAt time.Time) {
	if requestedAt.Sub(r.createdAt) <= maxReportAge {
		return
	}
	idle := report.Running == 0
	for m, s := range r.slots {
		unusedHere := s.inUse == 0 && requestedAt.Sub(s.lastUse) > maxReportAge
		notServing := report.Serving != nil && !slices.Contains(report.Serving, m)
		if s.pinned && (idle || unusedHere && notServing) {
			s.pinned = false
		}
	}
}

// syncSlots makes the slots match the report. It keeps slots in use even if the
// report does not list their models. The lock is held.
func (r *Runner) syncSlots(report plank.EngineReport, now time.Time) {
	for _, m := range report.Resident {
		if r.slots[m] == nil {
			r.slots[m] = &slot{lastUse: now, loadedAt: now}
		}
	}
	for m, s := range r.slots {
		if s.inUse == 0 && !slices.Contains(report.Resident, m) {
			delete(r.slots, m)
			continue
		}
		if s.draining && s.inUse == 0 {
			s.draining = false
		}
	}
}

// handleRestart replaces the slots by the models that a restarted engine reports. It
// keeps slots in use whose models the restarted engine may have loaded: those that are
// reported, and those loaded since the last report of the engine as it was before. The
// lock is held.
func (r *Runner) handleRestart(report plank.EngineReport) {
	r.deps.Log.WithFields(logrus.Fields{"endpoint": r.opts.Endpoint, "boot": report.Boot}).Warn("runner: engine restarted")
	r.restarts++
	now := r.deps.Clock.Now()
	slots := make(map[plank.Model]*slot)
	for _, m := range report.Resident {
		slots[m] = &slot{lastUse: now, loadedAt: now}
	}
	for m, s := range r.slots {
		if s.inUse > 0 && (slots[m] != nil || s.loadedAt.After(r.reportedAt)) {
			s.pinned, s.draining = false, false
			slots[m] = s
		}
	}
	r.slots = slots
}

// A crashCheck determines whether an engine crashed. Requests whose streams broke
// at about the same time share one.
type crashCheck struct {
	alive bool // valid once done is closed
	done  chan struct{}
}

// wait waits for the end of the check and reports whether the engine is alive.
func (c *crashCheck) wait() bool {
	<-c.done
	return c.alive
}

// recordBrokenStream records a request that ran as the connection broke, and returns
// the check of whether the engine crashed.
func (r *Runner) recordBrokenStream(fp plank.Fingerprint) *crashCheck {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.suspects, fp) {
		r.suspects = append(r.suspects, fp)
	}
	if r.crashCheck == nil {
		c := &crashCheck{done: make(chan struct{})}
		boot := r.boot
		r.crashCheck = c
		go func() { r.runCheck(c, boot) }()
	}
	return r.crashCheck
}

// The time constants of a crash check.
const (
	// gatherDelay is the time for all streams that broke together to be recorded.
	gatherDelay   = 100 * time.Millisecond
	checkInterval = 50 * time.Millisecond
	// checkTimeout is the time without a report after which the engine counts as
	// crashed.
	checkTimeout = 2 * time.Second
)

// runCheck requests reports until one arrives or checkTimeout has passed. An
// unchanged boot id means that only the connection broke, so that no request is
// suspected of a crash.
func (r *Runner) runCheck(c *crashCheck, boot plank.BootID) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	pause.For(ctx, gatherDelay)
	for ctx.Err() == nil {
		requestedAt := r.deps.Clock.Now()
		report, err := r.deps.Engine.Report(ctx)
		if err == nil {
			c.alive = report.Boot == boot
			r.endCheck(c, report, requestedAt)
			return
		}
		pause.For(ctx, checkInterval)
	}
	r.endCheck(c, plank.EngineReport{}, time.Time{})
}

// endCheck ends a check and, if the engine crashed, records the crash of the
// suspects. An empty report means that the engine did not answer.
func (r *Runner) endCheck(c *crashCheck, report plank.EngineReport, requestedAt time.Time) {
	if !c.alive && report.Boot != "" {
		r.applyReport(report, requestedAt)
	}
	r.mu.Lock()
	suspects := r.suspects
	r.suspects = nil
	r.crashCheck = nil
	r.mu.Unlock()
	if !c.alive && len(suspects) > 0 {
		r.deps.Poison.RecordCrash(suspects, len(suspects) == 1)
	}
	close(c.done)
}
