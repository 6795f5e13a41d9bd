package plank

import "time"

// This file defines the decisions that have more than one policy. All of them
// are pure: they read their arguments and perform no I/O.

// A Candidate is an endpoint as a router sees it.
type Candidate struct {
	Endpoint EndpointID
	Owner    VMID
	// Resident is set when the wanted model is loaded.
	Resident bool
	// Loading is set when the wanted model is on its way in.
	Loading bool
	// Outstanding counts requests that run or wait on the endpoint.
	Outstanding int
	// Loads counts models that wait for a load on the endpoint.
	Loads int
	// Batch is the number of requests that the engine runs at once.
	Batch int
	// Local is set when the endpoint is in the caller's failure domain.
	Local bool
	// Hash ranks the endpoint for the wanted model by rendezvous hashing.
	Hash uint64
}

// A Router picks the endpoint for a request.
type Router interface {
	// Pick returns the index of the chosen candidate, or -1 for none.
	Pick(candidates []Candidate) int
	// Name is the policy's name in settings and logs.
	Name() string
}

// A ResidentModel is a resident model as an evictor sees it.
type ResidentModel struct {
	Model Model
	// Uses is the aged count of uses.
	Uses float64
	// LastUse is when a request last ended or began on the model.
	LastUse time.Time
	// LoadedAt is when the load ended.
	LoadedAt time.Time
	// Copies counts the endpoints of the fleet that hold the model, as known.
	Copies int
}

// An Evictor picks which idle model makes room for another.
type Evictor interface {
	// Victim returns the index of the slot to evict for a model whose waiting
	// work is demand requests, or -1 to keep all. Every slot given is idle.
	Victim(slots []ResidentModel, demand int, now time.Time) int
	Name() string
}

// A PendingLoad is a model that waits for its load on one endpoint.
type PendingLoad struct {
	Model Model
	// Waiting counts the requests that the load frees.
	Waiting int
	// Earliest is the earliest deadline among them.
	Earliest time.Time
	// Since is when the first of them arrived.
	Since time.Time
}

// A LoadOrder picks the next load of an endpoint.
type LoadOrder interface {
	// Next returns the index of the want to load next, or -1.
	Next(wants []PendingLoad, now time.Time) int
	Name() string
}

// A QueueItem is a waiting request as a queue policy sees it.
type QueueItem struct {
	Workspace WorkspaceID
	Weight    float64
	Cost      Tokens
	Arrived   time.Time
	Deadline  time.Time
}

// A Queue orders the waiting requests of one endpoint. Handles are chosen by
// the caller and are unique among the queued.
type Queue interface {
	Push(handle uint64, item QueueItem)
	Remove(handle uint64)
	// Next returns the first handle, in the order of the policy, for which
	// ready holds. It removes and charges that item.
	Next(ready func(handle uint64) bool) (uint64, bool)
	Len() int
	Name() string
}
