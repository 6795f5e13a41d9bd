package node

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
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
