package ctrl

import (
	"cmp"
	"slices"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/limit"
	"knapweedplank.org/plank/pkg/notes"
)

// This file defines how the control thread takes release notes.

// AddLinks hands over accepted notes with their stored forms.
func (c *Controller) AddLinks(links []notes.Record, raw [][]byte) { c.send(linksMsg{links, raw}) }

// ReplaceCatalog hands over the catalog of a peer that no longer has all links.
func (c *Controller) ReplaceCatalog(catalog *notes.Catalog) { c.send(catalogMsg{catalog}) }

// MarkSynced tells that all notes which the platform knows were handed over. It
// returns once they are in force.
func (c *Controller) MarkSynced() {
	c.call(func() {
		c.confirmed = true
		c.publish()
	})
}

// takeLinks applies the links that follow the catalog. Others are dropped: a
// number is never taken twice, and never out of order.
func (c *Controller) takeLinks(links []notes.Record, raw [][]byte) {
	applied := false
	for i, l := range links {
		c.known = max(c.known, l.Number)
		if l.Number != c.catalog.Number+1 {
			continue
		}
		c.catalog = c.catalog.Apply(&l.Note)
		c.keepLink(raw[i])
		applied = true
		c.deps.Log.WithFields(logrus.Fields{"number": l.Number, "note": l.Note.Id}).Info("ctrl: note in force")
	}
	if applied {
		c.applyCatalog()
	}
}

// maxLinks bounds the links kept for peers; a peer further behind takes the
// whole catalog.
const maxLinks = 4096

func (c *Controller) keepLink(raw []byte) {
	c.links = append(c.links, raw)
	if len(c.links) > maxLinks {
		n := len(c.links) / 2
		c.links = slices.Clone(c.links[n:])
		c.firstLink += plank.NoteNumber(n)
	}
}

// takeCatalog replaces the catalog by a later one.
func (c *Controller) takeCatalog(catalog *notes.Catalog) {
	if catalog.Number <= c.catalog.Number {
		return
	}
	c.catalog = catalog
	c.links = nil
	c.firstLink = catalog.Number + 1
	c.known = max(c.known, catalog.Number)
	c.deps.Log.WithField("number", catalog.Number).Info("ctrl: catalog taken from a peer")
	c.applyCatalog()
}

// LinksAfter returns the stored links after a number, or the whole catalog when
// the first of them is no longer kept.
func (c *Controller) LinksAfter(n plank.NoteNumber, most int) (raw [][]byte, catalog *notes.Catalog) {
	c.call(func() {
		if n >= c.catalog.Number {
			return
		}
		if n+1 < c.firstLink {
			catalog = c.catalog
			return
		}
		raw = slices.Clone(c.links[n+1-c.firstLink:])
		raw = raw[:min(most, len(raw))]
	})
	return raw, catalog
}

// applyCatalog brings everything in line with a changed catalog.
func (c *Controller) applyCatalog() {
	limits := map[plank.WorkspaceID]limit.Limit{LoadBudget: c.deps.LoadLimit}
	for _, w := range c.catalog.Workspaces {
		limits[w.Id] = limit.Limit{Rate: w.Rate, Burst: w.Burst}
	}
	c.deps.Limiter.SetLimits(limits)
	c.services = make(map[plank.ServiceID][]notes.Endpoint)
	for _, e := range c.catalog.Endpoints {
		if e.Kind == notes.KindService {
			c.services[e.Service] = append(c.services[e.Service], e)
		}
	}
	for _, replicas := range c.services {
		slices.SortFunc(replicas, func(a, b notes.Endpoint) int {
			if aLocal, bLocal := a.Domain == c.self.Domain, b.Domain == c.self.Domain; aLocal != bLocal {
				if aLocal {
					return -1
				}
				return 1
			}
			return cmp.Compare(a.Id, b.Id)
		})
	}
	c.routes = sortRoutes(c.catalog.Routes)
	c.applyClaims()
	c.publish()
	// After the new snapshot is out no request can start with an old key, so
	// what is ended here is all there is.
	byHash := c.catalog.KeyByHash
	n := c.deps.Keys.Retain(func(id plank.KeyID) bool { return IsKeyValid(byHash, id) })
	if n > 0 {
		c.deps.Log.WithField("requests", n).Info("ctrl: ended requests of withdrawn keys")
	}
}

// KeyIDOf names a key as presented by a caller, for the table of requests: its
// hash and the workspace that it stood for.
func KeyIDOf(k notes.Key) plank.KeyID {
	return plank.KeyID(k.Hash + "/" + string(k.Workspace))
}

// IsKeyValid reports whether a key presented earlier still stands.
func IsKeyValid(byHash map[string]notes.Key, id plank.KeyID) bool {
	const hashLen = 64
	if len(id) < hashLen {
		return false
	}
	k, ok := byHash[string(id[:hashLen])]
	return ok && KeyIDOf(k) == id
}
