package node

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/wire"
)

// Guards against removals that are missed: updates of peers that began to follow the endpoints
// after this VM's last update were taken for complete.
func TestUpdatesAfterAGapAreTakenForComplete(t *testing.T) {
	// A message is one of a peer in the VM's domain, with news of the store.
	type message struct {
		vm, boot     string
		since, until plank.Revision // followed by the peer; 0 if it does not say
	}
	for _, test := range []struct {
		name     string
		messages []message
		covered  plank.Coverage
		mustList bool
	}{
		{"start", []message{{"b", "1", 10, 20}}, plank.Coverage{Since: 10, Until: 20}, false},
		{"unbroken", []message{{"b", "1", 10, 20}, {"b", "1", 0, 0}, {"b", "1", 10, 30}}, plank.Coverage{Since: 10, Until: 30}, false},
		{"list again", []message{{"b", "1", 10, 20}, {"b", "1", 20, 25}}, plank.Coverage{Since: 10, Until: 25}, false},
		{"only watcher starts anew", []message{{"b", "1", 10, 20}, {"b", "2", 22, 22}}, plank.Coverage{Since: 10, Until: 20}, true},
		{"next run says nothing yet", []message{{"b", "1", 10, 20}, {"b", "2", 0, 0}}, plank.Coverage{Since: 10, Until: 20}, false},
		{"only watcher fails for a time", []message{{"b", "1", 10, 20}, {"b", "1", 22, 22}}, plank.Coverage{Since: 10, Until: 20}, true},
		{"one of two starts anew", []message{{"b", "1", 10, 20}, {"c", "1", 12, 19}, {"b", "2", 22, 22}}, plank.Coverage{Since: 10, Until: 20}, false},
		{"the other goes on", []message{{"b", "1", 10, 20}, {"c", "1", 12, 19}, {"b", "2", 22, 22}, {"c", "1", 12, 24}}, plank.Coverage{Since: 10, Until: 24}, false},
		{"both start anew", []message{{"b", "1", 10, 20}, {"c", "1", 12, 19}, {"b", "2", 22, 22}, {"c", "2", 23, 23}}, plank.Coverage{Since: 10, Until: 20}, true},
		{"a peer that has followed for longer", []message{{"b", "1", 10, 20}, {"c", "1", 5, 15}}, plank.Coverage{Since: 5, Until: 20}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			m := mesh.New(ctx, mesh.Self{VM: "a", Domain: "d", Address: "a"}, noTransport{}, silentState{}, plank.SystemClock{}, log.WithField("vm", "a"))
			wp := &watchPolicy{mesh: m, domain: "d", clock: plank.SystemClock{}, turn: newTurn(), endpointTurn: newTurn()}
			for _, g := range test.messages {
				m.Serve(&wire.Gossip{
					Vm: g.vm, Boot: g.boot, Domain: "d", Address: g.vm, NewsMicros: time.Millisecond.Microseconds(),
					FollowedSince: uint64(g.since), FollowedUntil: uint64(g.until),
				}, endedStream{})
				wp.updateCovered(time.Now())
			}
			assert.Equal(t, wp.covered, test.covered)
			assert.Equal(t, wp.mustList, test.mustList)
			assert.Equal(t, wp.endpointTurn.isOn, test.mustList)
		})
	}
}
