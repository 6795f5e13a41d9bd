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

// An origin is the store and a peer from which objects are fetched.
type origin struct {
	*memory.Store
	mu    sync.Mutex
	reads int
	asked int
	away  bool // the store does not answer
	busy  int  // times that the peer refuses
	peer  plank.Change
}

// Get implements plank.Store.
func (o *origin) Get(ctx context.Context, key string) (plank.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reads++
	if o.away {
		return plank.Object{}, errors.New("away")
	}
	return o.Store.Get(ctx, key)
}

func (o *origin) ask(context.Context, plank.VMID, string, plank.Revision) (plank.Change, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked++
	if o.asked <= o.busy {
		return plank.Change{}, errors.New("busy")
	}
	return o.peer, nil
}

func (o *origin) counts() (reads, asked int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reads, o.asked
}

// newFetcher returns a fetcher of a VM that does not watch the store.
func newFetcher(t *testing.T, f *fixture, o *origin) *watch.Fetcher {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return watch.NewFetcher(ctx, watch.FetchOptions{
		Store: o, Table: f.table, GetFromPeer: o.ask, IsWatching: func() bool { return false }, Clock: plank.SystemClock{}, Log: log.WithField("t", 1),
	})
}

func TestFetch(t *testing.T) {
	for _, test := range []struct {
		name  string
		away  bool
		busy  int
		asked int
	}{
		{"from the store", false, 0, 0},
		{"from the peer, without the store", true, 0, 1},
		{"from a peer that sends to others first", true, 2, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			o := &origin{Store: memory.New(), away: test.away, busy: test.busy, peer: change("config/main", 1, plank.Manifest{Version: 7})}
			_, err := o.Put(context.Background(), "config/main", object("", 0, plank.Manifest{Version: 7}).Value, 0)
			assert.NilError(t, err)
			fetcher := newFetcher(t, f, o)
			for range 5 { // announced by several peers, and again
				fetcher.HandleAnnouncement("peer", "config/main", 1)
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if m := f.view.Load().Manifest; m != nil && m.Version == 7 {
					return poll.Success()
				}
				return poll.Continue("not in force")
			}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
			fetcher.HandleAnnouncement("peer", "config/main", 1)
			reads, asked := o.counts()
			assert.Equal(t, reads, 1+test.busy)
			assert.Equal(t, asked, test.asked)
		})
	}
}

// An announcement that cannot be followed costs no endless calls: of a key that
// this VM does not keep, or of a revision that is older where it is read.
func TestFetchWithoutProgress(t *testing.T) {
	for _, test := range []struct {
		name, key string
		most      int // reads in half a second
	}{
		{"a key that is not kept", "other/x", 0},
		{"an older revision", "config/main", 4},
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
