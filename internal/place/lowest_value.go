package place

import (
	"time"

	"knapweedplank.org/plank"
)

// UseHalfLife is the time after which a use counts half in
// plank.ResidentModel.Uses.
const UseHalfLife = 2 * time.Minute

// minResidence is the time after a load during which a model is evicted only for one
// with more waiting requests than the model has uses. It prevents two models from
// evicting each other in turn.
const minResidence = 2 * time.Second

// LowestValue evicts the model with the lowest decayed number of uses per copy. The
// copies on other endpoints reduce the value of a model, because evicting one copy
// does not require a new load.
type LowestValue struct{}

var _ plank.Evictor = LowestValue{}

// Name implements plank.Evictor.
func (LowestValue) Name() string { return "value" }

// Victim implements plank.Evictor.
func (LowestValue) Victim(resident []plank.ResidentModel, demand int, now time.Time) int {
	victim := -1
	lowest := 0.0
	for i := range resident {
		s := &resident[i]
		value := s.Uses / float64(max(1, s.Copies))
		if now.Sub(s.LoadedAt) < minResidence && float64(demand) <= s.Uses {
			continue
		}
		if victim < 0 || value < lowest || value == lowest && s.LastUse.Before(resident[victim].LastUse) {
			victim = i
			lowest = value
		}
	}
	return victim
}
