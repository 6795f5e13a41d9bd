package node

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/platform"
	"knapweedplank.org/plank/platform/stand"
)

// evacuationNode returns a node of a large fleet that neither watches the store nor hears of it.
func evacuationNode(vm plank.VMID, limit time.Duration) *Node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &Node{settings: &platform.Settings{VM: vm, Domain: "d"}, clock: plank.SystemClock{}, log: log.WithField("vm", vm)}
	n.settings.Bounds.Evacuate = limit
	n.buildState()
	n.state.wake = func() {}
	n.state.fleetSize = func() int { return 10 * smallFleet }
	return n
}

// Passes entries along a chain of VMs of different failure domains of a large fleet, of which only
// the first reads the store. Guards against entries that end with the domain of the watchers, or
// with VMs that do not send what peers told them, as all others of the store's objects do there, and
// against large values on links.
func TestEvacuationsPassThroughVMsWithoutTheStore(t *testing.T) {
	var nodes []*Node
	for i := range 4 {
		nodes = append(nodes, evacuationNode(plank.VMID(fmt.Sprint("vm-", i)), 5*time.Second))
	}
	after := make([]uint64, len(nodes))
	pass := func() (sent int) {
		for i, to := range nodes[1:] {
			g, covered := nodes[i].state.Gossip(mesh.GossipOptions{AfterChange: after[i]})
			after[i], sent = covered.Change, sent+len(g.Objects)
			assert.Equal(t, g.NewsMicros, int64(-1), "other domains are no source of the other objects")
			for _, o := range g.Objects {
				assert.Equal(t, len(o.Value)+int(o.Size), 0)
			}
			to.state.Merge(nodes[i].settings.VM, "boot", g, 0)
		}
		return sent
	}
	write := func(rev int, domain string, exists bool) {
		c := plank.Change{Object: plank.Object{Key: "evacuations/" + domain}, Revision: plank.Revision(rev)}
		if exists {
			c.Object.Value, c.Object.Version = []byte(strings.Repeat(" ", 100_000)+"{}"), plank.ObjectVersion(rev)
		}
		nodes[0].table.Apply("evacuations/", []plank.Change{c})
	}
	last := func() []plank.DomainID { return nodes[3].view.Load().Evacuated.Out() }
	write(1, "a", true)
	write(2, "unknown", true)
	assert.Equal(t, pass(), 6)
	assert.DeepEqual(t, last(), []plank.DomainID{"a", "unknown"})
	write(3, "a", false)
	assert.Equal(t, pass(), 3)
	assert.DeepEqual(t, last(), []plank.DomainID{"unknown"})
	assert.Equal(t, pass(), 0, "what a stream has carried is not sent again")
	after[2] = 0 // a new stream
	assert.Equal(t, pass(), 2)
}

// Guards against entries that count where the settings have no bound for them.
func TestEvacuationsWithoutABoundAreIgnored(t *testing.T) {
	n := evacuationNode("vm", 0)
	from := evacuationNode("other", time.Second)
	from.table.Apply("evacuations/", []plank.Change{{Object: plank.Object{Key: "evacuations/a", Version: 1}, Revision: 1}})
	g, _ := from.state.Gossip(mesh.GossipOptions{})
	n.state.Merge("other", "boot", g, 0)
	assert.Equal(t, len(n.view.Load().Evacuated.Out()), 0)
	g, _ = n.state.Gossip(mesh.GossipOptions{})
	assert.Equal(t, len(g.Objects), 0)
	assert.Assert(t, !n.evacuates() && n.updateBound() == n.settings.Bounds.ConfigApply)
}

// A laterClock is ahead of the system's clock.
type laterClock struct{ ahead atomic.Int64 }

// Now implements plank.Clock.
func (c *laterClock) Now() time.Time { return time.Now().Add(time.Duration(c.ahead.Load())) }

// Guards against a domain that stays out of service on a VM that missed the removal, because the
// VMs that watched the store restarted meanwhile, and against calls to the store where no entry is
// in force.
func TestMissedRemovalIsFound(t *testing.T) {
	store := stand.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	n := evacuationNode("vm", 5*time.Second)
	clock := new(laterClock)
	n.clock, n.settings.StoreAddr, n.registry = clock, server.Listener.Addr().String(), metrics.NewRegistry()
	n.buildClients()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { n.checkEvacuations(ctx) }()
	time.Sleep(3 * checkInterval)
	clock.ahead.Add(int64(time.Minute))
	time.Sleep(2 * checkInterval)
	assert.Equal(t, store.Calls(), 0)
	store.Put("evacuations/a", struct{}{})
	n.table.ApplyFromPeer("other", plank.Change{Object: plank.Object{Key: "evacuations/a", Version: 11}, Revision: 11})
	time.Sleep(2 * checkInterval) // the check is planned
	clock.ahead.Add(int64(15 * time.Second))
	await(t, func() bool { return store.Calls() == 1 })
	time.Sleep(checkInterval / 4) // the answer is applied
	assert.Assert(t, n.isOutOfService("a"))
	store.Delete("evacuations/a")
	clock.ahead.Add(int64(15 * time.Second))
	await(t, func() bool { return !n.isOutOfService("a") })
}

func await(t *testing.T, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
}

// A fleet with relays in three failure domains, of which two lose the store. Guards against VMs that
// learn of an entry or its removal later than the bound, as no VM of their domain reads the store, and
// against a watcher that freezes as it is written.
func TestEvacuationReachesDomainsWithoutTheStore(t *testing.T) {
	const vms, limit = 36, 5 * time.Second
	d := startDomains(t, vms, func(i int, s *platform.Settings) {
		s.Domain, s.Bounds.Evacuate = plank.DomainID("xyz"[i%3:i%3+1]), limit
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.minReachable() == vms-1 {
			return poll.Success()
		}
		return poll.Continue("a VM reaches %d others", d.minReachable())
	}, poll.WithTimeout(30*time.Second))
	var frozen *Node
	for i, n := range d.nodes {
		if i%3 > 0 {
			d.links.cutStore(n.settings.IP)
		} else if n.watchPolicy.mustWatch() {
			frozen = n
		}
	}
	awaitAll := func(out bool) {
		t.Helper()
		began := time.Now()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			for _, n := range d.nodes {
				if n != frozen && n.isOutOfService("x") != out {
					return poll.Continue("%s of %s does not know", n.settings.VM, n.settings.Domain)
				}
			}
			return poll.Success()
		}, poll.WithTimeout(limit), poll.WithDelay(20*time.Millisecond))
		t.Logf("known after %v", time.Since(began))
	}
	assert.Assert(t, frozen != nil)
	d.links.freeze(frozen.settings.IP)
	d.store.Put("evacuations/x", struct{}{})
	awaitAll(true)
	d.store.Delete("evacuations/x")
	awaitAll(false)
}
