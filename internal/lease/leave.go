package lease

import (
	"context"

	"knapweedplank.org/plank"
)

// This file defines how a keeper gives everything up at a planned stop.

// Leave drains the VM's endpoints and gives up its membership, as far as the
// platform can be reached before ctx ends.
func (k *Manager) Leave(ctx context.Context) {
	select {
	case k.leave <- struct{}{}:
	default:
	}
	select {
	case <-k.left:
	case <-ctx.Done():
	}
}

// maxLeaveFailures is after how many failed calls a drained VM leaves without
// giving anything up. Others take its place over once its lease has lapsed.
const maxLeaveFailures = 4

// leaveAlone drains the endpoints while the platform cannot be reached, so that
// a planned stop cuts no request in an outage either.
func (k *Manager) leaveAlone() {
	k.leaveFailures++
	if k.drain() && k.leaveFailures >= maxLeaveFailures {
		k.log.Warn("lease: left without the platform")
		k.endLeave()
	}
}

// drain gives all endpoints up and reports whether nothing runs on them.
func (k *Manager) drain() bool {
	idle := true
	for _, c := range k.record.Claims {
		if c.VM == k.self.VM && !k.host.DrainEndpoint(c.Endpoint) {
			idle = false
		}
	}
	return idle
}

// endLeave tells Leave that the VM may stop.
func (k *Manager) endLeave() {
	select {
	case <-k.left:
	default:
		close(k.left)
	}
}

// stepLeave drains all endpoints, then gives up share and membership.
func (k *Manager) stepLeave(ctx context.Context) error {
	idle := k.drain()
	m, ok := k.record.Member(k.self.VM)
	if ok && (!idle || k.giveAll() < m.Share) {
		return nil
	}
	if r, changed := k.record.Remove(k.self.VM); changed {
		if err := k.writeRecord(ctx, r); err != nil {
			return err
		}
		if _, still := k.record.Member(k.self.VM); still {
			return nil
		}
	}
	return k.finishLeave(ctx)
}

// giveAll lowers the VM's share as far as loans allow and returns how much of
// it is given up in all.
func (k *Manager) giveAll() plank.PPM {
	m, _ := k.record.Member(k.self.VM)
	if !k.capped {
		k.shareCap, k.capped = m.Share, true
	}
	k.capVersion = k.recVersion
	k.shareCap -= k.host.ReleaseShare(k.shareCap)
	return m.Share - k.shareCap
}

// finishLeave marks the lease as given up.
func (k *Manager) finishLeave(ctx context.Context) error {
	k.setLost(true)
	l := k.lease
	l.State = StateGone
	l.Boot = k.bootID()
	value, err := l.Encode()
	if err != nil {
		return err
	}
	if _, err := k.store.Put(ctx, Key(k.self.Domain, k.self.VM), value, k.version); err != nil {
		return err
	}
	k.endLeave()
	return nil
}
