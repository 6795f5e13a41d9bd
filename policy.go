package plank

import "time"

// This file defines the interfaces of the decisions that have more than one
// policy. Implementations read nothing but their arguments, apart from random
// numbers, and perform no I/O.

// A Candidate is the state of an endpoint that a Router chooses by.
type Candidate struct {
	Endpoint EndpointID
	Owner    VMID
	// Resident is set when the requested model is resident on the endpoint.
	Resident bool
	// Loading is set when the endpoint is loading the requested model.
	Loading bool
	// Outstanding is the number of requests that run or wait on the endpoint.
	Outstanding int
	// Loads is the number of models that wait to be loaded on the endpoint.
	Loads int
	// Batch is the number of requests that the engine runs at once.
	Batch int
	// Local is set when the endpoint is in the caller's failure domain.
	Local bool
	// Hash is the endpoint's rank for the requested model in rendezvous hashing.
	Hash uint64
}

// A Router chooses the endpoint for a request.
type Router interface {
	// Pick returns the index of the chosen candidate, or -1 for none.
	Pick(candidates []Candidate) int
	// Name returns the policy's name in settings and logs.
	Name() string
}

// A ResidentModel is the state of a resident model that an Evictor chooses by.
type ResidentModel struct {
	Model Model
	// Uses is the number of uses, older ones counting less.
	Uses float64
	// LastUse is the time at which a request of the model last started or ended.
	LastUse time.Time
	// LoadedAt is the time at which the load ended.
	LoadedAt time.Time
	// Copies is the number of endpoints of the fleet on which the model is known
	// to be resident.
	Copies int
}

// An Evictor chooses the idle model that is evicted to make room for another.
type Evictor interface {
	// Victim returns the index of the model to evict for a model for which demand
	// requests wait, or -1 to evict none. All models in resident are idle.
	Victim(resident []ResidentModel, demand int, now time.Time) int
	Name() string
}

// A PendingLoad is a model that waits to be loaded on one endpoint.
type PendingLoad struct {
	Model Model
	// Waiting is the number of requests that wait for the load.
	Waiting int
	// Earliest is the earliest of their deadlines.
	Earliest time.Time
	// Since is the time at which the first of them arrived.
	Since time.Time
}

// A LoadOrder chooses the next model to load on an endpoint.
type LoadOrder interface {
	// Next returns the index of the model to load next, or -1 for none.
	Next(pending []PendingLoad, now time.Time) int
	Name() string
}

// A QueueItem is the part of a waiting request that a Queue orders by.
type QueueItem struct {
	Workspace WorkspaceID
	Weight    float64
	Cost      Tokens
	Arrived   time.Time
	Deadline  time.Time
}

// A Queue orders the waiting requests of one endpoint. The caller chooses the
// handles, which must be unique among the queued items.
type Queue interface {
	Push(handle uint64, item QueueItem)
	Remove(handle uint64)
	// Next returns the first handle, in the order of the policy, for which ready
	// returns true. It removes the item and charges its cost.
	Next(ready func(handle uint64) bool) (uint64, bool)
	Len() int
	Name() string
}
