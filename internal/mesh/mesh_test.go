package mesh_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/fault"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/peer"
	"knapweedplank.org/plank/internal/store/memory"
	"knapweedplank.org/plank/internal/wire"
)

// A local is a VM's own part of the messages.
type local struct {
	mu     sync.Mutex
	duties []*wire.Duty
	states []*wire.EngineState
	heard  map[plank.VMID]int
	// object is a change that peers are told once; stale tells that this VM has
	// no news from the store, so that it tells of no objects.
	object *wire.StoredObject
	stale  bool
	told   int // messages composed without news
	keys   []string
}

// Gossip implements mesh.Local.
func (l *local) Gossip(after mesh.GossipOptions) (*wire.Gossip, mesh.Covered) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := &wire.Gossip{NewsMicros: -1, Duties: l.duties}
	if !after.OmitEngines && after.AfterEngines < 1 {
		g.Engines = l.states
	}
	covered := mesh.Covered{Change: 1, Objects: after.AfterObjects}
	switch {
	case l.stale:
		l.told++
	default:
		g.NewsMicros, covered.Objects = 0, 1
		if l.object != nil && after.AfterObjects < 1 {
			g.Objects = []*wire.StoredObject{l.object}
		}
	}
	return g, covered
}

// Merge implements mesh.Local.
func (l *local) Merge(vm plank.VMID, _ plank.BootID, g *wire.Gossip) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[vm]++
	for _, o := range g.Objects {
		l.keys = append(l.keys, o.Key)
	}
}

type node struct {
	*mesh.Mesh
	local *local
	hub   *peer.Transport
	addr  string
	proxy *fault.Proxy // before the node's address, if it was asked for
	stop  func()
}

// Serve implements peer.Handler.
func (n *node) Serve(call *wire.Call, s *peer.Stream) { n.Mesh.Serve(call.GetGossip(), s) }

func startNode(t *testing.T, i int) *node { return start(t, i, false) }

// start starts a VM, if wanted behind a proxy through which all others reach it.
func start(t *testing.T, i int, behind bool) *node {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{local: &local{heard: map[plank.VMID]int{}}, addr: ln.Addr().String()}
	if behind {
		n.proxy, err = fault.New("127.0.0.1:0", n.addr)
		assert.NilError(t, err)
		n.addr = n.proxy.Addr()
	}
	n.hub = peer.New(nil, nil, log.WithField("n", i))
	self := mesh.Self{VM: plank.VMID(fmt.Sprint("vm", i)), Boot: plank.BootID(fmt.Sprint("b", i)), Domain: "d", Address: n.addr}
	n.Mesh = mesh.New(ctx, self, n.hub, n.local, plank.SystemClock{}, log.WithField("n", i))
	go n.hub.Serve(ln, n)
	n.stop = sync.OnceFunc(func() {
		cancel()
		ln.Close()
		n.hub.Close()
	})
	t.Cleanup(n.stop)
	return n
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// VMs that start at the same moment each read an empty list of members. They
// meet all the same, through one that they all know.
func TestVMsThatStartTogetherMeet(t *testing.T) {
	nodes := make([]*node, 5)
	for i := range nodes {
		nodes[i] = startNode(t, i)
	}
	for _, n := range nodes[1:] {
		n.Register(context.Background(), memory.New()) // as if the others' records came later
		n.Contact(nodes[0].addr)
	}
	for _, n := range nodes {
		eventually(t, "all VMs are heard", func() bool {
			heard, known := n.Reachable()
			return len(heard) == len(nodes)-1 && known == len(nodes)
		})
	}
}

// A VM that falls silent is noticed, and counts as known for a while.
func TestSilentVMIsNoticed(t *testing.T) {
	a, b := startNode(t, 1), startNode(t, 2)
	a.Contact(b.addr)
	eventually(t, "the VM is heard", func() bool { heard, _ := a.Reachable(); return len(heard) == 1 })
	b.stop()
	eventually(t, "the VM is silent", func() bool {
		heard, known := a.Reachable()
		return len(heard) == 0 && known == 2
	})
}

// In a large fleet the states of engines go to holders of duties only.
func TestEnginesAreWithheldInLargeFleets(t *testing.T) {
	holder, other, plain := startNode(t, 1), startNode(t, 2), startNode(t, 3)
	for i := range 400 {
		id := fmt.Sprint("e", i)
		holder.local.states = append(holder.local.states, &wire.EngineState{Endpoint: id})
		holder.SetOwnEngine(plank.EndpointID(id), holder.local.states[i])
	}
	other.local.duties = []*wire.Duty{{Domain: "x", Term: 1}}
	other.Contact(holder.addr)
	plain.Contact(holder.addr)
	eventually(t, "the other holder knows the engines", func() bool { _, ok := other.Engine("e7"); return ok })
	eventually(t, "the plain VM heard the holder", func() bool {
		plain.local.mu.Lock()
		defer plain.local.mu.Unlock()
		return plain.local.heard["vm1"] > 4
	})
	_, known := plain.Engine("e7")
	assert.Assert(t, !known)
}

// A change of the store's objects reaches a peer also if the messages that
// followed it left objects out. One of a VM's watches may answer while its others
// do not yet, as when the store returns; the VM's news count as old until then.
func TestObjectsAreToldOnceNewsAreFresh(t *testing.T) {
	from, to := startNode(t, 1), startNode(t, 2)
	from.local.stale, from.local.object = true, &wire.StoredObject{Key: "config/main"}
	from.Contact(to.addr)
	eventually(t, "messages without news", func() bool {
		from.local.mu.Lock()
		defer from.local.mu.Unlock()
		return from.local.told > 2
	})
	from.local.mu.Lock()
	from.local.stale = false
	from.local.mu.Unlock()
	eventually(t, "the change is told", func() bool {
		to.local.mu.Lock()
		defer to.local.mu.Unlock()
		return len(to.local.keys) > 0
	})
	assert.Equal(t, to.local.keys[0], "config/main")
}

// Looking at the peers does not copy them: a VM of a large fleet does so many
// times a second, also while nothing happens.
func TestEachDoesNotAllocate(t *testing.T) {
	a, b := startNode(t, 1), startNode(t, 2)
	a.Contact(b.addr)
	eventually(t, "the VM is heard", func() bool { heard, _ := a.Reachable(); return len(heard) == 1 })
	seen := 0
	allocs := testing.AllocsPerRun(100, func() { a.Each(func(*mesh.Peer) { seen++ }) })
	assert.Assert(t, seen > 0)
	assert.Assert(t, allocs < 1, "%v allocations", allocs)
}

// A recorder keeps the messages of a stream as they arrive.
type recorder struct{ messages chan *wire.Gossip }

// Serve implements peer.Handler.
func (r recorder) Serve(call *wire.Call, s *peer.Stream) {
	for g := call.GetGossip(); ; {
		r.messages <- g
		g = new(wire.Gossip)
		if s.Receive(g) != nil {
			return
		}
	}
}

// Only the first message of a stream names its sender: bytes between failure
// domains have their price, and each VM of a large fleet sends to all others.
func TestSendersAreNamedOnce(t *testing.T) {
	a := startNode(t, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	hub := peer.New(nil, nil, log.WithField("n", "recorder"))
	defer hub.Close()
	r := recorder{messages: make(chan *wire.Gossip, 100)}
	go hub.Serve(ln, r)
	a.Contact(ln.Addr().String())
	first, second := <-r.messages, <-r.messages
	assert.Equal(t, first.Vm, "vm1")
	assert.Equal(t, first.Address, a.addr)
	assert.Equal(t, second.Vm+second.Boot+second.Domain+second.Address, "")
}

// A VM that has just started takes its fleet for as large as it is, though it has
// heard nobody yet. All VMs of a fleet of 67 once told each other the whole store
// after a loss of power, 100 MB between failure domains.
func TestSizeCountsVMsBeforeTheyAreHeard(t *testing.T) {
	a := startNode(t, 1)
	for port := range 20 {
		a.Contact(fmt.Sprintf("127.0.0.9:%d", port+1)) // nobody listens there
	}
	assert.Equal(t, a.Size(), 20)
}

// hearsOther tells whether the other of two VMs is heard.
func (n *node) hearsOther() bool { heard, _ := n.Reachable(); return len(heard) == 1 }

// A VM that had been heard for longer than silent VMs are tried was given up at
// its first silence and not contacted again, 1,358 times in a fleet that ran.
func TestVMsAreNotGivenUpAtTheirFirstSilence(t *testing.T) {
	const (
		forget = 6 * time.Second
		silent = 3 * time.Second // longer than a stream outlives it
	)
	a, b := start(t, 1, true), start(t, 2, true)
	for _, n := range []*node{a, b} {
		n.SetGiveUpAfter(forget)
	}
	a.Contact(b.addr)
	began := time.Now()
	eventually(t, "the VMs are heard", func() bool { return a.hearsOther() && b.hearsOther() && time.Since(began) > forget })
	for _, n := range []*node{a, b} {
		n.proxy.Set(fault.Mode{DropToTarget: true, DropToClient: true})
	}
	cut := time.Now()
	eventually(t, "the VMs are silent", func() bool { return !a.hearsOther() && !b.hearsOther() && time.Since(cut) > silent })
	for _, n := range []*node{a, b} {
		n.proxy.Heal()
	}
	eventually(t, "the VMs are heard again", func() bool { return a.hearsOther() && b.hearsOther() })
}

// VMs that were cut off from each other for so long that both gave the other up
// never met again.
func TestVMsMeetAgainAfterALongCut(t *testing.T) {
	const forget = 500 * time.Millisecond
	a, b := start(t, 1, true), start(t, 2, true)
	for _, n := range []*node{a, b} {
		n.SetGiveUpAfter(forget)
	}
	a.Contact(b.addr)
	eventually(t, "the VMs are heard", func() bool { return a.hearsOther() && b.hearsOther() })
	for _, n := range []*node{a, b} {
		n.proxy.Cut()
	}
	eventually(t, "the VMs are given up", func() bool { return a.Senders() == 0 && b.Senders() == 0 })
	a.ProbeLost() // in vain
	for _, n := range []*node{a, b} {
		n.proxy.Heal()
	}
	a.ProbeLost()
	eventually(t, "the VMs are heard again", func() bool { return a.hearsOther() && b.hearsOther() })
}

// An address that accepts connections and closes them, as one that is used by
// something else, was never given up: what was written counted as an answer.
func TestAddressesWithoutAVMAreGivenUp(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.CopyN(io.Discard, c, 64) // what comes does not matter
			}()
		}
	}()
	a := startNode(t, 1)
	a.SetGiveUpAfter(500 * time.Millisecond)
	a.Contact(ln.Addr().String())
	eventually(t, "the address is given up", func() bool { return a.Senders() == 0 })
}
