package route

import "knapweedplank.org/plank"

// The costs that Affinity weighs, in units of the time that a full batch takes.
const (
	loadCost    = 1.0  // a load that begins at once
	queuedLoad  = 0.5  // each load that waits before it
	joinedLoad  = 0.5  // a load in progress
	distantCost = 0.05 // a hop to another failure domain
	hashCost    = 0.25 // spread of the preference by rendezvous hash
)

// Affinity picks the endpoint on which the request is expected to begin first. It
// weighs the wait for the batch against the wait for a load: an endpoint on which
// the adapter is resident gets the adapter's requests until its batch delays them
// longer than a load elsewhere would, which then makes a second copy resident. Among
// endpoints without the adapter the rendezvous hash decides, so that all VMs pick
// the same one.
type Affinity struct{}

var _ plank.Router = Affinity{}

// Name implements plank.Router.
func (Affinity) Name() string { return "affin" }

// Pick implements plank.Router.
func (Affinity) Pick(cs []plank.Candidate) int {
	best := -1
	lowest := 0.0
	for i := range cs {
		if cost := expected(&cs[i]); best < 0 || cost < lowest {
			best = i
			lowest = cost
		}
	}
	return best
}

// expected returns the expected wait on the endpoint.
func expected(c *plank.Candidate) float64 {
	cost := fill(c)
	switch {
	case c.Resident:
	case c.Loading:
		cost += joinedLoad
	default:
		cost += loadCost + queuedLoad*float64(c.Loads)
		cost += hashCost * (1 - float64(c.Hash>>11)/float64(1<<53))
	}
	if !c.Local {
		cost += distantCost
	}
	return cost
}
