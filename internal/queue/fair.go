package queue

import (
	"slices"
	"strings"
	"time"

	"knapweedplank.org/plank"
)

// A Fair queue serves workspaces by weighted fair queueing of tokens, and the
// requests of one workspace by earliest deadline. A request that is not ready
// does not delay others.
type Fair struct {
	flows map[plank.WorkspaceID]*flow
	// flowByHandle holds the flow of each queued handle.
	flowByHandle map[uint64]*flow
	// served is the virtual time of the flow served last. A flow that was idle
	// continues from there, so that it gains no service from its idle time.
	served float64
	order  []*flow // reused by Next
}

// A flow is the queue of one workspace.
type flow struct {
	workspace plank.WorkspaceID
	// virtual is the tokens served divided by the weight.
	virtual float64
	weight  float64
	// items is sorted by deadline.
	items []entry
}

type entry struct {
	handle   uint64
	deadline time.Time
	cost     plank.Tokens
}

var _ plank.Queue = (*Fair)(nil)

// NewFair returns an empty queue.
func NewFair() *Fair {
	return &Fair{flows: make(map[plank.WorkspaceID]*flow), flowByHandle: make(map[uint64]*flow)}
}

// Name implements plank.Queue.
func (q *Fair) Name() string { return "fair" }

// Len implements plank.Queue.
func (q *Fair) Len() int { return len(q.flowByHandle) }

// Push implements plank.Queue.
func (q *Fair) Push(handle uint64, item plank.QueueItem) {
	f := q.flows[item.Workspace]
	if f == nil {
		f = &flow{workspace: item.Workspace, virtual: q.served}
		q.flows[item.Workspace] = f
	}
	if len(f.items) == 0 {
		f.virtual = max(f.virtual, q.served)
	}
	f.weight = item.Weight
	if f.weight <= 0 {
		f.weight = 1
	}
	e := entry{handle: handle, deadline: item.Deadline, cost: item.Cost}
	i, _ := slices.BinarySearchFunc(f.items, e, func(a, b entry) int {
		if c := a.deadline.Compare(b.deadline); c != 0 {
			return c
		}
		return int(a.handle) - int(b.handle)
	})
	f.items = slices.Insert(f.items, i, e)
	q.flowByHandle[handle] = f
}

// Remove implements plank.Queue.
func (q *Fair) Remove(handle uint64) {
	f := q.flowByHandle[handle]
	if f == nil {
		return
	}
	i := slices.IndexFunc(f.items, func(e entry) bool { return e.handle == handle })
	q.take(f, i)
}

// take removes item i of the flow and returns it.
func (q *Fair) take(f *flow, i int) entry {
	e := f.items[i]
	f.items = slices.Delete(f.items, i, i+1)
	delete(q.flowByHandle, e.handle)
	return e
}

// Next implements plank.Queue.
func (q *Fair) Next(ready func(uint64) bool) (uint64, bool) {
	q.order = q.order[:0]
	for _, f := range q.flows {
		if len(f.items) > 0 {
			q.order = append(q.order, f)
		}
	}
	slices.SortFunc(q.order, func(a, b *flow) int {
		switch {
		case a.virtual < b.virtual:
			return -1
		case a.virtual > b.virtual:
			return 1
		}
		return strings.Compare(string(a.workspace), string(b.workspace))
	})
	for _, f := range q.order {
		for i := range f.items {
			if !ready(f.items[i].handle) {
				continue
			}
			e := q.take(f, i)
			q.served = max(q.served, f.virtual)
			f.virtual += float64(max(e.cost, 1)) / f.weight
			return e.handle, true
		}
	}
	return 0, false
}
