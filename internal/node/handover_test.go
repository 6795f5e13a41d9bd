package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
)

// The load at which a VM of a fifth of a core held the duty for 47 engines, and
// 232 callers a second had no answer from it, beside two of 0.8 cores.
func TestHandoverTarget(t *testing.T) {
	const lease = 3 * time.Second
	large := candidate{"large", 1, true}
	starting := candidate{"large", 1, false}
	small := candidate{"small", 0.2, true}
	for _, test := range []struct {
		name       string
		self       plank.VMID
		candidates []candidate
		heldFor    time.Duration
		want       plank.VMID
	}{
		{"a small holder to a large VM", "small", []candidate{large, small}, 5 * time.Second, "large"},
		{"not within a lease", "small", []candidate{large, small}, 4 * time.Second, ""},
		{"not to a VM that has just started", "small", []candidate{starting, small}, 5 * time.Second, ""},
		{"a large holder keeps it", "large", []candidate{large, small}, time.Hour, ""},
		{"not among equals", "b", []candidate{{"a", 1, true}, {"b", 1, true}}, time.Hour, ""},
		{"a holder of another domain gives it back", "far", []candidate{small}, 5 * time.Second, "small"},
		{"a holder of another domain without VMs in it", "far", nil, time.Hour, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, handoverTarget(test.self, test.candidates, test.heldFor, lease), test.want)
		})
	}
}
