package ctrl

import (
	"slices"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/claim"
	"knapweedplank.org/plank/internal/lease"
	"knapweedplank.org/plank/pkg/notes"
)

// This file defines what the keeper of the lease asks of the control thread.

// Record implements lease.Host.
func (c *Controller) Record() (claim.Record, plank.ObjectVersion, bool) { return c.deps.Record() }

// SetView implements lease.Host. It returns once the view is in force, so that
// an older view can never undo a share that was given up since.
func (c *Controller) SetView(v lease.View) {
	c.call(func() {
		grown := v.Share > c.view.Share
		c.view = v
		c.deps.Limiter.SetShare(v.Share)
		if grown {
			// Loads are bounded for speed and promised to nobody, so a new VM
			// need not wait for its first.
			c.deps.Limiter.Fill(LoadBudget)
		}
		c.applyClaims()
	})
}

// SetDraining makes the VM unready for good.
func (c *Controller) SetDraining() { c.send(drainMsg{}) }

// ReleaseShare implements lease.Host.
func (c *Controller) ReleaseShare(amount plank.PPM) plank.PPM {
	return c.deps.Limiter.ReleaseShare(amount)
}

// DesiredState implements lease.Host.
func (c *Controller) DesiredState() lease.DesiredState {
	var d lease.DesiredState
	c.call(func() {
		d.Applied = c.catalog.Number
		d.ListedVMs = c.listed
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
