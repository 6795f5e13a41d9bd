package mesh_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/wire"
)

// A recording is a mesh.Stream that delivers one message.
type recording struct {
	mesh.Stream
	message []byte
}

// SetDeadline implements mesh.Stream.
func (recording) SetDeadline(time.Time) error { return nil }

// Receive implements mesh.Stream.
func (r *recording) Receive(m proto.Message) error {
	if r.message == nil {
		return io.EOF
	}
	defer func() { r.message = nil }()
	return proto.Unmarshal(r.message, m)
}

// FuzzServe receives damaged messages of another VM.
func FuzzServe(f *testing.F) {
	seeds := []*wire.Gossip{
		{Vm: "b", Boot: "1", Domain: "d", Address: "d0-1", Sequence: 1, ReadsRecords: true, Large: true, Seeking: true},
		{Sequence: 2, Records: []*wire.Record{{Index: 1, Sequence: 1}, {Index: 0, Sequence: 3, AgeMillis: 1 << 31, State: &wire.Gossip{Vm: "c", Boot: "x", Address: "d0-2"}}}},
		{Sequence: 3, Engines: []*wire.EngineState{{}, {Endpoint: "e", Gone: true}}, Flights: []*wire.Flight{{}}, Usages: []*wire.Usage{{Tokens: -1}}, Duties: []*wire.Duty{{}}},
	}
	for _, g := range seeds {
		b, err := proto.Marshal(g)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b, b)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Fuzz(func(_ *testing.T, first, second []byte) {
		g := new(wire.Gossip)
		if proto.Unmarshal(first, g) != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		state := &counter{counts: make(map[plank.VMID]int64), boots: make(map[plank.VMID]plank.BootID), wake: func() {}}
		n := &network{vms: make(map[string]*fleetVM)}
		n.fleet = &fleet{network: n}
		m := mesh.New(ctx, mesh.Self{VM: "a", Boot: "1", Domain: "d", Address: "d0-0"}, link{network: n, from: "d0-0", ctx: ctx}, state, plank.SystemClock{}, log.WithField("vm", "a"))
		m.Serve(g, &recording{message: second})
		m.Serve(g, &recording{message: first})
		m.Reachable()
	})
}
