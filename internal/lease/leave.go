package lease

import (
	"context"

	"knapweedplank.org/plank"
)

// This file implements the release of endpoints, share and membership at a
// graceful shutdown.

// Leave drains the VM's endpoints and releases its share and membership. It
// returns when that is done or ctx ends. If the platform stays unavailable, it
// only drains the endpoints.
func (mgr *Manager) Leave(ctx context.Context) {
	select {
	case mgr.leaveRequested <- struct{}{}:
	default:
	}
	select {
	case <-mgr.left:
	case <-ctx.Done():
	}
}

// maxLeaveFailures is the number of failed steps after which a drained VM leaves
// without releasing its membership. Other VMs fence its lease once that has
// expired.
const maxLeaveFailures = 4

// leaveWithoutPlatform drains the endpoints while the platform is unavailable, so
// that a graceful shutdown interrupts no request during an outage either.
func (mgr *Manager) leaveWithoutPlatform() {
	mgr.leaveFailures++
	if mgr.drainEndpoints() && mgr.leaveFailures >= maxLeaveFailures {
		mgr.log.Warn("lease: left while the platform is unavailable, lease not released")
		mgr.signalLeft()
	}
}

// drainEndpoints drains all of the VM's endpoints and reports whether they are
// idle.
func (mgr *Manager) drainEndpoints() bool {
	idle := true
	for _, c := range mgr.record.Claims {
		if c.VM == mgr.self.VM && !mgr.host.DrainEndpoint(c.Endpoint) {
			idle = false
		}
	}
	return idle
}

// signalLeft makes Leave return. It may be called more than once.
func (mgr *Manager) signalLeft() {
	select {
	case <-mgr.left:
	default:
		close(mgr.left)
	}
}

// stepLeave drains all endpoints, then releases share and membership. It returns
// early while an endpoint is busy or part of the share is lent.
func (mgr *Manager) stepLeave(ctx context.Context) error {
	idle := mgr.drainEndpoints()
	m, ok := mgr.record.Member(mgr.self.VM)
	if ok && (!idle || mgr.releaseAllShare() < m.Share) {
		return nil
	}
	if r, changed := mgr.record.Remove(mgr.self.VM); changed {
		if err := mgr.writeRecord(ctx, r); err != nil {
			return err
		}
		if _, still := mgr.record.Member(mgr.self.VM); still {
			return nil
		}
	}
	return mgr.finishLeave(ctx)
}

// releaseAllShare lowers the VM's share as far as loans allow and returns the total
// released so far.
func (mgr *Manager) releaseAllShare() plank.PPM {
	m, _ := mgr.record.Member(mgr.self.VM)
	if !mgr.shareCapped {
		mgr.shareCap, mgr.shareCapped = m.Share, true
	}
	mgr.shareCapVersion = mgr.recordVersion
	mgr.shareCap -= mgr.host.ReleaseShare(mgr.shareCap)
	return m.Share - mgr.shareCap
}

// finishLeave stores the lease as released.
func (mgr *Manager) finishLeave(ctx context.Context) error {
	mgr.setLost(true)
	l := mgr.lease
	l.State = StateGone
	l.Boot = mgr.bootID()
	value, err := l.Encode()
	if err != nil {
		return err
	}
	if _, err := mgr.store.Put(ctx, Key(mgr.self.Domain, mgr.self.VM), value, mgr.version); err != nil {
		return err
	}
	mgr.signalLeft()
	return nil
}
