// Package policy maps the policies' names in the settings to implementations.
package policy

import (
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/config"
	"knapweedplank.org/plank/internal/order"
	"knapweedplank.org/plank/internal/place"
	"knapweedplank.org/plank/internal/queue"
	"knapweedplank.org/plank/internal/route"
)

// A Set holds one policy of each kind.
type Set struct {
	Router  plank.Router
	Evictor plank.Evictor
	Order   plank.LoadOrder
	// NewQueue returns a new queue for one endpoint.
	NewQueue func() plank.Queue
	// StaticShares is set when VMs do not borrow parts of each other's shares.
	StaticShares bool
}

// New returns the policies that cfg names. cfg must have been validated.
func New(cfg config.Policies) Set {
	s := Set{Router: route.Affinity{}, Evictor: place.LowestValue{}, Order: order.HighestValue{}, StaticShares: cfg.Shares == "static"}
	s.NewQueue = func() plank.Queue { return queue.NewFair() }
	switch cfg.Router {
	case "least":
		s.Router = route.LeastLoaded{}
	case "two":
		s.Router = route.TwoChoices{}
	}
	if cfg.Evictor == "lru" {
		s.Evictor = place.LRU{}
	}
	switch cfg.Order {
	case "deadline":
		s.Order = order.Deadline{}
	case "fifo":
		s.Order = order.FIFO{}
	}
	if cfg.Queue == "fifo" {
		s.NewQueue = func() plank.Queue { return queue.NewFIFO() }
	}
	return s
}
