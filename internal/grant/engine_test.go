package grant_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/grant"
	"knapweedplank.org/plank/internal/place"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

type fixedClock struct{}

// Now implements plank.Clock.
func (fixedClock) Now() time.Time { return start }

// A world is an Engine with a simulated model engine behind it.
type world struct {
	id       plank.EndpointID
	now      time.Time
	engine   *grant.Engine
	seq      uint64
	resident map[plank.AdapterRef]plank.VersionNumber
	arriving map[plank.AdapterRef]time.Time
	newest   map[plank.AdapterRef]plank.VersionNumber
	since    time.Time // of newest
	inUse    map[plank.AdapterRef]bool
	lately   []plank.AdapterRef // as other VMs have told
	max      int
	most     int // adapters ordered or held at once
	unloads  []plank.AdapterRef
	cold     bool
	baseAt   time.Time // when the base model is loaded
	loadTime time.Duration
	avoid    bool // the engine fails
	// lose decides what becomes of an order: its answer may be lost, and it may
	// be carried out late.
	lose  func() (lost, late bool)
	held  []plank.Order // to be carried out late
	trace []string      // of orders
	// unloading is told of each unload that is carried out.
	unloading func(plank.AdapterRef)
}

func newWorld(limits grant.Limits) *world { return newNamedWorld("e1", limits) }

func newNamedWorld(id string, limits grant.Limits) *world {
	w := &world{
		now: start, loadTime: 250 * time.Millisecond, resident: map[plank.AdapterRef]plank.VersionNumber{}, arriving: map[plank.AdapterRef]time.Time{},
		newest: map[plank.AdapterRef]plank.VersionNumber{}, inUse: map[plank.AdapterRef]bool{}, max: limits.MaxAdapters, cold: true,
		lose: func() (bool, bool) { return false, false }, unloading: func(plank.AdapterRef) {},
	}
	w.id = plank.EndpointID(id)
	w.restart(limits)
	return w
}

// restart makes the state of a new holder.
func (w *world) restart(limits grant.Limits) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	w.engine = grant.NewEngine(grant.HeldEngine{
		Instance: plank.Instance{ID: w.id, Bases: []plank.BaseID{"m"}}, Limits: limits, Term: 7,
	}, &grant.Deps{
		Self: "vm1", Evictor: place.Value{}, Clock: fixedClock{}, Log: log.WithField("t", 1),
		NewestVersion:  func(r plank.AdapterRef) (plank.VersionNumber, time.Time) { return w.newest[r], w.since },
		Health:         func(plank.EndpointID) (float64, bool) { return 0, w.avoid },
		InUseElsewhere: func(_ plank.EndpointID, r plank.AdapterRef) bool { return w.inUse[r] },
		RecentAdapters: func(plank.Instance) []plank.AdapterRef { return w.lately },
	})
}

func adapter(n int) plank.AdapterRef {
	return plank.AdapterRef{Base: "m", Name: plank.AdapterID(fmt.Sprintf("a%d", n))}
}

// carryOut is the model engine's side of an order.
func (w *world) carryOut(o plank.Order) plank.OrderResult {
	ref := o.Target.Adapter
	if ref.Name == "" && w.now.Before(w.baseAt) {
		w.seq++
		return plank.OrderPending
	}
	_, arriving := w.arriving[ref]
	version, held := w.resident[ref]
	if !o.Unload && arriving {
		return plank.OrderPending
	}
	if !o.Unload && held && version >= o.Target.Version {
		return plank.OrderDone
	}
	if o.Expect != w.seq {
		return plank.OrderConflict
	}
	if o.Unload {
		w.seq++
		w.unloading(ref)
		delete(w.resident, ref)
		w.unloads = append(w.unloads, ref)
		return plank.OrderDone
	}
	w.seq++
	delete(w.resident, ref)
	w.arriving[ref] = w.now.Add(w.loadTime)
	w.most = max(w.most, len(w.resident)+len(w.arriving))
	return plank.OrderPending
}

// advance moves the time on in small steps.
func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(5 * time.Millisecond) {
		for ref, at := range w.arriving {
			if !at.After(w.now) {
				w.resident[ref] = max(1, w.newest[ref])
				delete(w.arriving, ref)
			}
		}
		for n := 0; n < 10; n++ {
			a, ok := w.engine.Step(w.now, w.cold)
			if !ok {
				break
			}
			w.act(a)
		}
	}
}

func (w *world) act(a grant.Action) {
	if a.ReadStatus {
		w.note("status seq %d", w.seq)
		w.engine.HandleStatus(w.status(), w.now)
		return
	}
	lost, late := w.lose()
	w.note("order %+v lost %v late %v", *a.Order, lost, late)
	if late {
		w.held = append(w.held, *a.Order)
		w.engine.HandleOrderResult(*a.Order, "", errors.New("no answer"), w.now)
		return
	}
	result := w.carryOut(*a.Order)
	if lost {
		w.engine.HandleOrderResult(*a.Order, "", errors.New("no answer"), w.now)
		return
	}
	w.engine.HandleOrderResult(*a.Order, result, nil, w.now)
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, w.now.Sub(start).String()+" "+fmt.Sprintf(format, args...))
}

func (w *world) status() plank.EngineStatus {
	s := plank.EngineStatus{Seq: w.seq}
	if !w.now.Before(w.baseAt) {
		s.Bases = []plank.BaseID{"m"}
	}
	for ref, v := range w.resident {
		s.Resident = append(s.Resident, plank.Residency{Adapter: ref, Version: v})
	}
	for ref := range w.arriving {
		s.Loading = append(s.Loading, plank.Residency{Adapter: ref, Version: w.newest[ref]})
	}
	return s
}

func (w *world) ask(n int, priority int) *grant.TestReservation {
	return w.engine.Reserve(grant.Request{
		ID: "r", Adapter: adapter(n), Prompt: 1000, Output: 100, Priority: priority, Deadline: w.now.Add(10 * time.Second),
	})
}

var limits = grant.Limits{MaxRunning: 64, Memory: 200_000, MaxAdapters: 3, Base: "m"}

// A cold adapter is loaded and its calls are granted together.
func TestCallsOfOneAdapterShareItsPlace(t *testing.T) {
	w := newWorld(limits)
	first, second := w.ask(1, 0), w.ask(1, 0)
	w.advance(400 * time.Millisecond)
	assert.Assert(t, first.Outcome != nil && first.Outcome.Granted)
	assert.Assert(t, second.Outcome != nil && second.Outcome.Granted)
	assert.Equal(t, len(w.resident), 1)
}

// An engine that has just started tells that it holds no base model until it
// does, so that no call is placed there meanwhile if there is another engine.
func TestBareEnginesAreTold(t *testing.T) {
	w := newWorld(limits)
	w.baseAt = start.Add(1900 * time.Millisecond)
	w.advance(300 * time.Millisecond)
	assert.Assert(t, w.engine.State(w.now).Bare)
	w.advance(2 * time.Second)
	assert.Assert(t, !w.engine.State(w.now).Bare)
}

// An idle place is taken at once; one whose adapter runs is kept.
func TestOnlyIdlePlacesAreTaken(t *testing.T) {
	w := newWorld(limits)
	running := []*grant.TestReservation{w.ask(1, 0), w.ask(2, 0), w.ask(3, 0)}
	w.advance(600 * time.Millisecond)
	late := w.ask(4, 0)
	w.advance(time.Second)
	assert.Assert(t, late.Outcome == nil, "all places are in use")
	assert.Equal(t, len(w.unloads), 0)
	w.engine.Release(running[1], w.now)
	w.advance(400 * time.Millisecond)
	assert.Assert(t, late.Outcome != nil && late.Outcome.Granted)
	assert.DeepEqual(t, w.unloads, []plank.AdapterRef{adapter(2)})
}

// After a take-over the calls of the earlier holder keep their places.
func TestPlacesOfAnEarlierHolderAreKept(t *testing.T) {
	w := newWorld(limits)
	for n := 1; n <= 3; n++ {
		w.resident[adapter(n)] = 1
		w.inUse[adapter(n)] = n != 3
	}
	w.seq = 40
	call := w.ask(4, 0)
	w.advance(400 * time.Millisecond)
	assert.Assert(t, call.Outcome != nil && call.Outcome.Granted)
	assert.DeepEqual(t, w.unloads, []plank.AdapterRef{adapter(3)})
}

// An order without an answer is given again with the same count, so that the
// engine carries out at most one of them.
func TestUnansweredOrderIsRepeated(t *testing.T) {
	for _, test := range []struct {
		name string
		late bool
	}{{"answer lost", false}, {"carried out late", true}} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(limits)
			n := 0
			w.lose = func() (bool, bool) {
				n++
				return n == 1 && !test.late, n == 1 && test.late
			}
			call := w.ask(1, 0)
			w.advance(400 * time.Millisecond)
			assert.Assert(t, call.Outcome != nil && call.Outcome.Granted)
			for _, o := range w.held {
				assert.Equal(t, o.Expect, uint64(0))
			}
			assert.Equal(t, w.seq, uint64(1))
		})
	}
}

// Calls do not wait for an engine that does not answer.
func TestSilentEngineRefusesAtOnce(t *testing.T) {
	w := newWorld(limits)
	w.resident[adapter(1)] = 1
	w.advance(20 * time.Millisecond)
	w.lose = func() (bool, bool) { return false, true }
	held, other := w.ask(1, 0), w.ask(2, 0)
	w.advance(300 * time.Millisecond)
	assert.Assert(t, held.Outcome != nil && held.Outcome.Granted)
	assert.Assert(t, other.Outcome != nil && !other.Outcome.Granted)
}

// The most urgent call gets the next free place.
func TestUrgentCallsGoFirst(t *testing.T) {
	w := newWorld(grant.Limits{MaxRunning: 1, Memory: 200_000, MaxAdapters: 3, Base: "m"})
	first := w.ask(1, 5)
	w.advance(400 * time.Millisecond)
	patient, urgent := w.ask(1, 5), w.ask(1, 0)
	w.advance(50 * time.Millisecond)
	w.engine.Release(first, w.now)
	w.advance(50 * time.Millisecond)
	assert.Assert(t, urgent.Outcome != nil && patient.Outcome == nil)
}

// Long prompts do not pile up in the engine: beyond a second of its work they
// wait here, where an urgent call still overtakes them.
func TestBacklogIsBounded(t *testing.T) {
	w := newWorld(grant.Limits{MaxRunning: 64, Memory: 1 << 20, MaxAdapters: 3, Base: "m"})
	granted := 0
	var calls []*grant.TestReservation
	for range 12 {
		calls = append(calls, w.engine.Reserve(grant.Request{Adapter: adapter(1), Prompt: 9000, Output: 50, Deadline: w.now.Add(10 * time.Second)}))
	}
	w.advance(400 * time.Millisecond)
	for _, c := range calls {
		if c.Outcome != nil {
			granted++
		}
	}
	assert.Equal(t, granted, 4)
	for _, c := range calls[:4] {
		w.engine.MarkStarted(c)
	}
	w.advance(20 * time.Millisecond)
	assert.Assert(t, calls[7].Outcome != nil)
}

// A newer version replaces an idle place at once. While calls run on the old
// one, others get it for the grace only.
func TestNewVersionReplacesTheOld(t *testing.T) {
	w := newWorld(limits)
	first := w.ask(1, 0)
	w.advance(400 * time.Millisecond)
	w.newest[adapter(1)], w.since = 2, w.now
	graced := w.ask(1, 0)
	w.advance(20 * time.Millisecond)
	assert.Assert(t, graced.Outcome != nil && graced.Outcome.Version < 2)
	w.advance(2500 * time.Millisecond)
	after := w.ask(1, 0)
	w.advance(300 * time.Millisecond)
	assert.Assert(t, after.Outcome == nil, "the old version serves no more")
	w.engine.Release(first, w.now)
	w.engine.Release(graced, w.now)
	w.advance(400 * time.Millisecond)
	assert.Assert(t, after.Outcome != nil && after.Outcome.Granted)
	assert.Equal(t, after.Outcome.Version, plank.VersionNumber(2))
}

// A term that an engine refuses ends the orders.
func TestFencedOrderIsReported(t *testing.T) {
	w := newWorld(limits)
	w.ask(1, 0)
	first, _ := w.engine.Step(w.now, true)
	assert.Assert(t, first.ReadStatus)
	w.engine.HandleStatus(w.status(), w.now)
	a, ok := w.engine.Step(w.now, true)
	assert.Assert(t, ok && a.Order != nil)
	assert.Assert(t, w.engine.HandleOrderResult(*a.Order, plank.OrderFenced, nil, w.now))
}

// Whatever answers are lost, and whenever late orders are carried out, no more
// adapters are ordered than there are places, and no adapter with granted calls
// is unloaded.
func TestPlacesAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(limits)
		w.lose = func() (bool, bool) {
			switch rapid.IntRange(0, 9).Draw(t, "fate") {
			case 0, 1:
				return true, false
			case 2, 3:
				return false, true
			}
			return false, false
		}
		running := map[*grant.TestReservation]int{}
		w.unloading = func(ref plank.AdapterRef) {
			for call, n := range running {
				if adapter(n) == ref && call.Outcome != nil && call.Outcome.Granted {
					t.Fatalf("%s was unloaded with a call on it:\n%s", ref, strings.Join(w.trace, "\n"))
				}
			}
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			n := rapid.IntRange(1, 6).Draw(t, "adapter")
			running[w.ask(n, 0)] = n
			w.advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if len(w.held) > 0 && rapid.Bool().Draw(t, "late") {
				w.note("late order %+v", w.held[0])
				w.carryOut(w.held[0])
				w.held = w.held[1:]
			}
			for call := range running {
				if call.Outcome == nil || !call.Outcome.Granted {
					continue
				}
				if rapid.IntRange(0, 2).Draw(t, "end") == 0 {
					w.engine.Release(call, w.now)
					delete(running, call)
				}
			}
		}
		// Once all is well again an adapter is loaded in good time.
		for call := range running {
			w.engine.Release(call, w.now)
			delete(running, call)
		}
		w.lose = func() (bool, bool) { return false, false }
		last := w.ask(7, 0)
		w.advance(3 * time.Second)
		if last.Outcome == nil || !last.Outcome.Granted {
			t.Fatalf("no load any more: %+v\n%s", last.Outcome, strings.Join(w.trace, "\n"))
		}
		if w.most > w.max {
			t.Fatalf("%d adapters ordered, there are %d places", w.most, w.max)
		}
	})
}

// While the answer to an unload is on its way, no call is granted on the
// adapter: the engine may be dropping it.
func TestNoGrantDuringAnUnload(t *testing.T) {
	w := newWorld(limits)
	for n := 1; n <= 3; n++ {
		w.resident[adapter(n)] = 1
	}
	w.advance(10 * time.Millisecond)
	w.ask(4, 0)
	a, ok := w.engine.Step(w.now, true)
	assert.Assert(t, ok && a.Order != nil && a.Order.Unload)
	calls := map[plank.AdapterRef]*grant.TestReservation{}
	for n := 1; n <= 3; n++ {
		calls[adapter(n)] = w.ask(n, 0)
	}
	w.engine.Step(w.now, true)
	for ref, call := range calls {
		assert.Equal(t, call.Outcome != nil, ref != a.Order.Target.Adapter, "%s", ref)
	}
}
