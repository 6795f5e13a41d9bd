// Package member defines what a VM knows of the other VMs, by heartbeats that
// they exchange directly.
package member

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/wire"
)

// The times of heartbeats.
const (
	// MinHeartbeatInterval is the least pause between heartbeats to VMs of the own domain.
	MinHeartbeatInterval = 1250 * time.Millisecond
	// HeartbeatIntervalPerVM is the pause for each VM of the domain where that is longer, so
	// that the cost of heartbeats does not grow with the domain beyond that.
	HeartbeatIntervalPerVM = 80 * time.Millisecond
	// MaxHeartbeatInterval bounds the pause, since leases need several heartbeats within
	// their time of consent.
	MaxHeartbeatInterval = 2 * time.Second
	// HeartbeatTimeout is how long a VM counts as reachable after a heartbeat.
	HeartbeatTimeout = 4 * time.Second
	// RemoteHeartbeatTimeout is the same for VMs of other domains, to which
	// heartbeats go less often.
	RemoteHeartbeatTimeout = 30 * time.Second
	// PeerRetention is how long a silent VM that no record lists is kept.
	PeerRetention = time.Minute
)

// A Peer is what is known of another VM.
type Peer struct {
	VM      plank.VMID
	Boot    plank.BootID
	Domain  plank.DomainID
	Address string
	Applied plank.NoteNumber
	Leaving bool
	// Retired is set once the VM's run has ended by a planned stop.
	Retired bool
	// LastReceived is when the VM's last heartbeat arrived here. As it may come to
	// know so, that heartbeat holds up the VM's lease.
	LastReceived time.Time
	// LastAcked is when the last heartbeat that the VM acknowledged was sent. It
	// holds up this VM's lease.
	LastAcked time.Time
	// Endpoints is the state of the endpoints that the VM owns.
	Endpoints   map[plank.EndpointID]EndpointState
	SpareTokens map[plank.WorkspaceID]plank.Tokens

	stateSeq uint64 // of Endpoints
	seenSeq  uint64 // of this VM's state, as acknowledged
	lastBeat uint64 // number of the VM's last heartbeat
	// sent holds when the last heartbeats to the VM were sent, by number modulo
	// its length.
	sent [keptBeats]sentBeat
	next uint64 // number of the next heartbeat
}

// keptBeats is how many heartbeats may be under way to one VM.
const keptBeats = 8

type sentBeat struct {
	number uint64
	at     time.Time
}

// An EndpointState is what its owner tells of it.
type EndpointState struct {
	Term         plank.Term
	Up           bool
	Leaving      bool
	Outstanding  int
	WaitingLoads int
	Resident     map[plank.Model]bool
	Loading      map[plank.Model]bool
}

// IsReachable reports whether the peer was heard lately, by a VM of the given domain.
func (p *Peer) IsReachable(now time.Time, domain plank.DomainID) bool {
	if p.Domain == domain {
		return now.Sub(p.LastReceived) < HeartbeatTimeout
	}
	return now.Sub(p.LastReceived) < RemoteHeartbeatTimeout
}

// A Table holds all known peers. It is safe for concurrent use.
type Table struct {
	self plank.VMID

	mu    sync.Mutex
	peers map[plank.VMID]*Peer
}

// New returns an empty table of the VM self.
func New(self plank.VMID) *Table {
	return &Table{self: self, peers: make(map[plank.VMID]*Peer)}
}

// MergeHeartbeat merges a peer's heartbeat.
func (t *Table) MergeHeartbeat(hb *wire.Heartbeat, now time.Time, myBoot plank.BootID) {
	vm := plank.VMID(hb.GetVm())
	if vm == t.self || vm == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[vm]
	if p == nil || p.Boot != plank.BootID(hb.GetBoot()) {
		// What an earlier run said no longer holds, nor does its consent.
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
		// Not the highest: a sender that learns of this VM's restart begins to
		// count anew.
		p.lastBeat = hb.GetBeat()
	}
	if hb.GetSeenBootHash() == BootHash(myBoot) {
		p.seenSeq = hb.GetSeenSeq()
		s := p.sent[hb.GetSeenBeat()%keptBeats]
		if s.number == hb.GetSeenBeat() && s.at.After(p.LastAcked) {
			p.LastAcked = s.at
		}
	}
	p.takeState(hb)
}

// takeState replaces the parts of the peer's state that the heartbeat holds.
func (p *Peer) takeState(hb *wire.Heartbeat) {
	if st := hb.GetState(); st != nil && hb.GetStateSeq() >= p.stateSeq {
		p.stateSeq = hb.GetStateSeq()
		p.Endpoints = make(map[plank.EndpointID]EndpointState, len(st.GetEndpoints()))
		for _, e := range st.GetEndpoints() {
			p.Endpoints[plank.EndpointID(e.GetEndpoint())] = EndpointState{
				Term: plank.Term(e.GetTerm()), Up: e.GetUp(), Leaving: e.GetLeaving(),
				Resident: models(e.GetResident()), Loading: models(e.GetLoading()),
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

func models(names []string) map[plank.Model]bool {
	set := make(map[plank.Model]bool, len(names))
	for _, name := range names {
		if m, ok := plank.ParseModel(name); ok {
			set[m] = true
		}
	}
	return set
}

// BootHash is the short form in which heartbeats name the receiver's run.
func BootHash(b plank.BootID) uint64 { return xxhash.Sum64String(string(b)) }

// PrepareHeartbeat fills the fields of a heartbeat to vm that depend on the receiver, and
// notes when it was sent. It returns the version of this VM's state that the
// receiver has acknowledged.
func (t *Table) PrepareHeartbeat(hb *wire.Heartbeat, vm plank.VMID, now time.Time) (acked uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[vm]
	if p == nil {
		return 0
	}
	p.next++
	p.sent[p.next%keptBeats] = sentBeat{number: p.next, at: now}
	hb.Beat, hb.SeenBeat = p.next, p.lastBeat
	hb.SeenSeq, hb.SeenBootHash = p.stateSeq, BootHash(p.Boot)
	return p.seenSeq
}

// Peers returns copies of all known peers, sorted by VM.
func (t *Table) Peers() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := make([]Peer, 0, len(t.peers))
	for _, p := range t.peers {
		c := *p
		// Loads change in place; the copy must not.
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

// LastReceived returns when the VM's own heartbeat last arrived.
func (t *Table) LastReceived(vm plank.VMID) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[vm]; p != nil {
		return p.LastReceived
	}
	return time.Time{}
}

// AckedUntil returns until when all the given VMs hold up this VM's lease: those
// that run by having answered a heartbeat within consent, and those that retired
// within retirement.
func (t *Table) AckedUntil(vms []plank.VMID, consent, retirement time.Duration, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := now.Add(max(consent, retirement))
	for _, vm := range vms {
		if vm == t.self {
			continue
		}
		p := t.peers[vm]
		if p == nil {
			return time.Time{}
		}
		u := p.LastAcked.Add(consent)
		if p.Retired {
			u = p.LastAcked.Add(retirement)
		}
		if u.Before(until) {
			until = u
		}
	}
	return until
}

// RemoveExpired drops peers that have been silent for ForgetTime.
func (t *Table) RemoveExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for vm, p := range t.peers {
		if now.Sub(p.LastReceived) > PeerRetention && now.Sub(p.LastAcked) > PeerRetention {
			delete(t.peers, vm)
		}
	}
}
