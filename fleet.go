package plank

import (
	"context"
	"io"
	"time"
)

// A Dispatch is what the system adds to a call that it sends.
type Dispatch struct {
	Instance  Instance
	Workspace WorkspaceID
	// Deadline is when the endpoint stops work.
	Deadline time.Time
	// Version is the adapter version that must serve; 0 leaves it open.
	Version VersionNumber
	// Resume is the id of the last event that the caller has; empty to begin.
	Resume string
	// Urgency ranks the call in the engine, 0 first; -1 leaves it open.
	Urgency int
}

// A Reply is an endpoint's answer whose header has arrived.
type Reply struct {
	Head
	// NotRun is set when the endpoint states that it did not run the call.
	NotRun bool
	// Stamped is set when the answer carries the endpoint's signature.
	Stamped bool
	// Encoded is set when the body is not the endpoint's own encoding.
	Encoded bool
	// Running, Waiting and Slots are the endpoint's load, if HasLoad is set.
	HasLoad                 bool
	Running, Waiting, Slots int
	// Body must be closed. Closing it before its end breaks the call off.
	Body io.ReadCloser
}

// A SendError reports a call without a usable answer.
type SendError struct {
	Endpoint EndpointID
	Op       string // dial, write or read
	// Sent is set when the endpoint may have received the call.
	Sent bool
	// Refused is set when nothing listens at the address.
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
	// Send returns when the answer's header has arrived. The call is broken
	// off when ctx ends. A *SendError reports that there is no answer.
	Send(ctx context.Context, call *Call, d Dispatch) (*Reply, error)
}

// An EngineController gives orders to engines.
type EngineController interface {
	// Order returns an *UnavailableError if the engine gave no answer; the
	// order may then still be carried out.
	Order(ctx context.Context, inst Instance, o Order) (OrderResult, error)
	// Status asks an engine for its state.
	Status(ctx context.Context, inst Instance) (EngineStatus, error)
}

// A RecordDecoder decodes what the platform's store says of the fleet.
type RecordDecoder interface {
	// Manifest decodes the operators' configuration.
	Manifest(value []byte) (*Manifest, error)
	// Instance decodes the registration of one endpoint.
	Instance(id EndpointID, value []byte) (Instance, error)
	// Release decodes the announcement of an adapter version.
	Release(value []byte) (Residency, error)
}

// A HistoryError reports a watch from a revision that is no longer kept.
type HistoryError struct {
	Prefix string
	After  Revision
}

// Error returns the message.
func (e *HistoryError) Error() string {
	return "no history of " + e.Prefix + " any more"
}
