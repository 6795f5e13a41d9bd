package notes

import (
	"maps"
	"time"

	"knapweedplank.org/plank"
)

// A Catalog is the state that results from applying all notes up to Number in
// order. It is immutable; Apply returns a new Catalog that shares the unchanged
// sections with the old one.
type Catalog struct {
	// Number is the number of the last note applied.
	Number plank.NoteNumber
	// Workspaces, Patience, Adapters, Routes, Endpoints and Domains are keyed by
	// the items' names.
	Workspaces map[string]Workspace
	Patience   map[string]Patience
	Adapters   map[string]Adapter
	Keys       map[string]Key
	Routes     map[string]Route
	Endpoints  map[string]Endpoint
	Domains    map[string]Domain
	// KeyByHash indexes Keys by hash.
	KeyByHash map[string]Key `json:"-"`
	// changedBy maps an item's qualified name to the number of the last note that
	// set or withdrew it. Only a Chain maintains it.
	changedBy map[string]plank.NoteNumber
}

// Apply returns the catalog with the note applied as number c.Number+1.
func (c *Catalog) Apply(n *Note) *Catalog {
	next := *c
	next.Number++
	next.Workspaces = applySection(c.Workspaces, n.Workspaces)
	next.Patience = applySection(c.Patience, n.Patience)
	next.Adapters = applySection(c.Adapters, n.Adapters)
	next.Keys = applySection(c.Keys, n.Keys)
	next.Routes = applySection(c.Routes, n.Routes)
	next.Endpoints = applySection(c.Endpoints, n.Endpoints)
	next.Domains = applySection(c.Domains, n.Domains)
	if len(n.Keys.Set)+len(n.Keys.Withdraw) > 0 {
		next.indexKeys()
	}
	return &next
}

// indexKeys rebuilds KeyByHash from Keys.
func (c *Catalog) indexKeys() {
	c.KeyByHash = make(map[string]Key, len(c.Keys))
	for _, key := range c.Keys {
		c.KeyByHash[key.Hash] = key
	}
}

// applySection returns a copy of items with the section's changes; it returns
// items itself if the section is empty.
func applySection[T Item](items map[string]T, s Section[T]) map[string]T {
	if len(s.Set)+len(s.Withdraw) == 0 {
		return items
	}
	next := maps.Clone(items)
	if next == nil {
		next = make(map[string]T, len(s.Set))
	}
	for _, item := range s.Set {
		next[item.Name()] = item
	}
	for _, name := range s.Withdraw {
		delete(next, name)
	}
	return next
}

// Check returns the faults of a note that only the catalog reveals, such as
// references to workspaces that do not exist.
func (c *Catalog) Check(n *Note) []Fault {
	var faults []Fault
	next := c.Apply(n)
	addFault := func(item, detail string) {
		faults = append(faults, Fault{Item: item, Detail: detail})
	}
	checkWorkspace := func(item string, id plank.WorkspaceID) {
		if _, ok := next.Workspaces[string(id)]; !ok && id != "" {
			addFault(item, "workspace "+string(id)+" does not exist")
		}
	}
	for _, a := range n.Adapters.Set {
		checkWorkspace("Adapters/"+a.Name(), a.Workspace)
	}
	for _, p := range n.Patience.Set {
		checkWorkspace("Patience/"+p.Name(), p.Workspace)
	}
	for _, r := range n.Routes.Set {
		checkWorkspace("Routes/"+r.Name(), r.Workspace)
	}
	for _, k := range n.Keys.Set {
		checkWorkspace("Keys/"+k.Name(), k.Workspace)
		if other := next.KeyByHash[k.Hash]; other.Id != k.Id {
			addFault("Keys/"+k.Name(), "has the same hash as key "+string(other.Id))
		}
	}
	for _, d := range n.Domains.Set {
		if old, ok := c.Domains[d.Name()]; ok && old.Share != d.Share {
			addFault("Domains/"+d.Name(), "Share cannot change")
		}
	}
	var sum plank.PPM
	for _, d := range next.Domains {
		sum += d.Share
	}
	if sum > plank.WholePPM {
		addFault("Domains", "the shares add up to more than the whole")
	}
	return append(faults, c.unknownWithdrawals(n)...)
}

// unknownWithdrawals returns a fault for each withdrawn name that the catalog
// does not contain.
func (c *Catalog) unknownWithdrawals(n *Note) []Fault {
	var faults []Fault
	check := func(section string, names []string, known func(string) bool) {
		for _, name := range names {
			if !known(name) {
				faults = append(faults, Fault{Item: section + "/" + name, Detail: "is withdrawn but does not exist"})
			}
		}
	}
	check("Workspaces", n.Workspaces.Withdraw, func(s string) bool { _, ok := c.Workspaces[s]; return ok })
	check("Patience", n.Patience.Withdraw, func(s string) bool { _, ok := c.Patience[s]; return ok })
	check("Adapters", n.Adapters.Withdraw, func(s string) bool { _, ok := c.Adapters[s]; return ok })
	check("Keys", n.Keys.Withdraw, func(s string) bool { _, ok := c.Keys[s]; return ok })
	check("Routes", n.Routes.Withdraw, func(s string) bool { _, ok := c.Routes[s]; return ok })
	check("Endpoints", n.Endpoints.Withdraw, func(s string) bool { _, ok := c.Endpoints[s]; return ok })
	return faults
}

// PatienceAt returns how long a caller of the workspace waits for the whole
// answer to a request that arrives at t.
func (c *Catalog) PatienceAt(id plank.WorkspaceID, t time.Time) time.Duration {
	if p, ok := c.Patience[string(id)]; ok {
		return p.At(t)
	}
	return DefaultPatience
}

// LongestPatience returns the longest patience of any workspace at any hour.
func (c *Catalog) LongestPatience() time.Duration {
	longest := DefaultPatience
	for _, p := range c.Patience {
		for _, level := range p.Hours {
			longest = max(longest, time.Duration(level.Seconds*float64(time.Second)))
		}
	}
	return longest
}

// Weight returns the workspace's weight for weighted sharing under contention;
// the default is 1.
func (c *Catalog) Weight(id plank.WorkspaceID) float64 {
	if w := c.Workspaces[string(id)]; w.Weight > 0 {
		return w.Weight
	}
	return 1
}
