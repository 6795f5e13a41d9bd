package plank

import (
	"context"
	"io"
	"time"
)

// A Dispatch holds what the system adds to a call that it sends to an endpoint.
type Dispatch struct {
	Instance  Instance
	Workspace WorkspaceID
	// Deadline is the time at which the endpoint stops working on the call.
	Deadline time.Time
	// Version is the adapter version that must serve the call; 0 allows any.
	Version VersionNumber
	// Resume is the id of the last stream event that the caller has received. It
	// is empty if the stream starts from its beginning.
	Resume string
	// Urgency is the call's priority in the engine, 0 being the highest; if it is
	// negative, none is sent.
	Urgency int
}

// A Reply is an endpoint's answer whose header has arrived.
type Reply struct {
	Head
	// NotRun is set when the endpoint states that it did not run the call.
	NotRun bool
	// Stamped is set when the answer has the server stamp, the header field by
	// which an endpoint's own answers are recognised.
	Stamped bool
	// Encoded is set when the answer has a Content-Encoding.
	Encoded bool
	// Unframed is set when the answer has neither a length nor chunks, so that it ends with
	// its connection.
	Unframed bool
	// Running and Waiting are the endpoint's numbers of requests and Slots is the
	// number that it runs at once. They are valid if HasLoad is set.
	HasLoad                 bool
	Running, Waiting, Slots int
	// Pace is how long work takes on the endpoint's machine at this moment, relative to the
	// usual time; 0 if the endpoint does not state it.
	Pace float64
	// Body must be closed. Closing it before its end aborts the call.
	Body io.ReadCloser
}

// A Notice is what an endpoint states about itself in the header of an answer.
type Notice struct {
	// Leaving is set when the endpoint is draining, as in Instance.
	Leaving bool
	// PausedUntil is the end of the time in which the endpoint wants no requests of this
	// VM; zero if it states none.
	PausedUntil time.Time
	// HasCold is set when the endpoint states how much longer it is cold, and ColdUntil is
	// when it is warm.
	HasCold   bool
	ColdUntil time.Time
}

// A SendError reports that a call got no usable answer.
type SendError struct {
	Endpoint EndpointID
	Op       string // dial, write or read
	// Sent is set when the endpoint may have received the call.
	Sent bool
	// Refused is set when the address refused the connection.
	Refused bool
	Err     error
}

// Error returns the message.
func (e *SendError) Error() string {
	return e.Op + " " + string(e.Endpoint) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// A Sender sends calls to endpoints. It never sends a call twice.
type Sender interface {
	// Send returns when the answer's header has arrived. The call is aborted when
	// ctx is cancelled. If there is no answer, the error is a *SendError.
	Send(ctx context.Context, call *Call, d Dispatch) (*Reply, error)
}

// An EngineController sends orders to engines and reads their states.
type EngineController interface {
	// Order returns an *UnavailableError if the engine did not answer; the engine
	// may then still carry out the order.
	Order(ctx context.Context, inst Instance, o Order) (OrderResult, error)
	// Status reads the state of an engine.
	Status(ctx context.Context, inst Instance) (EngineStatus, error)
}

// A RecordDecoder decodes the objects of the platform's store that describe the
// fleet.
type RecordDecoder interface {
	// Manifest decodes the operators' configuration.
	Manifest(value []byte) (*Manifest, error)
	// Instance decodes the registration of an endpoint.
	Instance(id EndpointID, value []byte) (Instance, error)
	// Release decodes the announcement of a new adapter version.
	Release(value []byte) (Residency, error)
}

// A HistoryError reports that the store no longer keeps the changes after the
// revision from which a watch started.
type HistoryError struct {
	Prefix string
	After  Revision
}

// Error returns the message.
func (e *HistoryError) Error() string {
	return "no history of " + e.Prefix + " any more"
}
