package plank

import (
	"context"
	"time"
)

// A Job is one model request to be sent to an engine.
type Job struct {
	ID        RequestID
	Workspace WorkspaceID
	Key       KeyID
	Model     Model
	// Path is the path that the caller requested, such as /v1/completions.
	Path string
	// Body is the request as sent to engines: JSON that names Model, always
	// requests a stream and never holds the caller's key.
	Body []byte
	// Cost is the number of tokens reserved for the request.
	Cost Tokens
	// Weight is the workspace's weight in fair queueing.
	Weight float64
	// Deadline is the time after which the answer is of no use to the caller.
	Deadline time.Time
	// Fingerprint identifies repeats of the request.
	Fingerprint Fingerprint
	// Offset is the number of chunks that the caller has already received.
	Offset int
	// Alone is set when no other request may run on the endpoint meanwhile.
	Alone bool
}

// A Fingerprint is a hash of a request's content, equal for repeats of the
// request.
type Fingerprint string

// A Chunk is one event of an engine's stream.
type Chunk struct {
	// Index is the chunk's position in the whole answer, from 0; a resumed stream
	// continues the count.
	Index int
	Data  []byte
}

// An Engine is a client of one model engine.
type Engine interface {
	// Generate runs the job and calls emit for each chunk from job.Offset on, in
	// order, without gaps or repeats. It returns a *RefusalError if the engine
	// refused and an *UnavailableError if the stream broke off. After a complete
	// answer, a non-nil wait must be called: it returns once the engine has ended
	// the request as well, and ctx must not be cancelled before.
	Generate(ctx context.Context, job Job, emit func(Chunk) error) (wait func(), err error)
	// Load makes a model resident.
	Load(ctx context.Context, m Model, term Term) error
	// Unload removes a model.
	Unload(ctx context.Context, m Model, term Term) error
	// Report returns the state that the engine reports, which lags behind its
	// actual state.
	Report(ctx context.Context) (EngineReport, error)
}

// An EngineReport is the state that an engine reports.
type EngineReport struct {
	// Boot changes when the engine restarts.
	Boot BootID
	// Leaving is set when the engine is draining: it accepts no new requests.
	Leaving bool
	// Resident lists the loaded models.
	Resident []Model
	// Serving lists the loaded models that execute requests. It is nil if the
	// engine does not report them.
	Serving []Model
	// Running is the number of executing requests.
	Running int
}
