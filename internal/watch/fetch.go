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

// The pauses of a fetcher.
const (
	// watchLead is how long a VM that watches the store waits for its own watch.
	watchLead = 500 * time.Millisecond
	// firstFetchRetry is the pause after neither the store nor a peer gave an
	// object. It doubles up to maxFetchRetry.
	firstFetchRetry = 200 * time.Millisecond
	maxFetchRetry   = 2 * time.Second
)

// FetchOptions are what a fetcher depends on.
type FetchOptions struct {
	Store plank.Store
	Table *Table
	// GetFromPeer asks a peer for an object as of a revision or later.
	GetFromPeer func(ctx context.Context, vm plank.VMID, key string, revision plank.Revision) (plank.Change, error)
	// IsWatching tells whether this VM watches the store, so that the object comes
	// without being fetched.
	IsWatching func() bool
	Clock      plank.Clock
	Log        *logrus.Entry
}

// A Fetcher gets the objects that peers announce without their value: from the
// store, so that no peer sends a large value to all others, and from the peer if
// the store does not answer. It is safe for concurrent use.
type Fetcher struct {
	ctx  context.Context
	opts FetchOptions

	mu sync.Mutex
	// wanted holds the newest announcement of each key that is being fetched.
	wanted map[string]announcement
}

// errOlder reports an object as it was before the announced change.
var errOlder = errors.New("the object is older than announced")

type announcement struct {
	peer     plank.VMID
	revision plank.Revision
}

// NewFetcher returns a fetcher whose fetches end with ctx.
func NewFetcher(ctx context.Context, opts FetchOptions) *Fetcher {
	return &Fetcher{ctx: ctx, opts: opts, wanted: make(map[string]announcement)}
}

// HandleAnnouncement takes the news that a peer has a revision of an object.
func (f *Fetcher) HandleAnnouncement(peer plank.VMID, key string, revision plank.Revision) {
	if !f.opts.Table.follows(key) || f.opts.Table.Get(key).Revision >= revision {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	current, running := f.wanted[key]
	if running && current.revision >= revision {
		return
	}
	f.wanted[key] = announcement{peer, revision}
	if !running {
		go func() { f.fetch(key) }()
	}
}

// fetch gets an object until the newest announced revision of it is known.
func (f *Fetcher) fetch(key string) {
	if f.opts.IsWatching() {
		pause.For(f.ctx, watchLead)
	}
	for retry := firstFetchRetry; ; {
		a, wanted := f.next(key)
		if !wanted {
			return
		}
		begin := f.opts.Clock.Now()
		c, source, err := f.get(key, a)
		if err == nil && c.Revision < a.revision {
			err = errOlder
		}
		if err == nil {
			f.opts.Table.fetched(source, c)
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

// next returns the announcement to follow, or ends the fetch of a key.
func (f *Fetcher) next(key string) (announcement, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.wanted[key]
	if f.ctx.Err() != nil || f.opts.Table.Get(key).Revision >= a.revision {
		delete(f.wanted, key)
		return a, false
	}
	return a, true
}

// get reads an object from the store, or else from the peer that announced it.
func (f *Fetcher) get(key string, a announcement) (plank.Change, string, error) {
	o, err := f.opts.Store.Get(f.ctx, key)
	if err == nil {
		if o.Version == 0 {
			// It was deleted after the announced change.
			return plank.Change{Object: o, Revision: a.revision}, SourceStore, nil
		}
		return plank.Change{Object: o, Revision: plank.Revision(o.Version)}, SourceStore, nil
	}
	f.opts.Log.WithField("key", key).WithError(err).Info("watch: object not read from the store, asking a peer")
	c, err := f.opts.GetFromPeer(f.ctx, a.peer, key, a.revision)
	return c, string(a.peer), err
}
