package ctrl

import (
	"cmp"
	"slices"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/limit"
	"knapweedplank.org/plank/pkg/notes"
)

// This file defines how the control goroutine applies release notes.

// AddLinks submits accepted notes with their encoded forms. It does not wait
// until they are applied.
func (c *Controller) AddLinks(links []notes.Record, raw [][]byte) { c.send(linksMsg{links, raw}) }

// ReplaceCatalog submits a catalog read from a snapshot, or received from a peer
// that no longer has all links. It does not wait until it is applied.
func (c *Controller) ReplaceCatalog(catalog *notes.Catalog) { c.send(catalogMsg{catalog}) }

// MarkSynced records that all notes of the platform have been submitted. It
// returns once they are applied and published.
func (c *Controller) MarkSynced() {
	c.runAndWait(func() {
		c.synced = true
		c.publish()
	})
}

// applyLinks applies the links that follow the catalog and drops the others: no
// number is applied twice or out of order.
func (c *Controller) applyLinks(links []notes.Record, raw [][]byte) {
	applied := false
	for i, l := range links {
		c.highestKnown = max(c.highestKnown, l.Number)
		if l.Number != c.catalog.Number+1 {
			continue
		}
		c.catalog = c.catalog.Apply(&l.Note)
		c.storeLink(raw[i])
		applied = true
		c.deps.Log.WithFields(logrus.Fields{"number": l.Number, "note": l.Note.Id}).Info("ctrl: note applied")
	}
	if applied {
		c.applyCatalog()
	}
}

// maxStoredLinks bounds the links kept for peers; a peer that is further behind
// receives the whole catalog.
const maxStoredLinks = 4096

func (c *Controller) storeLink(raw []byte) {
	c.storedLinks = append(c.storedLinks, raw)
	if len(c.storedLinks) > maxStoredLinks {
		n := len(c.storedLinks) / 2
		c.storedLinks = slices.Clone(c.storedLinks[n:])
		c.firstStored += plank.NoteNumber(n)
	}
}

// replaceCatalog replaces the catalog if the given one is newer.
func (c *Controller) replaceCatalog(catalog *notes.Catalog) {
	if catalog.Number <= c.catalog.Number {
		return
	}
	c.catalog = catalog
	c.storedLinks = nil
	c.firstStored = catalog.Number + 1
	c.highestKnown = max(c.highestKnown, catalog.Number)
	c.deps.Log.WithField("number", catalog.Number).Info("ctrl: catalog replaced by a newer one")
	c.applyCatalog()
}

// LinksAfter returns up to maxLinks encoded links that follow note n, or the whole
// catalog if the first of them is no longer kept.
func (c *Controller) LinksAfter(n plank.NoteNumber, maxLinks int) (raw [][]byte, catalog *notes.Catalog) {
	c.runAndWait(func() {
		if n >= c.catalog.Number {
			return
		}
		if n+1 < c.firstStored {
			catalog = c.catalog
			return
		}
		raw = slices.Clone(c.storedLinks[n+1-c.firstStored:])
		raw = raw[:min(maxLinks, len(raw))]
	})
	return raw, catalog
}

// applyCatalog updates all state that is derived from the catalog.
func (c *Controller) applyCatalog() {
	limits := map[plank.WorkspaceID]limit.Limit{LoadWorkspace: c.deps.LoadLimit}
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
	// Once the new snapshot is published no request can start with a withdrawn
	// key, so that none is left after this call.
	byHash := c.catalog.KeyByHash
	n := c.deps.Keys.CancelInvalid(func(id plank.KeyID) bool { return IsKeyValid(byHash, id) })
	if n > 0 {
		c.deps.Log.WithField("requests", n).Info("ctrl: cancelled requests of withdrawn keys")
	}
}

// KeyIDOf returns the id under which the table of requests holds a key. It is
// made of the key's hash and workspace, so that a key which moves to another
// workspace gets a new id.
func KeyIDOf(k notes.Key) plank.KeyID {
	return plank.KeyID(k.Hash + "/" + string(k.Workspace))
}

// IsKeyValid reports whether a key that was accepted earlier is still in the
// catalog for the same workspace.
func IsKeyValid(byHash map[string]notes.Key, id plank.KeyID) bool {
	const hashLen = 64 // hexadecimal digits
	if len(id) < hashLen {
		return false
	}
	k, ok := byHash[string(id[:hashLen])]
	return ok && KeyIDOf(k) == id
}
