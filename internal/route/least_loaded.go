// Package route defines the policies that choose the endpoint for a request.
package route

import "knapweedplank.org/plank"

// LeastLoaded picks the endpoint with the fewest outstanding requests for its batch
// size, regardless of which adapters are resident. It is the baseline.
type LeastLoaded struct{}

var _ plank.Router = LeastLoaded{}

// Name implements plank.Router.
func (LeastLoaded) Name() string { return "least" }

// Pick implements plank.Router.
func (LeastLoaded) Pick(cs []plank.Candidate) int {
	best := -1
	for i := range cs {
		if best < 0 || fill(&cs[i]) < fill(&cs[best]) {
			best = i
		}
	}
	return best
}

// fill returns the outstanding requests in units of full batches.
func fill(c *plank.Candidate) float64 {
	return float64(c.Outstanding) / float64(max(1, c.Batch))
}
