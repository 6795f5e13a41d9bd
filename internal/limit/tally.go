package limit

import (
	"math"
	"slices"
	"sync"
	"time"

	"knapweedplank.org/plank"
)

// The rules of tallies.
const (
	// restartFill is the part of a burst that a fleet begins with after a restart
	// of all VMs, when none knows what was admitted before.
	restartFill = 0.5
	// settleTime is how long a VM runs until its levels are worth telling.
	settleTime = 3 * time.Second
	// restartReach is the part of the fleet that a VM takes itself for after a
	// restart, until it knows the others.
	restartReach = 0.1
	// maxDebt is how far the others' use can take a tally below zero, as a part
	// of the burst: what a workspace that sends six times its limit, the most on the
	// users' sites, gets in the second that messages take in a fleet of 67.
	maxDebt = 6.0
	// slowMessages is from what pause between the messages of a VM on workspaces
	// are paced: what all VMs admit at once meanwhile is no small part of a burst.
	slowMessages = 300 * time.Millisecond
	// useTime is over how long use is averaged to find a VM's part of it: several
	// times what messages take.
	useTime = 4 * time.Second
	// freeFill and pacedFill are the parts of a burst at hand above which a
	// workspace is not paced, and below which it is paced in full.
	freeFill, pacedFill = 0.75, 0.25
	// messageWeight is the weight of one message in the mean pause between them.
	messageWeight = 0.05
	// claimGrace is how much longer than it was told to wait a caller may take to
	// come back to the tokens that are kept for it.
	claimGrace = 300 * time.Millisecond
)

// A GossipLimiter holds the limits of all workspaces over the fleet by counting: each
// VM tells the others what it admitted since its start and deducts what they
// tell. While it does not hear some of them it uses only its part of the rate,
// so that the parts of a fleet that is split admit no more than the whole.
//
// It suits callers that spread unevenly over VMs that hear each other within
// milliseconds; what is admitted too much is bounded by that delay. It is safe
// for concurrent use.
type GossipLimiter struct {
	clock plank.Clock
	stamp func() uint64 // numbers a change

	mu      sync.Mutex
	settles time.Time // from when on this VM knows the levels
	fill    float64   // part of the burst that new workspaces begin with
	reach   float64   // part of the fleet that is heard, this VM included
	// unheard counts the VMs whose messages have not been taken since they were
	// silent or started.
	unheard int
	// vms counts the VMs that are heard, this one included.
	vms int
	// pause is the mean pause between the messages of a VM.
	pause   time.Duration
	entries map[plank.WorkspaceID]*tallyEntry
	peers   map[plank.VMID]*peerTotals
}

type tallyEntry struct {
	rate, burst float64
	level       float64
	// unsure is set until the level is known, in a VM that has just started.
	unsure bool
	// withheld is the part of the limit that belongs to the VMs that are not
	// heard, as it would be if they admitted nothing.
	withheld float64
	// own and others are what this VM and the others admitted, each token decaying
	// over useTime.
	own, others float64
	// next is when a workspace that is paced may be admitted its next call here.
	next time.Time
	// claim is the cost of the largest call that was refused lately. Until
	// claimed, smaller calls leave as much, so that large calls are not starved
	// by small ones while a workspace is at its limit.
	claim   float64
	claimed time.Time
	at      time.Time
	total   float64 // admitted here since the start
	change  uint64  // when total changed last
}

type peerTotals struct {
	boot  plank.BootID
	heard time.Time // when its last message was taken
	// silent is set while the VM is not heard: what it admits meanwhile comes
	// out of what is withheld here.
	silent bool
	totals map[plank.WorkspaceID]float64
}

// A Usage is what one VM admitted of a workspace since its start.
type Usage struct {
	Workspace plank.WorkspaceID
	Total     plank.Tokens
	Level     plank.Tokens // at hand over the fleet, as that VM knows
}

// NewGossipLimiter returns a tally without limits. full tells that no other VM has
// admitted anything yet. stamp returns rising numbers and is called at each
// change of this VM's usage.
func NewGossipLimiter(clock plank.Clock, full bool, stamp func() uint64) *GossipLimiter {
	fill, reach, unheard := restartFill, restartReach, 1
	settles := clock.Now().Add(settleTime)
	if full {
		fill, reach, unheard = 1, 1, 0
		settles = clock.Now()
	}
	return &GossipLimiter{
		settles: settles, clock: clock, fill: fill, reach: reach, unheard: unheard, vms: 1, stamp: stamp,
		entries: make(map[plank.WorkspaceID]*tallyEntry), peers: make(map[plank.VMID]*peerTotals),
	}
}

// SetLimits takes the limits of a configuration.
func (t *GossipLimiter) SetLimits(workspaces []plank.Workspace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, w := range workspaces {
		e := t.entries[w.ID]
		if e == nil {
			fill := t.fill * float64(w.Burst)
			e = &tallyEntry{at: now, level: fill * t.reach, withheld: fill * (1 - t.reach), unsure: now.Before(t.settles)}
			t.entries[w.ID] = e
		}
		t.refill(e, now)
		e.rate, e.burst = float64(w.Rate), float64(w.Burst)
		e.level = min(e.level, e.burst*t.reach)
	}
	// Workspaces that come later have admitted nothing before.
	t.fill = 1
}

// Level returns the tokens at hand for a workspace, and the part of the fleet
// that is heard.
func (t *GossipLimiter) Level(ws plank.WorkspaceID) (plank.Tokens, float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[ws]
	if e == nil {
		return 0, t.reach
	}
	t.refill(e, t.clock.Now())
	return plank.Tokens(e.level), t.reach
}

// SetReachable tells which other VMs are heard, and how many VMs there are in all as
// far as is known, this one included.
func (t *GossipLimiter) SetReachable(heard []plank.VMID, known int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	current := 0
	for vm, p := range t.peers {
		p.silent = p.silent || !slices.Contains(heard, vm)
		if !p.silent {
			current++
		}
	}
	reach := float64(len(heard)+1) / float64(max(len(heard)+1, known))
	for _, e := range t.entries {
		t.refill(e, now)
		if reach < t.reach && e.level > 0 {
			// Those that are no longer heard go on with their part of what was
			// saved up.
			parted := e.level * (1 - reach/t.reach)
			e.level -= parted
			e.withheld += parted
		}
		e.level = min(e.level, e.burst*reach)
		// When a VM is heard again, its part is kept until its first message has
		// been taken.
		e.withheld = min(e.withheld, e.burst*(1-min(1, reach, t.reach)))
	}
	t.reach, t.unheard, t.vms = reach, max(0, known-1-current), len(heard)+1
}

// refill brings an entry to now. The lock is held.
func (t *GossipLimiter) refill(e *tallyEntry, now time.Time) {
	seconds := max(0, now.Sub(e.at).Seconds())
	e.at = now
	decay := math.Exp(-seconds / useTime.Seconds())
	e.own *= decay
	e.others *= decay
	e.level = min(e.level+e.rate*t.reach*seconds, max(e.level, e.burst*t.reach))
	rest := 1 - min(1, t.reach)
	e.withheld = min(e.withheld+e.rate*rest*seconds, max(e.withheld, e.burst*rest))
}

// Take admits a call of the given cost, or returns the time after which it
// could be.
func (t *GossipLimiter) Take(ws plank.WorkspaceID, cost plank.Tokens) (bool, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[ws]
	if e == nil || e.rate <= 0 {
		return true, 0
	}
	now := t.clock.Now()
	t.refill(e, now)
	if !now.Before(e.claimed) {
		e.claim = 0
	}
	// A call that is larger than the burst runs on a full bucket.
	need := min(max(float64(cost), e.claim), e.burst*t.reach)
	if e.level >= need {
		if now.Before(e.next) {
			return false, e.next.Sub(now)
		}
		e.next = now.Add(t.gap(e, float64(cost)))
		t.use(e, float64(cost))
		return true, 0
	}
	wait := time.Duration((need - e.level) / (e.rate * t.reach) * float64(time.Second))
	if float64(cost) >= e.claim {
		e.claim, e.claimed = float64(cost), now.Add(wait+claimGrace)
	}
	return false, wait
}

// gap returns the pause after a call at which this VM keeps to its part of a
// workspace's rate. In a large fleet messages take a second, and VMs that all admit
// what each thinks is at hand admit several times the limit in it. A workspace with
// much at hand is not paced, so that its calls may come at any VM. The lock is held.
func (t *GossipLimiter) gap(e *tallyEntry, cost float64) time.Duration {
	if t.pause < slowMessages || e.burst <= 0 {
		return 0
	}
	paced := min(1, (freeFill-e.level/e.burst)/(freeFill-pacedFill))
	if paced <= 0 {
		return 0
	}
	part := 1 / float64(t.vms)
	if used := e.own + e.others; used > 0 {
		part = max(part, e.own/used)
	}
	return time.Duration(paced * cost / (part * e.rate * t.reach) * float64(time.Second))
}

// Refund gives back what a call took that did not run.
func (t *GossipLimiter) Refund(ws plank.WorkspaceID, cost plank.Tokens) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[ws]; e != nil && e.rate > 0 {
		t.use(e, -float64(cost))
	}
}

// use counts tokens. The lock is held.
func (t *GossipLimiter) use(e *tallyEntry, cost float64) {
	e.level -= cost
	e.total += cost
	e.own = max(0, e.own+cost)
	e.change = t.stamp()
}

// MergeUsages takes what another VM admitted since it was last heard of. That is
// deducted, unless the VM was not heard meanwhile: then it used its own part of
// the limit, and what it left of that is added. A VM that has just started takes
// the levels that a settled one tells.
func (t *GossipLimiter) MergeUsages(vm plank.VMID, boot plank.BootID, settled bool, usages []Usage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[vm]
	first := p == nil || p.boot != boot
	now := t.clock.Now()
	young := now.Before(t.settles)
	apart := p != nil && p.silent || first && (young || t.reach < 1 || t.isWithholding())
	if first {
		p = &peerTotals{boot: boot, totals: make(map[plank.WorkspaceID]float64)}
		t.peers[vm] = p
	} else {
		t.pause += time.Duration(messageWeight * float64(now.Sub(p.heard)-t.pause))
	}
	p.silent, p.heard = false, now
	admitted := make(map[plank.WorkspaceID]float64, len(usages))
	for _, u := range usages {
		admitted[u.Workspace] = float64(u.Total) - p.totals[u.Workspace]
		p.totals[u.Workspace] = float64(u.Total)
	}
	if settled && young {
		t.adopt(usages, admitted, now)
	}
	if apart {
		t.rejoin(admitted, now)
		return
	}
	for ws, n := range admitted {
		if e := t.entries[ws]; e != nil && e.rate > 0 {
			t.refill(e, now)
			e.level = max(e.level-n, -maxDebt*e.burst)
			e.others = max(0, e.others+n)
		}
	}
}

// isWithholding tells whether parts of limits are kept for VMs that have not been
// heard. The lock is held.
func (t *GossipLimiter) isWithholding() bool {
	for _, e := range t.entries {
		if e.withheld > 0 {
			return true
		}
	}
	return false
}

// adopt takes another VM's levels where this VM knows none. What that VM admitted
// is deducted in them. The lock is held.
func (t *GossipLimiter) adopt(usages []Usage, admitted map[plank.WorkspaceID]float64, now time.Time) {
	for _, u := range usages {
		e := t.entries[u.Workspace]
		if e == nil || e.rate <= 0 || !e.unsure {
			continue
		}
		e.at, e.level, e.withheld, e.unsure = now, min(float64(u.Level), e.burst), 0, false
		delete(admitted, u.Workspace)
	}
}

// rejoin adds what a VM that is heard again has left of its part of the limits.
// The lock is held.
func (t *GossipLimiter) rejoin(admitted map[plank.WorkspaceID]float64, now time.Time) {
	for ws, e := range t.entries {
		if e.rate <= 0 {
			continue
		}
		t.refill(e, now)
		part := e.withheld / float64(max(1, t.unheard))
		e.withheld -= part
		e.level = min(e.burst, e.level+max(0, part-admitted[ws]))
	}
	t.unheard = max(0, t.unheard-1)
}

// Settled tells whether this VM knows the levels: it has run for some time, or
// has taken them from one that has.
func (t *GossipLimiter) Settled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.clock.Now().Before(t.settles) {
		return true
	}
	for _, e := range t.entries {
		if e.unsure {
			return false
		}
	}
	return len(t.entries) > 0
}

// ChangedSince returns the usages that changed after the given change; all of them
// for 0.
func (t *GossipLimiter) ChangedSince(after uint64) []Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var out []Usage
	for ws, e := range t.entries {
		if e.change > after || after == 0 {
			t.refill(e, now)
			out = append(out, Usage{Workspace: ws, Total: plank.Tokens(e.total), Level: plank.Tokens(e.level)})
		}
	}
	return out
}
