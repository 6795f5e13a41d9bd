package queue_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/queue"
	"pgregory.net/rapid"
)

func alwaysReady(uint64) bool { return true }

func item(ws plank.WorkspaceID, weight float64, deadline int) plank.QueueItem {
	return plank.QueueItem{Workspace: ws, Weight: weight, Cost: 10, Deadline: time.Unix(int64(deadline), 0)}
}

// TestFairSharesByWeight checks that a workspace that floods the queue is served in
// proportion to its weight, and that requests of a workspace are served in the order
// of their deadlines.
func TestFairSharesByWeight(t *testing.T) {
	q := queue.NewFair()
	for i := range uint64(300) {
		q.Push(i, item("flood", 1, int(i)))
	}
	for i := range uint64(30) {
		q.Push(1000+i, item("small", 2, int(30-i)))
	}
	counts := map[bool]int{}
	last := uint64(2000)
	for range 45 {
		h, ok := q.Next(alwaysReady)
		assert.Assert(t, ok)
		counts[h >= 1000]++
		if h >= 1000 {
			assert.Assert(t, h < last, "request with a later deadline served first")
			last = h
		}
	}
	assert.Equal(t, counts[true], 30)
	assert.Equal(t, counts[false], 15)
}

// TestFairSkipsNotReady checks that a request that is not ready blocks those behind
// it in the FIFO baseline but not in the fair queue.
func TestFairSkipsNotReady(t *testing.T) {
	ready := func(h uint64) bool { return h != 1 }
	fair, fifo := queue.NewFair(), queue.NewFIFO()
	for _, q := range []plank.Queue{fair, fifo} {
		q.Push(1, item("a", 1, 1))
		q.Push(2, item("a", 1, 2))
	}
	h, ok := fair.Next(ready)
	assert.Assert(t, ok && h == 2)
	_, ok = fifo.Next(ready)
	assert.Assert(t, !ok)
}

// TestQueuesKeepItems runs random operations and checks that no request is lost or
// served twice.
func TestQueuesKeepItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q plank.Queue = queue.NewFair()
		if rapid.Bool().Draw(t, "fifo") {
			q = queue.NewFIFO()
		}
		queued := map[uint64]bool{}
		next := uint64(0)
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "op") {
			case 0:
				next++
				ws := rapid.SampledFrom([]plank.WorkspaceID{"a", "b", "c"}).Draw(t, "ws")
				q.Push(next, item(ws, rapid.Float64Range(0, 4).Draw(t, "weight"), rapid.IntRange(0, 9).Draw(t, "deadline")))
				queued[next] = true
			case 1:
				h := rapid.Uint64Range(0, next).Draw(t, "handle")
				q.Remove(h)
				delete(queued, h)
			case 2:
				h, ok := q.Next(alwaysReady)
				if ok != (len(queued) > 0) || ok && !queued[h] {
					t.Fatalf("Next returned %d, %t while %v are queued", h, ok, queued)
				}
				delete(queued, h)
			}
			if q.Len() != len(queued) {
				t.Fatalf("Len is %d, want %d", q.Len(), len(queued))
			}
		}
	})
}
