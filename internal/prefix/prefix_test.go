package prefix_test

import (
	"fmt"
	"math"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/prefix"
)

var a1 = plank.AdapterRef{Base: "m", Name: "a1"}

// prompt returns a prompt for an adapter with parts of 100 tokens.
func prompt(ref plank.AdapterRef, ids ...string) *prefix.Prompt {
	var parts []plank.PromptPart
	for _, id := range ids {
		parts = append(parts, plank.PromptPart{ID: plank.PartID(id), Tokens: 100})
	}
	return prefix.NewPrompt(ref, 1e6, parts)
}

// directory returns a directory with room for that many tokens.
func directory(room plank.Tokens) *prefix.Directory {
	d := prefix.NewDirectory(prefix.MaxEntries(1))
	d.SetRoom(room)
	return d
}

// serve runs a call of version 1 from its grant to its end.
func serve(d *prefix.Directory, p *prefix.Prompt) {
	u := d.Acquire(p, 1)
	u.Begin()
	u.Release(false)
}

func kept(d *prefix.Directory, p *prefix.Prompt) plank.Tokens { return d.Estimate(p, 1).Kept }

// A part must count as kept only once a call with it has begun, for the same version of the same
// adapter, and if all parts before it are kept: otherwise a call goes to an engine that still has
// to process its prompt.
func TestKeptParts(t *testing.T) {
	d := directory(1000)
	p := prompt(a1, "x", "y", "z")
	u := d.Acquire(p, 1)
	assert.Equal(t, kept(d, p), plank.Tokens(0), "granted, not begun")
	u.Begin()
	assert.Equal(t, d.Estimate(p, 1), prefix.Estimate{Kept: 300, Shared: 200, InUse: 300})
	u.Release(false)
	assert.Equal(t, d.Estimate(p, 1), prefix.Estimate{Kept: 300, Shared: 200})
	assert.Equal(t, kept(d, prompt(a1, "x", "y", "other")), plank.Tokens(200))
	assert.Equal(t, kept(d, prompt(a1, "other", "y", "z")), plank.Tokens(0), "a part before is missing")
	assert.Equal(t, kept(d, prompt(plank.AdapterRef{Base: "m", Name: "a2"}, "x", "y")), plank.Tokens(0), "other adapter")
	assert.Equal(t, d.Estimate(p, 2).Kept, plank.Tokens(0), "other version")
}

// A call that failed must leave nothing that only it has processed, nor one that ended without a
// first event.
func TestFailedCallsLeaveNothing(t *testing.T) {
	d := directory(1000)
	serve(d, prompt(a1, "x"))
	p := prompt(a1, "x", "y")
	d.Acquire(p, 1).Release(false)
	assert.Equal(t, kept(d, p), plank.Tokens(100))
	failing, other := d.Acquire(prompt(a1, "x", "y", "z"), 1), d.Acquire(p, 1)
	failing.Begin()
	other.Begin()
	failing.Release(true)
	assert.Equal(t, kept(d, prompt(a1, "x", "y", "z")), plank.Tokens(200), "y was processed for another call, too")
	other.Release(false)
	assert.Equal(t, d.InUse(), plank.Tokens(0))
}

// An engine that is short of memory evicts the parts that were used least recently, later parts of
// a prompt before earlier ones, and none in use.
func TestEviction(t *testing.T) {
	d := directory(300)
	serve(d, prompt(a1, "x", "y"))
	serve(d, prompt(a1, "v"))
	serve(d, prompt(a1, "x", "z"))
	assert.Equal(t, kept(d, prompt(a1, "x", "y")), plank.Tokens(100))
	assert.Equal(t, kept(d, prompt(a1, "x", "z")), plank.Tokens(200))
	d.SetRoom(100)
	assert.Equal(t, kept(d, prompt(a1, "x", "z")), plank.Tokens(100), "the last part goes first")
	d.SetRoom(300)
	serve(d, prompt(a1, "x", "z"))
	running := d.Acquire(prompt(a1, "x", "z"), 1)
	d.SetRoom(0)
	assert.Equal(t, kept(d, prompt(a1, "v")), plank.Tokens(0))
	assert.Equal(t, kept(d, prompt(a1, "x", "z")), plank.Tokens(200))
	running.Release(false)
	assert.Equal(t, d.Len(), 0)
}

// Parts of an adapter that was unloaded or replaced by another version must be removed, also those
// in use: a later call would expect them.
func TestDiscardedAdapters(t *testing.T) {
	d := directory(1000)
	a2 := plank.AdapterRef{Base: "m", Name: "a2"}
	serve(d, prompt(a1, "x"))
	running := d.Acquire(prompt(a1, "x"), 1)
	serve(d, prompt(a2, "x"))
	d.Retain(map[plank.AdapterRef]plank.VersionNumber{a1: 2, a2: 1})
	assert.Equal(t, kept(d, prompt(a1, "x")), plank.Tokens(0))
	assert.Equal(t, kept(d, prompt(a2, "x")), plank.Tokens(100))
	assert.Equal(t, d.InUse(), plank.Tokens(100), "the call still runs")
	running.Release(false)
	d.Forget(a2)
	assert.Equal(t, d.Len(), 0)
	assert.Equal(t, d.InUse(), plank.Tokens(0))
}

// Callers can send any list of parts. It must neither count more than the prompt nor take more
// memory than the bounds.
func TestHostileParts(t *testing.T) {
	inf, nan := plank.Tokens(math.Inf(1)), plank.Tokens(math.NaN())
	part := func(n plank.Tokens) plank.PromptPart { return plank.PromptPart{ID: "x", Tokens: n} }
	for _, test := range []struct {
		name   string
		length plank.Tokens
		parts  []plank.PromptPart
		want   plank.Tokens
	}{
		{"empty part", 100, []plank.PromptPart{part(0), part(10)}, 10},
		{"repeated part", 100, []plank.PromptPart{part(10), part(10)}, 10},
		{"not a number", 100, []plank.PromptPart{part(nan), part(10)}, 0},
		{"length not a number", nan, []plank.PromptPart{part(10)}, 0},
		{"infinite", 100, []plank.PromptPart{part(10), part(inf), part(5)}, 10},
		{"negative", 100, []plank.PromptPart{part(-10), part(10)}, 0},
		{"longer than the prompt", 100, []plank.PromptPart{part(10), part(91)}, 10},
	} {
		d := directory(1000)
		p := prefix.NewPrompt(a1, test.length, test.parts)
		serve(d, p)
		assert.Equal(t, kept(d, p), test.want, test.name)
	}
	many := make([]plank.PromptPart, 5000)
	for i := range many {
		many[i] = plank.PromptPart{ID: plank.PartID(fmt.Sprint(i)), Tokens: 1}
	}
	d := directory(1e9)
	p := prefix.NewPrompt(a1, 1e6, many)
	serve(d, p)
	assert.Equal(t, kept(d, p), plank.Tokens(prefix.MaxParts))
}

// The directories of a VM must stay within 64 KB an engine and 2 MB in total, also while all
// parts are in use.
func TestMemoryBounds(t *testing.T) {
	for _, engines := range []int{32, 140} { // 32 of 64 KB are 2 MB
		dirs := make([]*prefix.Directory, engines)
		uses := make([]*prefix.Use, 0, 600*engines)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range dirs {
			dirs[i] = prefix.NewDirectory(prefix.MaxEntries(engines))
			for n := range 600 {
				u := dirs[i].Acquire(prompt(a1, fmt.Sprint(n)), 1)
				u.Begin()
				uses = append(uses, u)
			}
		}
		total := 0
		for _, d := range dirs {
			total += d.Len()
		}
		for i := range uses {
			uses[i].Release(false)
			uses[i] = nil
		}
		for i := range dirs { // idle entries have a list element
			dirs[i].SetRoom(1e9)
			for n := range 600 {
				serve(dirs[i], prompt(a1, fmt.Sprint(n)))
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		used := int(after.HeapAlloc - before.HeapAlloc)
		t.Logf("%d engines: %d entries, %d bytes", engines, total, used)
		assert.Assert(t, total > 0 && used < 2<<20, "%d bytes", used)
		runtime.KeepAlive(dirs)
		runtime.KeepAlive(uses)
	}
}
