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
	"knapweedplank.org/plank/internal/pace"
	"knapweedplank.org/plank/internal/place"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

type fixedClock struct{}

// Now implements plank.Clock.
func (fixedClock) Now() time.Time { return start }

// A harness runs an Engine against a simulated model engine.
type harness struct {
	id       plank.EndpointID
	now      time.Time
	engine   *grant.Engine
	seq      uint64
	resident map[plank.AdapterRef]plank.VersionNumber
	loading  map[plank.AdapterRef]time.Time
	newest   map[plank.AdapterRef]plank.VersionNumber
	// supersededAt is when the versions older than newest were superseded.
	supersededAt time.Time
	inUse        map[plank.AdapterRef]bool
	recent       []plank.AdapterRef // recent adapters as reported by other VMs
	maxAdapters  int
	peakAdapters int // peak number of adapters loading or resident
	unloads      []plank.AdapterRef
	allowCold    bool
	baseLoadedAt time.Time // when the load of the base model ends
	loadTime     time.Duration
	avoid        bool      // the engine is to get no calls
	learnsCost   bool      // parts of prompts are considered
	pausedUntil  time.Time // until when the engine wants no orders
	// fate decides what happens to an order: its response may be lost, or it may be
	// carried out late.
	fate    func() (lost, late bool)
	delayed []plank.Order // orders to be carried out late
	trace   []string      // of orders and status reads
	paces   *pace.Table
	// onUnload is called for each unload that is carried out.
	onUnload func(plank.AdapterRef)
}

func newHarness(limits grant.Limits) *harness { return newNamedHarness("e1", limits) }

func newNamedHarness(id string, limits grant.Limits) *harness {
	h := &harness{
		now: start, loadTime: 250 * time.Millisecond, resident: map[plank.AdapterRef]plank.VersionNumber{}, loading: map[plank.AdapterRef]time.Time{},
		newest: map[plank.AdapterRef]plank.VersionNumber{}, inUse: map[plank.AdapterRef]bool{}, maxAdapters: limits.MaxAdapters, allowCold: true,
		fate: func() (bool, bool) { return false, false }, onUnload: func(plank.AdapterRef) {},
	}
	h.id = plank.EndpointID(id)
	h.newHolder(limits)
	return h
}

// newHolder replaces the Engine by that of a new lease holder.
func (h *harness) newHolder(limits grant.Limits) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h.engine = grant.NewEngine(grant.HeldEngine{
		Instance: plank.Instance{ID: h.id, Bases: []plank.BaseID{"m"}}, Limits: limits, Term: 7,
	}, &grant.Deps{
		Self: "vm1", Evictor: place.LowestValue{}, Clock: fixedClock{}, Log: log.WithField("t", 1),
		NewestVersion:  func(r plank.AdapterRef) plank.VersionNumber { return h.newest[r] },
		SupersededAt:   func(plank.AdapterRef, plank.VersionNumber) time.Time { return h.supersededAt },
		Health:         func(plank.EndpointID) (float64, bool) { return 0, h.avoid },
		Paces:          h.paces,
		PausedUntil:    func(plank.Run) time.Time { return h.pausedUntil },
		InUseElsewhere: func(_ plank.EndpointID, r plank.AdapterRef) bool { return h.inUse[r] },
		RecentAdapters: func(plank.Instance) []plank.AdapterRef { return h.recent },
		LearnsCost:     func(plank.ServiceID) bool { return h.learnsCost },
	})
}

func adapter(n int) plank.AdapterRef {
	return plank.AdapterRef{Base: "m", Name: plank.AdapterID(fmt.Sprintf("a%d", n))}
}

// execute simulates the model engine's handling of an order.
func (h *harness) execute(o plank.Order) plank.OrderResult {
	ref := o.Target.Adapter
	if ref.Name == "" && h.now.Before(h.baseLoadedAt) {
		h.seq++
		return plank.OrderPending
	}
	_, loading := h.loading[ref]
	version, held := h.resident[ref]
	if !o.Unload && loading {
		return plank.OrderPending
	}
	if !o.Unload && held && version >= o.Target.Version {
		return plank.OrderDone
	}
	if o.Expect != h.seq {
		return plank.OrderConflict
	}
	if o.Unload {
		h.seq++
		h.onUnload(ref)
		delete(h.resident, ref)
		h.unloads = append(h.unloads, ref)
		return plank.OrderDone
	}
	h.seq++
	delete(h.resident, ref)
	h.loading[ref] = h.now.Add(h.loadTime)
	h.peakAdapters = max(h.peakAdapters, len(h.resident)+len(h.loading))
	return plank.OrderPending
}

// advance advances the time by d in steps of 5 ms.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(5 * time.Millisecond) {
		for ref, at := range h.loading {
			if !at.After(h.now) {
				h.resident[ref] = max(1, h.newest[ref])
				delete(h.loading, ref)
			}
		}
		for n := 0; n < 10; n++ {
			a, ok := h.engine.Step(h.now, h.allowCold)
			if !ok {
				break
			}
			h.act(a)
		}
	}
}

func (h *harness) act(a grant.Action) {
	if a.ReadStatus {
		h.logf("status seq %d", h.seq)
		h.engine.HandleStatus(h.status(), h.now)
		return
	}
	lost, late := h.fate()
	h.logf("order %+v lost %v late %v", *a.Order, lost, late)
	if late {
		h.delayed = append(h.delayed, *a.Order)
		h.engine.HandleOrderResult(*a.Order, "", errors.New("no response"), h.now)
		return
	}
	result := h.execute(*a.Order)
	if lost {
		h.engine.HandleOrderResult(*a.Order, "", errors.New("no response"), h.now)
		return
	}
	h.engine.HandleOrderResult(*a.Order, result, nil, h.now)
}

func (h *harness) logf(format string, args ...any) {
	h.trace = append(h.trace, h.now.Sub(start).String()+" "+fmt.Sprintf(format, args...))
}

func (h *harness) status() plank.EngineStatus {
	s := plank.EngineStatus{Seq: h.seq}
	if !h.now.Before(h.baseLoadedAt) {
		s.Bases = []plank.BaseID{"m"}
	}
	for ref, v := range h.resident {
		s.Resident = append(s.Resident, plank.Residency{Adapter: ref, Version: v})
	}
	for ref := range h.loading {
		s.Loading = append(s.Loading, plank.Residency{Adapter: ref, Version: h.newest[ref]})
	}
	return s
}

func (h *harness) reserve(n int, priority int) *grant.TestReservation {
	return h.engine.Reserve(grant.Request{
		ID: "r", Adapter: adapter(n), Prompt: 1000, Output: 100, Priority: priority, Deadline: h.now.Add(10 * time.Second),
	})
}

var limits = grant.Limits{MaxRunning: 64, Memory: 200_000, MaxAdapters: 3, Base: "m"}

// An adapter that is not resident is loaded once and its calls are granted together.
func TestCallsForOneAdapterShareItsSlot(t *testing.T) {
	h := newHarness(limits)
	first, second := h.reserve(1, 0), h.reserve(1, 0)
	h.advance(400 * time.Millisecond)
	assert.Assert(t, first.Outcome != nil && first.Outcome.Granted)
	assert.Assert(t, second.Outcome != nil && second.Outcome.Granted)
	assert.Equal(t, len(h.resident), 1)
}

// An engine that has just started is published as holding no base model until it
// does, so that no call is routed to it meanwhile if there is another engine.
func TestEnginesWithoutBaseModelArePublished(t *testing.T) {
	h := newHarness(limits)
	h.baseLoadedAt = start.Add(1900 * time.Millisecond)
	h.advance(300 * time.Millisecond)
	assert.Assert(t, h.engine.State(h.now).Bare)
	h.advance(2 * time.Second)
	assert.Assert(t, !h.engine.State(h.now).Bare)
}

// An idle slot is reassigned at once; one whose adapter is in use is not.
func TestOnlyIdleSlotsAreReassigned(t *testing.T) {
	h := newHarness(limits)
	running := []*grant.TestReservation{h.reserve(1, 0), h.reserve(2, 0), h.reserve(3, 0)}
	h.advance(600 * time.Millisecond)
	late := h.reserve(4, 0)
	h.advance(time.Second)
	assert.Assert(t, late.Outcome == nil, "all slots are in use")
	assert.Equal(t, len(h.unloads), 0)
	h.engine.Release(running[1], h.now)
	h.advance(400 * time.Millisecond)
	assert.Assert(t, late.Outcome != nil && late.Outcome.Granted)
	assert.DeepEqual(t, h.unloads, []plank.AdapterRef{adapter(2)})
}

// After a takeover, adapters used by calls from the previous lease holder keep their
// slots.
func TestSlotsOfPreviousHolderAreKept(t *testing.T) {
	h := newHarness(limits)
	for n := 1; n <= 3; n++ {
		h.resident[adapter(n)] = 1
		h.inUse[adapter(n)] = n != 3
	}
	h.seq = 40
	call := h.reserve(4, 0)
	h.advance(400 * time.Millisecond)
	assert.Assert(t, call.Outcome != nil && call.Outcome.Granted)
	assert.DeepEqual(t, h.unloads, []plank.AdapterRef{adapter(3)})
}

// An order without a response is repeated with the same expected order count, so
// that the engine carries out at most one of the two.
func TestUnansweredOrderIsRepeated(t *testing.T) {
	for _, test := range []struct {
		name string
		late bool
	}{{"response lost", false}, {"carried out late", true}} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(limits)
			n := 0
			h.fate = func() (bool, bool) {
				n++
				return n == 1 && !test.late, n == 1 && test.late
			}
			call := h.reserve(1, 0)
			h.advance(400 * time.Millisecond)
			assert.Assert(t, call.Outcome != nil && call.Outcome.Granted)
			for _, o := range h.delayed {
				assert.Equal(t, o.Expect, uint64(0))
			}
			assert.Equal(t, h.seq, uint64(1))
		})
	}
}

// Calls do not wait for an engine that does not respond.
func TestUnresponsiveEngineRefusesAtOnce(t *testing.T) {
	h := newHarness(limits)
	h.resident[adapter(1)] = 1
	h.advance(20 * time.Millisecond)
	h.fate = func() (bool, bool) { return false, true }
	held, other := h.reserve(1, 0), h.reserve(2, 0)
	h.advance(300 * time.Millisecond)
	assert.Assert(t, held.Outcome != nil && held.Outcome.Granted)
	assert.Assert(t, other.Outcome != nil && !other.Outcome.Granted)
}

// The most urgent call is granted next.
func TestUrgentCallsGoFirst(t *testing.T) {
	h := newHarness(grant.Limits{MaxRunning: 1, Memory: 200_000, MaxAdapters: 3, Base: "m"})
	first := h.reserve(1, 5)
	h.advance(400 * time.Millisecond)
	patient, urgent := h.reserve(1, 5), h.reserve(1, 0)
	h.advance(50 * time.Millisecond)
	h.engine.Release(first, h.now)
	h.advance(50 * time.Millisecond)
	assert.Assert(t, urgent.Outcome != nil && patient.Outcome == nil)
}

// The backlog of an engine is limited to about a second of prefill. Further calls
// wait in the queue, where more urgent calls go before them.
func TestBacklogIsBounded(t *testing.T) {
	h := newHarness(grant.Limits{MaxRunning: 64, Memory: 1 << 20, MaxAdapters: 3, Base: "m"})
	granted := 0
	var calls []*grant.TestReservation
	for range 12 {
		calls = append(calls, h.engine.Reserve(grant.Request{Adapter: adapter(1), Prompt: 9000, Output: 50, Deadline: h.now.Add(10 * time.Second)}))
	}
	h.advance(400 * time.Millisecond)
	for _, c := range calls {
		if c.Outcome != nil {
			granted++
		}
	}
	assert.Equal(t, granted, 4)
	for _, c := range calls[:4] {
		h.engine.MarkStarted(c)
	}
	h.advance(20 * time.Millisecond)
	assert.Assert(t, calls[7].Outcome != nil)
}

// A newer version of an idle adapter is loaded at once. While calls run on the old
// version, further calls get it only during versionGrace.
func TestNewVersionReplacesOldVersion(t *testing.T) {
	h := newHarness(limits)
	first := h.reserve(1, 0)
	h.advance(400 * time.Millisecond)
	h.newest[adapter(1)], h.supersededAt = 2, h.now
	graced := h.reserve(1, 0)
	h.advance(20 * time.Millisecond)
	assert.Assert(t, graced.Outcome != nil && graced.Outcome.Version < 2)
	h.advance(2500 * time.Millisecond)
	after := h.reserve(1, 0)
	h.advance(300 * time.Millisecond)
	assert.Assert(t, after.Outcome == nil, "the old version must get no more calls")
	h.engine.Release(first, h.now)
	h.engine.Release(graced, h.now)
	h.advance(400 * time.Millisecond)
	assert.Assert(t, after.Outcome != nil && after.Outcome.Granted)
	assert.Equal(t, after.Outcome.Version, plank.VersionNumber(2))
}

// An order that is refused because of a higher term is reported as fenced.
func TestFencedOrderIsReported(t *testing.T) {
	h := newHarness(limits)
	h.reserve(1, 0)
	first, _ := h.engine.Step(h.now, true)
	assert.Assert(t, first.ReadStatus)
	h.engine.HandleStatus(h.status(), h.now)
	a, ok := h.engine.Step(h.now, true)
	assert.Assert(t, ok && a.Order != nil)
	assert.Assert(t, h.engine.HandleOrderResult(*a.Order, plank.OrderFenced, nil, h.now))
}

// Regardless of which responses are lost and when late orders are carried out, no
// more adapters are loaded than there are slots, and no adapter with granted calls is
// unloaded.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(limits)
		h.fate = func() (bool, bool) {
			switch rapid.IntRange(0, 9).Draw(t, "fate") {
			case 0, 1:
				return true, false
			case 2, 3:
				return false, true
			}
			return false, false
		}
		running := map[*grant.TestReservation]int{}
		h.onUnload = func(ref plank.AdapterRef) {
			for call, n := range running {
				if adapter(n) == ref && call.Outcome != nil && call.Outcome.Granted {
					t.Fatalf("%s was unloaded while in use by a call:\n%s", ref, strings.Join(h.trace, "\n"))
				}
			}
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			n := rapid.IntRange(1, 6).Draw(t, "adapter")
			running[h.reserve(n, 0)] = n
			h.advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if len(h.delayed) > 0 && rapid.Bool().Draw(t, "late") {
				h.logf("late order %+v", h.delayed[0])
				h.execute(h.delayed[0])
				h.delayed = h.delayed[1:]
			}
			for call := range running {
				if call.Outcome == nil || !call.Outcome.Granted {
					continue
				}
				if rapid.IntRange(0, 2).Draw(t, "end") == 0 {
					h.engine.Release(call, h.now)
					delete(running, call)
				}
			}
		}
		// Once no more responses are lost, an adapter is loaded in time.
		for call := range running {
			h.engine.Release(call, h.now)
			delete(running, call)
		}
		h.fate = func() (bool, bool) { return false, false }
		last := h.reserve(7, 0)
		h.advance(3 * time.Second)
		if last.Outcome == nil || !last.Outcome.Granted {
			t.Fatalf("adapter not loaded after responses recovered: %+v\n%s", last.Outcome, strings.Join(h.trace, "\n"))
		}
		if h.peakAdapters > h.maxAdapters {
			t.Fatalf("%d adapters ordered, but there are %d slots", h.peakAdapters, h.maxAdapters)
		}
	})
}

// While an unload has had no response, no call is granted on the adapter, since the
// engine may be unloading it.
func TestNoGrantDuringUnload(t *testing.T) {
	h := newHarness(limits)
	for n := 1; n <= 3; n++ {
		h.resident[adapter(n)] = 1
	}
	h.advance(10 * time.Millisecond)
	h.reserve(4, 0)
	a, ok := h.engine.Step(h.now, true)
	assert.Assert(t, ok && a.Order != nil && a.Order.Unload)
	calls := map[plank.AdapterRef]*grant.TestReservation{}
	for n := 1; n <= 3; n++ {
		calls[adapter(n)] = h.reserve(n, 0)
	}
	h.engine.Step(h.now, true)
	for ref, call := range calls {
		assert.Equal(t, call.Outcome != nil, ref != a.Order.Target.Adapter, "%s", ref)
	}
}
