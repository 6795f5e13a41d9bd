// Package keys defines the hash of the callers' keys and a table that cancels the
// requests of withdrawn keys.
package keys

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync"

	"knapweedplank.org/plank"
)

// Hash returns the hash of a key in hexadecimal digits, the form in which keys are
// stored.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ErrWithdrawn is the cause with which requests of a withdrawn key are cancelled.
var ErrWithdrawn = errors.New("the key was withdrawn")

// A Table holds the cancel functions of the requests in progress, by key. It is
// safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	lastID  uint64
	cancels map[plank.KeyID]map[uint64]context.CancelCauseFunc
}

// New returns an empty table.
func New() *Table {
	return &Table{cancels: make(map[plank.KeyID]map[uint64]context.CancelCauseFunc)}
}

// Add registers the cancel function of a request with the key. The returned
// function must be called when the request has ended.
func (t *Table) Add(key plank.KeyID, cancel context.CancelCauseFunc) (remove func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	id := t.lastID
	if t.cancels[key] == nil {
		t.cancels[key] = make(map[uint64]context.CancelCauseFunc)
	}
	t.cancels[key][id] = cancel
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.cancels[key], id)
		if len(t.cancels[key]) == 0 {
			delete(t.cancels, key)
		}
	}
}

// CancelInvalid cancels the requests of all keys for which valid returns false,
// with the cause ErrWithdrawn, and returns the number of these requests.
func (t *Table) CancelInvalid(valid func(plank.KeyID) bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for key, requests := range t.cancels {
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
