package grant

import (
	"slices"
	"time"
)

// This file handles engines whose failure domain is out of service. They stay with their holder,
// which keeps the lease and the counts of their calls, and get no requests.

// isOut reports whether the engine's failure domain is out of service.
func (e *Engine) isOut() bool { return e.isOutOfService != nil && e.isOutOfService(e.inst.Domain) }

// clearEvacuated moves the calls that wait for engines out of service to other engines, and refuses
// those that no engine of this holder can serve: their VMs ask other holders.
//
// It addresses the queue of a whole domain that would otherwise wait until each call expires.
func (s *Scheduler) clearEvacuated(now time.Time) {
	for _, e := range s.sorted {
		if len(e.queue) == 0 || !e.isOut() {
			continue
		}
		for _, res := range slices.Clone(e.queue) {
			if to := bestEngine(s.sorted, res, now, func(o *Engine) bool { return o.isReady() && !o.isOut() }); to != nil {
				s.reassign(res, to, "out of service")
			}
		}
		s.changed[e.inst.ID] = true
		e.refuseQueued("the failure domain is out of service")
	}
}
