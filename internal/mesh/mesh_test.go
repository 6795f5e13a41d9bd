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

// A local is a mesh.LocalState whose contents are set by the test.
type local struct {
	mu       sync.Mutex
	duties   []*wire.Duty
	states   []*wire.EngineState
	received map[plank.VMID]int
	// object is a change that is sent to each peer once. stale is set while this VM
	// has no current view of the store and thus sends no objects.
	object        *wire.StoredObject
	stale         bool
	composedStale int // messages composed while stale
	keys          []string
}

// Gossip implements mesh.LocalState.
func (l *local) Gossip(opts mesh.GossipOptions) (*wire.Gossip, mesh.Covered) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := &wire.Gossip{NewsMicros: -1, Duties: l.duties}
	if !opts.OmitEngines && opts.AfterEngines < 1 {
		g.Engines = l.states
	}
	covered := mesh.Covered{Change: 1, Objects: opts.AfterObjects}
	switch {
	case l.stale:
		l.composedStale++
	default:
		g.NewsMicros, covered.Objects = 0, 1
		if l.object != nil && opts.AfterObjects < 1 {
			g.Objects = []*wire.StoredObject{l.object}
		}
	}
	return g, covered
}

// Merge implements mesh.LocalState.
func (l *local) Merge(vm plank.VMID, _ plank.BootID, g *wire.Gossip, _ time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received[vm]++
	for _, o := range g.Objects {
		l.keys = append(l.keys, o.Key)
	}
}

type node struct {
	*mesh.Mesh
	local     *local
	transport *peer.Transport
	addr      string
	proxy     *fault.Proxy // in front of the node, if requested
	stop      func()
}

// Serve implements peer.Handler.
func (n *node) Serve(call *wire.Call, s *peer.Stream) { n.Mesh.Serve(call.GetGossip(), s) }

func startNode(t *testing.T, i int) *node { return start(t, i, false) }

// start starts a VM, on request behind a proxy through which all others connect to it.
func start(t *testing.T, i int, behindProxy bool) *node {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{local: &local{received: map[plank.VMID]int{}}, addr: ln.Addr().String()}
	if behindProxy {
		n.proxy, err = fault.New("127.0.0.1:0", n.addr)
		assert.NilError(t, err)
		n.addr = n.proxy.Addr()
	}
	n.transport = peer.New(nil, nil, log.WithField("n", i))
	self := mesh.Self{VM: plank.VMID(fmt.Sprint("vm", i)), Boot: plank.BootID(fmt.Sprint("b", i)), Domain: "d", Address: n.addr}
	n.Mesh = mesh.New(ctx, self, mesh.PeerTransport(n.transport), n.local, plank.SystemClock{}, log.WithField("n", i))
	go n.transport.Serve(ln, n)
	n.stop = sync.OnceFunc(func() {
		cancel()
		ln.Close()
		n.transport.Close()
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

// VMs that start at the same moment may each read an empty list of members. They
// connect all the same, through one VM whose address all of them have.
func TestVMsStartingTogetherConnect(t *testing.T) {
	nodes := make([]*node, 5)
	for i := range nodes {
		nodes[i] = startNode(t, i)
	}
	for _, n := range nodes[1:] {
		n.Register(context.Background(), memory.New()) // as if the other records were written later
		n.Contact(nodes[0].addr)
	}
	for _, n := range nodes {
		eventually(t, "all VMs are reachable", func() bool {
			reachable, known := n.Reachable()
			return len(reachable) == len(nodes)-1 && known == len(nodes)
		})
	}
}

// A VM that stops sending is no longer reachable, but counts as known for a while.
func TestSilentVMIsNotReachable(t *testing.T) {
	a, b := startNode(t, 1), startNode(t, 2)
	a.Contact(b.addr)
	eventually(t, "the VM is reachable", func() bool { reachable, _ := a.Reachable(); return len(reachable) == 1 })
	b.stop()
	eventually(t, "the VM is not reachable", func() bool {
		reachable, known := a.Reachable()
		return len(reachable) == 0 && known == 2
	})
}

// In a large fleet engine states are sent to lease holders only.
func TestEngineStatesOmittedInLargeFleets(t *testing.T) {
	holder, other, plain := startNode(t, 1), startNode(t, 2), startNode(t, 3)
	for i := range 400 {
		id := fmt.Sprint("e", i)
		holder.local.states = append(holder.local.states, &wire.EngineState{Endpoint: id})
		holder.SetOwnEngine(plank.EndpointID(id), holder.local.states[i])
	}
	other.local.duties = []*wire.Duty{{Domain: "x", Term: 1}}
	other.Contact(holder.addr)
	plain.Contact(holder.addr)
	eventually(t, "the other holder has received the engine states", func() bool { _, ok := other.Engine("e7"); return ok })
	eventually(t, "the VM without a lease has received messages of the holder", func() bool {
		plain.local.mu.Lock()
		defer plain.local.mu.Unlock()
		return plain.local.received["vm1"] > 4
	})
	_, known := plain.Engine("e7")
	assert.Assert(t, !known)
}

// A change of a store object reaches a peer even if the messages after the change left
// objects out. When the store becomes available again, one of a VM's watches may answer
// before the others; the VM's view of the store counts as outdated until all have.
func TestObjectsSentOnceStoreViewIsCurrent(t *testing.T) {
	from, to := startNode(t, 1), startNode(t, 2)
	from.local.stale, from.local.object = true, &wire.StoredObject{Key: "config/main"}
	from.Contact(to.addr)
	eventually(t, "messages without objects", func() bool {
		from.local.mu.Lock()
		defer from.local.mu.Unlock()
		return from.local.composedStale > 2
	})
	from.local.mu.Lock()
	from.local.stale = false
	from.local.mu.Unlock()
	eventually(t, "the change is received", func() bool {
		to.local.mu.Lock()
		defer to.local.mu.Unlock()
		return len(to.local.keys) > 0
	})
	assert.Equal(t, to.local.keys[0], "config/main")
}

// Each does not copy the peers: a VM of a large fleet calls it many times a second,
// also without traffic.
func TestEachDoesNotAllocate(t *testing.T) {
	a, b := startNode(t, 1), startNode(t, 2)
	a.Contact(b.addr)
	eventually(t, "the VM is reachable", func() bool { reachable, _ := a.Reachable(); return len(reachable) == 1 })
	seen := 0
	allocs := testing.AllocsPerRun(100, func() { a.Each(func(*mesh.Peer) { seen++ }) })
	assert.Assert(t, seen > 0)
	assert.Assert(t, allocs < 1, "%v allocations", allocs)
}

// A recorder passes on the messages of a stream as they arrive.
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

// Only the first message of a stream identifies its sender: traffic between failure
// domains is billed, and each VM of a large fleet sends to all others.
func TestSenderIdentifiedOncePerStream(t *testing.T) {
	a := startNode(t, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	transport := peer.New(nil, nil, log.WithField("n", "recorder"))
	defer transport.Close()
	r := recorder{messages: make(chan *wire.Gossip, 100)}
	go transport.Serve(ln, r)
	a.Contact(ln.Addr().String())
	first, second := <-r.messages, <-r.messages
	assert.Equal(t, first.Vm, "vm1")
	assert.Equal(t, first.Address, a.addr)
	assert.Equal(t, second.Vm+second.Boot+second.Domain+second.Address, "")
}

// A VM that has just started knows the size of its fleet before it has received a
// message. All VMs of a fleet of 67 that counted no peers yet once sent each other the
// whole store after a power failure, 100 MB between failure domains.
func TestSizeCountsVMsBeforeTheirFirstMessage(t *testing.T) {
	a := startNode(t, 1)
	for port := range 20 {
		a.Contact(fmt.Sprintf("127.0.0.9:%d", port+1)) // no listener
	}
	assert.Equal(t, a.Size(), 20)
}

// reachesOther reports whether the other of two VMs is reachable.
func (n *node) reachesOther() bool { reachable, _ := n.Reachable(); return len(reachable) == 1 }

// A VM that had been alive for longer than giveUpTimeout was declared lost at its first
// silence and not contacted again, 1,358 times in a running fleet.
func TestVMsAreNotGivenUpAtTheirFirstSilence(t *testing.T) {
	const (
		giveUp = 6 * time.Second
		silent = 3 * time.Second // longer than a stream stays open without an answer
	)
	a, b := start(t, 1, true), start(t, 2, true)
	for _, n := range []*node{a, b} {
		n.SetGiveUpTimeout(giveUp)
	}
	a.Contact(b.addr)
	began := time.Now()
	eventually(t, "the VMs are reachable", func() bool { return a.reachesOther() && b.reachesOther() && time.Since(began) > giveUp })
	for _, n := range []*node{a, b} {
		n.proxy.SetMode(fault.Mode{DropToTarget: true, DropToClient: true})
	}
	cut := time.Now()
	eventually(t, "the VMs are not reachable", func() bool { return !a.reachesOther() && !b.reachesOther() && time.Since(cut) > silent })
	for _, n := range []*node{a, b} {
		n.proxy.Heal()
	}
	eventually(t, "the VMs are reachable again", func() bool { return a.reachesOther() && b.reachesOther() })
}

// Without probes, VMs that are partitioned for so long that both give the other up
// never reconnect.
func TestVMsReconnectAfterLongPartition(t *testing.T) {
	const giveUp = 500 * time.Millisecond
	a, b := start(t, 1, true), start(t, 2, true)
	for _, n := range []*node{a, b} {
		n.SetGiveUpTimeout(giveUp)
	}
	a.Contact(b.addr)
	eventually(t, "the VMs are reachable", func() bool { return a.reachesOther() && b.reachesOther() })
	for _, n := range []*node{a, b} {
		n.proxy.Cut()
	}
	eventually(t, "the VMs are given up", func() bool { return a.Senders() == 0 && b.Senders() == 0 })
	a.ProbeLost() // fails
	for _, n := range []*node{a, b} {
		n.proxy.Heal()
	}
	a.ProbeLost()
	eventually(t, "the VMs are reachable again", func() bool { return a.reachesOther() && b.reachesOther() })
}

// An address that accepts connections and closes them, as that of another program,
// was never declared lost, since a successful write counted as an answer.
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
				_, _ = io.CopyN(io.Discard, c, 64) // content irrelevant
			}()
		}
	}()
	a := startNode(t, 1)
	a.SetGiveUpTimeout(500 * time.Millisecond)
	a.Contact(ln.Addr().String())
	eventually(t, "the address is given up", func() bool { return a.Senders() == 0 })
}
