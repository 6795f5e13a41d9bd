package route

import (
	"math/rand/v2"

	"knapweedplank.org/plank"
)

// Two picks the less loaded of two random endpoints. It is a baseline.
type Two struct{}

var _ plank.Router = Two{}

// Name implements plank.Router.
func (Two) Name() string { return "two" }

// Pick implements plank.Router.
func (Two) Pick(cs []plank.Candidate) int {
	if len(cs) == 0 {
		return -1
	}
	a, b := rand.IntN(len(cs)), rand.IntN(len(cs))
	if fill(&cs[b]) < fill(&cs[a]) {
		return b
	}
	return a
}
