package plank

import "time"

// A ManifestVersion orders the versions of the operators' configuration.
type ManifestVersion uint64

// A Manifest is the operators' configuration of routes, services and
// workspaces. It is immutable once it is published.
type Manifest struct {
	Version    ManifestVersion
	Routes     []Route
	Services   map[ServiceID]Service
	Workspaces []Workspace
	Limits     CallLimits
	// Size is the length of the stored object, in bytes.
	Size int
}

// A RouteKind states whether the calls of a route may run more than once.
type RouteKind string

// The values of RouteKind.
const (
	Idempotent    RouteKind = "idempotent"     // may run more than once
	NonIdempotent RouteKind = "non_idempotent" // each call runs at most once
	Streaming     RouteKind = "streaming"      // the answer is a stream of events
)

// A ServiceShare is the weight of one service among those of a route.
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
	// Timeout is the longest time that a call may take.
	Timeout time.Duration
	// TargetLatency is the latency target of an answer, or of a stream's first
	// event.
	TargetLatency time.Duration
	// MaxGap is the target for the longest pause between events of a stream.
	MaxGap time.Duration
	// Priority is the rank of the route's calls, 0 being the highest.
	Priority int
	// Split lists the services that the route's calls are split among by weight;
	// at least one.
	Split []ServiceShare
	// MaxAttempts is the largest number of endpoints to which one call is sent;
	// at least 1.
	MaxAttempts int
	// Public is set when calls need no key.
	Public bool
	// Resumable is set when another endpoint may resume a stream.
	Resumable bool
}

// Repeatable reports whether a call that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// A Service is a set of endpoints that answer the same calls.
type Service struct {
	ID         ServiceID
	HealthPath string
	// MaxConns is the largest number of connections to one endpoint, for all
	// callers together.
	MaxConns int
	// Pool is set for services of model engines.
	Pool *EnginePool
	// ColdTime is how long an endpoint is cold after it starts during traffic, and ColdRate
	// the requests a second that it tolerates meanwhile. With a ColdRate of 0 the endpoints
	// of the service are never cold.
	ColdTime time.Duration
	ColdRate float64
}

// An EnginePool describes the engines of a service, all of which have the same
// limits.
type EnginePool struct {
	Slots       int     // number of requests that run at once
	KVCapacity  Tokens  // size of the key-value cache
	MaxAdapters int     // number of adapter slots; adapters being loaded take one too
	WeightsMB   float64 // memory for weights
	// EventTokens is the number of tokens in an event of a stream; 0 if not stated.
	EventTokens Tokens
	// LoadsPerSecond is the rate of loads that the weight store allows for all
	// engines together.
	LoadsPerSecond float64
	// Bases are the base models.
	Bases []BaseModel
}

// BaseLoad returns the longest time that an engine takes to load a base model,
// or 0 if the pool does not list the base model.
func (p *EnginePool) BaseLoad(id BaseID) time.Duration {
	for _, b := range p.Bases {
		if b.ID == id {
			return b.LoadTime
		}
	}
	return 0
}

// A BaseModel is a model whose weights adapters modify.
type BaseModel struct {
	ID BaseID
	// Adapters is the number of adapters, which are named a1, a2 and so on.
	Adapters  int
	WeightsMB float64
	// LoadTime is the time to load the weights from the weight store.
	LoadTime time.Duration
}

// A Workspace is a tenant of the fleet.
type Workspace struct {
	ID   WorkspaceID
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate and Burst limit the usage on all VMs together; if Rate is 0, there is
	// no limit.
	Rate  TokensPerSecond
	Burst Tokens
	// ByToken is set when usage is counted in tokens. If not, each call counts 1.
	ByToken bool
	// DefaultUsage is the usage of a call that states no token counts.
	DefaultUsage Tokens
}

// CallLimits limits the size of a call and the time to receive it.
type CallLimits struct {
	MaxHeader     int   // bytes
	MaxBody       int64 // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
