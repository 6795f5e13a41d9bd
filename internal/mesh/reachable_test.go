package mesh_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/mesh"
)

// A replaced VM does not count as known once it is gone. A fleet used only seven eighths
// of its limits for good after a replacement, since the old VM counted as silent.
func TestGoneVMsDoNotCountAsKnown(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, test := range []struct {
		name   string
		silent time.Duration // silence of a2
		domain time.Duration // silence of a1, the rest of its domain
		known  int
	}{
		{"just silent", 2 * time.Second, 0, 4},
		{"a single VM disconnected for some seconds", 12 * time.Second, 0, 4},
		{"gone", 20 * time.Second, 0, 3},
		{"its whole domain is silent", 20 * time.Second, 20 * time.Second, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			peers := map[plank.VMID]*mesh.Peer{
				"a1": {VM: "a1", Domain: "a", LastReceived: now.Add(-test.domain)},
				"a2": {VM: "a2", Domain: "a", LastReceived: now.Add(-test.silent)},
				"b1": {VM: "b1", Domain: "b", LastReceived: now},
			}
			_, known := mesh.CountReachable("b", peers, now)
			assert.Equal(t, known, test.known)
		})
	}
}
