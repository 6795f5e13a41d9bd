package watch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pause"
)

// Delays of a fetcher.
const (
	// ownWatchDelay is how long a VM that watches the store waits for its own watch to
	// deliver an announced object.
	ownWatchDelay = 500 * time.Millisecond
	// firstFetchRetry is the pause after a fetch failed from both the store and the
	// peer. It doubles up to maxFetchRetry.
	firstFetchRetry = 200 * time.Millisecond
	maxFetchRetry   = 2 * time.Second
)

// FetchOptions configure a fetcher.
type FetchOptions struct {
	Store plank.Store
	Table *Table
	// GetFromPeer requests an object as of a revision or later from a peer.
	GetFromPeer func(ctx context.Context, vm plank.VMID, key string, revision plank.Revision) (plank.Change, error)
	// IsWatching reports whether this VM watches the store, so that objects arrive
	// without being fetched.
	IsWatching func() bool
	Clock      plank.Clock
	Log        *logrus.Entry
}

// A Fetcher gets the objects that peers announce without their value: from the
// store, so that no peer sends a large value to all others, or from the peer if
// the store is unavailable. It is safe for concurrent use.
type Fetcher struct {
	ctx  context.Context
	opts FetchOptions

	mu sync.Mutex
	// pending holds the newest announcement of each key that is being fetched.
	pending map[string]announcement
}

// errOutdated is returned for an object that was read before the announced change.
var errOutdated = errors.New("the object is older than the announced revision")

type announcement struct {
	peer     plank.VMID
	revision plank.Revision
}

// NewFetcher returns a fetcher whose fetches end with ctx.
func NewFetcher(ctx context.Context, opts FetchOptions) *Fetcher {
	return &Fetcher{ctx: ctx, opts: opts, pending: make(map[string]announcement)}
}

// HandleAnnouncement starts a fetch if the peer has a newer revision of a watched object.
func (f *Fetcher) HandleAnnouncement(peer plank.VMID, key string, revision plank.Revision) {
	if !f.opts.Table.hasSink(key) || f.opts.Table.Get(key).Revision >= revision {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	current, running := f.pending[key]
	if running && current.revision > revision {
		return
	}
	// The latest of several peers is asked next: an earlier one may be gone.
	f.pending[key] = announcement{peer, revision}
	if !running {
		go func() { f.fetch(key) }()
	}
}

// IsFetching reports whether an announced object is still missing here.
func (f *Fetcher) IsFetching() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pending) > 0
}

// fetch gets an object, with retries, until the table holds its newest announced revision.
func (f *Fetcher) fetch(key string) {
	if f.opts.IsWatching() {
		pause.For(f.ctx, ownWatchDelay)
	}
	for retry := firstFetchRetry; ; {
		a, pending := f.next(key)
		if !pending {
			return
		}
		begin := f.opts.Clock.Now()
		c, source, err := f.get(key, a)
		if err == nil && c.Revision < a.revision {
			err = errOutdated
		}
		if err == nil {
			f.opts.Table.applySingle(source, c)
			f.opts.Log.WithFields(logrus.Fields{
				"key": key, "revision": c.Revision, "source": source, "bytes": len(c.Object.Value), "took_ms": f.opts.Clock.Now().Sub(begin).Milliseconds(),
			}).Info("watch: object fetched")
			retry = firstFetchRetry
			continue
		}
		f.opts.Log.WithFields(logrus.Fields{"key": key, "revision": a.revision, "peer": a.peer}).WithError(err).Warn("watch: object not fetched")
		pause.For(f.ctx, retry)
		retry = min(2*retry, maxFetchRetry)
	}
}

// next returns the announcement to fetch next. If there is none or the context has
// ended, it removes the key from pending and reports false.
func (f *Fetcher) next(key string) (announcement, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.pending[key]
	if f.ctx.Err() != nil || f.opts.Table.Get(key).Revision >= a.revision {
		delete(f.pending, key)
		return a, false
	}
	return a, true
}

// get reads an object from the store, or else from the peer that announced it.
func (f *Fetcher) get(key string, a announcement) (plank.Change, string, error) {
	o, err := f.opts.Store.Get(f.ctx, key)
	if err == nil {
		if o.Version == 0 {
			// The object was deleted after the announced change.
			return plank.Change{Object: o, Revision: a.revision}, SourceStore, nil
		}
		return plank.Change{Object: o, Revision: plank.Revision(o.Version)}, SourceStore, nil
	}
	f.opts.Log.WithField("key", key).WithError(err).Info("watch: object not read from the store, asking a peer")
	c, err := f.opts.GetFromPeer(f.ctx, a.peer, key, a.revision)
	return c, string(a.peer), err
}
