package runner

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pause"
)

// This file defines how a runner follows its engine's health, restarts and
// crashes.

// maxSilent is after how many reports in a row without an answer the engine
// counts as down.
const maxSilent = 3

// watch reads load reports until ctx ends.
func (r *Runner) watch(ctx context.Context) {
	silent := 0
	for ctx.Err() == nil {
		asked := r.deps.Clock.Now()
		report, err := r.deps.Engine.Report(ctx)
		if err != nil {
			silent++
			if silent == maxSilent {
				r.setDown()
			}
		} else {
			silent = 0
			r.takeReport(report, asked)
		}
		select {
		case <-r.lookNow:
		case <-time.After(reportEvery):
		case <-ctx.Done():
		}
	}
}

// setDown sends waiting requests elsewhere.
func (r *Runner) setDown() {
	r.mu.Lock()
	changed := r.up
	r.up = false
	r.refuseWaiting(plank.Refuse(plank.CodeNoEndpoint, "endpoint %s is down", r.opts.Endpoint))
	for _, w := range r.running {
		w.stop(errDown)
	}
	r.mu.Unlock()
	if changed {
		r.deps.Log.WithField("endpoint", r.opts.Endpoint).Warn("runner: endpoint is down")
	}
}

// takeReport merges the engine's own view, which may be reportAge old.
func (r *Runner) takeReport(report plank.EngineReport, asked time.Time) {
	r.mu.Lock()
	switch {
	case r.boot == "":
		r.adopt(report, asked)
		for _, s := range r.slots {
			s.foreign = true
		}
	case r.boot != report.Boot:
		r.restarted(report)
	case asked.Sub(r.lastOrder) > reportAge && r.loading == (plank.Model{}):
		r.adopt(report, asked)
	}
	r.boot = report.Boot
	r.up = true
	if report.Leaving && !r.leaving {
		r.leaving = true
		r.refuseWaiting(plank.Refuse(plank.CodeNoEndpoint, "endpoint %s is leaving", r.opts.Endpoint))
	}
	r.release(report, asked)
	r.schedule()
	r.mu.Unlock()
}

// release ends the protection of models that an earlier owner's requests no
// longer use: the engine had time to say that they do, and this runner did not
// use them meanwhile. The lock is held.
func (r *Runner) release(report plank.EngineReport, asked time.Time) {
	if asked.Sub(r.began) <= reportAge {
		return
	}
	idle := report.Running == 0
	for m, s := range r.slots {
		quiet := s.inUse == 0 && asked.Sub(s.lastUse) > reportAge
		unused := report.Serving != nil && !slices.Contains(report.Serving, m)
		if s.foreign && (idle || quiet && unused) {
			s.foreign = false
		}
	}
}

// adopt makes the slots agree with the engine's report. Models in use stay.
// The lock is held.
func (r *Runner) adopt(report plank.EngineReport, now time.Time) {
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

// restarted handles an engine that came back without its adapters. The lock is
// held.
func (r *Runner) restarted(report plank.EngineReport) {
	r.deps.Log.WithFields(logrus.Fields{"endpoint": r.opts.Endpoint, "boot": report.Boot}).Warn("runner: engine restarted")
	clear(r.slots)
	for _, m := range report.Resident {
		r.slots[m] = &slot{lastUse: r.deps.Clock.Now(), loadedAt: r.deps.Clock.Now()}
	}
}

// A crashCheck finds out whether an engine crashed.
type crashCheck struct {
	alive bool // valid once done is closed
	done  chan struct{}
}

// wait returns whether the engine is alive.
func (c *crashCheck) wait() bool {
	<-c.done
	return c.alive
}

// noteBroken records that a request ran as the connection broke, and returns
// the check on whether the engine crashed.
func (r *Runner) noteBroken(fp plank.Fingerprint) *crashCheck {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.broken, fp) {
		r.broken = append(r.broken, fp)
	}
	if r.check == nil {
		c := &crashCheck{done: make(chan struct{})}
		boot := r.boot
		r.check = c
		go func() { r.runCheck(c, boot) }()
	}
	return r.check
}

// The times of a crash check.
const (
	// gatherTime lets all requests that broke together be noted.
	gatherTime = 100 * time.Millisecond
	checkEvery = 50 * time.Millisecond
	// checkTime is how long an engine that does not answer is asked before it
	// counts as crashed.
	checkTime = 2 * time.Second
)

// runCheck asks the engine until it answers. The same boot means that only the
// connection broke, and nobody is suspect.
func (r *Runner) runCheck(c *crashCheck, boot plank.BootID) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTime)
	defer cancel()
	pause.For(ctx, gatherTime)
	for ctx.Err() == nil {
		asked := r.deps.Clock.Now()
		report, err := r.deps.Engine.Report(ctx)
		if err == nil {
			c.alive = report.Boot == boot
			r.endCheck(c, report, asked)
			return
		}
		pause.For(ctx, checkEvery)
	}
	r.endCheck(c, plank.EngineReport{}, time.Time{})
}

// endCheck passes the verdict on. An empty report stands for no answer.
func (r *Runner) endCheck(c *crashCheck, report plank.EngineReport, asked time.Time) {
	if !c.alive && report.Boot != "" {
		r.takeReport(report, asked)
	}
	r.mu.Lock()
	prints := r.broken
	r.broken = nil
	r.check = nil
	r.mu.Unlock()
	if !c.alive && len(prints) > 0 {
		r.deps.Poison.RecordCrash(prints)
	}
	close(c.done)
}
