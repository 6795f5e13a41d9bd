// Package route defines policies that choose the endpoint for a request.
package route

import "knapweedplank.org/plank"

// LeastLoaded picks the endpoint with the fewest outstanding requests in relation to
// its batch size, regardless of the resident adapters. It is the baseline for
// comparisons.
type LeastLoaded struct{}

var _ plank.Router = LeastLoaded{}

// Name implements plank.Router.
func (LeastLoaded) Name() string { return "least" }

// Pick implements plank.Router.
func (LeastLoaded) Pick(cs []plank.Candidate) int {
	best := -1
	for i := range cs {
		if best < 0 || occupancy(&cs[i]) < occupancy(&cs[best]) {
			best = i
		}
	}
	return best
}

// occupancy returns the number of outstanding requests in units of full batches.
func occupancy(c *plank.Candidate) float64 {
	return float64(c.Outstanding) / float64(max(1, c.Batch))
}
