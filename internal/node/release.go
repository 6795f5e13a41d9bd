package node

import (
	"slices"
	"sync"
	"time"

	"knapweedplank.org/plank"
)

// releaseHistory is how long a version is remembered after a newer one became known. It
// exceeds the time for which calls still get a superseded version.
const releaseHistory = 10 * time.Second

// A release is a version of an adapter and when it became known.
type release struct {
	version    plank.VersionNumber
	knownSince time.Time
}

// releaseTimes holds when the versions of each adapter became known.
type releaseTimes struct {
	mu sync.Mutex
	// releases holds the versions of each adapter in ascending order, the newest included.
	releases map[plank.AdapterRef][]release
}

func newReleaseTimes() *releaseTimes {
	return &releaseTimes{releases: make(map[plank.AdapterRef][]release)}
}

// update records the newest versions of a view.
func (r *releaseTimes) update(newest map[plank.AdapterRef]plank.VersionNumber, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for ref, v := range newest {
		known := r.releases[ref]
		if len(known) > 0 && known[len(known)-1].version >= v {
			continue
		}
		known = append(known, release{version: v, knownSince: now})
		for len(known) > 1 && now.Sub(known[1].knownSince) > releaseHistory {
			known = slices.Delete(known, 0, 1)
		}
		r.releases[ref] = known
	}
}

// supersededAt returns when the first version newer than v became known; the zero time if
// none is known.
func (r *releaseTimes) supersededAt(ref plank.AdapterRef, v plank.VersionNumber) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.releases[ref] {
		if known.version > v {
			return known.knownSince
		}
	}
	return time.Time{}
}
