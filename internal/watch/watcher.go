// Package watch defines how a VM follows the platform's store: configuration,
// endpoints' registrations and adapter versions. Some VMs of each failure
// domain watch the store and tell the others, since each call has its price;
// a VM whose news is old watches by itself.
package watch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pause"
)

// Pacing of the loops.
const (
	// relistEvery bounds how long a lost event can stay unnoticed.
	relistEvery = 15 * time.Second
	// idlePace is the pause between looks whether the loop is needed.
	idlePace = 50 * time.Millisecond
)

// Options are what a loop depends on.
type Options struct {
	Store  plank.Store
	Prefix string
	Table  *Table
	// BatchDelay returns the pause after each batch of events, so that events that come
	// in quick succession cost one call.
	BatchDelay func() time.Duration
	// Active tells whether this VM is to call the store now.
	Active func() bool
	// RetryDelay returns the pause after a number of failed calls in a row.
	RetryDelay func(failures int) time.Duration
	Clock      plank.Clock
	Log        *logrus.Entry
}

// A Watcher follows one prefix of the store.
type Watcher struct {
	opts Options
	// fresh is when the store last answered; nil for never.
	fresh atomic.Pointer[time.Time]
	// failures counts the calls that failed in a row. It belongs to the goroutine.
	failures int
}

// New starts a loop that ends with ctx.
func New(ctx context.Context, opts Options) *Watcher {
	l := &Watcher{opts: opts}
	go func() { l.run(ctx) }()
	return l
}

// LastResponse returns when the store last answered; the zero time for never.
func (l *Watcher) LastResponse() time.Time {
	if t := l.fresh.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// answered records an answer of the store, once what it tells is in the table:
// peers take news for complete up to that time.
func (l *Watcher) answered() {
	l.failures = 0
	now := l.opts.Clock.Now()
	l.fresh.Store(&now)
}

func (l *Watcher) run(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		if !l.opts.Active() {
			pause.For(ctx, idlePace)
			continue
		}
		objects, rev, err := l.opts.Store.List(ctx, l.opts.Prefix, "")
		if err != nil {
			l.failed(ctx, "list", err, !lost)
			lost = true
			continue
		}
		if lost {
			l.opts.Log.WithField("prefix", l.opts.Prefix).Info("watch: the store answers again")
		}
		l.opts.Table.ApplyList(l.opts.Prefix, objects, rev, lost)
		l.answered()
		lost = l.follow(ctx, rev)
	}
}

// follow watches from a revision until the watch fails, a new list is due, or
// the loop is no longer needed. It reports whether it failed.
func (l *Watcher) follow(ctx context.Context, rev plank.Revision) bool {
	due := l.opts.Clock.Now().Add(relistEvery)
	for l.opts.Clock.Now().Before(due) && l.opts.Active() {
		changes, next, err := l.opts.Store.Watch(ctx, []string{l.opts.Prefix}, rev)
		var gone *plank.HistoryError
		if errors.As(err, &gone) {
			l.opts.Log.WithFields(logrus.Fields{"prefix": l.opts.Prefix, "revision": rev}).Warn("watch: history is gone, reading all anew")
			return true
		}
		if err != nil {
			l.failed(ctx, "watch", err, true)
			return true
		}
		rev = max(rev, next)
		if len(changes) > 0 {
			for i := range changes {
				if changes[i].Object.Version == 0 {
					// A deletion has no version of its own.
					changes[i].Revision = rev
				}
			}
			l.opts.Table.Apply(l.opts.Prefix, changes)
		}
		l.answered()
		if len(changes) > 0 {
			pause.For(ctx, l.opts.BatchDelay())
		}
	}
	return false
}

// failed logs a failed call and waits before the next.
func (l *Watcher) failed(ctx context.Context, op string, err error, first bool) {
	if ctx.Err() != nil {
		return
	}
	if first {
		l.opts.Log.WithFields(logrus.Fields{"prefix": l.opts.Prefix, "op": op}).WithError(err).Warn("watch: the store does not answer")
	}
	l.failures++
	pause.For(ctx, l.opts.RetryDelay(l.failures))
}
