package route

import "knapweedplank.org/plank"

// The costs that Affin weighs, in units of the time one full batch takes.
const (
	loadCost    = 1.0  // a load that begins at once
	queuedLoad  = 0.5  // each load that waits before it
	joinedLoad  = 0.5  // a load that is under way
	distantCost = 0.05 // a hop to another failure domain
	hashCost    = 0.25 // spread of the preference by rendezvous hash
)

// Affinity picks the endpoint where the request is expected to begin first. It
// weighs waiting in the batch against waiting for a load, so that a resident
// adapter draws its requests until its endpoint is busier than a load is worth;
// the request that goes elsewhere then makes a second copy. Among endpoints
// without the adapter the rendezvous hash decides, so that all VMs choose alike.
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
