package view

import (
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/evac"
)

// SetEvacuated publishes the failure domains that are or were out of service.
func (p *Publisher) SetEvacuated(domains evac.Domains) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := *p.current.Load()
	next.Evacuated = domains
	p.publish(&next)
}

// IsOut reports whether the failure domain of an endpoint is out of service, by inst or by the
// endpoint's current registration.
func (v *View) IsOut(inst plank.Instance) bool {
	if v.Evacuated.IsOut(inst.Domain) {
		return true
	}
	current, ok := v.Instances[inst.ID]
	return ok && v.Evacuated.IsOut(current.Domain)
}

// HoldsBack reports whether a call should go to an endpoint of another failure domain because that
// of inst returned to service recently.
func (v *View) HoldsBack(inst plank.Instance, call uint64, now time.Time) bool {
	length := time.Duration(0)
	if v.Manifest != nil {
		length = v.Manifest.Services[inst.Service].ColdTime
	}
	return v.Evacuated.HoldsBack(inst.Domain, call, now, length)
}

// IsAllOut reports whether a service has endpoints that do not leave, and the failure domains of
// all of them are out of service.
func (v *View) IsAllOut(service plank.ServiceID) bool {
	out := false
	for _, inst := range v.byService[service] {
		switch {
		case v.Evacuated.IsOut(inst.Domain):
			out = out || !inst.Leaving
		case !inst.Leaving:
			return false
		}
	}
	return out
}
