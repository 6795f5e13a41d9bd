// Package beat implements the heartbeats that VMs exchange directly.
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

// The size and frequency of heartbeats.
const (
	// remoteRounds is the number of rounds between heartbeats to VMs of other
	// failure domains, and remoteRoundsMany the number where there are more than
	// fewDomains of these. Changes of state are sent at once in any case.
	remoteRounds     = 4
	remoteRoundsMany = 8
	fewDomains       = 4
	// maxRemotePeers bounds the VMs of other domains that this VM sends heartbeats
	// to, so that the load does not grow with the number of VMs. At least one VM
	// of each domain receives them, even beyond this bound.
	maxRemotePeers = 6
	maxSpares      = 32
	maxSuspects    = 16
	// replyTimeout bounds the wait for the reply to a heartbeat.
	replyTimeout = 1500 * time.Millisecond
	// streamIdleTimeout is how long the serving side keeps a stream without
	// heartbeats open.
	streamIdleTimeout = 10 * time.Second
	// reportMaxAge is how long a report that was built is reused.
	reportMaxAge = 200 * time.Millisecond
	// stateCheckInterval is the interval of checks for changes of wire.State, such
	// as adapters loaded and endpoints leaving. A change is sent at once.
	stateCheckInterval = 250 * time.Millisecond
)

// A Source provides what a VM reports about itself.
type Source interface {
	// Statuses returns the state of the endpoints that the VM owns.
	Statuses() []runner.Status
	// Applied returns the number of the last release note applied.
	Applied() plank.NoteNumber
	// Leaving reports whether the VM is shutting down.
	Leaving() bool
	// Records returns the records of all domains, as last read.
	Records() []claim.Record
}

// An Exchanger exchanges heartbeats with other VMs.
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
	stateSeq   uint64          // version of state, incremented with each change
	report     *wire.Heartbeat // the part of heartbeats that is the same for all receivers
	reportedAt time.Time
	streams    map[string]*peer.Stream // open ones, by address
	// retired is set for the final heartbeats, after draining.
	retired atomic.Bool

	cancel context.CancelFunc
	done   chan struct{}
}

// New starts the heartbeats.
func New(self lease.Identity, seeds []string, transport *peer.Transport, table *member.Table, limiter *limit.ShareLimiter, poisons *poison.Table, source Source, clock plank.Clock) *Exchanger {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Exchanger{
		self: self, seeds: seeds, transport: transport, table: table, limiter: limiter, poison: poisons, source: source, clock: clock,
		state: &wire.State{}, stateSeq: 1, streams: make(map[string]*peer.Stream), cancel: cancel, done: make(chan struct{}),
	}
	go func() {
		defer close(e.done)
		e.run(ctx)
	}()
	return e
}

// Close stops the heartbeats.
func (e *Exchanger) Close() {
	e.cancel()
	<-e.done
}

// Retire stops the heartbeats after a final one to each VM of the own domain, and
// returns how many VMs replied in time. It must be called only after the lease
// manager has ended, since a VM that is retired must not take over anything.
func (e *Exchanger) Retire(ctx context.Context) int {
	e.Close()
	e.retired.Store(true)
	e.mu.Lock()
	clear(e.streams) // closed when the context of the earlier heartbeats ended
	e.mu.Unlock()
	var acknowledged atomic.Int32
	var wg sync.WaitGroup
	for _, t := range e.targets(false, true) {
		wg.Go(func() {
			if e.exchange(ctx, t) == nil {
				acknowledged.Add(1)
			}
		})
	}
	wg.Wait()
	return int(acknowledged.Load())
}

// run sends heartbeats in rounds, at the interval that schedule returns, and at
// once when the state changes. A peer that replies late does not delay the others.
func (e *Exchanger) run(ctx context.Context) {
	stateCheck := time.NewTicker(stateCheckInterval)
	defer stateCheck.Stop()
	busy := newBusySet()
	sentSeq := uint64(0) // version of the state that was sent to all targets
	for round := 0; ; {
		report, _ := e.refresh()
		stateChanged := report.GetStateSeq() != sentSeq
		sentSeq = report.GetStateSeq()
		interval, remoteEvery := e.schedule()
		for _, t := range e.targets(stateChanged || round%remoteEvery == 0, stateChanged) {
			if !busy.acquire(t.address) {
				continue
			}
			go func() {
				defer busy.release(t.address)
				_ = e.exchange(ctx, t) // the member table detects a VM that does not reply
			}()
		}
		e.table.RemoveExpired(e.clock.Now())
		timer := time.NewTimer(interval)
		for waiting := true; waiting; {
			select {
			case <-timer.C:
				round++
				waiting = false
			case <-stateCheck.C:
				report, _ := e.refresh()
				waiting = report.GetStateSeq() == sentSeq
			case <-ctx.Done():
				timer.Stop()
				return
			}
		}
		timer.Stop()
	}
}

// schedule returns the interval of heartbeats in the own domain, and the number of
// rounds between those to other domains.
func (e *Exchanger) schedule() (interval time.Duration, remoteEvery int) {
	interval, remoteEvery = member.MinHeartbeatInterval, remoteRounds
	records := e.source.Records()
	if len(records)-1 > fewDomains {
		remoteEvery = remoteRoundsMany
	}
	for _, r := range records {
		if r.Domain == e.self.Domain {
			interval = max(interval, time.Duration(len(r.Members))*member.HeartbeatIntervalPerVM)
		}
	}
	return min(interval, member.MaxHeartbeatInterval), remoteEvery
}

// A target is a VM to send a heartbeat to.
type target struct {
	vm      plank.VMID // empty for a seed
	address string
}

// targets returns the VMs to send a heartbeat to. Of the own domain, a VM with a
// lower name is left out while it sends heartbeats itself, since one exchange
// carries the reports of both sides; with all, none is left out. With remote, VMs
// of other domains are included. Seeds that are not the address of a known peer are
// included with remote, or if no peer is known.
func (e *Exchanger) targets(remote, all bool) []target {
	var targets []target
	add := func(vm plank.VMID, address string) {
		known := slices.ContainsFunc(targets, func(t target) bool { return t.address == address })
		if vm != e.self.VM && address != e.self.Address && !known {
			targets = append(targets, target{vm, address})
		}
	}
	now := e.clock.Now()
	peers := e.table.Peers()
	initiates := func(vm plank.VMID) bool {
		i := slices.IndexFunc(peers, func(p member.Peer) bool { return p.VM == vm })
		return !all && vm < e.self.VM && i >= 0 && now.Sub(peers[i].LastReceived) < member.HeartbeatTimeout
	}
	records := e.source.Records()
	perDomain := max(1, maxRemotePeers/max(1, len(records)-1))
	for _, r := range records {
		switch {
		case r.Domain == e.self.Domain:
			for _, m := range r.Members {
				if !initiates(m.VM) {
					add(m.VM, m.Address)
				}
			}
		case remote:
			for _, m := range e.remotePeers(r, perDomain) {
				add(m.VM, m.Address)
			}
		}
	}
	for _, p := range peers {
		if p.Domain == e.self.Domain && !initiates(p.VM) {
			add(p.VM, p.Address)
		}
	}
	if remote || len(peers) == 0 {
		for _, seed := range e.seeds {
			if !slices.ContainsFunc(peers, func(p member.Peer) bool { return p.Address == seed }) {
				add("", seed)
			}
		}
	}
	return targets
}

// remotePeers selects up to n VMs of another domain by rendezvous hashing.
func (e *Exchanger) remotePeers(r claim.Record, n int) []claim.Member {
	members := slices.Clone(r.Members)
	rank := func(m claim.Member) uint64 { return xxhash.Sum64String(string(e.self.VM) + "/" + string(m.VM)) }
	slices.SortFunc(members, func(x, y claim.Member) int {
		if rank(x) < rank(y) {
			return -1
		}
		return 1
	})
	return members[:min(n, len(members))]
}

// exchange sends one heartbeat and merges the reply. It uses the open stream to
// the target if there is one.
func (e *Exchanger) exchange(ctx context.Context, t target) error {
	hb := e.newHeartbeat(t.vm)
	s, opened, err := e.openStream(ctx, t.address, hb)
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
		e.closeStream(t.address, s)
		return err
	}
	e.merge(&reply)
	return nil
}

// openStream returns the open stream to an address. If there is none it opens one,
// which sends hb, and sets opened.
func (e *Exchanger) openStream(ctx context.Context, address string, hb *wire.Heartbeat) (s *peer.Stream, opened bool, err error) {
	e.mu.Lock()
	s = e.streams[address]
	e.mu.Unlock()
	if s != nil {
		return s, false, nil
	}
	s, err = e.transport.Open(ctx, address, &wire.Call{Body: &wire.Call_Heartbeat{Heartbeat: hb}})
	if err != nil {
		return nil, false, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[address] = s
	return s, true, nil
}

// closeStream closes a stream that failed. The next round opens a new one.
func (e *Exchanger) closeStream(address string, s *peer.Stream) {
	s.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[address] == s {
		delete(e.streams, address)
	}
}

// Serve replies to the heartbeats on a stream that another VM opened. first is the
// one with which it was opened.
func (e *Exchanger) Serve(first *wire.Heartbeat, s *peer.Stream) {
	hb := first
	for hb.GetVm() != "" {
		e.merge(hb)
		if err := s.Send(e.newHeartbeat(plank.VMID(hb.GetVm()))); err != nil {
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

// merge updates the tables from a received heartbeat.
func (e *Exchanger) merge(hb *wire.Heartbeat) {
	e.table.MergeHeartbeat(hb, e.clock.Now(), e.self.Boot)
	for _, s := range hb.GetSuspects() {
		e.poison.Merge(poison.FromWire(s))
	}
}

// newHeartbeat returns a heartbeat for the given VM. The state is left out if the
// VM has acknowledged its present version.
func (e *Exchanger) newHeartbeat(to plank.VMID) *wire.Heartbeat {
	report, state := e.refresh()
	hb := &wire.Heartbeat{
		Vm: string(e.self.VM), Boot: string(e.self.Boot), Domain: string(e.self.Domain), Address: e.self.Address,
		Applied: uint64(e.source.Applied()), Leaving: e.source.Leaving(), Retired: e.retired.Load(), StateSeq: report.GetStateSeq(),
		Loads: report.GetLoads(), Spares: report.GetSpares(), Suspects: report.GetSuspects(),
	}
	if e.table.PrepareHeartbeat(hb, to, e.clock.Now()) != hb.GetStateSeq() {
		hb.State = state
	}
	return hb
}

// refresh returns the part of heartbeats that is the same for all receivers, and
// the state. It builds them anew when they are older than reportMaxAge.
func (e *Exchanger) refresh() (*wire.Heartbeat, *wire.State) {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.report != nil && now.Sub(e.reportedAt) < reportMaxAge {
		return e.report, e.state
	}
	statuses := e.source.Statuses()
	e.updateState(statuses)
	hb := &wire.Heartbeat{StateSeq: e.stateSeq}
	for _, st := range statuses {
		hb.Loads = append(hb.Loads, &wire.EndpointLoad{Endpoint: string(st.Endpoint), Outstanding: uint32(st.Outstanding), WaitingLoads: uint32(st.Loads)})
	}
	for ws, tokens := range e.limiter.Spares() {
		if len(hb.Spares) < maxSpares {
			hb.Spares = append(hb.Spares, &wire.Spare{Workspace: string(ws), Tokens: float64(tokens)})
		}
	}
	for _, entry := range e.poison.Entries(maxSuspects) {
		hb.Suspects = append(hb.Suspects, entry.ToWire())
	}
	e.report, e.reportedAt = hb, now
	return e.report, e.state
}

// updateState builds the state and increments its version if it changed. The
// lock is held.
func (e *Exchanger) updateState(statuses []runner.Status) {
	state := &wire.State{}
	for _, st := range statuses {
		state.Endpoints = append(state.Endpoints, &wire.EndpointState{
			Endpoint: string(st.Endpoint), Term: uint64(st.Term), Up: st.Up, Leaving: st.Leaving,
			Resident: modelNames(st.Resident), Loading: modelNames(st.Loading),
		})
	}
	if !proto.Equal(state, e.state) {
		e.state = state
		e.stateSeq++
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

// A busySet holds the addresses with an exchange in progress.
type busySet struct {
	mu   sync.Mutex
	busy map[string]bool
}

func newBusySet() *busySet { return &busySet{busy: make(map[string]bool)} }

// acquire adds an address, and reports false if it is in the set already.
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
