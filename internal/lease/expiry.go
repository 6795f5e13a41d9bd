package lease

import (
	"time"

	"knapweedplank.org/plank"
)

// An observation is the version of another VM's lease that this VM read since it
// last received a heartbeat from the holder.
type observation struct {
	version   plank.ObjectVersion
	firstSeen time.Time // when the version was first read
}

// An expiryDetector determines when another VM's lease may be fenced. It performs
// no I/O.
type expiryDetector struct {
	// started is when this VM's run began. An earlier run may have shut down just
	// before, so that its acknowledgements still extend the leases of other VMs.
	started      time.Time
	observations map[plank.VMID]observation
}

// forget removes the observation of a VM that is alive.
func (d *expiryDetector) forget(vm plank.VMID) { delete(d.observations, vm) }

// hasExpired reports whether the lease, read now at the given version, has
// certainly expired: by this VM's clock it was not renewed for TTL+Grace, and no
// acknowledgement by this VM, or by an earlier run of it, still extends it.
func (d *expiryDetector) hasExpired(vm plank.VMID, version plank.ObjectVersion, lastReceived, now time.Time) bool {
	old, ok := d.observations[vm]
	if !ok || old.version != version {
		d.observations[vm] = observation{version: version, firstSeen: now}
		return false
	}
	return now.Sub(old.firstSeen) > TTL+Grace && now.Sub(lastReceived) > AckTTL+Grace && now.Sub(d.started) > RetiredAckTTL+Grace
}
