package relay

import (
	"sync"
	"time"

	"knapweedplank.org/plank"
)

// The limits of retries, so that retries do not amplify an overload.
const (
	retryRatio = 0.2  // retries that each request adds to the budget
	retryBurst = 20.0 // most retries available at once
)

// avoidPeriod is the time for which an endpoint that refused or could not be reached
// gets no requests if there is another. It is long enough for the owner's next
// heartbeat to report the endpoint's state.
const avoidPeriod = 2 * time.Second

// An avoidedEndpoints holds the endpoints that failed recently, so that a change of
// an endpoint's state costs one request a retry instead of all. It is safe for
// concurrent use.
type avoidedEndpoints struct {
	mu    sync.Mutex
	until map[plank.EndpointID]time.Time
}

func newAvoidedEndpoints() *avoidedEndpoints {
	return &avoidedEndpoints{until: make(map[plank.EndpointID]time.Time)}
}

// add adds an endpoint for avoidPeriod.
func (a *avoidedEndpoints) add(id plank.EndpointID, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.until[id] = now.Add(avoidPeriod)
}

// appendTo appends the endpoints to avoid at the time now. It removes those whose
// period has ended.
func (a *avoidedEndpoints) appendTo(ids []plank.EndpointID, now time.Time) []plank.EndpointID {
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
