package queue

import (
	"slices"
	"strings"
	"time"

	"knapweedplank.org/plank"
)

// A Fair queue shares tokens among workspaces by weighted fair queueing and orders
// the requests of one workspace by deadline. A request that is not ready does not
// block others.
type Fair struct {
	flows map[plank.WorkspaceID]*flow
	// flowOf holds the flow of each queued handle.
	flowOf map[uint64]*flow
	// virtualNow is the highest virtual time at which a flow was served. A flow that
	// becomes active starts there, so that it gets no credit for its idle time.
	virtualNow float64
	scratch    []*flow // slice reused by Next
}

// A flow is the queue of one workspace.
type flow struct {
	workspace plank.WorkspaceID
	// virtualTime increases by the tokens of each request served, divided by the
	// weight.
	virtualTime float64
	weight      float64
	// entries is sorted by deadline.
	entries []entry
}

// An entry is a queued request.
type entry struct {
	handle   uint64
	deadline time.Time
	cost     plank.Tokens
}

var _ plank.Queue = (*Fair)(nil)

// NewFair returns an empty Fair queue.
func NewFair() *Fair {
	return &Fair{flows: make(map[plank.WorkspaceID]*flow), flowOf: make(map[uint64]*flow)}
}

// Name implements plank.Queue.
func (q *Fair) Name() string { return "fair" }

// Len implements plank.Queue.
func (q *Fair) Len() int { return len(q.flowOf) }

// Push implements plank.Queue.
func (q *Fair) Push(handle uint64, item plank.QueueItem) {
	f := q.flows[item.Workspace]
	if f == nil {
		f = &flow{workspace: item.Workspace, virtualTime: q.virtualNow}
		q.flows[item.Workspace] = f
	}
	if len(f.entries) == 0 {
		f.virtualTime = max(f.virtualTime, q.virtualNow)
	}
	f.weight = item.Weight
	if f.weight <= 0 {
		f.weight = 1
	}
	e := entry{handle: handle, deadline: item.Deadline, cost: item.Cost}
	i, _ := slices.BinarySearchFunc(f.entries, e, func(a, b entry) int {
		if c := a.deadline.Compare(b.deadline); c != 0 {
			return c
		}
		return int(a.handle) - int(b.handle)
	})
	f.entries = slices.Insert(f.entries, i, e)
	q.flowOf[handle] = f
}

// Remove implements plank.Queue.
func (q *Fair) Remove(handle uint64) {
	f := q.flowOf[handle]
	if f == nil {
		return
	}
	i := slices.IndexFunc(f.entries, func(e entry) bool { return e.handle == handle })
	q.take(f, i)
}

// take removes entry i of the flow and returns it.
func (q *Fair) take(f *flow, i int) entry {
	e := f.entries[i]
	f.entries = slices.Delete(f.entries, i, i+1)
	delete(q.flowOf, e.handle)
	return e
}

// Next implements plank.Queue.
func (q *Fair) Next(ready func(uint64) bool) (uint64, bool) {
	q.scratch = q.scratch[:0]
	for _, f := range q.flows {
		if len(f.entries) > 0 {
			q.scratch = append(q.scratch, f)
		}
	}
	slices.SortFunc(q.scratch, func(a, b *flow) int {
		switch {
		case a.virtualTime < b.virtualTime:
			return -1
		case a.virtualTime > b.virtualTime:
			return 1
		}
		return strings.Compare(string(a.workspace), string(b.workspace))
	})
	for _, f := range q.scratch {
		for i := range f.entries {
			if !ready(f.entries[i].handle) {
				continue
			}
			e := q.take(f, i)
			q.virtualNow = max(q.virtualNow, f.virtualTime)
			f.virtualTime += float64(max(e.cost, 1)) / f.weight
			return e.handle, true
		}
	}
	return 0, false
}
