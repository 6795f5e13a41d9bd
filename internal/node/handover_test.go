package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
)

// Guards against a small VM that keeps a duty: a VM with 0.2 cores held the duty
// for 47 engines and left 232 calls a second unanswered, although two VMs of its
// domain had 0.8 cores each.
func TestHandoverTarget(t *testing.T) {
	const lease = 3 * time.Second
	large := candidate{vm: "large", capacity: 1, settled: true}
	starting := candidate{vm: "large", capacity: 1}
	small := candidate{vm: "small", capacity: 0.2, settled: true}
	slow := candidate{vm: "large", settled: true, slow: true}
	for _, test := range []struct {
		name       string
		self       plank.VMID
		candidates []candidate
		heldFor    time.Duration
		want       plank.VMID
	}{
		{"a small holder hands over to a large VM", "small", []candidate{large, small}, 5 * time.Second, "large"},
		{"not before 1.5 leases have passed", "small", []candidate{large, small}, 4 * time.Second, ""},
		{"not to a VM that has just started", "small", []candidate{starting, small}, 5 * time.Second, ""},
		{"a large holder keeps the duty", "large", []candidate{large, small}, time.Hour, ""},
		{"not to a VM of equal capacity", "b", []candidate{{vm: "a", capacity: 1, settled: true}, {vm: "b", capacity: 1, settled: true}}, time.Hour, ""},
		{"a slow holder hands over at once", "large", []candidate{small, slow}, time.Second, "small"},
		{"not if all others are slow as well", "large", []candidate{slow, {vm: "b", settled: true, slow: true}}, time.Hour, ""},
		{"not to a slow VM", "small", []candidate{slow, small}, time.Hour, ""},
		{"a holder of another domain hands over to a VM of the domain", "far", []candidate{small}, 5 * time.Second, "small"},
		{"a holder of another domain keeps the duty of a domain without VMs", "far", nil, time.Hour, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, handoverTarget(test.self, test.candidates, test.heldFor, lease), test.want)
		})
	}
}
