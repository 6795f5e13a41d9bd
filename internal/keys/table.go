// Package keys defines the callers' keys: how they are hashed, and how the
// withdrawal of a key ends the requests that came with it.
package keys

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync"

	"knapweedplank.org/plank"
)

// Hash returns the form in which a key is written down.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ErrWithdrawn is the cause with which requests of a withdrawn key end.
var ErrWithdrawn = errors.New("the key was withdrawn")

// A Table holds the requests in progress by key. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	next uint64
	open map[plank.KeyID]map[uint64]context.CancelCauseFunc
}

// New returns an empty table.
func New() *Table {
	return &Table{open: make(map[plank.KeyID]map[uint64]context.CancelCauseFunc)}
}

// Add registers a request of the key. The returned function must be called when
// the request has ended.
func (t *Table) Add(key plank.KeyID, cancel context.CancelCauseFunc) (remove func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	n := t.next
	if t.open[key] == nil {
		t.open[key] = make(map[uint64]context.CancelCauseFunc)
	}
	t.open[key][n] = cancel
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.open[key], n)
		if len(t.open[key]) == 0 {
			delete(t.open, key)
		}
	}
}

// CancelInvalid ends the requests of all keys for which valid does not hold, and
// returns how many it ended.
func (t *Table) CancelInvalid(valid func(plank.KeyID) bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for key, requests := range t.open {
		if valid(key) {
			continue
		}
		for _, cancel := range requests {
			cancel(ErrWithdrawn)
			n++
		}
	}
	return n
}
