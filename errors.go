package plank

import (
	"fmt"
	"time"
)

// This file defines the errors that packages return to each other. Callers match
// them with errors.As.

// An UnavailableError reports that the platform, a peer or an endpoint returned
// no usable answer.
type UnavailableError struct {
	Target string // the system that the request was sent to
	Op     string // the operation that was requested
	Err    error  // the cause; may be nil
}

// Error returns the message.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: %s unavailable: %v", e.Op, e.Target, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// A ConflictError reports that the object of a conditional update is not at the
// expected version.
type ConflictError struct {
	Key  string
	Want ObjectVersion
}

// Error returns the message.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s is not at version %d", e.Key, e.Want)
}

// A Ran states whether an endpoint executed a refused or failed request.
type Ran string

// The values of Ran.
const (
	NotRun  Ran = "not_run" // no endpoint started the request, and none will
	DidRun  Ran = "ran"     // an endpoint executed the request
	Unknown Ran = "unknown" // an endpoint may have executed the request
)

// A Code is the machine-readable reason of a refusal.
type Code string

// The values of Code.
const (
	CodeBadRequest        Code = "bad_request"
	CodeTooLarge          Code = "body_too_large"
	CodeBadKey            Code = "invalid_api_key"
	CodeKeyWithdrawn      Code = "key_withdrawn"
	CodeNotAllowed        Code = "not_allowed"
	CodeNoModel           Code = "model_not_found"
	CodeNoRoute           Code = "route_not_found"
	CodeRateLimited       Code = "rate_limit_exceeded"
	CodeDeadlineExceeded  Code = "deadline_exceeded"
	CodeNoEndpoint        Code = "no_endpoint"
	CodeNotReady          Code = "not_ready"
	CodeOverloaded        Code = "overloaded" // callers hold too much of the VM's memory
	CodeLedgerUnavailable Code = "ledger_unavailable"
	CodeInProgress        Code = "in_progress"
	CodeKeyReused         Code = "idempotency_key_reused"
	CodeOutcomeUnknown    Code = "outcome_unknown"
	CodeQuarantined       Code = "request_quarantined"
	CodeEndpoint          Code = "endpoint_failed"
	CodeWrongOwner        Code = "not_owner"
	CodeLoadFailed        Code = "load_failed"
)

// A RefusalError is the answer to a request that was not served completely.
type RefusalError struct {
	Code       Code
	Ran        Ran
	Detail     string
	RetryAfter time.Duration // 0 if a later retry does not help
}

// Error returns the message.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Ran, e.Detail)
}

// Refuse returns a RefusalError for a request that no endpoint started.
func Refuse(code Code, format string, args ...any) *RefusalError {
	return &RefusalError{Code: code, Ran: NotRun, Detail: fmt.Sprintf(format, args...)}
}
