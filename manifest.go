package plank

import "time"

// A ManifestVersion orders the configurations of operators.
type ManifestVersion uint64

// A Manifest is the operators' configuration of routes, services and
// workspaces. It is not changed once it is published.
type Manifest struct {
	Version    ManifestVersion
	Routes     []Route
	Services   map[ServiceID]Service
	Workspaces []Workspace
	Limits     CallLimits
	// Size is the length of its stored form, in bytes.
	Size int
}

// A RouteKind tells what may be repeated.
type RouteKind string

// The kinds of routes.
const (
	Idempotent    RouteKind = "idempotent"     // may run more than once
	NonIdempotent RouteKind = "non_idempotent" // runs at most once for each call
	Streaming     RouteKind = "streaming"      // answers with events
)

// A ServiceShare is a service's weight in a route that is split.
type ServiceShare struct {
	Service ServiceID
	Weight  float64
}

// A Route maps calls of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   RouteKind
	// Timeout is the longest time that a call is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or a stream's first event, is
	// in time.
	TargetLatency time.Duration
	// MaxGap is the longest pause between events of a stream that is in time.
	MaxGap time.Duration
	// Priority is the rank, 0 first.
	Priority int
	// Split holds one service, or more with their weights.
	Split []ServiceShare
	// MaxAttempts bounds the endpoints to which one call is sent; at least 1.
	MaxAttempts int
	// Public is set when calls need no key.
	Public bool
	// Resumable is set when a stream may be carried on by another endpoint.
	Resumable bool
}

// Repeatable tells whether a call may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// A Service is a set of endpoints that answer the same calls.
type Service struct {
	ID         ServiceID
	HealthPath string
	// MaxConns bounds the connections to one endpoint of all callers together.
	MaxConns int
	// Pool is set for services of model engines.
	Pool *EnginePool
}

// An EnginePool describes the engines of a service, which are all alike.
type EnginePool struct {
	Slots       int     // requests that run at once
	KVCapacity  Tokens  // of the key-value cache
	MaxAdapters int     // adapters held at once, loads under way included
	WeightsMB   float64 // room for weights
	// LoadsPerSecond is what the weight store allows over all engines.
	LoadsPerSecond float64
	// Bases are the base models.
	Bases []BaseModel
}

// BaseLoad returns how long an engine takes to load a base model, at most.
func (p *EnginePool) BaseLoad(id BaseID) time.Duration {
	for _, b := range p.Bases {
		if b.ID == id {
			return b.LoadTime
		}
	}
	return 0
}

// A BaseModel is the weights that adapters refine.
type BaseModel struct {
	ID BaseID
	// Adapters counts the adapters, named a1 and so on.
	Adapters  int
	WeightsMB float64
	// LoadTime is how long a load from the weight store takes.
	LoadTime time.Duration
}

// A Workspace is a tenant of the fleet.
type Workspace struct {
	ID   WorkspaceID
	Keys []string
	// Priority goes before a route's where HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate and Burst bound the usage over all VMs; Rate 0 means no limit.
	Rate  TokensPerSecond
	Burst Tokens
	// ByToken is set when usage is counted in tokens; else each call counts 1.
	ByToken bool
	// DefaultUsage is the usage of a call that names no tokens.
	DefaultUsage Tokens
}

// CallLimits bound what a caller may send and how long it may take.
type CallLimits struct {
	MaxHeader     int
	MaxBody       int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
