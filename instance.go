package plank

import "time"

// An Instance is one start of an endpoint, as it registered itself.
type Instance struct {
	ID      EndpointID
	Service ServiceID
	Addr    string
	Domain  DomainID
	// Born is when the endpoint started, by its own clock. An endpoint may
	// start again under its ID.
	Born time.Time
	// Slots is how many requests the endpoint processes at once.
	Slots int
	// Leaving is set when the endpoint takes no new work.
	Leaving bool
	// Bases lists the base models that the endpoint held when it registered.
	Bases []BaseID
	// Seq counts the orders that the engine had accepted.
	Seq uint64
}

// A Residency is one adapter on an engine. Version is 0 if it is not known.
type Residency struct {
	Adapter AdapterRef
	Version VersionNumber
}

// An EngineStatus is what an engine says of itself. It lags by some hundred
// milliseconds.
type EngineStatus struct {
	Born     time.Time
	Leaving  bool
	Seq      uint64
	Bases    []BaseID
	Resident []Residency
	Loading  []Residency
	Running  int
	Waiting  int
	Used     Tokens // memory that cannot be freed
}

// A FencingToken guards orders: engines refuse orders with a lower term than one
// already seen.
type FencingToken struct {
	Holder VMID
	Term   Term
}

// An OrderResult tells what became of an order.
type OrderResult string

// The results of orders.
const (
	OrderDone     OrderResult = "done"     // the order holds
	OrderPending  OrderResult = "pending"  // the engine carries it out
	OrderConflict OrderResult = "conflict" // another order came first, or no place is free
	OrderFenced   OrderResult = "fenced"   // a higher term was seen
	OrderMoved    OrderResult = "moved"    // another instance has the address
	OrderRejected OrderResult = "rejected" // the engine does not know the order
)

// An Order loads or unloads one adapter.
type Order struct {
	Unload bool
	Target Residency
	Expect uint64 // the number of orders that the engine has accepted
	Fence  FencingToken
}
