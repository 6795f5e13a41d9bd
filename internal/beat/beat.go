// Package beat defines the heartbeats that VMs exchange directly.
package beat

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/claim"
	"knapweedplank.org/plank/internal/lease"
	"knapweedplank.org/plank/internal/limit"
	"knapweedplank.org/plank/internal/member"
	"knapweedplank.org/plank/internal/peer"
	"knapweedplank.org/plank/internal/poison"
	"knapweedplank.org/plank/internal/runner"
	"knapweedplank.org/plank/internal/wire"
)

// The size and pace of heartbeats.
const (
	// distantEvery is how many rounds pass between heartbeats to VMs of other
	// failure domains.
	distantEvery = 2
	// contacts is how many VMs of each other domain this VM exchanges
	// heartbeats with, so that their number grows with the number of domains
	// and not of VMs.
	contacts    = 2
	maxSpares   = 32
	maxSuspects = 16
	callTime    = time.Second
)

// A Source tells what a VM reports of itself.
type Source interface {
	Statuses() []runner.Status
	Applied() plank.NoteNumber
	Leaving() bool
	// Records returns the records of all domains, as known.
	Records() []claim.Record
}

// A Beater exchanges heartbeats with other VMs.
type Beater struct {
	self   lease.Identity
	seeds  []string
	hub    *peer.Hub
	table  *member.Table
	book   *limit.Book
	poison *poison.Table
	source Source
	clock  plank.Clock

	mu    sync.Mutex
	state *wire.State
	seq   uint64

	cancel context.CancelFunc
	done   chan struct{}
}

// New starts the heartbeats.
func New(self lease.Identity, seeds []string, hub *peer.Hub, table *member.Table, book *limit.Book, poisons *poison.Table, source Source, clock plank.Clock) *Beater {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Beater{
		self: self, seeds: seeds, hub: hub, table: table, book: book, poison: poisons, source: source, clock: clock,
		state: &wire.State{}, seq: 1, cancel: cancel, done: make(chan struct{}),
	}
	go func() {
		defer close(b.done)
		b.run(ctx)
	}()
	return b
}

// Close stops the heartbeats.
func (b *Beater) Close() {
	b.cancel()
	<-b.done
}

// run sends a round of heartbeats every BeatEvery. A peer that is slow to
// answer does not hold up the others.
func (b *Beater) run(ctx context.Context) {
	ticker := time.NewTicker(member.BeatEvery)
	defer ticker.Stop()
	busy := newBusySet()
	for round := 0; ; round++ {
		for _, t := range b.targets(round%distantEvery == 0) {
			if !busy.enter(t.address) {
				continue
			}
			go func() {
				defer busy.leave(t.address)
				b.exchange(ctx, t)
			}()
		}
		b.table.Forget(b.clock.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// A target is a VM to send a heartbeat to; the VM of a seed is not known.
type target struct {
	vm      plank.VMID
	address string
}

// targets lists the VMs of the own domain and, if distant, contacts in others.
func (b *Beater) targets(distant bool) []target {
	var targets []target
	add := func(vm plank.VMID, address string) {
		known := slices.ContainsFunc(targets, func(t target) bool { return t.address == address })
		if vm != b.self.VM && address != b.self.Address && !known {
			targets = append(targets, target{vm, address})
		}
	}
	for _, r := range b.source.Records() {
		switch {
		case r.Domain == b.self.Domain:
			for _, m := range r.Members {
				add(m.VM, m.Address)
			}
		case distant:
			for _, m := range b.contactsIn(r) {
				add(m.VM, m.Address)
			}
		}
	}
	for _, p := range b.table.Peers() {
		if p.Domain == b.self.Domain {
			add(p.VM, p.Address)
		}
	}
	if distant {
		for _, seed := range b.seeds {
			add("", seed)
		}
	}
	return targets
}

// contactsIn picks the VMs of another domain by rendezvous hashing.
func (b *Beater) contactsIn(r claim.Record) []claim.Member {
	members := slices.Clone(r.Members)
	rank := func(m claim.Member) uint64 { return xxhash.Sum64String(string(b.self.VM) + "/" + string(m.VM)) }
	slices.SortFunc(members, func(x, y claim.Member) int {
		if rank(x) < rank(y) {
			return -1
		}
		return 1
	})
	return members[:min(contacts, len(members))]
}

// exchange sends one heartbeat and takes the answer.
func (b *Beater) exchange(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	sent := b.clock.Now()
	var reply wire.Heartbeat
	err := b.hub.Call(ctx, t.address, &wire.Call{Body: &wire.Call_Heartbeat{Heartbeat: b.Make(t.vm)}}, &reply)
	if err != nil {
		return
	}
	b.Take(&reply, sent)
}

// Take merges a heartbeat. sent is when the one that it answers was sent, or
// zero.
func (b *Beater) Take(hb *wire.Heartbeat, sent time.Time) {
	b.table.Take(hb, sent, b.clock.Now(), b.self.Boot)
	for _, s := range hb.GetSuspects() {
		b.poison.Merge(poison.FromWire(s))
	}
}

// Make returns this VM's heartbeat for another VM. The state is left out when
// the other is known to have it.
func (b *Beater) Make(to plank.VMID) *wire.Heartbeat {
	statuses := b.source.Statuses()
	state, seq := b.update(statuses)
	seen, bootHash, acked := b.table.Seen(to)
	hb := &wire.Heartbeat{
		Vm: string(b.self.VM), Boot: string(b.self.Boot), Domain: string(b.self.Domain), Address: b.self.Address,
		Applied: uint64(b.source.Applied()), Leaving: b.source.Leaving(), StateSeq: seq, SeenSeq: seen, SeenBootHash: bootHash,
	}
	if acked != seq {
		hb.State = state
	}
	for _, st := range statuses {
		hb.Loads = append(hb.Loads, &wire.EndpointLoad{Endpoint: string(st.Endpoint), Outstanding: uint32(st.Outstanding), WaitingLoads: uint32(st.Loads)})
	}
	for ws, tokens := range b.book.Spares() {
		if len(hb.Spares) < maxSpares {
			hb.Spares = append(hb.Spares, &wire.Spare{Workspace: string(ws), Tokens: float64(tokens)})
		}
	}
	for _, e := range b.poison.All(maxSuspects) {
		hb.Suspects = append(hb.Suspects, e.ToWire())
	}
	return hb
}

// update returns the present state with its version, which rises when the state
// changed.
func (b *Beater) update(statuses []runner.Status) (*wire.State, uint64) {
	state := &wire.State{}
	for _, st := range statuses {
		state.Endpoints = append(state.Endpoints, &wire.EndpointState{
			Endpoint: string(st.Endpoint), Term: uint64(st.Term), Up: st.Up, Leaving: st.Leaving,
			Resident: names(st.Resident), Loading: names(st.Loading),
		})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !proto.Equal(state, b.state) {
		b.state = state
		b.seq++
	}
	return b.state, b.seq
}

func names(models []plank.Model) []string {
	out := make([]string, len(models))
	for i, m := range models {
		out[i] = m.String()
	}
	slices.Sort(out)
	return out
}

// A busySet holds the addresses with an exchange under way.
type busySet struct {
	mu   sync.Mutex
	busy map[string]bool
}

func newBusySet() *busySet { return &busySet{busy: make(map[string]bool)} }

func (s *busySet) enter(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[address] {
		return false
	}
	s.busy[address] = true
	return true
}

func (s *busySet) leave(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, address)
}
