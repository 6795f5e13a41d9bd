package front

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/budget"
	"knapweedplank.org/plank/internal/sse"
)

// This file implements the forwarding of a stream's events to the caller.

// A progress records which part of a stream the caller has received. It outlives
// an attempt, so that another engine can resume the stream.
type progress struct {
	begun  bool
	lastID string // of the last event forwarded
	order  *sse.SequenceChecker
	// lastAt is when the last event was forwarded; longestPause is the longest
	// time between two events.
	lastAt       time.Time
	longestPause time.Duration
}

// newProgress returns the progress of a call whose answer has not begun.
func newProgress(call *plank.Call) *progress {
	return &progress{lastID: call.LastEvent, order: sse.NewSequenceChecker(call.LastEvent)}
}

// logContinued logs that another endpoint goes on with a stream.
func (s *Server) logContinued(j *job, p *progress, inst plank.Instance) {
	j.log.WithFields(logrus.Fields{"endpoint": inst.ID, "after_event": p.lastID, "sends": j.sends}).Info("front: stream carried on")
}

// recordPause updates the longest pause with an event forwarded at now.
func (p *progress) recordPause(now time.Time) {
	if !p.lastAt.IsZero() {
		p.longestPause = max(p.longestPause, now.Sub(p.lastAt))
	}
	p.lastAt = now
}

// recordLongestPause updates the metric of the longest pauses of streams.
func (s *Server) recordLongestPause(p *progress) {
	if p.longestPause > 0 {
		metrics.GetOrRegisterTimer("Front.LongestPause", s.deps.Metrics).Update(p.longestPause)
	}
}

// beginTime is how long after its first event a stream must go on to count as begun: an engine
// that crashes as it begins to answer may have sent an event before.
const beginTime = 100 * time.Millisecond

// relay forwards the events of an attempt until its stream ends. It calls onFirstEvent at
// the first one.
func (s *Server) relay(ctx context.Context, j *job, p *progress, a *attempt, onFirstEvent func()) (result, error) {
	held := budget.FromContext(ctx)
	// The buffer doubles when it grows.
	events := sse.New(a.reply.Body, func(n int64) error { return waitForBuffer(ctx, held, n, 2*n) })
	defer s.recordLongestPause(p)
	for {
		ev, err := events.Next()
		now := s.deps.Clock.Now()
		first := a.firstEventAt.IsZero()
		if err == nil {
			a.steps.record(now)
		}
		if err == io.EOF && first && a.reply.Unframed {
			err = errNoEvent
		}
		if err == io.EOF {
			s.recordBegun(j, a)
			return s.endStream(j, p, a.reply)
		}
		if err != nil {
			if j.callerLeft() {
				return abandoned, err
			}
			return broken, err
		}
		if first {
			a.firstEventAt = now
			onFirstEvent()
		} else if now.Sub(a.firstEventAt) >= beginTime {
			s.recordBegun(j, a)
		}
		switch p.order.Check(ev.ID) {
		case sse.Duplicate:
			continue
		case sse.Gap:
			return broken, &gapError{after: p.lastID, got: ev.ID}
		}
		if !p.begun {
			p.begun = true
			j.firstEventAt = now
			if err := j.w.Begin(a.reply.Head); err != nil {
				return abandoned, err
			}
		}
		p.recordPause(now)
		if err := j.w.Append(ev.Data); err != nil {
			return abandoned, err
		}
		if ev.ID != "" {
			p.lastID = ev.ID
		}
	}
}

// errNoEvent reports a stream whose connection ended before the first event. Nothing tells that
// it is complete.
var errNoEvent = errors.New("the stream ended with its connection, without an event")

// A gapError reports that a stream skipped an event.
type gapError struct {
	after, got string
}

// Error implements error.
func (e *gapError) Error() string { return "event " + e.got + " follows " + e.after }

// endStream completes the answer after the engine ended its stream.
func (s *Server) endStream(j *job, p *progress, reply *plank.Reply) (result, error) {
	if p.begun {
		return served, nil
	}
	return served, j.w.Respond(reply.Head, nil)
}
