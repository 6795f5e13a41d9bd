// Package place defines the policies that choose which resident adapter makes
// room for another.
package place

import (
	"time"

	"knapweedplank.org/plank"
)

// LRU evicts the model that was used least recently. It is the baseline.
type LRU struct{}

var _ plank.Evictor = LRU{}

// Name implements plank.Evictor.
func (LRU) Name() string { return "lru" }

// Victim implements plank.Evictor.
func (LRU) Victim(slots []plank.ResidentModel, _ int, _ time.Time) int {
	victim := -1
	for i := range slots {
		if victim < 0 || slots[i].LastUse.Before(slots[victim].LastUse) {
			victim = i
		}
	}
	return victim
}
