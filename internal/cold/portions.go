package cold

import (
	"encoding/binary"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"knapweedplank.org/plank"
)

// Portions decide which requests this VM may send to cold replicas of plain services, for
// which no VM grants. They address a failure domain that comes back cold while all VMs send to
// it: without them each VM of a large fleet would send a request of its own at once.
//
// A replica has a few slots of one request per second each. Each slot belongs to one of the
// known VMs, by rendezvous hashing, and passes to another one regularly. Every second one slot
// passes on, so in any second there is at most one request per slot, plus one for each of two
// slots that pass on. Half of the bound suffices for this, so that two parts of a fleet that
// have forgotten each other stay within the bound. Portions are safe for concurrent use.
type Portions struct {
	self  plank.VMID
	known func() (vms []plank.VMID, unnamed int)
	table *Table
	clock plank.Clock
	bound Bound

	mu sync.Mutex
	// notBefore is the earliest time of a request: a process that was killed and started
	// again does not know what it sent before.
	notBefore time.Time
	sent      map[plank.Run][]time.Time // within the window
	second    int64                     // that vms and own were computed for
	vms       []string
	own       map[plank.EndpointID]int // number of slots of this VM
}

// NewPortions returns the portions of the VM self. known returns the other VMs that count as
// part of the fleet, reachable or not, and the number of those whose names are not known yet.
func NewPortions(self plank.VMID, known func() ([]plank.VMID, int), table *Table, bound Bound, clock plank.Clock) *Portions {
	return &Portions{
		self: self, known: known, table: table, clock: clock, bound: bound, notBefore: clock.Now().Add(window),
		sent: make(map[plank.Run][]time.Time), own: make(map[plank.EndpointID]int),
	}
}

// slots returns the number of slots of a replica.
func (b Bound) slots(rate float64) int {
	return max(1, min(int(math.Floor(rate)), b.PerSecond(rate)/2-2))
}

// NextAt returns the earliest time at which this VM may send a request to a cold replica; the
// zero time if it may do so now. It is an estimate if the VM has no slot.
func (p *Portions) NextAt(inst plank.Instance) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if next := p.nextAt(inst, now); next.After(now) {
		return next
	}
	return time.Time{}
}

// Take takes the right to send one request to a cold replica now. It reports false if this VM
// may not send one.
func (p *Portions) Take(inst plank.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if p.nextAt(inst, now).After(now) {
		return false
	}
	p.sent[inst.Run()] = append(p.sent[inst.Run()], now)
	return true
}

// nextAt implements NextAt. The lock is held.
func (p *Portions) nextAt(inst plank.Instance, now time.Time) time.Time {
	next := later(p.notBefore, p.table.notBefore(inst.Run()))
	own := p.ownSlots(inst, now)
	if own == 0 {
		return later(next, now.Truncate(time.Second).Add(time.Second)) // when the next slot passes on
	}
	run := inst.Run()
	recent := p.sent[run]
	for len(recent) > 0 && now.Sub(recent[0]) >= window {
		recent = recent[1:]
	}
	p.sent[run] = recent
	if len(recent) >= own {
		next = later(next, recent[len(recent)-own].Add(window))
	}
	return next
}

// ownSlots returns the number of slots of a replica that belong to this VM now. The lock is
// held.
func (p *Portions) ownSlots(inst plank.Instance, now time.Time) int {
	if second := now.Unix(); second != p.second {
		p.second = second
		clear(p.own)
		maps.DeleteFunc(p.sent, func(_ plank.Run, sent []time.Time) bool {
			return len(sent) == 0 || now.Sub(sent[len(sent)-1]) >= window
		})
		p.vms = p.vms[:0]
		vms, unnamed := p.known()
		for _, vm := range vms {
			p.vms = append(p.vms, string(vm))
		}
		for n := range unnamed {
			p.vms = append(p.vms, string(binary.AppendUvarint([]byte("\x00"), uint64(n))))
		}
	}
	own, ok := p.own[inst.ID]
	if !ok {
		own = p.countSlots(inst)
		p.own[inst.ID] = own
	}
	return own
}

// countSlots computes the number of this VM's slots of a replica. The lock is held.
func (p *Portions) countSlots(inst plank.Instance) (own int) {
	slots := p.bound.slots(p.table.Rate(inst.Service))
	for k := range slots {
		turn := (p.second + int64(k)) / int64(slots)
		prefix := binary.AppendVarint([]byte(inst.ID), int64(k))
		prefix = append(binary.AppendVarint(prefix, turn), 0)
		weight := func(vm string) uint64 { return xxhash.Sum64(append(prefix, vm...)) }
		self, first := weight(string(p.self)), true
		for _, vm := range p.vms {
			if weight(vm) > self {
				first = false
				break
			}
		}
		if first {
			own++
		}
	}
	return own
}
