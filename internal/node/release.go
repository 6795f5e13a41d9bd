package node

import (
	"sync"
	"time"

	"knapweedplank.org/plank"
)

// releaseTimes holds the time at which the newest version of each adapter became
// known.
type releaseTimes struct {
	mu       sync.Mutex
	since    map[plank.AdapterRef]time.Time
	versions map[plank.AdapterRef]plank.VersionNumber
}

// update records the versions of a new view.
func (r *releaseTimes) update(versions map[plank.AdapterRef]plank.VersionNumber, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for ref, v := range versions {
		if r.versions[ref] != v {
			r.since[ref] = now
		}
	}
	r.versions = versions
}

func (r *releaseTimes) knownSince(ref plank.AdapterRef) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.since[ref]
}
