package front

import (
	"sync"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/retry"
	"knapweedplank.org/plank/internal/wire"
)

// InFlight counts this VM's calls by endpoint and adapter. It is safe for
// concurrent use.
type InFlight struct {
	mu    sync.Mutex
	calls map[plank.EndpointID]map[plank.AdapterRef]int
	// changed is told of each change.
	changed func()
}

// NewInFlight returns an empty count.
func NewInFlight(changed func()) *InFlight {
	return &InFlight{calls: make(map[plank.EndpointID]map[plank.AdapterRef]int), changed: changed}
}

// Add counts a call that begins, or with -1 one that ends. ref is empty for
// calls of plain services.
func (f *InFlight) Add(id plank.EndpointID, ref plank.AdapterRef, n int) {
	f.mu.Lock()
	calls := f.calls[id]
	if calls == nil {
		calls = make(map[plank.AdapterRef]int)
		f.calls[id] = calls
	}
	if calls[ref] += n; calls[ref] <= 0 {
		delete(calls, ref)
	}
	if len(calls) == 0 {
		delete(f.calls, id)
	}
	f.mu.Unlock()
	f.changed()
}

// Messages returns the counts as messages, those of plain services only unless
// engines is set.
func (f *InFlight) Messages(engines bool) []*wire.Flight {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*wire.Flight, 0, len(f.calls))
	for id, calls := range f.calls {
		flight := &wire.Flight{Endpoint: string(id)}
		for ref, n := range calls {
			if ref.Base != "" && !engines {
				continue
			}
			flight.Calls += uint32(n)
			if ref.Name != "" {
				flight.Adapters = append(flight.Adapters, ref.String())
			}
		}
		if flight.Calls > 0 {
			out = append(out, flight)
		}
	}
	return out
}

// Count returns the calls at one endpoint.
func (f *InFlight) Count(id plank.EndpointID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, n := range f.calls[id] {
		total += n
	}
	return total
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

// Left returns the retries that each service has left.
func (b *Budgets) Left() map[plank.ServiceID]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := make(map[plank.ServiceID]float64, len(b.all))
	for id, budget := range b.all {
		left[id] = budget.Left()
	}
	return left
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
