// Package view defines the immutable snapshot of the fleet that traffic reads:
// configuration, endpoints and adapter versions.
package view

import (
	"strings"
	"sync"
	"sync/atomic"

	"knapweedplank.org/plank"
)

// A View is one snapshot. It is not changed after it was published.
type View struct {
	// Manifest is nil until a configuration is known.
	Manifest *plank.Manifest
	// Instances holds the registered endpoints.
	Instances map[plank.EndpointID]plank.Instance
	// Versions holds the newest announced version of each adapter.
	Versions map[plank.AdapterRef]plank.VersionNumber

	routes     map[string][]*plank.Route // by host
	keys       map[string]*plank.Workspace
	byService  map[plank.ServiceID][]plank.Instance
	restricted bool // there are workspaces, so calls need a key
}

// Route returns the route of the host whose prefix is the longest that begins
// the path, or nil.
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

// Workspace returns the workspace that holds the key, or nil.
func (v *View) Workspace(key string) *plank.Workspace {
	if key == "" {
		return nil
	}
	return v.keys[key]
}

// RequiresKey tells whether a call of the route must carry a key.
func (v *View) RequiresKey(r *plank.Route) bool { return v.restricted && !r.Public }

// Endpoints returns the registered endpoints of a service, also those that
// leave.
func (v *View) Endpoints(id plank.ServiceID) []plank.Instance { return v.byService[id] }

// Pool returns the engine pool of a service, or nil for a plain service.
func (v *View) Pool(id plank.ServiceID) *plank.EnginePool {
	if v.Manifest == nil {
		return nil
	}
	return v.Manifest.Services[id].Pool
}

// A Publisher publishes views. Readers do not block; writers take turns.
type Publisher struct {
	current atomic.Pointer[View]

	mu      sync.Mutex
	changed func(*View)
}

// New returns a holder of an empty view. changed, if not nil, is told of each
// new view, in order.
func New(changed func(*View)) *Publisher {
	h := &Publisher{changed: changed}
	h.current.Store(&View{})
	return h
}

// Load returns the current view.
func (h *Publisher) Load() *View { return h.current.Load() }

// SetManifest publishes a configuration. One that is not newer is ignored, so
// that a late or stale answer never takes a newer one back.
func (h *Publisher) SetManifest(m *plank.Manifest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	if old.Manifest != nil && m.Version <= old.Manifest.Version {
		return false
	}
	next := *old
	next.Manifest = m
	next.index()
	h.publish(&next)
	return true
}

// SetInstances publishes the registered endpoints.
func (h *Publisher) SetInstances(instances map[plank.EndpointID]plank.Instance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := *h.current.Load()
	next.Instances = instances
	next.byService = make(map[plank.ServiceID][]plank.Instance)
	for _, inst := range instances {
		next.byService[inst.Service] = append(next.byService[inst.Service], inst)
	}
	h.publish(&next)
}

// AddVersions publishes announced versions. Versions only rise.
func (h *Publisher) AddVersions(released []plank.Residency) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := *h.current.Load()
	versions := make(map[plank.AdapterRef]plank.VersionNumber, len(next.Versions)+len(released))
	for ref, n := range next.Versions {
		versions[ref] = n
	}
	for _, r := range released {
		versions[r.Adapter] = max(versions[r.Adapter], r.Version)
	}
	next.Versions = versions
	h.publish(&next)
}

// publish makes v current. The lock is held.
func (h *Publisher) publish(v *View) {
	h.current.Store(v)
	if h.changed != nil {
		h.changed(v)
	}
}

// index prepares the look-ups of a new configuration.
func (v *View) index() {
	v.routes = make(map[string][]*plank.Route)
	for i := range v.Manifest.Routes {
		r := &v.Manifest.Routes[i]
		v.routes[r.Host] = append(v.routes[r.Host], r)
	}
	v.keys = make(map[string]*plank.Workspace)
	v.restricted = len(v.Manifest.Workspaces) > 0
	for i := range v.Manifest.Workspaces {
		w := &v.Manifest.Workspaces[i]
		for _, key := range w.Keys {
			v.keys[key] = w
		}
	}
}
