package node

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/conns"
	"knapweedplank.org/plank/internal/health"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/platform"
)

// Guards against VMs that send to a cold endpoint for as long as it has not told them itself,
// and against messages where the configuration knows no cold endpoints.
func TestColdEndpointsReachOtherVMs(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var nodes []*Node
	inst := plank.Instance{ID: "e", Service: "s", Born: time.UnixMilli(1)}
	for range 3 {
		n := &Node{settings: &platform.Settings{VM: "vm", Domain: "d"}, clock: plank.SystemClock{}, log: log.WithField("vm", "vm"), registry: metrics.NewRegistry()}
		n.buildState()
		n.health = health.New(n.clock)
		n.state.wake = func() {}
		n.state.fleetSize = func() int { return smallFleet }
		n.view.SetInstances(map[plank.EndpointID]plank.Instance{"e": inst})
		nodes = append(nodes, n)
	}
	answer := func(ms string) {
		nodes[0].handleNotice(conns.Key{Endpoint: "e", Born: 1}, 200, http.Header{"Knapweedplank-Cold-Ms": {ms}})
	}
	exchange := func(from, to *Node, after uint64) (sent int) {
		g, _ := from.state.Gossip(mesh.GossipOptions{AfterChange: after})
		to.state.Merge("vm", "boot", g, 0)
		return len(g.ColdEndpoints)
	}
	answer("3000")
	assert.Equal(t, exchange(nodes[0], nodes[1], 0), 0, "endpoints of the service are never cold")
	answer("0")
	for _, n := range nodes {
		n.view.SetManifest(&plank.Manifest{Version: 1, Services: map[plank.ServiceID]plank.Service{"s": {ID: "s", ColdRate: 6.9}}})
	}
	answer("3000")
	assert.Equal(t, exchange(nodes[0], nodes[1], 0), 1)
	assert.Equal(t, exchange(nodes[1], nodes[2], 0), 1, "it is passed on")
	for _, n := range nodes {
		assert.Assert(t, !n.cold.Until(inst).IsZero())
	}
	before := nodes[0].state.changes.Load()
	answer("2990")
	exchange(nodes[2], nodes[0], 0)
	assert.Equal(t, exchange(nodes[0], nodes[1], before), 0, "the remaining time counts down")
	answer("0")
	assert.Assert(t, nodes[0].cold.Until(inst).IsZero())
}
