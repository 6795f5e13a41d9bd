package relay

import (
	"sync"
	"time"

	"knapweedplank.org/plank"
)

// The bounds of retries, so that retries cannot multiply an overload.
const (
	retryRatio = 0.2 // retries per request
	retryBurst = 20.0
)

// avoidTime is how long an endpoint that refused or could not be reached gets no
// request, if there is another. It covers the time until its owner's next
// heartbeat tells how it stands.
const avoidTime = 2 * time.Second

// An avoidance remembers which endpoints refused lately, so that each change
// costs one request a retry and not all of them. It is safe for concurrent use.
type avoidance struct {
	mu    sync.Mutex
	until map[plank.EndpointID]time.Time
}

func newAvoidance() *avoidance {
	return &avoidance{until: make(map[plank.EndpointID]time.Time)}
}

// add avoids an endpoint for avoidTime.
func (a *avoidance) add(id plank.EndpointID, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.until[id] = now.Add(avoidTime)
}

// appendTo appends the endpoints that are avoided now.
func (a *avoidance) appendTo(ids []plank.EndpointID, now time.Time) []plank.EndpointID {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, until := range a.until {
		if now.Before(until) {
			ids = append(ids, id)
		} else {
			delete(a.until, id)
		}
	}
	return ids
}
