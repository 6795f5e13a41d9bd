package front

import (
	"maps"
	"sync"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/retry"
)

// Flights counts this VM's calls by endpoint. It is safe for concurrent use.
type Flights struct {
	mu    sync.Mutex
	calls map[plank.EndpointID]int
	// changed is told of each change.
	changed func()
}

// NewFlights returns an empty count.
func NewFlights(changed func()) *Flights {
	return &Flights{calls: make(map[plank.EndpointID]int), changed: changed}
}

// Add counts a call that begins, or with -1 one that ends.
func (f *Flights) Add(id plank.EndpointID, n int) {
	f.mu.Lock()
	f.calls[id] += n
	if f.calls[id] <= 0 {
		delete(f.calls, id)
	}
	f.mu.Unlock()
	f.changed()
}

// All returns the counts.
func (f *Flights) All() map[plank.EndpointID]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.calls)
}

// Count returns the calls at one endpoint.
func (f *Flights) Count(id plank.EndpointID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[id]
}

// Budgets holds a retry budget for each service. It is safe for concurrent use.
type Budgets struct {
	ratio float64

	mu    sync.Mutex
	burst float64
	all   map[plank.ServiceID]*retry.Budget
}

// NewBudgets returns budgets of the given ratio and burst.
func NewBudgets(ratio, burst float64) *Budgets {
	return &Budgets{ratio: ratio, burst: burst, all: make(map[plank.ServiceID]*retry.Budget)}
}

// Of returns a service's budget.
func (b *Budgets) Of(id plank.ServiceID) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.all[id] == nil {
		b.all[id] = retry.New(b.ratio, b.burst)
	}
	return b.all[id]
}

// SetBurst changes the burst of all budgets.
func (b *Budgets) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	for _, budget := range b.all {
		budget.SetBurst(burst)
	}
}
