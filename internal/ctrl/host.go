package ctrl

import (
	"slices"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/claim"
	"knapweedplank.org/plank/internal/lease"
	"knapweedplank.org/plank/pkg/notes"
)

// This file implements lease.Host.

// Record implements lease.Host.
func (c *Controller) Record() (claim.Record, plank.ObjectVersion, bool) { return c.deps.Record() }

// SetView implements lease.Host. It returns once the view is applied, so that
// an older view can never restore a share that was released after it.
func (c *Controller) SetView(v lease.View) {
	c.runAndWait(func() {
		grown := v.Share > c.view.Share
		c.view = v
		c.deps.Limiter.SetShare(v.Share)
		if grown {
			// The limit on loads exists only to keep loads fast; no VM is
			// guaranteed a part of it. So the bucket starts full, and the first
			// loads of a new VM need not wait.
			c.deps.Limiter.Fill(LoadWorkspace)
		}
		c.applyClaims()
	})
}

// SetDraining makes the VM permanently not ready.
func (c *Controller) SetDraining() { c.send(drainMsg{}) }

// ReleaseShare implements lease.Host.
func (c *Controller) ReleaseShare(amount plank.PPM) plank.PPM {
	return c.deps.Limiter.ReleaseShare(amount)
}

// DesiredState implements lease.Host.
func (c *Controller) DesiredState() lease.DesiredState {
	var d lease.DesiredState
	c.runAndWait(func() {
		d.Applied = c.catalog.Number
		d.ListedVMs = c.listedVMs
		d.Share = c.catalog.Domains[string(c.self.Domain)].Share
		for _, e := range c.catalog.Endpoints {
			if e.Kind == notes.KindEngine && e.Domain == c.self.Domain {
				d.Endpoints = append(d.Endpoints, e.Id)
			}
		}
		slices.Sort(d.Endpoints)
	})
	return d
}
