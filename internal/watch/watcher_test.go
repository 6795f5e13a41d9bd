package watch_test

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pause"
	"knapweedplank.org/plank/internal/store/memory"
	"knapweedplank.org/plank/internal/view"
	"knapweedplank.org/plank/internal/watch"
)

// A slowStore is a store that may be unavailable, and answers lists after a delay.
type slowStore struct {
	*memory.Store
	unavailable atomic.Bool
	empty       atomic.Bool // all objects were deleted
	delay       time.Duration
}

// List implements plank.Store.
func (s *slowStore) List(ctx context.Context, prefix, after string) ([]plank.Object, plank.Revision, error) {
	if s.unavailable.Load() {
		return nil, 0, errors.New("away")
	}
	objects, rev, err := s.Store.List(ctx, prefix, after)
	pause.For(ctx, s.delay)
	if s.empty.Load() {
		return nil, rev + 1, err
	}
	return objects, rev, err
}

// Watch implements plank.Store.
func (s *slowStore) Watch(ctx context.Context, _ []string, after plank.Revision) ([]plank.Change, plank.Revision, error) {
	if s.unavailable.Load() {
		return nil, 0, errors.New("away")
	}
	pause.For(ctx, 20*time.Millisecond)
	return nil, after, nil
}

// An endpoint that left while a VM was cut off from the store was kept, and got calls, later than
// three seconds after the VM reached the store again.
func TestEndpointThatLeftInAnOutageIsKeptBeyondItsBound(t *testing.T) {
	const (
		registerTime = 2 * time.Second // in which endpoints that live register again
		slack        = 400 * time.Millisecond
		bound        = 3 * time.Second
	)
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := plank.SystemClock{}
	store := &slowStore{Store: memory.New(), delay: 900 * time.Millisecond}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	v := view.New(nil)
	table := watch.NewTable(func(string) {})
	instances := watch.NewInstanceSink("servers/", decoder{}, v, func(string) {}, clock, log.WithField("t", 1))
	table.AddSink("servers/", instances)
	go func() { instances.Run(ctx) }()
	_, err := store.Put(ctx, "servers/e1", object("", 0, plank.Instance{Service: "s", Addr: "a:1"}).Value, 0)
	assert.NilError(t, err)
	w := watch.New(ctx, watch.Options{
		Store: store, Prefix: "servers/", Table: table, BatchDelay: func() time.Duration { return 0 },
		Active: func() bool { return true }, AwaitActive: func(ctx context.Context) bool { return ctx.Err() == nil },
		RetryDelay: func(int) time.Duration { return 20 * time.Millisecond }, Clock: clock, Log: log.WithField("t", 1),
	})
	registered := func() bool { return len(v.Load().Instances) == 1 }
	await := func(what string, ok func() bool) time.Time {
		for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
			assert.Assert(t, time.Now().Before(deadline), "not %s", what)
		}
		return time.Now()
	}
	await("registered", registered)
	store.unavailable.Store(true)
	time.Sleep(200 * time.Millisecond)
	store.empty.Store(true)
	back := time.Now()
	store.unavailable.Store(false)
	listed := await("listed", func() bool { return w.LastResponse().After(back) })
	assert.Assert(t, registered(), "removed %v after the return of the store", listed.Sub(back))
	kept := await("removed", func() bool { return !registered() }).Sub(back)
	assert.Assert(t, kept > registerTime-slack && kept < bound, "removed %v after the return of the store", kept)
}

// A scriptedStore answers lists and watches with what the test gives it.
type scriptedStore struct {
	plank.Store
	lists   chan listAnswer
	watches chan watchAnswer
	// calls counts the lists and watches that have begun, and failures those whose failure
	// the watcher has recorded.
	calls, failures atomic.Int32
	// turns counts how often the watcher has waited until it is active.
	turns atomic.Int32
}

type listAnswer struct {
	objects []plank.Object
	rev     plank.Revision
	err     error
}

type watchAnswer struct {
	changes []plank.Change
	rev     plank.Revision
	err     error
}

// List implements plank.Store.
func (s *scriptedStore) List(ctx context.Context, _, _ string) ([]plank.Object, plank.Revision, error) {
	s.calls.Add(1)
	select {
	case a := <-s.lists:
		return a.objects, a.rev, a.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// Watch implements plank.Store.
func (s *scriptedStore) Watch(ctx context.Context, _ []string, _ plank.Revision) ([]plank.Change, plank.Revision, error) {
	s.calls.Add(1)
	select {
	case a := <-s.watches:
		return a.changes, a.rev, a.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// answerTimeout is how long a scripted answer waits for its call.
const answerTimeout = 5 * time.Second

// answerList answers the next list.
func (s *scriptedStore) answerList(t *testing.T, a listAnswer) {
	t.Helper()
	select {
	case s.lists <- a:
	case <-time.After(answerTimeout):
		t.Fatal("no list is called")
	}
}

// answerWatch answers the next watch.
func (s *scriptedStore) answerWatch(t *testing.T, a watchAnswer) {
	t.Helper()
	select {
	case s.watches <- a:
	case <-time.After(answerTimeout):
		t.Fatal("no watch is called")
	}
}

// startWatcher starts a watcher of the registrations of a fixture. It watches while active
// says so.
func (f *fixture) startWatcher(t *testing.T, active func() bool) (*scriptedStore, *watch.Watcher) {
	t.Helper()
	return f.startWatcherOf(t, "servers/", 0, active)
}

// startEvacuationWatcher starts a watcher of the evacuations that lists them at an interval.
func (f *fixture) startEvacuationWatcher(t *testing.T, relist time.Duration) *scriptedStore {
	t.Helper()
	store, _ := f.startWatcherOf(t, "evacuations/", relist, func() bool { return true })
	return store
}

func (f *fixture) startWatcherOf(t *testing.T, prefix string, relist time.Duration, active func() bool) (*scriptedStore, *watch.Watcher) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	store := &scriptedStore{lists: make(chan listAnswer), watches: make(chan watchAnswer)}
	return store, watch.New(ctx, watch.Options{
		Store: store, Prefix: prefix, RelistInterval: relist, Table: f.table, BatchDelay: func() time.Duration { return 0 }, Active: active,
		AwaitActive: func(ctx context.Context) bool {
			store.turns.Add(1)
			for !active() && pause.For(ctx, time.Millisecond) {
			}
			return ctx.Err() == nil
		},
		RetryDelay: func(int) time.Duration { store.failures.Add(1); return 0 }, Clock: f.clock, Log: log.WithField("t", 1),
	})
}

// await waits until ok returns true, for at most answerTimeout.
func await(t *testing.T, ok func() bool, format string, args ...any) {
	t.Helper()
	for deadline := time.Now().Add(answerTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf(format, args...)
		}
	}
}

// Guards against an endpoint that stays unknown after it left and registered again under its
// id between two answers of a watch: the removal counted as the newer change.
func TestEndpointThatRegistersAnewInOneAnswerIsRemoved(t *testing.T) {
	f := newFixture()
	store, _ := f.startWatcher(t, func() bool { return true })
	store.answerList(t, listAnswer{objects: []plank.Object{object("servers/e1", 3, plank.Instance{Service: "s", Addr: "a:1"})}, rev: 5})
	store.answerWatch(t, watchAnswer{rev: 14, changes: []plank.Change{
		{Object: plank.Object{Key: "servers/e1"}, Revision: 3},
		{Object: plank.Object{Key: "servers/e2"}, Revision: 8},
		change("servers/e1", 12, plank.Instance{Service: "s", Addr: "a:2"}),
	}})
	store.answerWatch(t, watchAnswer{rev: 15})
	assert.Equal(t, f.view.Load().Instances["e1"].Addr, "a:2")
	store.answerWatch(t, watchAnswer{rev: 16, changes: []plank.Change{{Object: plank.Object{Key: "servers/e1"}, Revision: 12}}})
	store.answerWatch(t, watchAnswer{rev: 17})
	assert.Assert(t, !f.has("e1"))
}

// What a watcher has followed begins anew only after a gap: neither with the list that it
// makes at intervals, after which the watch goes on where it was, nor while it is active.
func TestCoveredBeginsAnewAfterAGap(t *testing.T) {
	f := newFixture()
	var active atomic.Bool
	active.Store(true)
	store, w := f.startWatcher(t, active.Load)
	covered := func(since, until plank.Revision) {
		t.Helper()
		want := plank.Coverage{Since: since, Until: until}
		await(t, func() bool { return w.Covered() == want }, "%+v is covered, not %+v", w.Covered(), want)
	}
	store.answerList(t, listAnswer{rev: 5})
	covered(5, 5)
	await(t, func() bool { return store.calls.Load() == 2 }, "no watch")
	f.clock.advance(time.Minute) // a new list is due after the next answer
	store.answerWatch(t, watchAnswer{rev: 9})
	store.answerList(t, listAnswer{rev: 12})
	covered(5, 12)
	store.answerWatch(t, watchAnswer{rev: 15})
	covered(5, 15)
	store.answerWatch(t, watchAnswer{err: errors.New("away")})
	store.answerList(t, listAnswer{rev: 20})
	covered(20, 20)
	store.answerWatch(t, watchAnswer{err: &plank.HistoryError{}})
	store.answerList(t, listAnswer{rev: 24})
	covered(24, 24)
	await(t, func() bool { return store.calls.Load() == 9 }, "no watch")
	active.Store(false)
	turns := store.turns.Load()
	store.answerWatch(t, watchAnswer{rev: 25})
	await(t, func() bool { return store.turns.Load() > turns }, "the watch goes on")
	covered(24, 25)
	active.Store(true)
	store.answerList(t, listAnswer{rev: 30})
	covered(30, 30)
}

// Guards against an outage that ended long ago, as peers told, but counted as having ended with
// the next call of this VM: endpoints that were removed since stayed in use for the grace after an outage.
func TestGraceOfAnOldOutageBeginsAnew(t *testing.T) {
	const removed = 30 * time.Second // after the outage
	for _, test := range []struct {
		name       string
		peerAnswer time.Duration // after the last failed call; 0 for none
		kept       bool
	}{
		{"a peer was answered long ago", 100 * time.Millisecond, false},
		{"a peer was answered just now", removed - time.Second, true},
		{"no peer was answered", 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			var active atomic.Bool
			active.Store(true)
			store, w := f.startWatcher(t, active.Load)
			worker := plank.Instance{Service: "s", Addr: "a:1"}
			store.answerList(t, listAnswer{objects: []plank.Object{object("servers/e1", 3, worker)}, rev: 5})
			store.answerWatch(t, watchAnswer{err: errors.New("away")})
			await(t, func() bool { return store.calls.Load() == 3 }, "no list")
			active.Store(false)
			store.answerList(t, listAnswer{err: errors.New("away")})
			await(t, func() bool { return store.failures.Load() == 2 }, "the call did not fail")
			failed := f.clock.Now()
			w.RecordPeerResponse(failed.Add(-time.Second)) // before the outage
			if test.peerAnswer > 0 {
				w.RecordPeerResponse(failed.Add(test.peerAnswer))
			}
			f.clock.advance(removed)
			w.RecordPeerResponse(f.clock.Now())
			active.Store(true)
			store.answerList(t, listAnswer{rev: 40})
			await(t, func() bool { return w.Covered().Until == 40 }, "not listed")
			assert.Equal(t, f.has("e1"), test.kept)
		})
	}
}
