package front

import (
	"errors"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/evac"
	"knapweedplank.org/plank/internal/view"
)

// isOut reports whether the failure domain of an endpoint is out of service.
func (c *Chooser) isOut(inst plank.Instance) bool { return c.View.Load().IsOut(inst) }

// isOutOfService reports whether a call was not sent because the failure domain of its endpoint is
// out of service, which says nothing of the endpoint.
func isOutOfService(err error) bool {
	var out *evac.OutOfServiceError
	return errors.As(err, &out)
}

// isAllOut reports whether all endpoints of a service are out of service.
func (c *Chooser) isAllOut(service plank.ServiceID) bool { return c.View.Load().IsAllOut(service) }

// addOut counts an endpoint if its failure domain is out of service, and reports whether it is.
func (x *exclusions) addOut(inst plank.Instance, v *view.View) bool {
	if !v.Evacuated.IsOut(inst.Domain) {
		return false
	}
	x.outOfService++
	return true
}
