package route

import "knapweedplank.org/plank"

// The costs that Affinity adds up, in units of the time that one full batch takes.
const (
	newLoadCost     = 1.0  // a load that can start at once
	queuedLoadCost  = 0.5  // each load that waits on the endpoint before it
	ongoingLoadCost = 0.5  // a load in progress, or already waited for
	otherDomainCost = 0.05 // an endpoint in another failure domain
	maxHashCost     = 0.25 // for the lowest rank in rendezvous hashing
)

// Affinity picks the endpoint on which the request is expected to start first. It
// compares the wait for room in the batch with the wait for a load. Requests thus
// go to an endpoint on which the adapter is resident until the wait there exceeds
// that for a load elsewhere; the next request then causes a load of a second copy.
// Among endpoints without the adapter, rendezvous hashing makes all VMs prefer the
// same one.
type Affinity struct{}

var _ plank.Router = Affinity{}

// Name implements plank.Router.
func (Affinity) Name() string { return "affin" }

// Pick implements plank.Router.
func (Affinity) Pick(cs []plank.Candidate) int {
	best := -1
	lowest := 0.0
	for i := range cs {
		if cost := expectedWait(&cs[i]); best < 0 || cost < lowest {
			best = i
			lowest = cost
		}
	}
	return best
}

// expectedWait returns the expected wait on the endpoint, in units of the time that
// one full batch takes.
func expectedWait(c *plank.Candidate) float64 {
	cost := occupancy(c)
	switch {
	case c.Resident:
	case c.Loading:
		cost += ongoingLoadCost
	default:
		cost += newLoadCost + queuedLoadCost*float64(c.Loads)
		cost += maxHashCost * (1 - float64(c.Hash>>11)/float64(1<<53))
	}
	if !c.Local {
		cost += otherDomainCost
	}
	return cost
}
