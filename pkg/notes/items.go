package notes

import (
	"encoding/hex"
	"fmt"
	"net"
	"strings"
	"time"

	"knapweedplank.org/plank"
)

// This file defines the items that release notes set and withdraw.

// A Workspace is a tenant with its rate limit, which holds over all VMs together.
type Workspace struct {
	Id plank.WorkspaceID
	// Rate and Burst bound the tokens admitted in any interval of T seconds to
	// Rate*T + Burst.
	Rate  plank.TokensPerSecond
	Burst plank.Tokens
	// Weight is the relative share of engine capacity under contention; 0 means 1.
	Weight float64 `json:",omitempty"`
}

// Name returns the workspace's id.
func (w Workspace) Name() string { return string(w.Id) }

func (w Workspace) faults() []string {
	var f []string
	if w.Rate <= 0 || w.Burst <= 0 {
		f = append(f, "Rate and Burst must be positive")
	}
	if w.Weight < 0 {
		f = append(f, "Weight must not be negative")
	}
	return f
}

// A Patience is the time that callers of a workspace wait for the whole answer
// to a request, by hour of the day.
type Patience struct {
	Workspace plank.WorkspaceID
	// Zone is an IANA time zone name.
	Zone string
	// Hours is sorted by From, without duplicates; the first From is 0.
	Hours []PatienceLevel
}

// A PatienceLevel applies from an hour of the day until the next level starts.
type PatienceLevel struct {
	From    int     // hour of the day, 0 to 23
	Seconds float64 // maximum time to the end of the answer
}

// Name returns the id of the workspace that the patience belongs to.
func (p Patience) Name() string { return string(p.Workspace) }

func (p Patience) faults() []string {
	var f []string
	if _, err := time.LoadLocation(p.Zone); err != nil {
		f = append(f, fmt.Sprintf("Zone %q is unknown", p.Zone))
	}
	last := -1
	for i, level := range p.Hours {
		if level.From <= last || level.From > 23 || (i == 0 && level.From != 0) {
			f = append(f, "Hours must rise from 0 to at most 23")
			break
		}
		last = level.From
	}
	if len(p.Hours) == 0 {
		f = append(f, "Hours must not be empty")
	}
	for _, level := range p.Hours {
		if level.Seconds <= 0 || level.Seconds > MaxPatience.Seconds() {
			f = append(f, fmt.Sprintf("Seconds must be above 0 and at most %g", MaxPatience.Seconds()))
			break
		}
	}
	return f
}

// MaxPatience is the upper bound of PatienceLevel.Seconds.
const MaxPatience = 10 * time.Minute

// DefaultPatience applies to workspaces without a Patience item.
const DefaultPatience = time.Minute

// At returns the patience for a request that arrives at t.
func (p Patience) At(t time.Time) time.Duration {
	zone, err := time.LoadLocation(p.Zone)
	if err != nil {
		zone = time.UTC
	}
	hour := t.In(zone).Hour()
	seconds := DefaultPatience.Seconds()
	for _, level := range p.Hours {
		if level.From <= hour {
			seconds = level.Seconds
		}
	}
	return time.Duration(seconds * float64(time.Second))
}

// An Adapter is one version of an adapter.
type Adapter struct {
	Id      plank.AdapterID
	Version plank.Version
	Base    string // the base model it was trained for
	// Workspace is the only workspace that may use the adapter; empty means all may.
	Workspace plank.WorkspaceID `json:",omitempty"`
	Source    string            `json:",omitempty"` // path in the weight store
}

// Name returns "adapter@version".
func (a Adapter) Name() string { return a.Model().String() }

// Model returns the adapter and version that engines load as one unit.
func (a Adapter) Model() plank.Model {
	return plank.Model{Adapter: a.Id, Version: a.Version}
}

func (a Adapter) faults() []string {
	var f []string
	if a.Version == "" || strings.ContainsAny(string(a.Id)+string(a.Version), "@ ") {
		f = append(f, "Id and Version must be without @ and blanks")
	}
	if a.Base == "" {
		f = append(f, "Base is missing")
	}
	return f
}

// A Key is an API key of one workspace. Only its hash is stored.
type Key struct {
	Id        plank.KeyID
	Hash      string // SHA-256 of the key in hex
	Workspace plank.WorkspaceID
}

// Name returns the key's id.
func (k Key) Name() string { return string(k.Id) }

func (k Key) faults() []string {
	if b, err := hex.DecodeString(k.Hash); err != nil || len(b) != 32 {
		return []string{"Hash must be a SHA-256 in hex"}
	}
	return nil
}

// A Route maps a path prefix of the public HTTP API to a plain service, that is
// one that is not a model engine.
type Route struct {
	// Path is a path prefix such as /bookings/.
	Path    string
	Service plank.ServiceID
	// Open allows calls without a key; they are charged to Workspace.
	Open      bool              `json:",omitempty"`
	Workspace plank.WorkspaceID `json:",omitempty"`
	// Once lists the HTTP methods that are not idempotent.
	Once []string `json:",omitempty"`
	// Cost is the number of tokens that a call uses of the workspace's rate limit.
	Cost plank.Tokens `json:",omitempty"`
}

// Name returns the route's path.
func (r Route) Name() string { return r.Path }

// IsNonIdempotent reports whether calls with the HTTP method must not be retried
// once they may have run.
func (r Route) IsNonIdempotent(method string) bool {
	for _, m := range r.Once {
		if strings.EqualFold(m, method) {
			return true
		}
	}
	return false
}

func (r Route) faults() []string {
	var f []string
	if !strings.HasPrefix(r.Path, "/") || strings.HasPrefix(r.Path, "/v1/") {
		f = append(f, "Path must begin with / and lie outside /v1/")
	}
	if r.Service == "" {
		f = append(f, "Service is missing")
	}
	if r.Open && r.Workspace == "" {
		f = append(f, "an open route needs a Workspace to charge")
	}
	if r.Cost < 0 {
		f = append(f, "Cost must not be negative")
	}
	return f
}

// The kinds of endpoints.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// An Endpoint is a model engine or a replica of a plain service.
type Endpoint struct {
	Id      plank.EndpointID
	Kind    string
	Address string // host:port
	Domain  plank.DomainID
	VM      string          `json:",omitempty"` // name in the platform's list of VMs
	Base    string          `json:",omitempty"` // engines: base model
	Slots   int             `json:",omitempty"` // engines: number of adapter slots
	Batch   int             `json:",omitempty"` // engines: maximum number of concurrent requests
	Fencing bool            `json:",omitempty"` // engines: rejects orders with an outdated term
	Service plank.ServiceID `json:",omitempty"` // services: the service of which it is a replica
}

// Name returns the endpoint's id.
func (e Endpoint) Name() string { return string(e.Id) }

func (e Endpoint) faults() []string {
	var f []string
	if _, _, err := net.SplitHostPort(e.Address); err != nil {
		f = append(f, "Address must be host:port")
	}
	if e.Domain == "" {
		f = append(f, "Domain is missing")
	}
	switch e.Kind {
	case KindEngine:
		if e.Slots <= 0 || e.Batch <= 0 || e.Base == "" {
			f = append(f, "an engine needs Base, Slots and Batch")
		}
	case KindService:
		if e.Service == "" {
			f = append(f, "a service endpoint needs Service")
		}
	default:
		f = append(f, fmt.Sprintf("Kind %q is neither engine nor service", e.Kind))
	}
	return f
}

// A Domain is a failure domain with its share of every workspace's limit.
type Domain struct {
	Id plank.DomainID
	// Share is the domain's share; the shares of all domains add up to at most
	// plank.WholePPM. A share is immutable: a partitioned domain does not receive
	// changes, so part of its old share could be in use in another domain as well.
	Share plank.PPM
}

// Name returns the domain's id.
func (d Domain) Name() string { return string(d.Id) }

func (d Domain) faults() []string {
	if d.Share <= 0 || d.Share > plank.WholePPM {
		return []string{"Share must be above 0 and at most 1000000"}
	}
	return nil
}
