// Package watch follows the platform's store: the configuration, the
// registrations of endpoints and the adapter versions. Some VMs of each failure
// domain watch the store and send updates to the others, since each call is
// billed; a VM whose view of the store is outdated watches the store itself.
package watch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pause"
)

// Intervals of the watchers.
const (
	// relistInterval bounds how long a lost event can go undetected, unless the options say
	// otherwise.
	relistInterval = 15 * time.Second
)

// Options configure a watcher.
type Options struct {
	Store  plank.Store
	Prefix string
	Table  *Table
	// BatchDelay returns the pause after each batch of events, so that events in quick
	// succession cost one call.
	BatchDelay func() time.Duration
	// Active reports whether this VM is to call the store now, and AwaitActive waits
	// until it is. It reports false if ctx ended.
	Active      func() bool
	AwaitActive func(ctx context.Context) bool
	// RetryDelay returns the pause after a number of consecutive failed calls.
	RetryDelay func(failures int) time.Duration
	// RelistInterval bounds how long a lost event can go undetected; 0 for relistInterval.
	RelistInterval time.Duration
	Clock          plank.Clock
	Log            *logrus.Entry
}

// A Watcher applies the changes of one prefix of the store to a table.
type Watcher struct {
	opts Options
	// last is the store's last answer; nil for none.
	last atomic.Pointer[response]
	// failures is the number of consecutive failed calls. Only run's goroutine uses it.
	failures int

	mu sync.Mutex
	// failedAt is when the last call failed, and peerAnsweredAt when the store answered a
	// peer for the first time after that; zero for never.
	failedAt, peerAnsweredAt time.Time
}

// A response is an answer of the store that has been applied.
type response struct {
	at time.Time
	// covered are the changes that the answers up to this one contained without a gap.
	covered plank.Coverage
}

// New starts a watcher that ends with ctx.
func New(ctx context.Context, opts Options) *Watcher {
	if opts.RelistInterval == 0 {
		opts.RelistInterval = relistInterval
	}
	l := &Watcher{opts: opts}
	go func() { l.run(ctx) }()
	return l
}

// LastResponse returns when the store last answered; the zero time if it never did.
func (w *Watcher) LastResponse() time.Time {
	if r := w.last.Load(); r != nil {
		return r.at
	}
	return time.Time{}
}

// Covered returns the revisions that the watcher has followed without a gap: from a list of
// all objects to the store's last answer.
func (w *Watcher) Covered() plank.Coverage {
	if r := w.last.Load(); r != nil {
		return r.covered
	}
	return plank.Coverage{}
}

// RecordPeerResponse records that the store answered a peer at a time: an outage that this
// VM's calls met has ended by then, whenever this VM calls again.
func (w *Watcher) RecordPeerResponse(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.peerAnsweredAt.IsZero() && at.After(w.failedAt) {
		w.peerAnsweredAt = at
	}
}

// recordFailure records that a call failed now. It reports whether the outage that earlier
// calls met had ended before.
func (w *Watcher) recordFailure() (ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ended = !w.peerAnsweredAt.IsZero()
	w.failedAt, w.peerAnsweredAt = w.opts.Clock.Now(), time.Time{}
	return ended
}

// outageEnd returns when the outage before a call ended at the latest.
func (w *Watcher) outageEnd(calledAt time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.peerAnsweredAt.IsZero() && w.peerAnsweredAt.Before(calledAt) {
		return w.peerAnsweredAt
	}
	return calledAt
}

// recordResponse records an answer of the store. It is called once the contents are in the
// table, since peers rely on the table being complete up to then.
func (w *Watcher) recordResponse(covered plank.Coverage) {
	w.failures = 0
	w.last.Store(&response{at: w.opts.Clock.Now(), covered: covered})
}

func (w *Watcher) run(ctx context.Context) {
	afterOutage := false
	// followed is the revision up to which the last watch went; 0 after a gap.
	followed := plank.Revision(0)
	for w.opts.AwaitActive(ctx) {
		requestedAt := w.opts.Clock.Now()
		objects, rev, err := w.opts.Store.List(ctx, w.opts.Prefix, "")
		if err != nil {
			w.handleError(ctx, "list", err)
			afterOutage, followed = true, 0
			continue
		}
		var outageEnd time.Time
		if afterOutage {
			outageEnd = w.outageEnd(requestedAt)
			w.opts.Log.WithFields(logrus.Fields{"prefix": w.opts.Prefix, "since_ms": requestedAt.Sub(outageEnd).Milliseconds()}).Info("watch: the store answers again")
		}
		w.opts.Table.ApplyList(w.opts.Prefix, objects, rev, outageEnd)
		covered := plank.Coverage{Since: rev, Until: rev}
		if followed > 0 {
			// The watch goes on where it ended: an object that was created and removed
			// since is not in the list.
			covered.Since, rev = w.Covered().Since, min(rev, followed)
		}
		w.recordResponse(covered)
		followed, afterOutage = w.follow(ctx, covered, rev)
	}
}

// follow watches from rev on until the watch fails, a new list is due, or the watcher is no
// longer active. It returns the revision up to which it went, or 0 if a new list does
// not follow at once, and whether the watch failed.
func (w *Watcher) follow(ctx context.Context, covered plank.Coverage, rev plank.Revision) (followed plank.Revision, failed bool) {
	due := w.opts.Clock.Now().Add(w.opts.RelistInterval)
	for w.opts.Clock.Now().Before(due) {
		if !w.opts.Active() {
			return 0, false
		}
		changes, next, err := w.opts.Store.Watch(ctx, []string{w.opts.Prefix}, rev)
		var gone *plank.HistoryError
		if errors.As(err, &gone) {
			w.opts.Log.WithFields(logrus.Fields{"prefix": w.opts.Prefix, "revision": rev}).Warn("watch: history is gone, reading all anew")
			w.recordFailure()
			return 0, true
		}
		if err != nil {
			w.handleError(ctx, "watch", err)
			return 0, true
		}
		rev = max(rev, next)
		if len(changes) > 0 {
			dateDeletions(changes, rev)
			w.opts.Table.Apply(w.opts.Prefix, changes)
		}
		covered.Until = max(covered.Until, rev)
		w.recordResponse(covered)
		if len(changes) > 0 {
			pause.For(ctx, w.opts.BatchDelay())
		}
	}
	return rev, false
}

// dateDeletions sets the revisions of the deletions in an answer that is complete up to rev,
// as they have none of their own. An object that the same answer creates anew is newer.
func dateDeletions(changes []plank.Change, rev plank.Revision) {
	created := make(map[string]plank.Revision)
	for i := len(changes) - 1; i >= 0; i-- {
		c := &changes[i]
		if c.Object.Version > 0 {
			created[c.Object.Key] = c.Revision
			continue
		}
		c.Revision = rev
		if r, ok := created[c.Object.Key]; ok {
			c.Revision = r - 1
		}
	}
}

// handleError counts a failed call, logs the first one of an outage, and waits for the retry
// delay.
func (w *Watcher) handleError(ctx context.Context, op string, err error) {
	if ctx.Err() != nil {
		return
	}
	if w.recordFailure() {
		w.failures = 0
	}
	if w.failures == 0 {
		w.opts.Log.WithFields(logrus.Fields{"prefix": w.opts.Prefix, "op": op}).WithError(err).Warn("watch: the store does not answer")
	}
	w.failures++
	pause.For(ctx, w.opts.RetryDelay(w.failures))
}
