package watch_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/store/memory"
	"knapweedplank.org/plank/internal/watch"
)

// An origin is a store and a peer from which objects are fetched.
type origin struct {
	*memory.Store
	mu           sync.Mutex
	storeReads   int
	peerReads    int
	unavailable  bool // the store is unavailable
	peerFailures int  // number of initial reads that the peer refuses
	peerObject   plank.Change
}

// Get implements plank.Store.
func (o *origin) Get(ctx context.Context, key string) (plank.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.storeReads++
	if o.unavailable {
		return plank.Object{}, errors.New("away")
	}
	return o.Store.Get(ctx, key)
}

func (o *origin) getFromPeer(context.Context, plank.VMID, string, plank.Revision) (plank.Change, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.peerReads++
	if o.peerReads <= o.peerFailures {
		return plank.Change{}, errors.New("busy")
	}
	return o.peerObject, nil
}

func (o *origin) counts() (storeReads, peerReads int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.storeReads, o.peerReads
}

// newFetcher returns a fetcher of a VM that does not watch the store.
func newFetcher(t *testing.T, f *fixture, o *origin) *watch.Fetcher {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return watch.NewFetcher(ctx, watch.FetchOptions{
		Store: o, Table: f.table, GetFromPeer: o.getFromPeer, IsWatching: func() bool { return false }, Clock: plank.SystemClock{}, Log: log.WithField("t", 1),
	})
}

func TestFetch(t *testing.T) {
	for _, test := range []struct {
		name         string
		unavailable  bool
		peerFailures int
		peerReads    int
	}{
		{"from the store", false, 0, 0},
		{"from the peer, without the store", true, 0, 1},
		{"from a peer that is busy with others at first", true, 2, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			o := &origin{Store: memory.New(), unavailable: test.unavailable, peerFailures: test.peerFailures, peerObject: change("config/main", 1, plank.Manifest{Version: 7})}
			_, err := o.Put(context.Background(), "config/main", object("", 0, plank.Manifest{Version: 7}).Value, 0)
			assert.NilError(t, err)
			fetcher := newFetcher(t, f, o)
			for range 5 { // repeated announcements
				fetcher.HandleAnnouncement("peer", "config/main", 1)
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if m := f.view.Load().Manifest; m != nil && m.Version == 7 {
					return poll.Success()
				}
				return poll.Continue("configuration not in force")
			}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
			fetcher.HandleAnnouncement("peer", "config/main", 1)
			storeReads, peerReads := o.counts()
			assert.Equal(t, storeReads, 1+test.peerFailures)
			assert.Equal(t, peerReads, test.peerReads)
		})
	}
}

// An object that several peers had announced was requested only from the first of them, which
// had died meanwhile, for as long as the store was away.
func TestDeadPeerIsAskedAgainAndAgain(t *testing.T) {
	f := newFixture()
	o := &origin{Store: memory.New(), unavailable: true, peerObject: change("config/main", 1, plank.Manifest{Version: 7})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fetcher := watch.NewFetcher(ctx, watch.FetchOptions{
		Store: o, Table: f.table, IsWatching: func() bool { return false }, Clock: plank.SystemClock{}, Log: log.WithField("t", 1),
		GetFromPeer: func(ctx context.Context, vm plank.VMID, key string, revision plank.Revision) (plank.Change, error) {
			if vm == "dead" {
				return plank.Change{}, errors.New("dead")
			}
			return o.getFromPeer(ctx, vm, key, revision)
		},
	})
	fetcher.HandleAnnouncement("dead", "config/main", 1)
	time.Sleep(50 * time.Millisecond) // until the first peer has been asked
	fetcher.HandleAnnouncement("alive", "config/main", 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if m := f.view.Load().Manifest; m != nil && m.Version == 7 {
			return poll.Success()
		}
		return poll.Continue("configuration not in force")
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(5*time.Millisecond))
}

// An announcement that cannot be fetched causes few calls: of a key without a sink, or
// of a revision that is newer than the one in the store.
func TestFetchWithoutProgress(t *testing.T) {
	for _, test := range []struct {
		name, key string
		most      int // maximum of store reads in half a second
	}{
		{"a key without a sink", "other/x", 0},
		{"a revision newer than the stored one", "config/main", 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			o := &origin{Store: memory.New()}
			_, err := o.Put(context.Background(), "config/main", object("", 0, plank.Manifest{Version: 7}).Value, 0)
			assert.NilError(t, err)
			fetcher := newFetcher(t, f, o)
			fetcher.HandleAnnouncement("peer", test.key, 1000)
			time.Sleep(500 * time.Millisecond)
			reads, _ := o.counts()
			assert.Assert(t, reads <= test.most, "%d reads", reads)
		})
	}
}
