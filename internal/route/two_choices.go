package route

import (
	"math/rand/v2"

	"knapweedplank.org/plank"
)

// TwoChoices picks the less loaded of two endpoints that are chosen at random. It is
// a baseline for comparisons.
type TwoChoices struct{}

var _ plank.Router = TwoChoices{}

// Name implements plank.Router.
func (TwoChoices) Name() string { return "two" }

// Pick implements plank.Router.
func (TwoChoices) Pick(cs []plank.Candidate) int {
	if len(cs) == 0 {
		return -1
	}
	a, b := rand.IntN(len(cs)), rand.IntN(len(cs))
	if occupancy(&cs[b]) < occupancy(&cs[a]) {
		return b
	}
	return a
}
