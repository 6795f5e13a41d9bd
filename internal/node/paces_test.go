package node

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pace"
	"knapweedplank.org/plank/internal/wire"
	"knapweedplank.org/plank/platform"
)

// newPacesNode returns a node that knows an endpoint of a plain service.
func newPacesNode(clock plank.Clock, inst plank.Instance) *Node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &Node{settings: &platform.Settings{VM: "vm", Domain: "d"}, clock: clock, log: log.WithField("vm", "vm"), paces: pace.New(clock, false)}
	n.buildState()
	n.state.wake = func() {}
	n.view.SetManifest(&plank.Manifest{Version: 1, Services: map[plank.ServiceID]plank.Service{"s": {ID: "s"}}})
	n.view.SetInstances(map[plank.EndpointID]plank.Instance{inst.ID: inst})
	return n
}

// Guards against each VM of a fleet that has to find out by calls of its own that an endpoint is
// slow, and against a message for each answer of an endpoint.
func TestPacesOfPlainEndpointsAreToldOnceASecond(t *testing.T) {
	clock := plank.SystemClock{}
	inst := plank.Instance{ID: "e", Service: "s", Born: time.UnixMilli(1_800_000_000_000)}
	n := newPacesNode(clock, inst)
	for range 20 {
		n.state.setPace(inst.Run(), 3, clock.Now())
	}
	paces := n.state.changedPaces(0, clock.Now().Add(100*time.Millisecond))
	assert.Equal(t, len(paces), 1)
	assert.Equal(t, paces[0].Percent, uint32(300))
	assert.Equal(t, len(n.state.changedPaces(n.state.changes.Load(), clock.Now())), 0)

	other := newPacesNode(clock, inst)
	assert.Equal(t, other.paces.Pace("s", inst.Run()), 0.0)
	other.state.mergePaces(paces, 20*time.Millisecond)
	assert.Assert(t, other.paces.Pace("s", inst.Run()) > 2)
	restarted := inst
	restarted.Born = restarted.Born.Add(time.Minute)
	third := newPacesNode(clock, restarted)
	third.state.mergePaces(paces, 0)
	assert.Equal(t, third.paces.Pace("s", restarted.Run()), 0.0, "of an earlier run")
	third.state.mergePaces([]*wire.EndpointPace{{Endpoint: "e", Born: restarted.Born.UnixMilli(), Percent: 300, AgeMillis: 60_000}}, 0)
	assert.Equal(t, third.paces.Pace("s", restarted.Run()), 0.0, "too old")

	n.state.forgetPaces(map[plank.EndpointID]plank.Instance{"e": restarted})
	assert.Equal(t, len(n.state.changedPaces(0, clock.Now())), 0)
}
