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

// A keeper is a sink that only keeps objects.
type keeper struct{}

// Apply implements watch.Sink.
func (keeper) Apply(watch.Batch) {}

// IsSignificant implements watch.Sink.
func (keeper) IsSignificant(plank.Change) bool { return true }

// A VM that begins to tell its peers of the store once told everything in one
// message, and heartbeats waited behind it on every link of the domain.
func TestObjectsAreToldInBoundedMessages(t *testing.T) {
	const objects, valueSize = 300, 700
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &Node{settings: &platform.Settings{VM: "vm", Domain: "d"}, clock: plank.SystemClock{}, log: log.WithField("vm", "vm")}
	n.buildState()
	n.state.wake = func() {}
	n.table.AddSink("servers/", keeper{})
	for i := range objects {
		n.table.Apply("servers/", []plank.Change{{
			Object:   plank.Object{Key: fmt.Sprint("servers/e", i), Value: []byte(strings.Repeat("x", valueSize)), Version: plank.ObjectVersion(i + 1)},
			Revision: plank.Revision(i + 1),
		}})
	}
	last := n.state.changes.Load()
	told := make(map[string]bool)
	at, messages := uint64(0), 0
	for ; at < last; messages++ {
		list, covered := n.state.changedObjects(at, last)
		assert.Assert(t, covered > at, "no progress")
		size := 0
		for _, o := range list {
			assert.Assert(t, !told[o.Key], "%s is told twice", o.Key)
			told[o.Key] = true
			size += proto.Size(o)
		}
		assert.Assert(t, size < 2*maxObjects, "%d bytes", size)
		at = covered
	}
	assert.Equal(t, len(told), objects)
	assert.Assert(t, messages > 1)
	rest, _ := n.state.changedObjects(at, last)
	assert.Equal(t, len(rest), 0)
}
