package node

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/duty"
	"knapweedplank.org/plank/platform"
	"knapweedplank.org/plank/platform/stand"
)

// A holder whose processor is slowed kept its lease: it still renewed it in the store,
// and granted 6 reservations a second instead of 165 for 8 s, while two thirds of the
// fleet's engines stood idle.
func TestSlowHolderKeepsItsLease(t *testing.T) {
	store := stand.NewStore()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: store}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	store.Put("config/main", map[string]any{"version": 1, "routes": []any{}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l, seed := newLinks(), ""
	var nodes []*Node
	for i := range 3 {
		n, addr := startControl(ctx, t, l, i, ln.Addr().String(), seed, func(int, *platform.Settings) {})
		if seed == "" {
			seed = addr
		}
		n.settings.Bounds.Lease = 3 * time.Second
		n.duties = &dutyLoop{
			n: n, leases: make(map[plank.DomainID]*duty.Lease), fenced: make(chan fencedTerm, 1),
			lastAlive: make(map[plank.DomainID]time.Time), lastClaimer: make(map[plank.DomainID]plank.VMID),
		}
		n.buildScheduler(ctx)
		n.view.SetManifest(&plank.Manifest{Version: 2, Services: map[plank.ServiceID]plank.Service{"llm": {ID: "llm", Pool: &plank.EnginePool{}}}})
		n.view.SetInstances(map[plank.EndpointID]plank.Instance{"e1": {ID: "e1", Service: "llm", Domain: "d", Addr: "127.0.9.200:1"}})
		go func() { n.duties.run(ctx) }()
		nodes = append(nodes, n)
	}
	holder := func() *Node {
		var found *Node
		for _, n := range nodes {
			if n.state.dutyCount() > 0 {
				if found != nil {
					return nil
				}
				found = n
			}
		}
		return found
	}
	await := func(what string, ok func() bool, within time.Duration) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if ok() {
				return poll.Success()
			}
			return poll.Continue("%s", what)
		}, poll.WithTimeout(within), poll.WithDelay(10*time.Millisecond))
	}
	await("a VM holds the lease", func() bool { return holder() != nil }, 10*time.Second)
	await("all VMs have run for long enough", func() bool {
		for _, n := range nodes {
			if !n.limiter.Settled() {
				return false
			}
		}
		return true
	}, 10*time.Second)
	slow := holder()
	for range 5 {
		slow.delay.Observe(100*time.Millisecond, time.Now())
	}
	slow.mesh.SetSlow(true)
	await("another VM holds the lease", func() bool { n := holder(); return n != nil && n != slow }, time.Second)
}
