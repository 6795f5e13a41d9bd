package ctrl

import (
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/claim"
	"knapweedplank.org/plank/internal/runner"
	"knapweedplank.org/plank/pkg/notes"
)

// This file defines which engines this VM owns, and how it starts and stops
// their runners.

// owned is an engine that this VM owns.
type owned struct {
	runner *runner.Runner
	term   plank.Term
	spec   notes.Endpoint
	drain  <-chan struct{} // set once the endpoint is being given up
}

// SetVMList hands over the platform's list of VMs.
func (c *Controller) SetVMList(l PlatformList) { c.send(listMsg{l}) }

// DrainEndpoint implements lease.Host.
func (c *Controller) DrainEndpoint(e plank.EndpointID) bool {
	idle := true
	c.call(func() {
		o := c.runners[e]
		if o == nil {
			return
		}
		if o.drain == nil {
			o.drain = o.runner.Drain()
		}
		select {
		case <-o.drain:
		default:
			idle = false
		}
	})
	return idle
}

// applyClaims starts and stops runners so that they match the view.
func (c *Controller) applyClaims() {
	wanted := make(map[plank.EndpointID]claim.Claim)
	for _, cl := range c.view.Claims {
		spec, ok := c.catalog.Endpoints[string(cl.Endpoint)]
		if ok && spec.Kind == notes.KindEngine {
			wanted[cl.Endpoint] = cl
		}
	}
	for id, o := range c.runners {
		cl, ok := wanted[id]
		if ok && cl.Term == o.term && c.catalog.Endpoints[string(id)] == o.spec {
			continue
		}
		delete(c.runners, id)
		c.deps.Log.WithFields(logrus.Fields{"endpoint": id, "term": o.term}).Info("ctrl: endpoint given up")
		go c.retire(o.runner)
	}
	for id, cl := range wanted {
		if c.runners[id] != nil {
			continue
		}
		spec := c.catalog.Endpoints[string(id)]
		var pinned time.Time
		if cl.Term > 1 {
			pinned = c.deps.Clock.Now().Add(c.catalog.LongestPatience())
		}
		c.runners[id] = &owned{runner: c.deps.NewRunner(spec, cl.Term, pinned), term: cl.Term, spec: spec}
		c.deps.Log.WithFields(logrus.Fields{"endpoint": id, "term": cl.Term}).Info("ctrl: endpoint owned")
	}
	c.applyLeaving()
}

// retire lets running requests end before the runner is closed.
func (c *Controller) retire(r *runner.Runner) {
	select {
	case <-r.Drain():
	case <-time.After(notes.MaxPatience):
	}
	r.Close()
}

// A PlatformList is the platform's list of VMs. It lags.
type PlatformList struct {
	VMs []PlatformVM
}

// A PlatformVM is one VM of the list.
type PlatformVM struct {
	Name    string
	Leaving bool
}

// VMListKey is the object key of the platform's list of VMs.
const VMListKey = "platform/vms"

// takeList merges the platform's list of VMs.
func (c *Controller) takeList(l PlatformList) {
	c.listed = make([]plank.VMID, 0, len(l.VMs))
	c.away = make(map[string]bool)
	for _, vm := range l.VMs {
		c.listed = append(c.listed, plank.VMID(vm.Name))
		if vm.Leaving {
			c.away[vm.Name] = true
		}
	}
	c.applyLeaving()
}

// applyLeaving stops new work for engines whose VM the platform says is leaving.
func (c *Controller) applyLeaving() {
	for _, o := range c.runners {
		if o.spec.VM != "" && c.away[o.spec.VM] {
			o.runner.SetLeaving(true)
		}
	}
}
