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
	// remoteRounds is how many rounds pass between heartbeats to VMs of other
	// failure domains, and manyEvery where there are more than few others.
	// Changes of state go out at once all the same.
	remoteRounds     = 4
	remoteRoundsMany = 8
	fewDomains       = 4
	// maxRemotePeers bounds the VMs of other domains that this VM sends heartbeats
	// to, so that their number does not grow with that of VMs. Each domain has
	// at least one.
	maxRemotePeers = 6
	maxSpares      = 32
	maxSuspects    = 16
	// replyTimeout bounds the wait for the answer to a heartbeat.
	replyTimeout = 1500 * time.Millisecond
	// streamIdleTimeout is how long a stream may carry no heartbeat.
	streamIdleTimeout = 10 * time.Second
	// reportMaxAge is how long what a VM reports of itself is used again.
	reportMaxAge = 200 * time.Millisecond
	// stateCheckInterval is the pause between looks for news that is worth a heartbeat
	// at once: which adapters are loaded, and which endpoints take no work.
	stateCheckInterval = 250 * time.Millisecond
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
	self      lease.Identity
	seeds     []string
	transport *peer.Transport
	table     *member.Table
	limiter   *limit.ShareLimiter
	poison    *poison.Table
	source    Source
	clock     plank.Clock

	mu         sync.Mutex
	state      *wire.State
	stateSeq   uint64          // version of state
	report     *wire.Heartbeat // what is the same for all receivers
	reportedAt time.Time
	streams    map[string]*peer.Stream // open ones, by address
	// retired is set for the last heartbeats of a run that has drained.
	retired atomic.Bool

	cancel context.CancelFunc
	done   chan struct{}
}

// New starts the heartbeats.
func New(self lease.Identity, seeds []string, transport *peer.Transport, table *member.Table, limiter *limit.ShareLimiter, poisons *poison.Table, source Source, clock plank.Clock) *Exchanger {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Exchanger{
		self: self, seeds: seeds, transport: transport, table: table, limiter: limiter, poison: poisons, source: source, clock: clock,
		state: &wire.State{}, stateSeq: 1, streams: make(map[string]*peer.Stream), cancel: cancel, done: make(chan struct{}),
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
	var acknowledged atomic.Int32
	var wg sync.WaitGroup
	for _, t := range b.targets(false, true) {
		wg.Go(func() {
			if b.exchange(ctx, t) == nil {
				acknowledged.Add(1)
			}
		})
	}
	wg.Wait()
	return int(acknowledged.Load())
}

// run sends a round of heartbeats every BeatEvery. A peer that is slow to
// answer does not hold up the others.
func (b *Exchanger) run(ctx context.Context) {
	stateCheck := time.NewTicker(stateCheckInterval)
	defer stateCheck.Stop()
	busy := newBusySet()
	sentSeq := uint64(0) // version of the state that went out to all
	for round := 0; ; {
		report, _ := b.refresh()
		stateChanged := report.GetStateSeq() != sentSeq
		sentSeq = report.GetStateSeq()
		interval, remoteEvery := b.schedule()
		for _, t := range b.targets(stateChanged || round%remoteEvery == 0, stateChanged) {
			if !busy.acquire(t.address) {
				continue
			}
			go func() {
				defer busy.release(t.address)
				_ = b.exchange(ctx, t) // a silent VM is noticed by its missing heartbeats
			}()
		}
		b.table.RemoveExpired(b.clock.Now())
		timer := time.NewTimer(interval)
		for waiting := true; waiting; {
			select {
			case <-timer.C:
				round++
				waiting = false
			case <-stateCheck.C:
				report, _ := b.refresh()
				waiting = report.GetStateSeq() == sentSeq
			case <-ctx.Done():
				timer.Stop()
				return
			}
		}
		timer.Stop()
	}
}

// schedule returns the pause between heartbeats in the own domain, and how many
// rounds pass between those to others.
func (b *Exchanger) schedule() (interval time.Duration, remoteEvery int) {
	interval, remoteEvery = member.MinHeartbeatInterval, remoteRounds
	records := b.source.Records()
	if len(records)-1 > fewDomains {
		remoteEvery = remoteRoundsMany
	}
	for _, r := range records {
		if r.Domain == b.self.Domain {
			interval = max(interval, time.Duration(len(r.Members))*member.HeartbeatIntervalPerVM)
		}
	}
	return min(interval, member.MaxHeartbeatInterval), remoteEvery
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
func (b *Exchanger) targets(remote, all bool) []target {
	var targets []target
	add := func(vm plank.VMID, address string) {
		known := slices.ContainsFunc(targets, func(t target) bool { return t.address == address })
		if vm != b.self.VM && address != b.self.Address && !known {
			targets = append(targets, target{vm, address})
		}
	}
	now := b.clock.Now()
	peers := b.table.Peers()
	initiates := func(vm plank.VMID) bool {
		i := slices.IndexFunc(peers, func(p member.Peer) bool { return p.VM == vm })
		return !all && vm < b.self.VM && i >= 0 && now.Sub(peers[i].LastReceived) < member.HeartbeatTimeout
	}
	records := b.source.Records()
	perDomain := max(1, maxRemotePeers/max(1, len(records)-1))
	for _, r := range records {
		switch {
		case r.Domain == b.self.Domain:
			for _, m := range r.Members {
				if !initiates(m.VM) {
					add(m.VM, m.Address)
				}
			}
		case remote:
			for _, m := range b.remotePeers(r, perDomain) {
				add(m.VM, m.Address)
			}
		}
	}
	for _, p := range peers {
		if p.Domain == b.self.Domain && !initiates(p.VM) {
			add(p.VM, p.Address)
		}
	}
	if remote || len(peers) == 0 {
		for _, seed := range b.seeds {
			if !slices.ContainsFunc(peers, func(p member.Peer) bool { return p.Address == seed }) {
				add("", seed)
			}
		}
	}
	return targets
}

// remotePeers picks n VMs of another domain by rendezvous hashing.
func (b *Exchanger) remotePeers(r claim.Record, n int) []claim.Member {
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
	hb := b.newHeartbeat(t.vm)
	s, opened, err := b.openStream(ctx, t.address, hb)
	if err != nil {
		return err
	}
	var reply wire.Heartbeat
	err = s.SetDeadline(time.Now().Add(replyTimeout))
	if err == nil && !opened {
		err = s.Send(hb)
	}
	if err == nil {
		err = s.Receive(&reply)
	}
	if err != nil {
		b.closeStream(t.address, s)
		return err
	}
	b.merge(&reply)
	return nil
}

// openStream returns the open openStream to an address, or opens one with a heartbeat.
func (b *Exchanger) openStream(ctx context.Context, address string, hb *wire.Heartbeat) (s *peer.Stream, opened bool, err error) {
	b.mu.Lock()
	s = b.streams[address]
	b.mu.Unlock()
	if s != nil {
		return s, false, nil
	}
	s, err = b.transport.Open(ctx, address, &wire.Call{Body: &wire.Call_Heartbeat{Heartbeat: hb}})
	if err != nil {
		return nil, false, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streams[address] = s
	return s, true, nil
}

// closeStream closes a stream that failed. The next round opens another.
func (b *Exchanger) closeStream(address string, s *peer.Stream) {
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
		b.merge(hb)
		if err := s.Send(b.newHeartbeat(plank.VMID(hb.GetVm()))); err != nil {
			return
		}
		hb = &wire.Heartbeat{}
		if err := s.SetDeadline(time.Now().Add(streamIdleTimeout)); err != nil {
			return
		}
		if err := s.Receive(hb); err != nil {
			return
		}
	}
}

// merge merges a heartbeat.
func (b *Exchanger) merge(hb *wire.Heartbeat) {
	b.table.MergeHeartbeat(hb, b.clock.Now(), b.self.Boot)
	for _, s := range hb.GetSuspects() {
		b.poison.Merge(poison.FromWire(s))
	}
}

// newHeartbeat returns this VM's heartbeat for another VM. The state is left out when
// the other is known to have it.
func (b *Exchanger) newHeartbeat(to plank.VMID) *wire.Heartbeat {
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
	if b.report != nil && now.Sub(b.reportedAt) < reportMaxAge {
		return b.report, b.state
	}
	statuses := b.source.Statuses()
	b.updateState(statuses)
	hb := &wire.Heartbeat{StateSeq: b.stateSeq}
	for _, st := range statuses {
		hb.Loads = append(hb.Loads, &wire.EndpointLoad{Endpoint: string(st.Endpoint), Outstanding: uint32(st.Outstanding), WaitingLoads: uint32(st.Loads)})
	}
	for ws, tokens := range b.limiter.Spares() {
		if len(hb.Spares) < maxSpares {
			hb.Spares = append(hb.Spares, &wire.Spare{Workspace: string(ws), Tokens: float64(tokens)})
		}
	}
	for _, e := range b.poison.Entries(maxSuspects) {
		hb.Suspects = append(hb.Suspects, e.ToWire())
	}
	b.report, b.reportedAt = hb, now
	return b.report, b.state
}

// updateState makes a new version of the state if it changed. The lock is held.
func (b *Exchanger) updateState(statuses []runner.Status) {
	state := &wire.State{}
	for _, st := range statuses {
		state.Endpoints = append(state.Endpoints, &wire.EndpointState{
			Endpoint: string(st.Endpoint), Term: uint64(st.Term), Up: st.Up, Leaving: st.Leaving,
			Resident: modelNames(st.Resident), Loading: modelNames(st.Loading),
		})
	}
	if !proto.Equal(state, b.state) {
		b.state = state
		b.stateSeq++
	}
}

func modelNames(models []plank.Model) []string {
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

func (s *busySet) acquire(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[address] {
		return false
	}
	s.busy[address] = true
	return true
}

func (s *busySet) release(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, address)
}
