// Package place defines policies that choose which resident adapter is evicted to
// make room for another.
package place

import (
	"time"

	"knapweedplank.org/plank"
)

// LRU evicts the least recently used model. It is the baseline for comparisons.
type LRU struct{}

var _ plank.Evictor = LRU{}

// Name implements plank.Evictor.
func (LRU) Name() string { return "lru" }

// Victim implements plank.Evictor.
func (LRU) Victim(resident []plank.ResidentModel, _ int, _ time.Time) int {
	victim := -1
	for i := range resident {
		if victim < 0 || resident[i].LastUse.Before(resident[victim].LastUse) {
			victim = i
		}
	}
	return victim
}
