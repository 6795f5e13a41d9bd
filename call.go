package plank

import (
	"context"
	"net/http"
	"time"
)

// A Call is one attempt of a caller, decoded from the caller's protocol.
type Call struct {
	ID RequestID
	// Method, Host and Target are as sent; Target is path and query.
	Method string
	Host   string
	Target string
	// Header holds what is forwarded unchanged: neither the caller's key nor
	// any field that is the system's to set or concerns one connection.
	Header http.Header
	Body   []byte
	// Key is the caller's secret. It is never forwarded or logged.
	Key string
	// Arrived is when the call had been read.
	Arrived time.Time
	// Deadline ends the caller's patience. It is zero if the caller names none.
	Deadline time.Time
	// Adapter is empty for calls of plain services.
	Adapter AdapterRef
	// PromptTokens and MaxOutputTokens are the tokens read and, at most, generated. HasTokens
	// tells whether the caller named them.
	PromptTokens, MaxOutputTokens Tokens
	HasTokens                     bool
	// Hint is the caller's estimate of the tokens generated; 0 if none.
	Hint Tokens
	// LastEvent is the id of the last stream event that the caller has. It is
	// empty if the stream begins.
	LastEvent string
}

// A Head is the status line and header of an answer.
type Head struct {
	Status int
	Header http.Header
}

// An AnswerWriter carries one answer back to its caller. Its methods are called
// by one goroutine.
type AnswerWriter interface {
	// Respond sends a complete answer.
	Respond(head Head, body []byte) error
	// Begin starts an answer of unknown length.
	Begin(head Head) error
	// Append sends more of an answer that was begun, without delay.
	Append(data []byte) error
	// Refuse answers with a refusal or failure of the system's own.
	Refuse(r *RefusalError) error
	// Abort breaks the connection off, so that an answer that was begun does
	// not look complete.
	Abort()
}

// A CallHandler serves calls. It returns when the answer has ended. ctx ends when
// the caller leaves.
type CallHandler interface {
	Handle(ctx context.Context, call *Call, w AnswerWriter)
}
