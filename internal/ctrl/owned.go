package ctrl

import (
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/claim"
	"knapweedplank.org/plank/internal/runner"
	"knapweedplank.org/plank/pkg/notes"
)

// This file starts and stops the runners of the engines that this VM owns.

// ownedEngine is an engine that this VM owns.
type ownedEngine struct {
	runner  *runner.Runner
	term    plank.Term
	spec    notes.Endpoint
	drained <-chan struct{} // closed when no request is left; nil until draining starts
}

// SetVMList submits the platform's list of VMs.
func (c *Controller) SetVMList(l PlatformList) { c.send(vmListMsg{l}) }

// DrainEndpoint implements lease.Host.
func (c *Controller) DrainEndpoint(e plank.EndpointID) bool {
	idle := true
	c.runAndWait(func() {
		o := c.runners[e]
		if o == nil {
			return
		}
		if o.drained == nil {
			o.drained = o.runner.Drain()
		}
		select {
		case <-o.drained:
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
		c.deps.Log.WithFields(logrus.Fields{"endpoint": id, "term": o.term}).Info("ctrl: endpoint released")
		go c.closeWhenDrained(o.runner)
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
		c.runners[id] = &ownedEngine{runner: c.deps.NewRunner(spec, cl.Term, pinned), term: cl.Term, spec: spec}
		c.deps.Log.WithFields(logrus.Fields{"endpoint": id, "term": cl.Term}).Info("ctrl: endpoint owned")
	}
	c.applyLeaving()
}

// closeWhenDrained closes the runner once its running requests have ended, and
// after notes.MaxPatience at the latest.
func (c *Controller) closeWhenDrained(r *runner.Runner) {
	select {
	case <-r.Drain():
	case <-time.After(notes.MaxPatience):
	}
	r.Close()
}

// A PlatformList is the platform's list of VMs. It may be out of date.
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

// applyVMList replaces the platform's list of VMs.
func (c *Controller) applyVMList(l PlatformList) {
	c.listedVMs = make([]plank.VMID, 0, len(l.VMs))
	c.leavingVMs = make(map[string]bool)
	for _, vm := range l.VMs {
		c.listedVMs = append(c.listedVMs, plank.VMID(vm.Name))
		if vm.Leaving {
			c.leavingVMs[vm.Name] = true
		}
	}
	c.applyLeaving()
}

// applyLeaving stops new work for engines whose VM is marked as leaving in the
// platform's list.
func (c *Controller) applyLeaving() {
	for _, o := range c.runners {
		if o.spec.VM != "" && c.leavingVMs[o.spec.VM] {
			o.runner.SetLeaving(true)
		}
	}
}
