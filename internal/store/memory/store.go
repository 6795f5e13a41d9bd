// Package memory defines an object API in memory, for tests and examples, that
// loses requests and answers on demand.
package memory

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"

	"knapweedplank.org/plank"
)

// A Fault is what becomes of one call.
type Fault int

// The fates of calls.
const (
	NoFault      Fault = iota // the call is carried out and answered
	LostRequest               // the call is not carried out
	LostResponse              // the call is carried out and not answered
)

// A Store holds objects in memory. It is safe for concurrent use.
type Store struct {
	// Fault, if not nil, decides on each call.
	Fault func() Fault

	mu       sync.Mutex
	objects  map[string]plank.Object
	revision plank.Revision
}

var _ plank.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store { return &Store{objects: make(map[string]plank.Object)} }

var errLost = errors.New("lost")

// nextFault returns what becomes of the next call. The lock is held.
func (s *Store) nextFault() Fault {
	if s.Fault == nil {
		return NoFault
	}
	return s.Fault()
}

func unavailable(op string) error {
	return &plank.UnavailableError{Target: "memory", Op: op, Err: errLost}
}

// Get implements plank.Store.
func (s *Store) Get(_ context.Context, key string) (plank.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFault() != NoFault {
		return plank.Object{}, unavailable("get")
	}
	o := s.objects[key]
	o.Key = key
	return o, nil
}

// Put implements plank.Store.
func (s *Store) Put(_ context.Context, key string, value []byte, want plank.ObjectVersion) (plank.ObjectVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fate := s.nextFault()
	if fate == LostRequest {
		return 0, unavailable("put")
	}
	if s.objects[key].Version != want {
		if fate == LostResponse {
			return 0, unavailable("put")
		}
		return 0, &plank.ConflictError{Key: key, Want: want}
	}
	s.revision++
	s.objects[key] = plank.Object{Key: key, Value: value, Version: plank.ObjectVersion(s.revision)}
	if fate == LostResponse {
		return 0, unavailable("put")
	}
	return plank.ObjectVersion(s.revision), nil
}

// List implements plank.Store.
func (s *Store) List(_ context.Context, prefix, after string) ([]plank.Object, plank.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFault() != NoFault {
		return nil, 0, unavailable("list")
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

// Watch implements plank.Store. It returns at once, without changes.
func (s *Store) Watch(_ context.Context, _ []string, after plank.Revision) ([]plank.Change, plank.Revision, error) {
	return nil, after, nil
}
