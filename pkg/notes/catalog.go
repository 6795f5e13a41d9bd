package notes

import (
	"maps"
	"time"

	"knapweedplank.org/plank"
)

// A Catalog is what the notes up to a number add up to. It is immutable; Apply
// returns a new one that shares the sections which did not change.
type Catalog struct {
	// Number is that of the last note applied.
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
	// KeyByHash holds the same keys as Keys.
	KeyByHash map[string]Key `json:"-"`
	// changed holds the number of the last note that touched an item, by its
	// qualified name. Only catalogs of a Chain keep it.
	changed map[string]plank.NoteNumber
}

// Apply returns the catalog after the note, which becomes number c.Number+1.
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

// indexKeys fills KeyByHash from Keys.
func (c *Catalog) indexKeys() {
	c.KeyByHash = make(map[string]Key, len(c.Keys))
	for _, key := range c.Keys {
		c.KeyByHash[key.Hash] = key
	}
}

// applySection returns items with the section's changes, leaving items as it is.
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

// Check lists the faults of a note that show only against the catalog.
func (c *Catalog) Check(n *Note) []Fault {
	var faults []Fault
	next := c.Apply(n)
	missing := func(item, detail string) {
		faults = append(faults, Fault{Item: item, Detail: detail})
	}
	workspace := func(item string, id plank.WorkspaceID) {
		if _, ok := next.Workspaces[string(id)]; !ok && id != "" {
			missing(item, "workspace "+string(id)+" does not exist")
		}
	}
	for _, a := range n.Adapters.Set {
		workspace("Adapters/"+a.Name(), a.Workspace)
	}
	for _, p := range n.Patience.Set {
		workspace("Patience/"+p.Name(), p.Workspace)
	}
	for _, r := range n.Routes.Set {
		workspace("Routes/"+r.Name(), r.Workspace)
	}
	for _, k := range n.Keys.Set {
		workspace("Keys/"+k.Name(), k.Workspace)
		if other := next.KeyByHash[k.Hash]; other.Id != k.Id {
			missing("Keys/"+k.Name(), "has the same hash as key "+string(other.Id))
		}
	}
	for _, d := range n.Domains.Set {
		if old, ok := c.Domains[d.Name()]; ok && old.Share != d.Share {
			missing("Domains/"+d.Name(), "Share cannot change")
		}
	}
	var sum plank.PPM
	for _, d := range next.Domains {
		sum += d.Share
	}
	if sum > plank.WholePPM {
		missing("Domains", "the shares add up to more than the whole")
	}
	return append(faults, c.unknownWithdrawals(n)...)
}

// unknownWithdrawals lists the withdrawn names that the catalog does not hold.
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

// PatienceAt returns how long a caller of the workspace waits at t.
func (c *Catalog) PatienceAt(id plank.WorkspaceID, t time.Time) time.Duration {
	if p, ok := c.Patience[string(id)]; ok {
		return p.At(t)
	}
	return DefaultPatience
}

// LongestPatience returns the longest that any caller waits at any hour.
func (c *Catalog) LongestPatience() time.Duration {
	longest := DefaultPatience
	for _, p := range c.Patience {
		for _, level := range p.Hours {
			longest = max(longest, time.Duration(level.Seconds*float64(time.Second)))
		}
	}
	return longest
}

// Weight returns the workspace's share of service relative to the others.
func (c *Catalog) Weight(id plank.WorkspaceID) float64 {
	if w := c.Workspaces[string(id)]; w.Weight > 0 {
		return w.Weight
	}
	return 1
}
