package plank

import (
	"context"
	"time"
)

// A Job is one model request on its way to an engine.
type Job struct {
	ID        RequestID
	Workspace WorkspaceID
	Key       KeyID
	Model     Model
	// Path is the caller's route, such as /v1/completions.
	Path string
	// Body is the request as sent to engines: JSON that names Model, never
	// holds the caller's key and always asks for a stream.
	Body []byte
	// Cost is what was reserved for the request.
	Cost Tokens
	// Weight is the workspace's share of service relative to the others.
	Weight float64
	// Deadline ends the caller's patience.
	Deadline time.Time
	// Fingerprint is the fingerprint by which repeats of the request are recognised.
	Fingerprint Fingerprint
	// Offset is the number of chunks that the caller already has.
	Offset int
	// Alone asks that nothing else runs on the endpoint meanwhile.
	Alone bool
}

// A Fingerprint identifies the content of a request over repeats.
type Fingerprint string

// A Chunk is one event of an engine's stream.
type Chunk struct {
	// Index counts from 0 over the whole answer, resumed parts included.
	Index int
	Data  []byte
}

// An Engine is a client of one model engine.
type Engine interface {
	// Generate runs the job and hands each chunk to emit, from job.Offset on,
	// in order and without gap or repeat. It returns a *RefusalError if the
	// engine refused and an *UnavailableError if the engine broke off. After a
	// whole answer wait, which may be nil, returns once the engine has ended the
	// request as well; until then ctx must not end, and wait must be called.
	Generate(ctx context.Context, job Job, emit func(Chunk) error) (wait func(), err error)
	// Load makes a model resident.
	Load(ctx context.Context, m Model, term Term) error
	// Unload removes a model.
	Unload(ctx context.Context, m Model, term Term) error
	// Report returns the engine's own view of itself. The view lags.
	Report(ctx context.Context) (EngineReport, error)
}

// An EngineReport is what an engine says of itself.
type EngineReport struct {
	// Boot changes when the engine restarts.
	Boot BootID
	// Leaving is set when the engine takes no new work.
	Leaving bool
	// Resident lists the loaded models.
	Resident []Model
	// Serving lists the loaded models that execute requests. It is nil if the
	// engine does not tell.
	Serving []Model
	// Running counts executing requests.
	Running int
}
