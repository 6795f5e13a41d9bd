// Package watch defines the loops that follow the platform's store: the
// configuration, the endpoints' registrations and the adapter versions.
package watch

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pause"
)

// Pacing of the loops.
const (
	// retryDelay is the pause after a failed call. A store that comes back is
	// noticed within it.
	retryDelay = 200 * time.Millisecond
	// relistEvery bounds how long a lost event can stay unnoticed.
	relistEvery = 15 * time.Second
)

// A Sink takes what a loop reads.
type Sink interface {
	// Reset replaces all objects. lost tells that the store did not answer, or
	// had lost its history, before.
	Reset(objects []plank.Object, lost bool)
	// Apply takes changes in order.
	Apply(changes []plank.Change)
}

// A Loop follows one prefix of the store.
type Loop struct {
	store  plank.Store
	prefix string
	sink   Sink
	pace   time.Duration
	clock  plank.Clock
	log    *logrus.Entry
	done   chan struct{}
}

// New starts a loop that ends with ctx. After each batch of events it waits for
// pace, so that events that come in quick succession cost one call.
func New(ctx context.Context, store plank.Store, prefix string, sink Sink, pace time.Duration, clock plank.Clock, log *logrus.Entry) *Loop {
	l := &Loop{store: store, prefix: prefix, sink: sink, pace: pace, clock: clock, log: log, done: make(chan struct{})}
	go func() {
		defer close(l.done)
		l.run(ctx)
	}()
	return l
}

// Done is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

func (l *Loop) run(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		objects, rev, err := l.store.List(ctx, l.prefix, "")
		if err != nil {
			l.failed(ctx, "list", err, !lost)
			lost = true
			continue
		}
		if lost {
			l.log.WithField("prefix", l.prefix).Info("watch: the store answers again")
		}
		l.sink.Reset(objects, lost)
		lost = l.follow(ctx, rev)
	}
}

// follow watches from a revision until the watch fails or a new list is due. It
// reports whether it failed.
func (l *Loop) follow(ctx context.Context, rev plank.Revision) bool {
	due := l.clock.Now().Add(relistEvery)
	for l.clock.Now().Before(due) {
		changes, next, err := l.store.Watch(ctx, []string{l.prefix}, rev)
		var gone *plank.HistoryError
		if errors.As(err, &gone) {
			l.log.WithField("prefix", l.prefix).WithField("revision", rev).Warn("watch: history is gone, reading all anew")
			return true
		}
		if err != nil {
			l.failed(ctx, "watch", err, true)
			return true
		}
		rev = max(rev, next)
		if len(changes) > 0 {
			l.sink.Apply(changes)
			pause.For(ctx, l.pace)
		}
	}
	return false
}

// failed logs a failed call and waits before the next.
func (l *Loop) failed(ctx context.Context, op string, err error, first bool) {
	if ctx.Err() != nil {
		return
	}
	if first {
		l.log.WithFields(logrus.Fields{"prefix": l.prefix, "op": op}).WithError(err).Warn("watch: the store does not answer")
	}
	pause.For(ctx, retryDelay)
}
