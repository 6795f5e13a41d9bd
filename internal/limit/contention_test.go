package limit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
)

type virtualClock struct{ now time.Time }

// Now implements plank.Clock.
func (c *virtualClock) Now() time.Time { return c.now }

// A hotWorkspace replays a workspace that sends several times its rate to the VMs of a fleet whose
// messages take a second.
type hotWorkspace struct {
	clock *virtualClock
	vms   []*GossipLimiter
	// asked and served are the numbers of calls by priority, tokens what was admitted, and
	// refusedWithTokens the calls that were refused although the tokens covered them.
	asked, served     map[int]int
	tokens            float64
	refusedWithTokens int
}

const (
	hotRate  = 60_000.0
	hotVMs   = 19
	hotTurn  = 250 * time.Millisecond // how long a call may wait
	hotSteps = 10 * time.Millisecond
)

func newHotWorkspace(contended bool) *hotWorkspace {
	h := &hotWorkspace{clock: &virtualClock{time.Unix(1_800_000_000, 0)}, asked: map[int]int{}, served: map[int]int{}}
	for range hotVMs {
		n := uint64(0)
		g := NewGossipLimiter(h.clock, true, func() uint64 { n++; return n })
		g.SetContended(contended)
		g.SetLimits([]plank.Workspace{{ID: "w", Rate: hotRate, Burst: hotRate, ByToken: true}})
		h.vms = append(h.vms, g)
	}
	return h
}

// exchange delivers the messages between all VMs.
func (h *hotWorkspace) exchange() {
	for a, from := range h.vms {
		var reachable []plank.VMID
		for b, to := range h.vms {
			if a != b {
				reachable = append(reachable, plank.VMID(fmt.Sprint(b)))
				to.MergeUsages(plank.VMID(fmt.Sprint(a)), "boot", true, from.ChangedSince(0), 0)
			}
		}
		from.SetReachable(reachable, hotVMs)
	}
}

// A waitingCall is a call in its turn at a VM.
type waitingCall struct {
	vm    *GossipLimiter
	turn  *turn
	dueAt time.Time
	until time.Time
}

// play sends calls for a duration: load of priority 0 and cost 1,400 and half as many of priority
// 1 and cost 9,300, together factor times the rate.
func (h *hotWorkspace) play(d time.Duration, factor float64) {
	var waiting []waitingCall
	step, owed := 0, 0.0
	for end := h.clock.now.Add(d); h.clock.now.Before(end); h.clock.now = h.clock.now.Add(hotSteps) {
		if step++; step%100 == 0 {
			h.exchange()
		}
		rest := waiting[:0]
		for _, w := range waiting {
			if w.dueAt.After(h.clock.now) {
				rest = append(rest, w)
				continue
			}
			decision := w.vm.retry("w", w.turn)
			w.dueAt = h.clock.now.Add(max(minTurnWait, decision.Wait))
			if decision.Paced && !w.dueAt.After(w.until) {
				rest = append(rest, w)
				continue
			}
			w.vm.dequeue("w", w.turn)
			h.count(w.vm, w.turn.Demand, decision)
		}
		waiting = rest
		for owed += factor * hotRate * hotSteps.Seconds(); owed > 0; {
			for k, demand := range []Demand{{1400, 0}, {1400, 0}, {9300, 1}} {
				owed -= float64(demand.Cost)
				vm := h.vms[(step*7+k*5)%hotVMs]
				h.asked[demand.Priority]++
				decision := vm.Admit("w", demand)
				until := h.clock.now.Add(hotTurn)
				if decision.Paced && !decision.Admitted {
					if t, _ := vm.enqueue("w", demand, until); t != nil {
						waiting = append(waiting, waitingCall{vm, t, h.clock.now.Add(decision.Wait), until})
						continue
					}
				}
				h.count(vm, demand, decision)
			}
		}
	}
}

func (h *hotWorkspace) count(vm *GossipLimiter, d Demand, decision Decision) {
	if decision.Admitted {
		h.served[d.Priority]++
		h.tokens += float64(d.Cost)
	} else if vm.entries["w"].level >= float64(d.Cost)+vm.entries["w"].contention.reserve(d.Priority, hotRate/hotVMs, hotRate) {
		h.refusedWithTokens++
	}
}

func (h *hotWorkspace) share(priority int) float64 {
	return float64(h.served[priority]) / float64(max(1, h.asked[priority]))
}

// Guards against urgent calls that are refused with all others while a workspace sends four times
// its rate, and against less urgent ones that are then never served. The limit is the platform's.
func TestUrgentCallsOfAHotWorkspaceAreServedFirst(t *testing.T) {
	off, on := newHotWorkspace(false), newHotWorkspace(true)
	for _, h := range []*hotWorkspace{off, on} {
		h.play(2*time.Second, 0.5) // messages have been exchanged
		h.asked, h.served, h.tokens, h.refusedWithTokens = map[int]int{}, map[int]int{}, 0, 0
		h.play(8*time.Second, 4.2)
	}
	t.Logf("urgent %.2f, less urgent %.2f, tokens %.0f, refused with tokens %d; by arrival %.2f, %.2f, %.0f, %d",
		on.share(0), on.share(1), on.tokens, on.refusedWithTokens, off.share(0), off.share(1), off.tokens, off.refusedWithTokens)
	assert.Assert(t, on.share(0) > 1.5*on.share(1), "urgent %v, less urgent %v", on.share(0), on.share(1))
	assert.Assert(t, on.share(0) > off.share(0))
	assert.Assert(t, on.share(1) > 0.25*(on.share(0)+on.share(1))/2, "less urgent calls starve: %v of %v", on.share(1), on.share(0))
	const allowed = (hotRate*8+hotRate)*1.1 + 72_000
	assert.Assert(t, on.tokens <= allowed, "%v of %v tokens", on.tokens, allowed)
}

// Guards against calls that are refused by pacing alone, half of all refusals once.
func TestPacedCallsWaitForTheirTurn(t *testing.T) {
	off, on := newHotWorkspace(false), newHotWorkspace(true)
	for _, h := range []*hotWorkspace{off, on} {
		h.play(8*time.Second, 0.95)
	}
	refused := func(h *hotWorkspace) int { return h.asked[0] + h.asked[1] - h.served[0] - h.served[1] }
	t.Logf("refused %d of %d; without turns %d", refused(on), on.asked[0]+on.asked[1], refused(off))
	assert.Assert(t, 2*refused(on) < refused(off), "refused %d, without turns %d", refused(on), refused(off))
}

// Guards against refused calls that all return at the same time.
func TestRefusedCallsReturnOneAfterTheOther(t *testing.T) {
	h := newHotWorkspace(true)
	vm := h.vms[0]
	for vm.Admit("w", Demand{9300, 1}).Admitted {
	}
	first, second := vm.Admit("w", Demand{9300, 1}), vm.Admit("w", Demand{9300, 1})
	assert.Assert(t, first.Wait > 0 && second.Wait >= first.Wait+100*time.Millisecond, "%v, %v", first.Wait, second.Wait)
	for range 100 {
		assert.Assert(t, vm.Admit("w", Demand{9300, 1}).Wait <= maxReturnWait)
	}
}

// Guards against odd priorities and costs that grow the state or stop the limiter.
func TestOddDemands(t *testing.T) {
	h := newHotWorkspace(true)
	for n := range 1000 {
		h.vms[0].Admit("w", Demand{Cost: plank.Tokens(n * 1_000_000), Priority: n*7919%1000 - 500})
	}
	assert.Assert(t, len(h.vms[0].entries["w"].contention.uses) <= maxClasses)
	h.clock.now = h.clock.now.Add(time.Minute)
	assert.Assert(t, h.vms[0].Admit("w", Demand{Cost: 100}).Admitted)
}
