package limit

import (
	"cmp"
	"context"
	"slices"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pause"
)

// This file decides which calls of a workspace near its limit are admitted in a contended
// fleet, and in which order.
//
// It answers a workspace that sends several times its rate for some seconds: of 461 calls that
// were refused in six seconds, 216 cost less than the tokens available and were held back by the
// pacing of large fleets only. Urgent and cheap calls were refused with the others, by the order
// of their arrival.

const (
	// demandDecayTime is the time constant of the demand by priority.
	demandDecayTime = 2 * time.Second
	// maxReserve is the largest part of a burst that is kept for more urgent calls.
	maxReserve = 0.15
	// minRelativeService is the fraction of the service of more urgent calls below which
	// nothing is kept back from less urgent ones, so that they do not starve.
	minRelativeService = 0.5
	// maxTurns bounds the calls of a workspace that wait for their turn in a VM.
	maxTurns = 32
	// minTurnWait is the time until a call whose turn is due looks again whether the calls
	// before it were admitted.
	minTurnWait = 2 * time.Millisecond
	// maxReturnWait bounds the wait that a refusal states.
	maxReturnWait = 5 * time.Second
	// maxClasses bounds the priorities that are told apart.
	maxClasses = 10
)

// A Demand is a call that is to be admitted.
type Demand struct {
	Cost     plank.Tokens
	Priority int // lower values are more urgent
}

// A Decision is the result of an admission.
type Decision struct {
	Admitted bool
	// Wait is the time after which a call that was not admitted could be.
	Wait time.Duration
	// Paced is set if the limit covers the call, and only the pacing of the VM or a call before
	// it holds it back.
	Paced bool
	// Waited is how long the call waited for its turn.
	Waited time.Duration
}

// A priorityUse is the recent demand of the calls of one priority, in tokens, decaying over
// demandDecayTime.
type priorityUse struct {
	priority        int
	asked, admitted float64
	// nextAdmission is the earliest time of the next admission by this VM, for pacing. It is
	// not earlier than that of more urgent calls, which less urgent ones do not delay: the gap
	// after one long call would otherwise hold back urgent calls for seconds.
	nextAdmission time.Time
}

// A turn is a call that waits until pacing admits it.
type turn struct {
	Demand
	seq uint64 // order of arrival
}

// compare orders turns by urgency, cost and arrival.
func (t *turn) compare(o *turn) int {
	return cmp.Or(cmp.Compare(t.Priority, o.Priority), cmp.Compare(t.Cost, o.Cost), cmp.Compare(t.seq, o.seq))
}

// A contention is the state of a workspace in a contended fleet.
type contention struct {
	uses    []priorityUse
	updated time.Time // when uses were last decayed
	turns   []*turn
	nextSeq uint64
	// promisedUntil is the time until which this VM's part of the rate is promised to
	// refused calls, which return then.
	promisedUntil time.Time
}

// use returns the demand of a priority. The least urgent entry takes all beyond maxClasses.
func (c *contention) use(priority int) *priorityUse {
	i := slices.IndexFunc(c.uses, func(u priorityUse) bool { return u.priority >= priority })
	switch {
	case i >= 0 && c.uses[i].priority == priority:
	case len(c.uses) == maxClasses:
		i = maxClasses - 1
	default:
		if i < 0 {
			i = len(c.uses)
		}
		u := priorityUse{priority: priority}
		if i > 0 {
			u.nextAdmission = c.uses[i-1].nextAdmission
		}
		c.uses = slices.Insert(c.uses, i, u)
	}
	return &c.uses[i]
}

// record adds a call to the demand of its priority.
func (c *contention) record(d Demand, now time.Time) {
	decay := expDecay(now.Sub(c.updated), demandDecayTime)
	c.updated = now
	for i := range c.uses {
		c.uses[i].asked *= decay
		c.uses[i].admitted *= decay
	}
	c.use(d.Priority).asked += float64(d.Cost)
}

// urgentDemand returns the tokens a second that more urgent calls ask for, and the fractions of
// their demand and of that of the given priority that were admitted.
func (c *contention) urgentDemand(priority int) (rate, urgentServed, ownServed float64) {
	var asked, admitted float64
	ownServed = 1
	for _, u := range c.uses {
		switch {
		case u.priority < priority:
			asked, admitted = asked+u.asked, admitted+u.admitted
		case u.priority == priority && u.asked > 0:
			ownServed = u.admitted / u.asked
		}
	}
	if asked <= 0 {
		return 0, 1, ownServed
	}
	return asked / demandDecayTime.Seconds(), admitted / asked, ownServed
}

// pace delays the next admission of calls that are not more urgent than priority.
func (c *contention) pace(priority int, gap time.Duration, now time.Time) {
	for i := range c.uses {
		u := &c.uses[i]
		if u.priority < priority {
			continue
		}
		if u.nextAdmission.Before(now) {
			u.nextAdmission = now
		}
		u.nextAdmission = u.nextAdmission.Add(gap)
	}
}

// reserve returns the tokens that are kept for calls more urgent than priority: the more, the
// greater their part of rate, the part of the limit that this VM uses.
func (c *contention) reserve(priority int, rate, burst float64) float64 {
	urgent, urgentServed, ownServed := c.urgentDemand(priority)
	if urgent <= 0 || rate <= 0 || ownServed < minRelativeService*urgentServed {
		return 0
	}
	return maxReserve * burst * min(1, urgent/rate)
}

// SetContended sets whether calls are admitted by urgency near a limit, and wait for their turn.
// It must be called before the first call.
func (g *GossipLimiter) SetContended(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.contended = on
}

// Admit admits a call, or reports when it could be admitted.
func (g *GossipLimiter) Admit(ws plank.WorkspaceID, d Demand) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[ws]
	if e == nil || e.rate <= 0 {
		return Decision{Admitted: true}
	}
	now := g.clock.Now()
	g.refill(e, now)
	if !g.contended {
		return g.take(e, float64(d.Cost), now)
	}
	e.contention.record(d, now)
	return g.admitContended(e, &turn{Demand: d, seq: e.contention.nextSeq}, now)
}

// AdmitInTurn admits a call as Admit does. In a contended fleet a call that only pacing holds
// back waits for its turn, if that comes by until and ctx does not end before.
func (g *GossipLimiter) AdmitInTurn(ctx context.Context, ws plank.WorkspaceID, d Demand, until time.Time) Decision {
	begin := g.clock.Now()
	decision := g.Admit(ws, d)
	if decision.Admitted || !decision.Paced {
		return decision
	}
	t, wait := g.enqueue(ws, d, until)
	if t == nil {
		decision.Wait = wait
		return decision
	}
	defer g.dequeue(ws, t)
	for decision.Paced && !decision.Admitted && !g.clock.Now().Add(decision.Wait).After(until) {
		if !pause.For(ctx, max(minTurnWait, decision.Wait)) {
			break
		}
		decision = g.retry(ws, t)
	}
	decision.Waited = g.clock.Now().Sub(begin)
	return decision
}

// enqueue adds a call to those that wait for their turn. It returns nil and the time until its
// turn if that does not come by until.
func (g *GossipLimiter) enqueue(ws plank.WorkspaceID, d Demand, until time.Time) (*turn, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, now := g.entries[ws], g.clock.Now()
	t := &turn{Demand: d, seq: e.contention.nextSeq}
	due := e.contention.use(d.Priority).nextAdmission
	for _, o := range e.contention.turns {
		if o.compare(t) < 0 {
			due = due.Add(g.pacingDelay(e, float64(o.Cost)))
		}
	}
	if len(e.contention.turns) >= maxTurns || due.After(until) {
		return nil, max(0, due.Sub(now))
	}
	e.contention.nextSeq++
	e.contention.turns = append(e.contention.turns, t)
	return t, 0
}

// dequeue removes a call from those that wait.
func (g *GossipLimiter) dequeue(ws plank.WorkspaceID, t *turn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &g.entries[ws].contention
	c.turns = slices.DeleteFunc(c.turns, func(o *turn) bool { return o == t })
}

// retry admits a call that waits if its turn has come.
func (g *GossipLimiter) retry(ws plank.WorkspaceID, t *turn) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, now := g.entries[ws], g.clock.Now()
	if e.rate <= 0 { // the limit has been removed meanwhile
		return Decision{Admitted: true}
	}
	g.refill(e, now)
	return g.admitContended(e, t, now)
}

// admitContended admits the call of t, if the tokens that are left beside those kept for more
// urgent calls cover it, and no call that waits goes before it. The lock is held.
func (g *GossipLimiter) admitContended(e *workspaceState, t *turn, now time.Time) Decision {
	if !now.Before(e.pendingUntil) {
		e.pendingCost = 0
	}
	// Large calls that were refused hold back only calls that are not more urgent.
	need := float64(t.Cost)
	if t.Priority >= e.pendingPriority {
		need = max(need, e.pendingCost)
	}
	rate := g.ownPart(e) * e.rate * g.reachableFraction
	need = min(need+e.contention.reserve(t.Priority, rate, e.burst*g.reachableFraction), e.burst*g.reachableFraction)
	if e.level < need {
		wait := time.Duration((need - e.level) / (e.rate * g.reachableFraction) * float64(time.Second))
		if float64(t.Cost) >= e.pendingCost {
			e.pendingCost, e.pendingPriority, e.pendingUntil = float64(t.Cost), t.Priority, now.Add(wait+pendingGrace)
		}
		return Decision{Wait: e.contention.promise(float64(t.Cost), rate, now.Add(wait), now)}
	}
	use := e.contention.use(t.Priority)
	if now.Before(use.nextAdmission) {
		return Decision{Wait: use.nextAdmission.Sub(now), Paced: true}
	}
	if slices.ContainsFunc(e.contention.turns, func(o *turn) bool { return o != t && o.compare(t) < 0 }) {
		return Decision{Wait: minTurnWait, Paced: true}
	}
	use.admitted += float64(t.Cost)
	e.contention.pace(use.priority, g.pacingDelay(e, float64(t.Cost)), now)
	g.charge(e, float64(t.Cost))
	return Decision{Admitted: true}
}

// promise returns the time after which a refused call may return, behind those that were
// refused before it, so that they do not all return at once. The tokens are there at at.
func (c *contention) promise(cost, rate float64, at, now time.Time) time.Duration {
	if c.promisedUntil.Before(at) {
		c.promisedUntil = at
	}
	wait := min(maxReturnWait, c.promisedUntil.Sub(now))
	if rate > 0 && wait < maxReturnWait {
		c.promisedUntil = c.promisedUntil.Add(time.Duration(min(cost/rate, maxReturnWait.Seconds()) * float64(time.Second)))
	}
	return wait
}
