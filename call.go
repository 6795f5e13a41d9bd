package plank

import (
	"context"
	"net/http"
	"time"
)

// A Call is one attempt of a caller's request, with an id of its own, decoded
// from the caller's protocol.
type Call struct {
	ID RequestID
	// Method, Host and Target are as received; Target is the path with the query.
	Method string
	Host   string
	Target string
	// Header holds the fields that are forwarded unchanged. It has neither the
	// caller's key nor hop-by-hop fields nor fields that the system sets.
	Header http.Header
	Body   []byte
	// Key is the caller's API key. It is never forwarded or logged.
	Key string
	// Arrived is the time at which the call had been read completely.
	Arrived time.Time
	// Deadline is the time after which the answer is of no use to the caller. It
	// is zero if the caller sets none.
	Deadline time.Time
	// Adapter is empty for calls of plain services.
	Adapter AdapterRef
	// PromptTokens is the length of the prompt and MaxOutputTokens the limit of
	// the output. HasTokens reports whether the caller sent them.
	PromptTokens, MaxOutputTokens Tokens
	HasTokens                     bool
	// Parts are the parts of the prompt that other requests may share, in order.
	Parts []PartID
	// PromptParts are all parts of the prompt with their lengths, in order. The last one
	// belongs to the call or to its session.
	PromptParts []PromptPart
	// Hint is the caller's estimate of the output's length; 0 if there is none.
	Hint Tokens
	// LastEvent is the id of the last stream event that the caller has received.
	// It is empty if the stream starts from its beginning.
	LastEvent string
}

// A PromptPart is a part of a prompt. An engine that keeps it for the same adapter, and all
// parts before it, does not process it again.
type PromptPart struct {
	ID     PartID
	Tokens Tokens
}

// A Head is the status code and header of an answer.
type Head struct {
	Status int
	Header http.Header
}

// An AnswerWriter sends one answer to the caller. It is not safe for concurrent
// use.
type AnswerWriter interface {
	// Respond sends a complete answer.
	Respond(head Head, body []byte) error
	// Begin starts an answer of unknown length.
	Begin(head Head) error
	// Append sends the next part of an answer that was begun, without buffering.
	Append(data []byte) error
	// Refuse sends a refusal or failure that originates in the system.
	Refuse(r *RefusalError) error
	// Abort closes the connection, so that an answer that was begun is
	// recognisable as incomplete.
	Abort()
}

// A CallHandler serves calls.
type CallHandler interface {
	// Handle returns when the answer has ended. ctx is cancelled when the caller
	// disconnects.
	Handle(ctx context.Context, call *Call, w AnswerWriter)
}
