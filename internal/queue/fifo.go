// Package queue defines policies that order the waiting requests of an endpoint.
package queue

import "knapweedplank.org/plank"

// A FIFO serves requests in order of arrival. It is the baseline for comparisons.
type FIFO struct {
	handles []uint64
}

var _ plank.Queue = (*FIFO)(nil)

// NewFIFO returns an empty FIFO.
func NewFIFO() *FIFO { return &FIFO{} }

// Name implements plank.Queue.
func (q *FIFO) Name() string { return "fifo" }

// Len implements plank.Queue.
func (q *FIFO) Len() int { return len(q.handles) }

// Push implements plank.Queue.
func (q *FIFO) Push(handle uint64, _ plank.QueueItem) {
	q.handles = append(q.handles, handle)
}

// Remove implements plank.Queue.
func (q *FIFO) Remove(handle uint64) {
	for i, h := range q.handles {
		if h == handle {
			q.handles = append(q.handles[:i], q.handles[i+1:]...)
			return
		}
	}
}

// Next implements plank.Queue. It considers only the first request, so that one
// that is not ready blocks all others.
func (q *FIFO) Next(ready func(uint64) bool) (uint64, bool) {
	if len(q.handles) == 0 || !ready(q.handles[0]) {
		return 0, false
	}
	h := q.handles[0]
	q.handles = q.handles[1:]
	return h, true
}
