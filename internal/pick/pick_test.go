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

var shortPrompt = pick.Call{Adapter: plank.AdapterRef{Base: "m", Name: "a1"}, Prompt: 826, Output: 290, Target: 800 * time.Millisecond}
var longPrompt = pick.Call{Adapter: plank.AdapterRef{Base: "m", Name: "a1"}, Prompt: 9190, Output: 50, Target: time.Second}

func none(plank.EndpointID) bool { return false }

func TestBestEngine(t *testing.T) {
	resident := func(e *pick.Engine) { e.Resident = true }
	for _, test := range []struct {
		name string
		call pick.Call
		a, b pick.Engine
		want string
	}{
		{"one where the adapter is resident", shortPrompt, engine("a", nil), engine("b", resident), "b"},
		{"one where it was recently resident", shortPrompt, engine("a", nil), engine("b", func(e *pick.Engine) { e.RecentlyResident = true }), "b"},
		{"one where it was recently resident, with half a second of backlog", longPrompt,
			engine("a", func(e *pick.Engine) { e.RecentlyResident, e.Backlog = true, 20_000 }), engine("b", nil), "a"},
		{"a load rather than a wait of a second", longPrompt,
			engine("a", func(e *pick.Engine) { e.Resident, e.Backlog = true, 60_000 }), engine("b", nil), "b"},
		{"a short wait rather than a load", longPrompt,
			engine("a", func(e *pick.Engine) { e.Resident, e.Backlog = true, 9000 }), engine("b", nil), "a"},
		{"an idle adapter slot rather than slots in use", shortPrompt,
			engine("a", func(e *pick.Engine) { e.TakenAdapterSlots, e.IdleAdapterSlots = 7, 0 }), engine("b", func(e *pick.Engine) { e.TakenAdapterSlots, e.IdleAdapterSlots = 7, 1 }), "b"},
		{"a free adapter slot rather than one that others wait for", shortPrompt,
			engine("a", func(e *pick.Engine) {
				e.TakenAdapterSlots, e.IdleAdapterSlots, e.WaitingAdapters, e.RecentlyResident = 7, 1, 4, true
			}),
			engine("b", func(e *pick.Engine) { e.TakenAdapterSlots, e.IdleAdapterSlots, e.Running = 7, 1, 9 }), "b"},
		{"not one that fails", shortPrompt, engine("a", func(e *pick.Engine) { e.Resident, e.FailRate = true, 0.5 }), engine("b", nil), "b"},
		{"not an avoided one", shortPrompt, engine("a", func(e *pick.Engine) { e.Resident, e.Avoid = true, true }), engine("b", nil), "b"},
		{"not one where calls run on an old version", shortPrompt,
			engine("a", func(e *pick.Engine) { e.Resident, e.Stale = true, true }), engine("b", func(e *pick.Engine) { e.RecentlyResident = true }), "b"},
		{"the load of a new version beside the old one that is in use", shortPrompt,
			engine("a", func(e *pick.Engine) { e.Resident, e.Stale, e.InUse = true, true, true }), engine("b", nil), "b"},
		{"the load of a new version where the old one is not in use, rather than one where it is", shortPrompt,
			engine("a", func(e *pick.Engine) { e.Resident, e.Stale, e.InUse = true, true, true }),
			engine("b", func(e *pick.Engine) { e.Resident, e.Stale = true, true }), "b"},
		{"not one without its base model", shortPrompt,
			engine("a", func(e *pick.Engine) { e.TakenAdapterSlots, e.NoBaseModel, e.BaseLoad = 0, true, 1900*time.Millisecond }),
			engine("b", func(e *pick.Engine) { e.TakenAdapterSlots, e.IdleAdapterSlots, e.Running = 7, 1, 8 }), "b"},
		{"one in the same failure domain", shortPrompt, engine("a", func(e *pick.Engine) { e.Resident, e.Remote = true, true }), engine("b", resident), "b"},
		{"one in the same failure domain for a long prompt, at a short wait", longPrompt,
			engine("a", func(e *pick.Engine) { e.Resident, e.Remote = true, true }), engine("b", func(e *pick.Engine) { e.Resident, e.Backlog = true, 2500 }), "b"},
		{"one in another failure domain for a short prompt, rather than a long wait", shortPrompt,
			engine("a", func(e *pick.Engine) { e.Resident, e.Remote = true, true }), engine("b", func(e *pick.Engine) { e.Resident, e.Backlog = true, 9000 }), "a"},
		{"one with room in the KV cache", longPrompt,
			engine("a", func(e *pick.Engine) { e.Resident, e.KVUsed, e.Running = true, 250_000, 25 }), engine("b", func(e *pick.Engine) { e.RecentlyResident = true }), "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, engines := range [][]pick.Engine{{test.a, test.b}, {test.b, test.a}} {
				i, _ := pick.BestEngine(engines, test.call, none)
				assert.Equal(t, string(engines[i].Instance.ID), test.want)
			}
		})
	}
}

// Guards against slow streams, once 13 s instead of 2 s, when the prefill of long
// prompts delays the decoding of long outputs: the two kinds of calls are sent to
// different engines.
func TestLongPromptsAndLongOutputsOnDifferentEngines(t *testing.T) {
	engines := make([]pick.Engine, 8)
	for i := range engines {
		engines[i] = engine(fmt.Sprintf("e%d", i), func(e *pick.Engine) { e.RecentlyResident = true })
	}
	longOutputs, longPrompts := make([]int, 8), make([]int, 8)
	for n := range 400 {
		call, counts := shortPrompt, longOutputs
		if n%2 == 0 {
			call, counts = longPrompt, longPrompts
		}
		call.Adapter.Name = plank.AdapterID(fmt.Sprint("a", n%97))
		i, _ := pick.BestEngine(engines, call, none)
		counts[i]++
		e := &engines[i]
		// Update the state for the started call, and let some time pass.
		e.PrefillRate += 0.5 * float64(call.Prompt)
		if call.Prompt == shortPrompt.Prompt {
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
		mixed += min(longOutputs[i], longPrompts[i])
	}
	assert.Assert(t, mixed < 100, "long outputs %v, long prompts %v", longOutputs, longPrompts)
}

// For an adapter that is not resident anywhere, all VMs prefer the same engine.
func TestNonResidentAdapterHasPreferredEngine(t *testing.T) {
	a := []pick.Engine{engine("x", nil), engine("y", nil), engine("z", nil)}
	b := []pick.Engine{engine("z", nil), engine("x", nil), engine("y", nil)}
	for n := range 50 {
		w := shortPrompt
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
	failing, avoided, remote := replica("f", 0), replica("v", 0), replica("r", 1)
	failing.FailRate, avoided.Avoid, remote.Remote = 0.5, true, true
	for _, test := range []struct {
		name string
		in   []pick.Replica
		want string
	}{
		{"the least loaded", []pick.Replica{replica("a", 3), replica("b", 1)}, "b"},
		{"not the failing one", []pick.Replica{failing, replica("b", 5)}, "b"},
		{"not the avoided one", []pick.Replica{avoided, replica("b", 6)}, "b"},
		{"the one in the same failure domain", []pick.Replica{remote, replica("b", 1)}, "b"},
		{"the avoided one if there is no other", []pick.Replica{avoided}, "v"},
	} {
		t.Run(test.name, func(t *testing.T) {
			for spread := range uint64(4) {
				i := pick.LeastLoaded(test.in, spread, none)
				assert.Equal(t, string(test.in[i].Instance.ID), test.want)
			}
		})
	}
}
