package front

import (
	"io"
	"time"

	"github.com/rcrowley/go-metrics"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/sse"
)

// This file defines how the events of a stream pass on to the caller.

// A progress is how far a stream has come at its caller.
type progress struct {
	begun  bool
	lastID string // of the last event passed on
	order  *sse.Order
	// lastAt is when an event was passed on last, and pause the longest time
	// between two of them.
	lastAt time.Time
	pause  time.Duration
}

// notePause takes the time at which an event is passed on.
func (p *progress) notePause(now time.Time) {
	if !p.lastAt.IsZero() {
		p.pause = max(p.pause, now.Sub(p.lastAt))
	}
	p.lastAt = now
}

// countPause counts the longest pause of a stream.
func (s *Server) countPause(p *progress) {
	if p.pause > 0 {
		metrics.GetOrRegisterTimer("Front.LongestPause", s.deps.Metrics).Update(p.pause)
	}
}

// relay passes events on until the stream ends. began is called at the first.
func (s *Server) relay(j *job, p *progress, reply *plank.Reply, began func()) (result, error) {
	events := sse.New(reply.Body)
	defer s.countPause(p)
	for first := true; ; first = false {
		ev, err := events.Next()
		if err == io.EOF {
			return s.endStream(j, p, reply)
		}
		if err != nil {
			if j.left() {
				return abandoned, err
			}
			return broken, err
		}
		if first {
			began()
		}
		switch p.order.Check(ev.ID) {
		case sse.Repeat:
			continue
		case sse.Gap:
			return broken, &gapError{after: p.lastID, got: ev.ID}
		}
		if !p.begun {
			p.begun = true
			j.first = s.deps.Clock.Now()
			if err := j.w.Begin(reply.Head); err != nil {
				return abandoned, err
			}
		}
		p.notePause(s.deps.Clock.Now())
		if err := j.w.Append(ev.Data); err != nil {
			return abandoned, err
		}
		if ev.ID != "" {
			p.lastID = ev.ID
		}
	}
}

// A gapError reports that a stream left out an event.
type gapError struct {
	after, got string
}

// Error returns the message.
func (e *gapError) Error() string { return "event " + e.got + " follows " + e.after }

// endStream ends a stream that its engine ended.
func (s *Server) endStream(j *job, p *progress, reply *plank.Reply) (result, error) {
	if p.begun {
		return served, nil
	}
	return served, j.w.Respond(reply.Head, nil)
}
