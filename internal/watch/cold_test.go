package watch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
)

// Guards against a message to all VMs for each heartbeat of a cold endpoint, and against VMs
// that are not told that an endpoint became cold again.
func TestOnlyChangesOfColdnessAreSent(t *testing.T) {
	f := newFixture()
	rev := 0
	put := func(left time.Duration) (sent bool) {
		rev++
		f.changed = nil
		inst := plank.Instance{Service: "s", Addr: "a:1"}
		if left > 0 {
			inst.ColdUntil = f.clock.Now().Add(left)
		}
		f.table.Apply("servers/", []plank.Change{change("servers/e1", rev, inst)})
		return len(f.changed) > 0
	}
	put(0)
	assert.Assert(t, !put(3*time.Second), "endpoints of the service are never cold")
	put(0)
	f.view.SetManifest(&plank.Manifest{Version: 1, Services: map[plank.ServiceID]plank.Service{"s": {ID: "s", ColdRate: 6.9}}})
	assert.Assert(t, put(3*time.Second), "it becomes cold")
	for left := 2900 * time.Millisecond; left > -200*time.Millisecond; left -= 100 * time.Millisecond {
		f.clock.advance(100 * time.Millisecond)
		assert.Assert(t, !put(left), "the remaining time counts down")
	}
	assert.Assert(t, put(3*time.Second), "it becomes cold again")
	f.clock.advance(time.Second)
	assert.Assert(t, put(3*time.Second), "it becomes cold again before it is warm")
	assert.Assert(t, put(0), "it is warm early")
}
