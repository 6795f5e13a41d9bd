package node

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/poison"
	"knapweedplank.org/plank/internal/watch"
	"knapweedplank.org/plank/platform"
)

// A nopSink is a sink that ignores changes.
type nopSink struct{}

// Apply implements watch.Sink.
func (nopSink) Apply(watch.Batch) {}

// IsSignificant implements watch.Sink.
func (nopSink) IsSignificant(plank.Change) bool { return true }

// Guards against unbounded gossip: a VM that started to send its peers updates from
// the store sent all objects in one message, and heartbeats queued behind it on every
// link of the domain.
func TestObjectsAreSentInBoundedMessages(t *testing.T) {
	const objects, valueSize = 300, 700
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &Node{settings: &platform.Settings{VM: "vm", Domain: "d"}, clock: plank.SystemClock{}, log: log.WithField("vm", "vm")}
	n.buildState()
	n.state.wake = func() {}
	n.table.AddSink("servers/", nopSink{})
	for i := range objects {
		n.table.Apply("servers/", []plank.Change{{
			Object:   plank.Object{Key: fmt.Sprint("servers/e", i), Value: []byte(strings.Repeat("x", valueSize)), Version: plank.ObjectVersion(i + 1)},
			Revision: plank.Revision(i + 1),
		}})
	}
	last := n.state.changes.Load()
	sent := make(map[string]bool)
	at, messages := uint64(0), 0
	for ; at < last; messages++ {
		list, covered := n.state.changedObjects(at, last)
		assert.Assert(t, covered > at, "no progress")
		size := 0
		for _, o := range list {
			assert.Assert(t, !sent[o.Key], "%s is sent twice", o.Key)
			sent[o.Key] = true
			size += proto.Size(o)
		}
		assert.Assert(t, size < 2*maxObjectsBytes, "%d bytes", size)
		at = covered
	}
	assert.Equal(t, len(sent), objects)
	assert.Assert(t, messages > 1)
	rest, _ := n.state.changedObjects(at, last)
	assert.Equal(t, len(rest), 0)
}

// What one VM saw of a crash counts on the others, and so does that an answer has begun.
func TestCrashObservationsReachOtherVMs(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var nodes []*Node
	for range 2 {
		n := &Node{settings: &platform.Settings{VM: "vm", Domain: "d"}, clock: plank.SystemClock{}, log: log.WithField("vm", "vm")}
		n.buildState()
		n.state.wake = func() {}
		n.state.fleetSize = func() int { return smallFleet }
		nodes = append(nodes, n)
	}
	exchange := func(from, to *Node, age time.Duration) {
		g, _ := from.state.Gossip(mesh.GossipOptions{})
		to.state.Merge("vm", "boot", g, age)
	}
	parts := []plank.PartID{"sound", "deadly"}
	const request plank.Fingerprint = "\x01\xff"
	for i := range 3 {
		nodes[i%2].requests.RecordCrash(plank.Run{Endpoint: "e", Born: int64(i)}, request)
		nodes[1-i%2].requests.RecordCrash(plank.Run{Endpoint: "e", Born: int64(i)}, request)
		nodes[i%2].parts.RecordCrash(plank.Run{Endpoint: "e", Born: int64(i)}, plank.Fingerprint([]byte{byte(i)}), parts)
		exchange(nodes[i%2], nodes[1-i%2], 0)
		time.Sleep(250 * time.Millisecond) // crashes at the same moment count once
	}
	for _, n := range nodes {
		q, ok := n.parts.Lookup(parts)
		assert.Assert(t, ok)
		assert.Equal(t, len(q.Parts), 2)
		crashes, quarantined := n.requests.Lookup(request)
		assert.Assert(t, quarantined)
		assert.Equal(t, crashes, 3)
	}
	nodes[0].requests.RecordServed(request)
	nodes[0].parts.RecordBegun(parts[:1])
	exchange(nodes[0], nodes[1], time.Minute)
	q, ok := nodes[1].parts.Lookup(parts[1:])
	assert.Assert(t, ok, "the part with which no answer began is no longer quarantined")
	crashes, quarantined := nodes[1].requests.Lookup(request)
	assert.Assert(t, !quarantined, "%d crashes of a request that was served since", crashes)
	assert.Equal(t, len(q.Parts), 1)
}

// An observation that was published after the answer that cleared it had begun counted again on
// the other VMs.
func TestClearedObservationIsPublishedAsOpen(t *testing.T) {
	n := &Node{settings: &platform.Settings{VM: "vm", Domain: "d"}, clock: plank.SystemClock{}}
	n.buildState()
	n.state.wake = func() {}
	n.state.fleetSize = func() int { return smallFleet }
	open := poison.Observation{Part: "sound", Crash: plank.Run{Endpoint: "e", Born: 1}, At: time.Now()}
	cleared := open
	cleared.Cleared = true
	n.state.setPartCrashes([]poison.Observation{cleared})
	n.state.setPartCrashes([]poison.Observation{open})
	g, _ := n.state.Gossip(mesh.GossipOptions{})
	assert.Equal(t, len(g.CrashObservations), 1)
	assert.Assert(t, g.CrashObservations[0].Cleared)
}
