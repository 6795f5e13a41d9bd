// Package beat defines the heartbeats that VMs exchange directly.
package beat

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
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
	// failure domains, and manyEvery where there are more than few others.
	// Changes of state go out at once all the same.
	distantEvery = 4
	manyEvery    = 8
	few          = 4
	// maxContacts bounds the VMs of other domains that this VM sends heartbeats
	// to, so that their number does not grow with that of VMs. Each domain has
	// at least one.
	maxContacts = 6
	maxSpares   = 32
	maxSuspects = 16
	// answerTime bounds the wait for the answer to a heartbeat.
	answerTime = 1500 * time.Millisecond
	// idleTime is how long a stream may carry no heartbeat.
	idleTime = 10 * time.Second
	// reportTime is how long what a VM reports of itself is used again.
	reportTime = 200 * time.Millisecond
	// newsEvery is the pause between looks for news that is worth a heartbeat
	// at once: which adapters are loaded, and which endpoints take no work.
	newsEvery = 250 * time.Millisecond
)

// A Source tells what a VM reports of itself.
type Source interface {
	Statuses() []runner.Status
	Applied() plank.NoteNumber
	Leaving() bool
	// Records returns the records of all domains, as known.
	Records() []claim.Record
}

// A Exchanger exchanges heartbeats with other VMs.
type Exchanger struct {
	self   lease.Identity
	seeds  []string
	hub    *peer.Transport
	table  *member.Table
	book   *limit.ShareLimiter
	poison *poison.Table
	source Source
	clock  plank.Clock

	mu       sync.Mutex
	state    *wire.State
	seq      uint64          // version of state
	report   *wire.Heartbeat // what is the same for all receivers
	reported time.Time
	streams  map[string]*peer.Stream // open ones, by address
	// retired is set for the last heartbeats of a run that has drained.
	retired atomic.Bool

	cancel context.CancelFunc
	done   chan struct{}
}

// New starts the heartbeats.
func New(self lease.Identity, seeds []string, hub *peer.Transport, table *member.Table, book *limit.ShareLimiter, poisons *poison.Table, source Source, clock plank.Clock) *Exchanger {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Exchanger{
		self: self, seeds: seeds, hub: hub, table: table, book: book, poison: poisons, source: source, clock: clock,
		state: &wire.State{}, seq: 1, streams: make(map[string]*peer.Stream), cancel: cancel, done: make(chan struct{}),
	}
	go func() {
		defer close(b.done)
		b.run(ctx)
	}()
	return b
}

// Close stops the heartbeats.
func (b *Exchanger) Close() {
	b.cancel()
	<-b.done
}

// Retire ends the heartbeats with a last one to each VM of the own domain, and
// returns how many have answered it in time. It must be called only after the
// lease's keeper has ended, since a VM that retired takes nothing over.
func (b *Exchanger) Retire(ctx context.Context) int {
	b.Close()
	b.retired.Store(true)
	b.mu.Lock()
	clear(b.streams) // they ended with the heartbeats so far
	b.mu.Unlock()
	var told atomic.Int32
	var wg sync.WaitGroup
	for _, t := range b.targets(false, true) {
		wg.Go(func() {
			if b.exchange(ctx, t) == nil {
				told.Add(1)
			}
		})
	}
	wg.Wait()
	return int(told.Load())
}

// run sends a round of heartbeats every BeatEvery. A peer that is slow to
// answer does not hold up the others.
func (b *Exchanger) run(ctx context.Context) {
	news := time.NewTicker(newsEvery)
	defer news.Stop()
	busy := newBusySet()
	told := uint64(0) // version of the state that went out to all
	for round := 0; ; {
		report, _ := b.refresh()
		isNews := report.GetStateSeq() != told
		told = report.GetStateSeq()
		every, distance := b.pace()
		for _, t := range b.targets(isNews || round%distance == 0, isNews) {
			if !busy.enter(t.address) {
				continue
			}
			go func() {
				defer busy.leave(t.address)
				_ = b.exchange(ctx, t) // a silent VM is noticed by its missing heartbeats
			}()
		}
		b.table.RemoveExpired(b.clock.Now())
		timer := time.NewTimer(every)
		for waiting := true; waiting; {
			select {
			case <-timer.C:
				round++
				waiting = false
			case <-news.C:
				report, _ := b.refresh()
				waiting = report.GetStateSeq() == told
			case <-ctx.Done():
				timer.Stop()
				return
			}
		}
		timer.Stop()
	}
}

// pace returns the pause between heartbeats in the own domain, and how many
// rounds pass between those to others.
func (b *Exchanger) pace() (every time.Duration, distance int) {
	every, distance = member.MinHeartbeatInterval, distantEvery
	records := b.source.Records()
	if len(records)-1 > few {
		distance = manyEvery
	}
	for _, r := range records {
		if r.Domain == b.self.Domain {
			every = max(every, time.Duration(len(r.Members))*member.HeartbeatIntervalPerVM)
		}
	}
	return min(every, member.MaxHeartbeatInterval), distance
}

// A target is a VM to send a heartbeat to; the VM of a seed is not known.
type target struct {
	vm      plank.VMID
	address string
}

// targets lists the VMs to send a heartbeat to: of the own domain those with a
// higher name, since one exchange serves both sides, and those that are silent;
// and if distant, contacts in other domains. With all, none of the own domain is
// left out.
func (b *Exchanger) targets(distant, all bool) []target {
	var targets []target
	add := func(vm plank.VMID, address string) {
		known := slices.ContainsFunc(targets, func(t target) bool { return t.address == address })
		if vm != b.self.VM && address != b.self.Address && !known {
			targets = append(targets, target{vm, address})
		}
	}
	now := b.clock.Now()
	peers := b.table.Peers()
	serves := func(vm plank.VMID) bool {
		i := slices.IndexFunc(peers, func(p member.Peer) bool { return p.VM == vm })
		return !all && vm < b.self.VM && i >= 0 && now.Sub(peers[i].LastReceived) < member.HeartbeatTimeout
	}
	records := b.source.Records()
	contacts := max(1, maxContacts/max(1, len(records)-1))
	for _, r := range records {
		switch {
		case r.Domain == b.self.Domain:
			for _, m := range r.Members {
				if !serves(m.VM) {
					add(m.VM, m.Address)
				}
			}
		case distant:
			for _, m := range b.contactsIn(r, contacts) {
				add(m.VM, m.Address)
			}
		}
	}
	for _, p := range peers {
		if p.Domain == b.self.Domain && !serves(p.VM) {
			add(p.VM, p.Address)
		}
	}
	if distant || len(peers) == 0 {
		for _, seed := range b.seeds {
			if !slices.ContainsFunc(peers, func(p member.Peer) bool { return p.Address == seed }) {
				add("", seed)
			}
		}
	}
	return targets
}

// contactsIn picks n VMs of another domain by rendezvous hashing.
func (b *Exchanger) contactsIn(r claim.Record, n int) []claim.Member {
	members := slices.Clone(r.Members)
	rank := func(m claim.Member) uint64 { return xxhash.Sum64String(string(b.self.VM) + "/" + string(m.VM)) }
	slices.SortFunc(members, func(x, y claim.Member) int {
		if rank(x) < rank(y) {
			return -1
		}
		return 1
	})
	return members[:min(n, len(members))]
}

// exchange sends one heartbeat and takes the answer, on the stream of earlier
// ones if it is open.
func (b *Exchanger) exchange(ctx context.Context, t target) error {
	hb := b.make(t.vm)
	s, fresh, err := b.stream(ctx, t.address, hb)
	if err != nil {
		return err
	}
	var reply wire.Heartbeat
	err = s.SetDeadline(time.Now().Add(answerTime))
	if err == nil && !fresh {
		err = s.Send(hb)
	}
	if err == nil {
		err = s.Receive(&reply)
	}
	if err != nil {
		b.drop(t.address, s)
		return err
	}
	b.take(&reply)
	return nil
}

// stream returns the open stream to an address, or opens one with a heartbeat.
func (b *Exchanger) stream(ctx context.Context, address string, hb *wire.Heartbeat) (s *peer.Stream, fresh bool, err error) {
	b.mu.Lock()
	s = b.streams[address]
	b.mu.Unlock()
	if s != nil {
		return s, false, nil
	}
	s, err = b.hub.Open(ctx, address, &wire.Call{Body: &wire.Call_Heartbeat{Heartbeat: hb}})
	if err != nil {
		return nil, false, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streams[address] = s
	return s, true, nil
}

// drop closes a stream that failed. The next round opens another.
func (b *Exchanger) drop(address string, s *peer.Stream) {
	s.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.streams[address] == s {
		delete(b.streams, address)
	}
}

// Serve answers the heartbeats of a stream that another VM opened.
func (b *Exchanger) Serve(first *wire.Heartbeat, s *peer.Stream) {
	hb := first
	for hb.GetVm() != "" {
		b.take(hb)
		if err := s.Send(b.make(plank.VMID(hb.GetVm()))); err != nil {
			return
		}
		hb = &wire.Heartbeat{}
		if err := s.SetDeadline(time.Now().Add(idleTime)); err != nil {
			return
		}
		if err := s.Receive(hb); err != nil {
			return
		}
	}
}

// take merges a heartbeat.
func (b *Exchanger) take(hb *wire.Heartbeat) {
	b.table.MergeHeartbeat(hb, b.clock.Now(), b.self.Boot)
	for _, s := range hb.GetSuspects() {
		b.poison.Merge(poison.FromWire(s))
	}
}

// make returns this VM's heartbeat for another VM. The state is left out when
// the other is known to have it.
func (b *Exchanger) make(to plank.VMID) *wire.Heartbeat {
	report, state := b.refresh()
	hb := &wire.Heartbeat{
		Vm: string(b.self.VM), Boot: string(b.self.Boot), Domain: string(b.self.Domain), Address: b.self.Address,
		Applied: uint64(b.source.Applied()), Leaving: b.source.Leaving(), Retired: b.retired.Load(), StateSeq: report.GetStateSeq(),
		Loads: report.GetLoads(), Spares: report.GetSpares(), Suspects: report.GetSuspects(),
	}
	if b.table.PrepareHeartbeat(hb, to, b.clock.Now()) != hb.GetStateSeq() {
		hb.State = state
	}
	return hb
}

// refresh returns the part of heartbeats that is the same for all receivers.
func (b *Exchanger) refresh() (*wire.Heartbeat, *wire.State) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.report != nil && now.Sub(b.reported) < reportTime {
		return b.report, b.state
	}
	statuses := b.source.Statuses()
	b.update(statuses)
	hb := &wire.Heartbeat{StateSeq: b.seq}
	for _, st := range statuses {
		hb.Loads = append(hb.Loads, &wire.EndpointLoad{Endpoint: string(st.Endpoint), Outstanding: uint32(st.Outstanding), WaitingLoads: uint32(st.Loads)})
	}
	for ws, tokens := range b.book.Spares() {
		if len(hb.Spares) < maxSpares {
			hb.Spares = append(hb.Spares, &wire.Spare{Workspace: string(ws), Tokens: float64(tokens)})
		}
	}
	for _, e := range b.poison.Entries(maxSuspects) {
		hb.Suspects = append(hb.Suspects, e.ToWire())
	}
	b.report, b.reported = hb, now
	return b.report, b.state
}

// update makes a new version of the state if it changed. The lock is held.
func (b *Exchanger) update(statuses []runner.Status) {
	state := &wire.State{}
	for _, st := range statuses {
		state.Endpoints = append(state.Endpoints, &wire.EndpointState{
			Endpoint: string(st.Endpoint), Term: uint64(st.Term), Up: st.Up, Leaving: st.Leaving,
			Resident: names(st.Resident), Loading: names(st.Loading),
		})
	}
	if !proto.Equal(state, b.state) {
		b.state = state
		b.seq++
	}
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
