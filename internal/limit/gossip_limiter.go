package limit

import (
	"math"
	"sync"
	"time"

	"knapweedplank.org/plank"
)

// The parameters of GossipLimiter. Fractions are between 0 and 1.
const (
	// restartFill is the fraction of a burst that a fleet starts with after a
	// restart of all VMs, when no VM knows what was admitted before.
	restartFill = 0.5
	// settleDelay is how long after its start a VM takes its levels to be correct,
	// so that other VMs may adopt them.
	settleDelay = 3 * time.Second
	// restartReachable is the reachable fraction that a VM assumes after a restart,
	// until it knows the others.
	restartReachable = 0.1
	// maxDebt is how far below zero, in bursts, the other VMs' use can take a level.
	// In a fleet of 67 VMs messages take a second, in which a workspace that sends
	// six times its limit, the most at the users' sites, is admitted this much.
	maxDebt = 6.0
	// slowMessageInterval is the shortest interval between a VM's messages at which
	// workspaces are paced: what all VMs together admit in it is a considerable
	// part of a burst.
	slowMessageInterval = 300 * time.Millisecond
	// useDecayTime is the time constant of the average of use, from which a VM's
	// part of it is computed: several times what messages take.
	useDecayTime = 4 * time.Second
	// unpacedFill is the available fraction of a burst above which a workspace is
	// not paced, fullyPacedFill that below which it is paced fully.
	unpacedFill, fullyPacedFill = 0.75, 0.25
	// intervalWeight is the weight of one message in the mean message interval.
	intervalWeight = 0.05
	// pendingGrace is how much longer than the returned wait tokens are kept for a
	// caller to retry.
	pendingGrace = 300 * time.Millisecond
)

// A GossipLimiter limits all workspaces over the fleet by exchanging counts: each
// VM reports to the others what it admitted since its start, and deducts what
// they report. While some VMs are unreachable it uses only the reachable fraction
// of the rate, so that the parts of a partitioned fleet together admit no more
// than the limit.
//
// It suits calls that spread unevenly over VMs whose messages arrive within
// milliseconds: that delay bounds how much is admitted beyond the limit. It is
// safe for concurrent use.
type GossipLimiter struct {
	clock      plank.Clock
	nextChange func() uint64 // returns the number of the next change

	mu                sync.Mutex
	settledAt         time.Time // when the levels of this VM are taken to be correct
	initialFill       float64   // fraction of the burst that new workspaces start with
	reachableFraction float64   // of the fleet's VMs, including this one
	// unsynced counts the VMs of which no message has been merged since they
	// started or were unreachable.
	unsynced int
	// reachableVMs counts the reachable VMs, including this one.
	reachableVMs int
	// messageInterval is the mean time between two messages of a VM, and until they
	// arrive.
	messageInterval time.Duration
	// contended is set if calls near a limit are admitted by urgency.
	contended bool
	entries   map[plank.WorkspaceID]*workspaceState
	peers     map[plank.VMID]*peerUsage
}

// A workspaceState is the limit of a workspace and what is known of its use.
type workspaceState struct {
	rate, burst float64 // tokens a second, and tokens
	level       float64 // tokens available to this VM
	// levelUnknown is set in a VM that has just started, until it adopts the level
	// of another VM.
	levelUnknown bool
	// withheld is the tokens kept for the unreachable VMs: their part of the limit,
	// as if they admitted nothing.
	withheld float64
	// ownUse and othersUse are the tokens that this VM and the others admitted,
	// decaying over useDecayTime.
	ownUse, othersUse float64
	// nextAdmission is the earliest time of the next admission by this VM, for
	// pacing.
	nextAdmission time.Time
	// pendingCost is the cost of the largest call that was refused recently. Until
	// pendingUntil, smaller calls are admitted only if the level covers it, so that
	// they do not starve large calls while a workspace is at its limit.
	pendingCost  float64
	pendingUntil time.Time
	// pendingPriority is the priority of that call, in a contended fleet.
	pendingPriority int
	contention      contention
	updated         time.Time
	total           float64 // tokens admitted by this VM since its start
	lastChange      uint64  // number of the last change of total
}

// A peerUsage is what another VM reported.
type peerUsage struct {
	boot        plank.BootID
	lastMessage time.Time // when it was merged
	// unreachable is set while the VM is unreachable: what it admits meanwhile is
	// deducted from what is withheld here.
	unreachable bool
	totals      map[plank.WorkspaceID]float64
}

// A Usage is the tokens that one VM admitted for a workspace since its start.
type Usage struct {
	Workspace plank.WorkspaceID
	Total     plank.Tokens
	Level     plank.Tokens // available over the fleet, as known to that VM
}

// NewGossipLimiter returns a limiter without limits. full is set if no VM has
// admitted anything yet. nextChange returns increasing numbers and is called at
// each change of this VM's usage.
func NewGossipLimiter(clock plank.Clock, full bool, nextChange func() uint64) *GossipLimiter {
	fill, fraction, unsynced := restartFill, restartReachable, 1
	settledAt := clock.Now().Add(settleDelay)
	if full {
		fill, fraction, unsynced = 1, 1, 0
		settledAt = clock.Now()
	}
	return &GossipLimiter{
		settledAt: settledAt, clock: clock, initialFill: fill, reachableFraction: fraction, unsynced: unsynced, reachableVMs: 1, nextChange: nextChange,
		entries: make(map[plank.WorkspaceID]*workspaceState), peers: make(map[plank.VMID]*peerUsage),
	}
}

// SetLimits sets the limits of the workspaces. Those not listed keep theirs.
func (g *GossipLimiter) SetLimits(workspaces []plank.Workspace) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, w := range workspaces {
		e := g.entries[w.ID]
		if e == nil {
			fill := g.initialFill * float64(w.Burst)
			e = &workspaceState{updated: now, level: fill * g.reachableFraction, withheld: fill * (1 - g.reachableFraction), levelUnknown: now.Before(g.settledAt)}
			g.entries[w.ID] = e
		}
		g.refill(e, now)
		e.rate, e.burst = float64(w.Rate), float64(w.Burst)
		e.level = min(e.level, e.burst*g.reachableFraction)
	}
	// Workspaces that are added later have admitted nothing before.
	g.initialFill = 1
}

// Level returns the available tokens of a workspace and the reachable fraction.
func (g *GossipLimiter) Level(ws plank.WorkspaceID) (plank.Tokens, float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[ws]
	if e == nil {
		return 0, g.reachableFraction
	}
	g.refill(e, g.clock.Now())
	return plank.Tokens(e.level), g.reachableFraction
}

// SetReachable sets which other VMs are reachable, and the number of known VMs,
// including this one.
func (g *GossipLimiter) SetReachable(reachable []plank.VMID, known int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	synced := 0
	isReachable := make(map[plank.VMID]bool, len(reachable))
	for _, vm := range reachable {
		isReachable[vm] = true
	}
	for vm, p := range g.peers {
		p.unreachable = p.unreachable || !isReachable[vm]
		if !p.unreachable {
			synced++
		}
	}
	fraction := float64(len(reachable)+1) / float64(max(len(reachable)+1, known))
	for _, e := range g.entries {
		g.refill(e, now)
		if fraction < g.reachableFraction && e.level > 0 {
			// The VMs that became unreachable keep their part of the level.
			moved := e.level * (1 - fraction/g.reachableFraction)
			e.level -= moved
			e.withheld += moved
		}
		e.level = min(e.level, e.burst*fraction)
		// When a VM becomes reachable again, its part stays withheld until its
		// first message has been merged.
		e.withheld = min(e.withheld, e.burst*(1-min(1, fraction, g.reachableFraction)))
	}
	g.reachableFraction, g.unsynced, g.reachableVMs = fraction, max(0, known-1-synced), len(reachable)+1
}

// refill advances an entry to now. The lock is held.
func (g *GossipLimiter) refill(e *workspaceState, now time.Time) {
	seconds := max(0, now.Sub(e.updated).Seconds())
	decay := expDecay(now.Sub(e.updated), useDecayTime)
	e.updated = now
	e.ownUse *= decay
	e.othersUse *= decay
	e.level = min(e.level+e.rate*g.reachableFraction*seconds, max(e.level, e.burst*g.reachableFraction))
	rest := 1 - min(1, g.reachableFraction)
	e.withheld = min(e.withheld+e.rate*rest*seconds, max(e.withheld, e.burst*rest))
}

// Take admits a call of the given cost and reports whether it did. If not, it
// also returns the time after which the call could be admitted.
func (g *GossipLimiter) Take(ws plank.WorkspaceID, cost plank.Tokens) (bool, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[ws]
	if e == nil || e.rate <= 0 {
		return true, 0
	}
	now := g.clock.Now()
	g.refill(e, now)
	d := g.take(e, float64(cost), now)
	return d.Admitted, d.Wait
}

// take admits a call of the given cost, whatever its urgency. The lock is held.
func (g *GossipLimiter) take(e *workspaceState, cost float64, now time.Time) Decision {
	if !now.Before(e.pendingUntil) {
		e.pendingCost = 0
	}
	// A call that costs more than the burst is admitted at a full level.
	need := min(max(cost, e.pendingCost), e.burst*g.reachableFraction)
	if e.level >= need {
		if now.Before(e.nextAdmission) {
			return Decision{Wait: e.nextAdmission.Sub(now)}
		}
		e.nextAdmission = now.Add(g.pacingDelay(e, cost))
		g.charge(e, cost)
		return Decision{Admitted: true}
	}
	wait := time.Duration((need - e.level) / (e.rate * g.reachableFraction) * float64(time.Second))
	if cost >= e.pendingCost {
		e.pendingCost, e.pendingUntil = cost, now.Add(wait+pendingGrace)
	}
	return Decision{Wait: wait}
}

// pacingDelay returns the time after a call until the next may be admitted, so
// that this VM keeps to its part of a workspace's rate. In a large fleet messages
// take a second, in which VMs that each admit up to the level known to them admit
// several times the limit together. A workspace with a high level is not paced, so
// that its calls may arrive at any VM. The lock is held.
func (g *GossipLimiter) pacingDelay(e *workspaceState, cost float64) time.Duration {
	if g.messageInterval < slowMessageInterval || e.burst <= 0 || e.rate <= 0 {
		return 0
	}
	paced := min(1, (unpacedFill-e.level/e.burst)/(unpacedFill-fullyPacedFill))
	if paced <= 0 {
		return 0
	}
	return time.Duration(paced * cost / (g.ownPart(e) * e.rate * g.reachableFraction) * float64(time.Second))
}

// ownPart returns this VM's part of a workspace's rate: that of its recent use, and an equal
// one at least. The lock is held.
func (g *GossipLimiter) ownPart(e *workspaceState) float64 {
	part := 1 / float64(g.reachableVMs)
	if used := e.ownUse + e.othersUse; used > 0 {
		part = max(part, e.ownUse/used)
	}
	return part
}

// expDecay returns the factor by which a quantity decays in d with a time constant.
func expDecay(d, constant time.Duration) float64 {
	return math.Exp(-max(0, d.Seconds()) / constant.Seconds())
}

// Refund returns the cost of a call that did not run.
func (g *GossipLimiter) Refund(ws plank.WorkspaceID, cost plank.Tokens) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.entries[ws]; e != nil && e.rate > 0 {
		g.charge(e, -float64(cost))
	}
}

// charge counts admitted tokens; a negative cost is a refund. The lock is held.
func (g *GossipLimiter) charge(e *workspaceState, cost float64) {
	e.level -= cost
	e.total += cost
	e.ownUse = max(0, e.ownUse+cost)
	e.lastChange = g.nextChange()
}

// MergeUsages merges a message of another VM, which a relay received age ago if it was
// forwarded. What that VM admitted since its
// previous message is deducted, unless it was unreachable in between: then it used
// its own part of the limit, and the rest of that part is added. A VM that has just
// started adopts the levels of one that is settled.
func (g *GossipLimiter) MergeUsages(vm plank.VMID, boot plank.BootID, settled bool, usages []Usage, age time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[vm]
	first := p == nil || p.boot != boot
	now := g.clock.Now()
	starting := now.Before(g.settledAt)
	separated := p != nil && p.unreachable || first && (starting || g.reachableFraction < 1 || g.hasWithheld())
	if first {
		p = &peerUsage{boot: boot, totals: make(map[plank.WorkspaceID]float64)}
		g.peers[vm] = p
	} else {
		g.messageInterval += time.Duration(intervalWeight * float64(now.Sub(p.lastMessage)+age-g.messageInterval))
	}
	p.unreachable, p.lastMessage = false, now
	admitted := make(map[plank.WorkspaceID]float64, len(usages))
	for _, u := range usages {
		admitted[u.Workspace] = float64(u.Total) - p.totals[u.Workspace]
		p.totals[u.Workspace] = float64(u.Total)
	}
	if settled && starting {
		g.adoptLevels(usages, admitted, now)
	}
	if separated {
		g.returnWithheld(admitted, now)
		return
	}
	for ws, n := range admitted {
		if e := g.entries[ws]; e != nil && e.rate > 0 {
			g.refill(e, now)
			e.level = max(e.level-n, -maxDebt*e.burst)
			e.othersUse = max(0, e.othersUse+n)
		}
	}
}

// hasWithheld reports whether tokens of any workspace are withheld for other VMs.
// The lock is held.
func (g *GossipLimiter) hasWithheld() bool {
	for _, e := range g.entries {
		if e.withheld > 0 {
			return true
		}
	}
	return false
}

// adoptLevels takes another VM's levels where this VM's are unknown, and removes
// those workspaces from admitted, since the levels include what the other VM
// admitted. The lock is held.
func (g *GossipLimiter) adoptLevels(usages []Usage, admitted map[plank.WorkspaceID]float64, now time.Time) {
	for _, u := range usages {
		e := g.entries[u.Workspace]
		if e == nil || e.rate <= 0 || !e.levelUnknown {
			continue
		}
		e.updated, e.level, e.withheld, e.levelUnknown = now, min(float64(u.Level), e.burst), 0, false
		delete(admitted, u.Workspace)
	}
}

// returnWithheld adds to the levels what a VM that is reachable again has not used
// of its withheld part. The lock is held.
func (g *GossipLimiter) returnWithheld(admitted map[plank.WorkspaceID]float64, now time.Time) {
	for ws, e := range g.entries {
		if e.rate <= 0 {
			continue
		}
		g.refill(e, now)
		part := e.withheld / float64(max(1, g.unsynced))
		e.withheld -= part
		e.level = min(e.burst, e.level+max(0, part-admitted[ws]))
	}
	g.unsynced = max(0, g.unsynced-1)
}

// Settled reports whether the levels of this VM are taken to be correct: it has run
// for settleDelay, or has adopted the levels of a settled VM.
func (g *GossipLimiter) Settled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.clock.Now().Before(g.settledAt) {
		return true
	}
	for _, e := range g.entries {
		if e.levelUnknown {
			return false
		}
	}
	return len(g.entries) > 0
}

// ChangedSince returns the usages that changed after the change of the given
// number, or all of them if it is 0.
func (g *GossipLimiter) ChangedSince(after uint64) []Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	var out []Usage
	for ws, e := range g.entries {
		if e.lastChange > after || after == 0 {
			g.refill(e, now)
			out = append(out, Usage{Workspace: ws, Total: plank.Tokens(e.total), Level: plank.Tokens(e.level)})
		}
	}
	return out
}
