package prefix

import (
	"container/list"
	"sync"

	"knapweedplank.org/plank"
)

// Limits of memory. 64 KB hold 356 parts. The shared parts of the users' long prompts have about
// 2,000 tokens, so that a cache of 200,000 tokens holds some 100 of them.
const (
	// maxBytes bounds the directories of a VM together, maxEngineBytes that of one engine.
	maxBytes       = 2 << 20
	maxEngineBytes = 64 << 10
	// entryBytes is the memory of an entry: 64 bytes, 48 of its list element, up to 40 of
	// the map, which is half empty after it has grown, and its part of the Directory.
	entryBytes = 184
)

// MaxEntries returns how many parts the directory of an engine may hold on a VM that has the
// directories of that many engines.
func MaxEntries(engines int) int {
	return min(maxEngineBytes, maxBytes/max(1, engines)) / entryBytes
}

// A Directory holds the parts that one run of an engine is expected to keep. Parts of calls in
// progress are in use and stay; the others are idle, and evicted by least recent use when they
// exceed the room that the engine has for them. It is safe for concurrent use.
type Directory struct {
	mu         sync.Mutex
	entries    map[uint64]*entry // by part.key
	idle       list.List         // of *entry, the most recently used first
	idleTokens plank.Tokens      // in the idle entries
	usedTokens plank.Tokens      // in the entries in use, also in removed ones
	room       plank.Tokens      // for idle entries
	maxEntries int
	keptTokens plank.Tokens // tokens that calls were expected to find kept, in total
}

// An entry is a part that an engine keeps.
type entry struct {
	part
	adapter uint64 // hash
	version plank.VersionNumber
	users   int           // calls in progress
	element *list.Element // in Directory.idle; nil while in use
	removed bool          // it is in use and no longer in Directory.entries
}

// NewDirectory returns an empty directory.
func NewDirectory(maxEntries int) *Directory {
	return &Directory{entries: make(map[uint64]*entry), maxEntries: maxEntries}
}

// SetRoom sets how many tokens the engine can keep beside those in use.
func (d *Directory) SetRoom(room plank.Tokens) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.room = room
	d.evict(0)
}

// SetMaxEntries sets how many parts the directory may hold.
func (d *Directory) SetMaxEntries(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.maxEntries = n
	d.evict(0)
}

// evict removes idle entries until the others fit, with that many more.
func (d *Directory) evict(more int) {
	for d.idle.Len() > 0 && (!(d.idleTokens <= d.room) || len(d.entries)+more > d.maxEntries) {
		d.remove(d.idle.Back().Value.(*entry))
	}
}

// remove removes an entry. One in use counts as used until its calls have ended.
func (d *Directory) remove(e *entry) {
	delete(d.entries, e.key)
	e.removed = true
	if e.element != nil {
		d.idle.Remove(e.element)
		e.element = nil
		d.idleTokens -= e.tokens
	}
}

// pin marks an entry as used by one more call.
func (d *Directory) pin(e *entry) {
	if e.users++; e.users > 1 {
		return
	}
	if e.element != nil {
		d.idle.Remove(e.element)
		e.element = nil
		d.idleTokens -= e.tokens
	}
	d.usedTokens += e.tokens
}

// unpin ends the use of an entry by a call. An idle entry becomes the most recently used one.
func (d *Directory) unpin(e *entry) {
	if e.users--; e.users > 0 {
		return
	}
	d.usedTokens -= e.tokens
	if !e.removed {
		e.element = d.idle.PushFront(e)
		d.idleTokens += e.tokens
	}
}

// Forget removes the parts of an adapter.
func (d *Directory) Forget(ref plank.AdapterRef) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.entries) == 0 {
		return
	}
	adapter := NewPrompt(ref, 0, nil).adapter
	for _, e := range d.entries {
		if e.adapter == adapter {
			d.remove(e)
		}
	}
}

// Len returns the number of parts in the directory.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries)
}

// An Estimate is what a directory tells about a prompt.
type Estimate struct {
	Kept   plank.Tokens // not to be processed again
	Shared plank.Tokens // of Kept, without the last part of the prompt
	InUse  plank.Tokens // of Kept, used by calls in progress
}

// Estimate returns how much of a prompt the engine keeps for a version of the adapter.
func (d *Directory) Estimate(p *Prompt, version plank.VersionNumber) Estimate {
	var est Estimate
	if p == nil {
		return est
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range p.parts {
		pt := &p.parts[i]
		e := d.entries[pt.key]
		if e == nil || e.version != version {
			break
		}
		est.Kept += pt.tokens
		if pt.shared {
			est.Shared += pt.tokens
		}
		if e.users > 0 {
			est.InUse += pt.tokens
		}
	}
	return est
}

// Retain removes the parts of all adapters but the given versions.
func (d *Directory) Retain(versions map[plank.AdapterRef]plank.VersionNumber) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.entries) == 0 {
		return
	}
	byHash := make(map[uint64]plank.VersionNumber, len(versions))
	for ref, version := range versions {
		byHash[NewPrompt(ref, 0, nil).adapter] = version
	}
	for _, e := range d.entries {
		if version, ok := byHash[e.adapter]; !ok || version != e.version {
			d.remove(e)
		}
	}
}

// Stats are figures of a directory.
type Stats struct {
	Entries    int
	Tokens     plank.Tokens // in the entries
	KeptTokens plank.Tokens // that calls were expected to find kept, in total
}

// Stats returns the figures of the directory.
func (d *Directory) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Stats{Entries: len(d.entries), Tokens: d.idleTokens + d.usedTokens, KeptTokens: d.keptTokens}
}

// InUse returns the tokens of the parts that calls in progress use. A part counts once.
func (d *Directory) InUse() plank.Tokens {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.usedTokens
}

// A Use is the use of an engine's parts by one call. It must be released. Its methods are not
// safe for concurrent use.
type Use struct {
	dir     *Directory
	prompt  *Prompt
	version plank.VersionNumber
	entries []*entry     // in the order of the prompt
	known   int          // entries that were kept when the call was granted
	tokens  plank.Tokens // in entries
	kept    plank.Tokens // in the known entries
}

// Acquire records that a call was granted: the parts that the engine keeps are in use from now on.
func (d *Directory) Acquire(p *Prompt, version plank.VersionNumber) *Use {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := &Use{dir: d, prompt: p, version: version}
	for _, pt := range p.parts {
		e := d.entries[pt.key]
		if e == nil || e.version != version {
			break
		}
		u.add(e)
	}
	u.known, u.kept = len(u.entries), u.tokens
	d.keptTokens += u.kept
	return u
}

func (u *Use) add(e *entry) {
	u.dir.pin(e)
	u.entries = append(u.entries, e)
	u.tokens += e.tokens
}

// Kept returns the tokens that were kept when the call was granted.
func (u *Use) Kept() plank.Tokens { return u.kept }

// Tokens returns the tokens of the call that are in the directory. They count in Directory.InUse.
func (u *Use) Tokens() plank.Tokens { return u.tokens }

// Begin records that the first event has arrived: the engine has processed the whole prompt and
// keeps its parts. Those for which the directory has no entry left remain unknown.
func (u *Use) Begin() {
	d := u.dir
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, pt := range u.prompt.parts[len(u.entries):] {
		e := d.entries[pt.key]
		if e != nil && e.version != u.version {
			d.remove(e)
			e = nil
		}
		if e == nil {
			if d.evict(1); len(d.entries) >= d.maxEntries {
				return
			}
			e = &entry{part: pt, adapter: u.prompt.adapter, version: u.version}
			d.entries[pt.key] = e
		}
		u.add(e)
	}
}

// Release ends the use. After a failure it is not certain that the engine keeps what only this
// call has processed, so these parts are removed.
func (u *Use) Release(failed bool) {
	d := u.dir
	d.mu.Lock()
	defer d.mu.Unlock()
	// The last part becomes idle first and is evicted first, since it is of no use without
	// those before it.
	for i := len(u.entries) - 1; i >= 0; i-- {
		e := u.entries[i]
		if failed && i >= u.known && e.users == 1 && !e.removed {
			d.remove(e)
		}
		d.unpin(e)
	}
	u.entries, u.tokens = nil, 0
	d.evict(0)
}
