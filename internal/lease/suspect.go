package lease

import (
	"time"

	"knapweedplank.org/plank"
)

// A suspicion is what a VM has seen of another VM's lease since it stopped
// hearing it.
type suspicion struct {
	version plank.ObjectVersion
	since   time.Time // when the version was first seen
}

// A suspector decides when another VM's lease may be fenced. It is pure.
type suspector struct {
	// started is when the observer's run began. An earlier run of the observer
	// may have retired just before.
	started time.Time
	seen    map[plank.VMID]suspicion
}

// forget drops what was seen of a VM that is heard again.
func (s *suspector) forget(vm plank.VMID) { delete(s.seen, vm) }

// mayTake reports whether the lease seen now at the given version has lapsed
// for certain: it was not renewed for TTL and Grace by the observer's own
// clock, and no consent of the observer, or of an earlier run of it, holds it up.
func (s *suspector) mayTake(vm plank.VMID, version plank.ObjectVersion, lastHeard, now time.Time) bool {
	old, ok := s.seen[vm]
	if !ok || old.version != version {
		s.seen[vm] = suspicion{version: version, since: now}
		return false
	}
	return now.Sub(old.since) > TTL+Grace && now.Sub(lastHeard) > AckTTL+Grace && now.Sub(s.started) > RetiredAckTTL+Grace
}
