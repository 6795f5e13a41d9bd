package node

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/wire"
)

// A silentState is a mesh.LocalState without contents.
type silentState struct{}

// Gossip implements mesh.LocalState.
func (silentState) Gossip(mesh.GossipOptions) (*wire.Gossip, mesh.Covered) {
	return &wire.Gossip{NewsMicros: -1}, mesh.Covered{}
}

// Merge implements mesh.LocalState.
func (silentState) Merge(plank.VMID, plank.BootID, *wire.Gossip, time.Duration) {}

// A noTransport reaches no VM.
type noTransport struct{}

// Open implements mesh.Transport.
func (noTransport) Open(context.Context, string, *wire.Call) (mesh.Stream, error) { return nil, io.EOF }

// Discard implements mesh.Transport.
func (noTransport) Discard(string) {}

// An endedStream carries no further message.
type endedStream struct{ mesh.Stream }

// SetDeadline implements mesh.Stream.
func (endedStream) SetDeadline(time.Time) error { return nil }

// Receive implements mesh.Stream.
func (endedStream) Receive(proto.Message) error { return io.EOF }

// Two relays that are cut off from the store would keep their view of it recent by telling
// it each other, as each message adds the time that it takes.
func TestRelayedNewsStayRecent(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m := mesh.New(ctx, mesh.Self{VM: "a", Domain: "d", Address: "a"}, noTransport{}, silentState{}, plank.SystemClock{}, log.WithField("vm", "a"))
	wp := &watchPolicy{mesh: m, domain: "d", clock: plank.SystemClock{}}
	own := time.Now().Add(-time.Second)
	receive := func(vm string, age time.Duration, relayed bool) {
		m.Serve(&wire.Gossip{Vm: vm, Boot: "1", Domain: "d", Address: vm, NewsMicros: age.Microseconds(), NewsRelayed: relayed}, endedStream{})
	}
	receive("b", 10*time.Millisecond, true)
	assert.Equal(t, wp.newestFirstHand(own), own)
	receive("c", 500*time.Millisecond, false)
	age := time.Since(wp.newestFirstHand(own))
	assert.Assert(t, age >= 500*time.Millisecond && age < 900*time.Millisecond, "%v", age)
}
