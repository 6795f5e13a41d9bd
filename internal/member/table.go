// Package member implements a table of the other VMs' state, which is updated by
// heartbeats that the VMs exchange directly.
package member

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/wire"
)

// Timing of heartbeats.
const (
	// MinHeartbeatInterval is the shortest interval between heartbeats to a VM of
	// the own domain.
	MinHeartbeatInterval = 1250 * time.Millisecond
	// HeartbeatIntervalPerVM times the number of VMs in the domain is the interval
	// where that is longer, so that the rate of heartbeats that a VM sends does not
	// grow further with the domain.
	HeartbeatIntervalPerVM = 80 * time.Millisecond
	// MaxHeartbeatInterval limits the interval, since leases require several
	// heartbeats within the time by which one extends a lease.
	MaxHeartbeatInterval = 2 * time.Second
	// HeartbeatTimeout is how long a VM counts as reachable after a heartbeat was
	// received from it.
	HeartbeatTimeout = 4 * time.Second
	// RemoteHeartbeatTimeout replaces HeartbeatTimeout for VMs of other domains,
	// with which heartbeats are exchanged less often.
	RemoteHeartbeatTimeout = 30 * time.Second
	// PeerRetention is how long a VM stays in the table after the last heartbeat
	// that it sent or acknowledged.
	PeerRetention = time.Minute
)

// A Peer is the known state of another VM.
type Peer struct {
	VM      plank.VMID
	Boot    plank.BootID
	Domain  plank.DomainID
	Address string
	Applied plank.NoteNumber
	Leaving bool
	// Retired is set by the last heartbeat of a run that ends with a graceful
	// shutdown.
	Retired bool
	// LastReceived is when the VM's last heartbeat was received. This VM may have
	// acknowledged it, so it may extend the other VM's lease.
	LastReceived time.Time
	// LastAcked is when this VM sent the last heartbeat that the other VM
	// acknowledged. That heartbeat extends this VM's lease.
	LastAcked time.Time
	// Endpoints holds the state of the endpoints that the VM owns.
	Endpoints map[plank.EndpointID]EndpointState
	// SpareTokens holds the tokens that the VM can lend.
	SpareTokens map[plank.WorkspaceID]plank.Tokens

	stateSeq         uint64 // sequence number of Endpoints
	ackedSeq         uint64 // sequence number of this VM's state that the peer has acknowledged
	lastReceivedBeat uint64 // number of the last heartbeat received
	// sent holds the last heartbeats sent to the VM, indexed by number modulo
	// sentWindow.
	sent         [sentWindow]sentHeartbeat
	lastSentBeat uint64 // number of the last heartbeat sent
}

// sentWindow is the number of the most recent heartbeats to a VM of which an
// acknowledgement is accepted.
const sentWindow = 8

type sentHeartbeat struct {
	number uint64
	at     time.Time
}

// An EndpointState is the state of an endpoint, as reported by its owner.
type EndpointState struct {
	Term         plank.Term
	Up           bool
	Leaving      bool
	Outstanding  int // number of requests queued or running
	WaitingLoads int // number of models waiting to be loaded
	Resident     map[plank.Model]bool
	Loading      map[plank.Model]bool
}

// IsReachable reports whether a VM of the given domain considers the peer reachable:
// whether it received a heartbeat within the timeout.
func (p *Peer) IsReachable(now time.Time, domain plank.DomainID) bool {
	if p.Domain == domain {
		return now.Sub(p.LastReceived) < HeartbeatTimeout
	}
	return now.Sub(p.LastReceived) < RemoteHeartbeatTimeout
}

// A Table holds the known peers of a VM. It is safe for concurrent use.
type Table struct {
	self plank.VMID

	mu    sync.Mutex
	peers map[plank.VMID]*Peer
}

// New returns an empty table for the VM self.
func New(self plank.VMID) *Table {
	return &Table{self: self, peers: make(map[plank.VMID]*Peer)}
}

// MergeHeartbeat updates the sender's entry from a heartbeat received at now.
// selfBoot is this VM's current run.
func (t *Table) MergeHeartbeat(hb *wire.Heartbeat, now time.Time, selfBoot plank.BootID) {
	vm := plank.VMID(hb.GetVm())
	if vm == t.self || vm == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[vm]
	if p == nil || p.Boot != plank.BootID(hb.GetBoot()) {
		// State and acknowledgements of an earlier run are no longer valid.
		p = &Peer{VM: vm, Boot: plank.BootID(hb.GetBoot())}
		t.peers[vm] = p
	}
	p.Domain = plank.DomainID(hb.GetDomain())
	p.Address = hb.GetAddress()
	p.Applied = max(p.Applied, plank.NoteNumber(hb.GetApplied()))
	p.Leaving = hb.GetLeaving()
	p.Retired = hb.GetRetired()
	p.LastReceived = now
	if hb.GetBeat() != 0 {
		// Not the maximum: a sender restarts its numbering when it detects this
		// VM's restart.
		p.lastReceivedBeat = hb.GetBeat()
	}
	if hb.GetSeenBootHash() == BootHash(selfBoot) {
		p.ackedSeq = hb.GetSeenSeq()
		s := p.sent[hb.GetSeenBeat()%sentWindow]
		if s.number == hb.GetSeenBeat() && s.at.After(p.LastAcked) {
			p.LastAcked = s.at
		}
	}
	p.mergeState(hb)
}

// mergeState replaces the parts of the peer's state that the heartbeat contains.
func (p *Peer) mergeState(hb *wire.Heartbeat) {
	if st := hb.GetState(); st != nil && hb.GetStateSeq() >= p.stateSeq {
		p.stateSeq = hb.GetStateSeq()
		p.Endpoints = make(map[plank.EndpointID]EndpointState, len(st.GetEndpoints()))
		for _, e := range st.GetEndpoints() {
			p.Endpoints[plank.EndpointID(e.GetEndpoint())] = EndpointState{
				Term: plank.Term(e.GetTerm()), Up: e.GetUp(), Leaving: e.GetLeaving(),
				Resident: parseModels(e.GetResident()), Loading: parseModels(e.GetLoading()),
			}
		}
	}
	for _, l := range hb.GetLoads() {
		id := plank.EndpointID(l.GetEndpoint())
		if e, ok := p.Endpoints[id]; ok {
			e.Outstanding, e.WaitingLoads = int(l.GetOutstanding()), int(l.GetWaitingLoads())
			p.Endpoints[id] = e
		}
	}
	p.SpareTokens = make(map[plank.WorkspaceID]plank.Tokens, len(hb.GetSpares()))
	for _, s := range hb.GetSpares() {
		p.SpareTokens[plank.WorkspaceID(s.GetWorkspace())] = plank.Tokens(s.GetTokens())
	}
}

// parseModels returns the set of the valid names.
func parseModels(names []string) map[plank.Model]bool {
	set := make(map[plank.Model]bool, len(names))
	for _, name := range names {
		if m, ok := plank.ParseModel(name); ok {
			set[m] = true
		}
	}
	return set
}

// BootHash returns the hash that identifies the receiver's run in heartbeats.
func BootHash(b plank.BootID) uint64 { return xxhash.Sum64String(string(b)) }

// PrepareHeartbeat sets the fields of a heartbeat to vm that depend on the receiver,
// and records now as its send time. It returns the sequence number of this VM's
// state that the receiver has acknowledged, or 0 if vm is not known.
func (t *Table) PrepareHeartbeat(hb *wire.Heartbeat, vm plank.VMID, now time.Time) (ackedSeq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[vm]
	if p == nil {
		return 0
	}
	p.lastSentBeat++
	p.sent[p.lastSentBeat%sentWindow] = sentHeartbeat{number: p.lastSentBeat, at: now}
	hb.Beat, hb.SeenBeat = p.lastSentBeat, p.lastReceivedBeat
	hb.SeenSeq, hb.SeenBootHash = p.stateSeq, BootHash(p.Boot)
	return p.ackedSeq
}

// Peers returns copies of the known peers, sorted by VM.
func (t *Table) Peers() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := make([]Peer, 0, len(t.peers))
	for _, p := range t.peers {
		c := *p
		// mergeState updates the map in place.
		c.Endpoints = make(map[plank.EndpointID]EndpointState, len(p.Endpoints))
		for id, e := range p.Endpoints {
			c.Endpoints[id] = e
		}
		peers = append(peers, c)
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return peers
}

// LastReceived returns when the VM's last heartbeat was received, or the zero time.
func (t *Table) LastReceived(vm plank.VMID) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[vm]; p != nil {
		return p.LastReceived
	}
	return time.Time{}
}

// AckedUntil returns the time to which all the given VMs have extended this VM's
// lease by acknowledging heartbeats. A VM extends it to ackTTL after the send time
// of the last heartbeat that it acknowledged, or to retiredAckTTL after it if the
// VM has shut down. The result is the zero time if a VM is not known.
func (t *Table) AckedUntil(vms []plank.VMID, ackTTL, retiredAckTTL time.Duration, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := now.Add(max(ackTTL, retiredAckTTL))
	for _, vm := range vms {
		if vm == t.self {
			continue
		}
		p := t.peers[vm]
		if p == nil {
			return time.Time{}
		}
		u := p.LastAcked.Add(ackTTL)
		if p.Retired {
			u = p.LastAcked.Add(retiredAckTTL)
		}
		if u.Before(until) {
			until = u
		}
	}
	return until
}

// RemoveExpired removes the peers that have neither sent nor acknowledged a
// heartbeat within PeerRetention.
func (t *Table) RemoveExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for vm, p := range t.peers {
		if now.Sub(p.LastReceived) > PeerRetention && now.Sub(p.LastAcked) > PeerRetention {
			delete(t.peers, vm)
		}
	}
}
