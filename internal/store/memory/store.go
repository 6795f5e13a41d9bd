// Package memory defines an in-memory object store, for tests and examples, that
// can simulate lost requests and responses.
package memory

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"

	"knapweedplank.org/plank"
)

// A Fault is a simulated failure of one call.
type Fault int

// The faults of calls.
const (
	NoFault      Fault = iota // the call is executed and returns its result
	LostRequest               // the call is not executed and returns an error
	LostResponse              // the call is executed and returns an error
)

// A Store holds objects in memory. It is safe for concurrent use.
type Store struct {
	// Fault, if not nil, returns the fault of the next call.
	Fault func() Fault

	mu       sync.Mutex
	objects  map[string]plank.Object
	revision plank.Revision
}

var _ plank.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store { return &Store{objects: make(map[string]plank.Object)} }

var errLost = errors.New("lost")

// nextFault returns the fault of the next call. The caller holds the lock.
func (s *Store) nextFault() Fault {
	if s.Fault == nil {
		return NoFault
	}
	return s.Fault()
}

func unavailableError(op string) error {
	return &plank.UnavailableError{Target: "memory", Op: op, Err: errLost}
}

// Get implements plank.Store.
func (s *Store) Get(_ context.Context, key string) (plank.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFault() != NoFault {
		return plank.Object{}, unavailableError("get")
	}
	o := s.objects[key]
	o.Key = key
	return o, nil
}

// Put implements plank.Store.
func (s *Store) Put(_ context.Context, key string, value []byte, want plank.ObjectVersion) (plank.ObjectVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.nextFault()
	if fault == LostRequest {
		return 0, unavailableError("put")
	}
	if s.objects[key].Version != want {
		if fault == LostResponse {
			return 0, unavailableError("put")
		}
		return 0, &plank.ConflictError{Key: key, Want: want}
	}
	s.revision++
	s.objects[key] = plank.Object{Key: key, Value: value, Version: plank.ObjectVersion(s.revision)}
	if fault == LostResponse {
		return 0, unavailableError("put")
	}
	return plank.ObjectVersion(s.revision), nil
}

// List implements plank.Store.
func (s *Store) List(_ context.Context, prefix, after string) ([]plank.Object, plank.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFault() != NoFault {
		return nil, 0, unavailableError("list")
	}
	var out []plank.Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, s.revision, nil
}

// Watch implements plank.Store. It returns immediately and without changes.
func (s *Store) Watch(_ context.Context, _ []string, after plank.Revision) ([]plank.Change, plank.Revision, error) {
	return nil, after, nil
}
