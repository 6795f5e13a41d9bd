package plank

import "time"

// An Instance is one run of an endpoint, as the endpoint registered it.
type Instance struct {
	ID      EndpointID
	Service ServiceID
	Addr    string
	Domain  DomainID
	// Born is the start of the run, by the endpoint's clock. It distinguishes the
	// runs of an endpoint, which keeps its ID over restarts.
	Born time.Time
	// Slots is the number of requests that the endpoint processes at once.
	Slots int
	// Leaving is set when the endpoint is draining: it accepts no new calls.
	Leaving bool
	// Bases lists the base models that the endpoint held when it registered.
	Bases []BaseID
	// Seq is the number of orders that the engine had accepted.
	Seq uint64
	// ColdUntil is when the endpoint is expected to be warm, by what it said of itself;
	// zero if it is warm. A cold endpoint tolerates only Service.ColdRate.
	ColdUntil time.Time
}

// A Run identifies one run of an endpoint.
type Run struct {
	Endpoint EndpointID
	Born     int64 // as in Instance, in Unix milliseconds
}

// Run returns the run that the instance is.
func (i Instance) Run() Run { return Run{i.ID, i.Born.UnixMilli()} }

// A Residency is one version of an adapter on an engine. Version is 0 if it is
// unknown.
type Residency struct {
	Adapter AdapterRef
	Version VersionNumber
}

// An EngineStatus is the state that an engine reports. It lags behind the actual
// state by a few hundred milliseconds.
type EngineStatus struct {
	Born     time.Time // as in Instance
	Leaving  bool      // as in Instance
	Seq      uint64    // the number of orders that the engine has accepted
	Bases    []BaseID
	Resident []Residency
	Loading  []Residency
	Running  int    // executing requests
	Waiting  int    // queued requests
	Used     Tokens // part of the key-value cache that cannot be freed
}

// A FencingToken accompanies each order. Engines refuse an order whose term is
// lower than one that they have already seen.
type FencingToken struct {
	Holder VMID
	Term   Term
}

// An OrderResult is the result of an order.
type OrderResult string

// The values of OrderResult.
const (
	OrderDone     OrderResult = "done"     // the order has taken effect
	OrderPending  OrderResult = "pending"  // the engine is carrying out the order
	OrderConflict OrderResult = "conflict" // another order came first, or no adapter slot is free
	OrderFenced   OrderResult = "fenced"   // the engine has seen a higher term
	OrderMoved    OrderResult = "moved"    // another instance has the address
	OrderRejected OrderResult = "rejected" // the engine does not support the order
)

// An Order loads or unloads one adapter.
type Order struct {
	Unload bool
	Target Residency
	Expect uint64 // the number of orders that the engine must have accepted before
	Fence  FencingToken
}
