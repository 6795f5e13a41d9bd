package grant

import (
	"maps"
	"sync/atomic"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/prefix"
)

// This file determines which parts of a prompt an engine keeps, and counts only the others in
// backlogs. It applies to services that learn costs; for others no reservation has a prompt,
// and all tokens count.

// learnsCost reports whether the estimates for a service's calls include what engines keep.
func (d *Deps) learnsCost(service plank.ServiceID) bool {
	return d.LearnsCost != nil && d.LearnsCost(service)
}

// setPrompt prepares a reservation that is queued at the engine.
func (e *Engine) setPrompt(res *reservation) {
	if res.prompt == nil && len(res.Parts) > 0 && e.learnsCost(e.inst.Service) {
		res.prompt = prefix.NewPrompt(res.Adapter, res.Prompt, res.Parts)
	}
	res.unread = res.Prompt - e.estimate(res).Kept
}

// estimate returns what the engine keeps of the reservation's prompt.
func (e *Engine) estimate(res *reservation) prefix.Estimate {
	if res.prompt == nil {
		return prefix.Estimate{}
	}
	version, ok := e.servedVersion(res.Adapter)
	if !ok {
		return prefix.Estimate{}
	}
	return e.parts.Estimate(res.prompt, version)
}

// servedVersion returns the version of a resident adapter.
func (e *Engine) servedVersion(ref plank.AdapterRef) (plank.VersionNumber, bool) {
	if ref.Name == "" {
		return 0, e.bases[ref.Base]
	}
	slot := e.slots[ref]
	if slot == nil || slot.state != resident {
		return 0, false
	}
	return slot.version, true
}

// acquireParts marks the kept parts of a granted reservation as used.
func (e *Engine) acquireParts(res *reservation) {
	res.unread = res.Prompt
	if version, ok := e.servedVersion(res.Adapter); ok && res.prompt != nil {
		res.use = e.parts.Acquire(res.prompt, version)
		res.unread -= res.use.Kept()
	}
	e.countMemory(res, res.memory())
}

// beginParts records that the engine has processed the prompt of a reservation.
func (e *Engine) beginParts(res *reservation) {
	if res.use != nil {
		res.use.Begin()
		e.countMemory(res, res.memory())
	}
}

// releaseParts ends the use of the reservation's parts.
func (e *Engine) releaseParts(res *reservation) {
	if res.use != nil {
		res.use.Release(res.failed)
	}
	e.countMemory(res, 0)
}

// countMemory updates the memory in use after a change of a reservation, which takes total
// tokens. Of these the parts in the directory count once for all calls that use them.
func (e *Engine) countMemory(res *reservation, total plank.Tokens) {
	own := total
	if res.use != nil {
		own -= res.use.Tokens()
	}
	inUse := e.parts.InUse()
	e.usedMemory += own - res.ownMemory + inUse - e.partMemory
	res.ownMemory, e.partMemory = own, inUse
	e.parts.SetRoom(e.limits.Memory - e.usedMemory)
}

// markFailed records that the engine failed a granted call.
func (e *Engine) markFailed(res *reservation) { res.failed = true }

// retainParts removes the parts of adapters that the engine no longer holds in their version.
func (e *Engine) retainParts() {
	if e.parts.Len() == 0 {
		return
	}
	versions := make(map[plank.AdapterRef]plank.VersionNumber, len(e.slots)+len(e.bases))
	for ref, slot := range e.slots {
		versions[ref] = slot.version
	}
	for base := range e.bases {
		versions[plank.AdapterRef{Base: base}] = 0
	}
	e.parts.Retain(versions)
}

// directories publishes the directories of the engines that a Scheduler holds. It is safe for
// concurrent use.
type directories struct {
	byRun atomic.Pointer[map[plank.Run]*prefix.Directory]
	// removedKept is the number of kept tokens that removed directories counted.
	removedKept atomic.Uint64
}

// publish replaces the directories by those of the engines.
func (d *directories) publish(engines []*Engine) {
	byRun := make(map[plank.Run]*prefix.Directory, len(engines))
	for _, e := range engines {
		e.parts.SetMaxEntries(prefix.MaxEntries(len(engines)))
		byRun[e.inst.Run()] = e.parts
	}
	if old := d.byRun.Load(); old != nil {
		for run, dir := range *old {
			if byRun[run] != dir {
				d.removedKept.Add(uint64(dir.Stats().KeptTokens))
			}
		}
	}
	d.byRun.Store(&byRun)
}

// Directories returns the directories of the parts that engines keep, by the run of the engine,
// for engines whose lease this VM holds. The map must not be changed.
func (s *Scheduler) Directories() map[plank.Run]*prefix.Directory {
	if m := s.directories.byRun.Load(); m != nil {
		return *m
	}
	return nil
}

// PartStats returns the sum of the figures of all directories. The number of kept tokens includes
// those of directories that were removed.
func (s *Scheduler) PartStats() prefix.Stats {
	sum := prefix.Stats{KeptTokens: plank.Tokens(s.directories.removedKept.Load())}
	for d := range maps.Values(s.Directories()) {
		st := d.Stats()
		sum.Entries += st.Entries
		sum.Tokens += st.Tokens
		sum.KeptTokens += st.KeptTokens
	}
	return sum
}

// MarkFailed records that the engine failed the call, which leaves nothing certain of the parts
// that it processed. It does nothing for a call without parts.
func (res *Reservation) MarkFailed() {
	if res.state == nil || len(res.state.Parts) == 0 {
		return
	}
	res.scheduler.post(func() { res.state.engine.markFailed(res.state) })
}
