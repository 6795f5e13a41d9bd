// Package view defines the immutable snapshot of the fleet that is used to serve
// calls: configuration, endpoints and adapter versions.
package view

import (
	"maps"
	"strings"
	"sync"
	"sync/atomic"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/evac"
)

// A View is one snapshot. It is not modified after it was published.
type View struct {
	// Manifest is the configuration, or nil until one is known.
	Manifest *plank.Manifest
	// Instances holds the registered endpoints.
	Instances map[plank.EndpointID]plank.Instance
	// Versions holds the highest announced version of each adapter.
	Versions map[plank.AdapterRef]plank.VersionNumber
	// Evacuated holds the failure domains that are out of service, whose endpoints get no
	// requests, and those that returned.
	Evacuated evac.Domains

	routes         map[string][]*plank.Route // by host
	workspaceByKey map[string]*plank.Workspace
	byService      map[plank.ServiceID][]plank.Instance
	keysRequired   bool // the configuration has workspaces, so that calls need a key
}

// Route returns the route of the host with the longest prefix that matches the
// path of target, or nil.
func (v *View) Route(host, target string) *plank.Route {
	path, _, _ := strings.Cut(target, "?")
	var best *plank.Route
	for _, r := range v.routes[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Workspace returns the workspace that the key belongs to, or nil.
func (v *View) Workspace(key string) *plank.Workspace {
	if key == "" {
		return nil
	}
	return v.workspaceByKey[key]
}

// RequiresKey reports whether a call on the route must carry a key.
func (v *View) RequiresKey(r *plank.Route) bool { return v.keysRequired && !r.Public }

// Endpoints returns the registered endpoints of a service, including draining
// ones.
func (v *View) Endpoints(id plank.ServiceID) []plank.Instance { return v.byService[id] }

// Pool returns the engine pool of a service, or nil for a plain service.
func (v *View) Pool(id plank.ServiceID) *plank.EnginePool {
	if v.Manifest == nil {
		return nil
	}
	return v.Manifest.Services[id].Pool
}

// CountLeaving returns the number of registered endpoints that leave.
func (v *View) CountLeaving() (n int) {
	for _, inst := range v.Instances {
		if inst.Leaving {
			n++
		}
	}
	return n
}

// A Publisher holds the current view and publishes new ones. Readers do not
// block; writers are serialized.
type Publisher struct {
	current atomic.Pointer[View]

	mu        sync.Mutex
	onPublish func(*View)
	// leaving holds the runs of endpoints that said themselves that they leave. It
	// outlasts registrations, which may be older.
	leaving map[plank.Run]bool
}

// maxLeaving bounds the runs that are kept although they are not registered.
const maxLeaving = 1024

// New returns a publisher with an empty view. onPublish, if not nil, is called
// with each new view, in order of publication.
func New(onPublish func(*View)) *Publisher {
	p := &Publisher{onPublish: onPublish, leaving: make(map[plank.Run]bool)}
	p.current.Store(&View{})
	return p
}

// Load returns the current view.
func (p *Publisher) Load() *View { return p.current.Load() }

// SetManifest publishes a configuration and reports whether it is newer than the
// current one. One that is not newer is ignored, so that a late or stale response
// does not replace a newer configuration.
func (p *Publisher) SetManifest(m *plank.Manifest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.current.Load()
	if old.Manifest != nil && m.Version <= old.Manifest.Version {
		return false
	}
	next := *old
	next.Manifest = m
	next.buildIndexes()
	p.publish(&next)
	return true
}

// SetInstances publishes the registered endpoints. It takes over the map.
func (p *Publisher) SetInstances(instances map[plank.EndpointID]plank.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setInstances(instances)
}

// MarkLeaving records that a run of an endpoint leaves, whatever its registration says. It
// reports whether this was not known yet.
func (p *Publisher) MarkLeaving(run plank.Run) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leaving[run] {
		return false
	}
	p.leaving[run] = true
	p.setInstances(maps.Clone(p.current.Load().Instances))
	return true
}

// setInstances publishes endpoints. The lock is held.
func (p *Publisher) setInstances(instances map[plank.EndpointID]plank.Instance) {
	next := *p.current.Load()
	if len(p.leaving) > maxLeaving {
		maps.DeleteFunc(p.leaving, func(run plank.Run, _ bool) bool { return instances[run.Endpoint].Run() != run })
	}
	for run := range p.leaving {
		if inst, ok := instances[run.Endpoint]; ok && inst.Run() == run {
			inst.Leaving = true
			instances[run.Endpoint] = inst
		}
	}
	next.Instances = instances
	next.byService = make(map[plank.ServiceID][]plank.Instance)
	for _, inst := range instances {
		next.byService[inst.Service] = append(next.byService[inst.Service], inst)
	}
	p.publish(&next)
}

// AddVersions publishes announced versions. A version that is lower than the
// known one of its adapter is ignored.
func (p *Publisher) AddVersions(released []plank.Residency) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := *p.current.Load()
	versions := make(map[plank.AdapterRef]plank.VersionNumber, len(next.Versions)+len(released))
	for ref, n := range next.Versions {
		versions[ref] = n
	}
	for _, r := range released {
		versions[r.Adapter] = max(versions[r.Adapter], r.Version)
	}
	next.Versions = versions
	p.publish(&next)
}

// publish makes v the current view. The caller holds the lock.
func (p *Publisher) publish(v *View) {
	p.current.Store(v)
	if p.onPublish != nil {
		p.onPublish(v)
	}
}

// buildIndexes sets the maps by host and key from the configuration.
func (v *View) buildIndexes() {
	v.routes = make(map[string][]*plank.Route)
	for i := range v.Manifest.Routes {
		r := &v.Manifest.Routes[i]
		v.routes[r.Host] = append(v.routes[r.Host], r)
	}
	v.workspaceByKey = make(map[string]*plank.Workspace)
	v.keysRequired = len(v.Manifest.Workspaces) > 0
	for i := range v.Manifest.Workspaces {
		w := &v.Manifest.Workspaces[i]
		for _, key := range w.Keys {
			v.workspaceByKey[key] = w
		}
	}
}
