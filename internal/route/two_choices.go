package route

import (
	"math/rand/v2"

	"knapweedplank.org/plank"
)

// TwoChoices picks the less loaded of two random endpoints. It is a baseline.
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
	if fill(&cs[b]) < fill(&cs[a]) {
		return b
	}
	return a
}
