package front

import (
	"sync"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/retry"
	"knapweedplank.org/plank/internal/wire"
)

// InFlight counts this VM's calls in progress by endpoint and adapter. It is safe
// for concurrent use.
type InFlight struct {
	mu    sync.Mutex
	calls map[plank.EndpointID]map[plank.AdapterRef]int
	// onChange is called after each change.
	onChange func()
}

// NewInFlight returns an empty InFlight. onChange is called after each change.
func NewInFlight(onChange func()) *InFlight {
	return &InFlight{calls: make(map[plank.EndpointID]map[plank.AdapterRef]int), onChange: onChange}
}

// Add adds n to the count: 1 when a call begins and -1 when it ends. ref is empty
// for calls of plain services.
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
	f.onChange()
}

// Messages returns the counts as wire messages. Calls of model engines are
// included only if engines is set.
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

// Count returns the number of calls in progress at one endpoint.
func (f *InFlight) Count(id plank.EndpointID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, n := range f.calls[id] {
		total += n
	}
	return total
}

// Budgets holds a retry budget per service. It is safe for concurrent use.
type Budgets struct {
	ratio float64 // retries earned per request

	mu        sync.Mutex
	burst     float64 // most retries that can be saved up
	byService map[plank.ServiceID]*retry.Budget
}

// NewBudgets returns budgets that earn ratio retries per request and save up to
// burst of them.
func NewBudgets(ratio, burst float64) *Budgets {
	return &Budgets{ratio: ratio, burst: burst, byService: make(map[plank.ServiceID]*retry.Budget)}
}

// Of returns the budget of a service, which starts full.
func (b *Budgets) Of(id plank.ServiceID) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byService[id] == nil {
		b.byService[id] = retry.New(b.ratio, b.burst)
	}
	return b.byService[id]
}

// Left returns the number of retries left by service.
func (b *Budgets) Left() map[plank.ServiceID]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := make(map[plank.ServiceID]float64, len(b.byService))
	for id, budget := range b.byService {
		left[id] = budget.Left()
	}
	return left
}

// SetBurst changes the burst of all present and later budgets.
func (b *Budgets) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	for _, budget := range b.byService {
		budget.SetBurst(burst)
	}
}
