package mesh

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
)

// vm returns a usable VM of the current version; its address is its name, and its domain
// the first letter of that.
func vm(name string, capacity float64) neighbor {
	return neighbor{vm: plank.VMID(name), domain: plank.DomainID(name[:1]), addr: name, capacity: capacity, weight: uint64(len(name)), usable: true, readsRecords: true}
}

func TestPlanTopology(t *testing.T) {
	// Of each domain the VMs 1 and 2 have the most capacity.
	fleet := func(self string, change func(map[string]*neighbor)) (neighbor, []neighbor) {
		all := make(map[string]*neighbor)
		for _, d := range []string{"a", "b", "c"} {
			for i := 1; i <= 4; i++ {
				n := vm(fmt.Sprint(d, i), 1/float64(i))
				all[string(n.vm)] = &n
			}
		}
		if change != nil {
			change(all)
		}
		own := *all[self]
		delete(all, self)
		var others []neighbor
		for _, name := range slices.Sorted(maps.Keys(all)) {
			others = append(others, *all[name])
		}
		return own, others
	}
	for _, test := range []struct {
		name     string
		self     string
		change   func(map[string]*neighbor)
		want     string
		relaying bool
	}{
		{"a VM sends to the relays of its domain", "a3", nil, "a1 a2", false},
		{"the first relay sends to its domain and to the first of the others", "a1", nil, "a2 a3 a4 b1 c1", true},
		{"the second relay sends to the second of the others", "a2", nil, "a1 a3 a4 b2 c2", true},
		{"the next takes the place of a relay that is down", "a3", func(m map[string]*neighbor) { m["a1"].usable = false }, "a1 a2 a4 b2 c2", true},
		{"a VM that others take for a relay acts as one", "a4", func(m map[string]*neighbor) { m["a3"].sendsHere, m["a3"].usesAsRelay = true, true }, "a1 a2 a3 b1 c1", true},
		{"not if they are silent", "a4", func(m map[string]*neighbor) { m["a3"].usesAsRelay = true }, "a1 a2", false},
		{"lease holders send to each other", "a3", func(m map[string]*neighbor) {
			for _, vm := range []string{"a3", "b4", "c4"} {
				m[vm].isHolder = true
			}
		}, "a1 a2 b4 c4", false},
		{"VMs of a version without relays are sent to", "a3", func(m map[string]*neighbor) { m["b3"].readsRecords = false }, "a1 a2 b3", false},
		{"VMs that seek relays are answered", "a3", func(m map[string]*neighbor) { m["c4"].sendsHere, m["c4"].seeking = true, true }, "a1 a2 c4", false},
		{"a domain that is cut off is still tried", "a1", func(m map[string]*neighbor) {
			for _, vm := range []string{"b1", "b2", "b3", "b4"} {
				m[vm].usable = false
			}
		}, "a2 a3 a4 b1 c1", true},
		{"a slow VM gives the place of a relay up", "a1", func(m map[string]*neighbor) { m["a1"].usable = false }, "a2 a3", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			self, others := fleet(test.self, test.change)
			got := planTopology(self, others)
			assert.Equal(t, strings.Join(slices.Sorted(maps.Keys(got.targets)), " "), test.want)
			assert.Equal(t, got.relaying, test.relaying)
		})
	}
}
