package place

import (
	"time"

	"knapweedplank.org/plank"
)

// UseHalfLife is the time in which the count of past uses of a model halves.
const UseHalfLife = 2 * time.Minute

// minResidence is how long after its load a model is kept unless the demand for
// another exceeds its own uses. It prevents two models from evicting each other in
// turn.
const minResidence = 2 * time.Second

// LowestValue evicts the model whose decayed count of uses is lowest. A model with
// copies on other endpoints counts less, because losing one copy costs no load.
type LowestValue struct{}

var _ plank.Evictor = LowestValue{}

// Name implements plank.Evictor.
func (LowestValue) Name() string { return "value" }

// Victim implements plank.Evictor.
func (LowestValue) Victim(slots []plank.ResidentModel, demand int, now time.Time) int {
	victim := -1
	lowest := 0.0
	for i := range slots {
		s := &slots[i]
		value := s.Uses / float64(max(1, s.Copies))
		if now.Sub(s.LoadedAt) < minResidence && float64(demand) <= s.Uses {
			continue
		}
		if victim < 0 || value < lowest || value == lowest && s.LastUse.Before(slots[victim].LastUse) {
			victim = i
			lowest = value
		}
	}
	return victim
}
