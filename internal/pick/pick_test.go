package pick_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pick"
)

func engine(id string, change func(*pick.Engine)) pick.Engine {
	e := pick.Engine{
		Instance: plank.Instance{ID: plank.EndpointID(id)}, StateKnown: true, AdapterSlots: 7, TakenAdapterSlots: 3, IdleAdapterSlots: 1, Slots: 64, KVCapacity: 255_000,
	}
	if change != nil {
		change(&e)
	}
	return e
}

var ask = pick.Call{Adapter: plank.AdapterRef{Base: "m", Name: "a1"}, Prompt: 826, Output: 290, Target: 800 * time.Millisecond}
var quote = pick.Call{Adapter: plank.AdapterRef{Base: "m", Name: "a1"}, Prompt: 9190, Output: 50, Target: time.Second}

func none(plank.EndpointID) bool { return false }

func TestBestEngine(t *testing.T) {
	resident := func(e *pick.Engine) { e.Resident = true }
	for _, test := range []struct {
		name string
		work pick.Call
		a, b pick.Engine
		want string
	}{
		{"one that holds the adapter", ask, engine("a", nil), engine("b", resident), "b"},
		{"one that held it lately", ask, engine("a", nil), engine("b", func(e *pick.Engine) { e.RecentlyResident = true }), "b"},
		{"one that held it lately, with half a second of prompts ahead", quote,
			engine("a", func(e *pick.Engine) { e.RecentlyResident, e.Backlog = true, 20_000 }), engine("b", nil), "a"},
		{"a new copy before a second of waiting", quote,
			engine("a", func(e *pick.Engine) { e.Resident, e.Backlog = true, 60_000 }), engine("b", nil), "b"},
		{"the resident copy before a short wait", quote,
			engine("a", func(e *pick.Engine) { e.Resident, e.Backlog = true, 9000 }), engine("b", nil), "a"},
		{"an idle place before places that run", ask,
			engine("a", func(e *pick.Engine) { e.TakenAdapterSlots, e.IdleAdapterSlots = 7, 0 }), engine("b", func(e *pick.Engine) { e.TakenAdapterSlots, e.IdleAdapterSlots = 7, 1 }), "b"},
		{"a free place before one that others wait for", ask,
			engine("a", func(e *pick.Engine) {
				e.TakenAdapterSlots, e.IdleAdapterSlots, e.WaitingAdapters, e.RecentlyResident = 7, 1, 4, true
			}),
			engine("b", func(e *pick.Engine) { e.TakenAdapterSlots, e.IdleAdapterSlots, e.Running = 7, 1, 9 }), "b"},
		{"not one that fails", ask, engine("a", func(e *pick.Engine) { e.Resident, e.FailRate = true, 0.5 }), engine("b", nil), "b"},
		{"not one to avoid", ask, engine("a", func(e *pick.Engine) { e.Resident, e.Avoid = true, true }), engine("b", nil), "b"},
		{"not one with an old version whose calls run", ask,
			engine("a", func(e *pick.Engine) { e.Resident, e.Stale = true, true }), engine("b", func(e *pick.Engine) { e.RecentlyResident = true }), "b"},
		{"not one without its base model", ask,
			engine("a", func(e *pick.Engine) { e.TakenAdapterSlots, e.NoBaseModel, e.BaseLoad = 0, true, 1900*time.Millisecond }),
			engine("b", func(e *pick.Engine) { e.TakenAdapterSlots, e.IdleAdapterSlots, e.Running = 7, 1, 8 }), "b"},
		{"a near one", ask, engine("a", func(e *pick.Engine) { e.Resident, e.Remote = true, true }), engine("b", resident), "b"},
		{"a near one for a long prompt, at a short wait", quote,
			engine("a", func(e *pick.Engine) { e.Resident, e.Remote = true, true }), engine("b", func(e *pick.Engine) { e.Resident, e.Backlog = true, 2500 }), "b"},
		{"a far one for a short prompt, rather than a long wait", ask,
			engine("a", func(e *pick.Engine) { e.Resident, e.Remote = true, true }), engine("b", func(e *pick.Engine) { e.Resident, e.Backlog = true, 9000 }), "a"},
		{"one with memory", quote,
			engine("a", func(e *pick.Engine) { e.Resident, e.KVUsed, e.Running = true, 250_000, 25 }), engine("b", func(e *pick.Engine) { e.RecentlyResident = true }), "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, engines := range [][]pick.Engine{{test.a, test.b}, {test.b, test.a}} {
				i, _ := pick.BestEngine(engines, test.work, none)
				assert.Equal(t, string(engines[i].Instance.ID), test.want)
			}
		})
	}
}

// The load at which streams took 13 s instead of 2: long prompts read between
// the steps of long answers. The two kinds end up on different engines.
func TestLongPromptsAndLongAnswersApart(t *testing.T) {
	engines := make([]pick.Engine, 8)
	for i := range engines {
		engines[i] = engine(fmt.Sprintf("e%d", i), func(e *pick.Engine) { e.RecentlyResident = true })
	}
	asks, quotes := make([]int, 8), make([]int, 8)
	for n := range 400 {
		work, counts := ask, asks
		if n%2 == 0 {
			work, counts = quote, quotes
		}
		work.Adapter.Name = plank.AdapterID(fmt.Sprint("a", n%97))
		i, _ := pick.BestEngine(engines, work, none)
		counts[i]++
		e := &engines[i]
		// The state after the call has begun, and some time later.
		e.PrefillRate += 0.5 * float64(work.Prompt)
		if work.Prompt == ask.Prompt {
			e.Running++
		}
		for k := range engines {
			engines[k].PrefillRate *= 0.97
			if n%16 == 0 && engines[k].Running > 0 {
				engines[k].Running--
			}
		}
	}
	mixed := 0
	for i := range engines {
		mixed += min(asks[i], quotes[i])
	}
	assert.Assert(t, mixed < 100, "asks %v, quotes %v", asks, quotes)
}

// Without knowledge of who held an adapter all VMs prefer the same engine.
func TestRareAdaptersHaveAHome(t *testing.T) {
	a := []pick.Engine{engine("x", nil), engine("y", nil), engine("z", nil)}
	b := []pick.Engine{engine("z", nil), engine("x", nil), engine("y", nil)}
	for n := range 50 {
		w := ask
		w.Adapter.Name = plank.AdapterID(fmt.Sprint("a", n))
		i, _ := pick.BestEngine(a, w, none)
		j, _ := pick.BestEngine(b, w, none)
		assert.Equal(t, a[i].Instance.ID, b[j].Instance.ID)
	}
}

func TestLeastReplica(t *testing.T) {
	replica := func(id string, calls int) pick.Replica {
		return pick.Replica{Instance: plank.Instance{ID: plank.EndpointID(id), Slots: 6}, Calls: calls}
	}
	failing, avoided, far := replica("f", 0), replica("v", 0), replica("r", 1)
	failing.FailRate, avoided.Avoid, far.Remote = 0.5, true, true
	for _, test := range []struct {
		name string
		in   []pick.Replica
		want string
	}{
		{"the least taken", []pick.Replica{replica("a", 3), replica("b", 1)}, "b"},
		{"not the failing one", []pick.Replica{failing, replica("b", 5)}, "b"},
		{"not the avoided one", []pick.Replica{avoided, replica("b", 6)}, "b"},
		{"the near one", []pick.Replica{far, replica("b", 1)}, "b"},
		{"the avoided one if it is all there is", []pick.Replica{avoided}, "v"},
	} {
		t.Run(test.name, func(t *testing.T) {
			for spread := range uint64(4) {
				i := pick.LeastLoaded(test.in, spread, none)
				assert.Equal(t, string(test.in[i].Instance.ID), test.want)
			}
		})
	}
}
