// Package objapi simulates the platform's object API: versioned objects with
// conditional updates and long-polled watches, held in memory.
package objapi

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/store"
)

const (
	maxValueBytes = 1 << 20
	pageBytes     = 4 << 20
	historyLimit  = 200_000 // changes; beyond it, all but the latest half are dropped
)

// A Server is a simulated object API.
type Server struct {
	mu       sync.Mutex
	objects  map[string]store.ObjectItem
	keys     []string // sorted keys of objects
	history  []store.ChangeItem
	revision plank.Revision
	changed  chan struct{} // closed and replaced at each change
	faults   Faults
	stats    Stats
}

// Faults are injected through /test/faults.
type Faults struct {
	Away        bool // all calls fail immediately
	SlowMillis  int  // delay of each call in milliseconds
	LoseAnswers int  // the next n writes take effect, but their responses are lost
}

// Stats counts calls by kind.
type Stats struct {
	Gets, Puts, Conflicts, Lists, Watches int
	ValueBytes                            int // size of the largest value written
}

var _ http.Handler = (*Server)(nil)

// New returns an empty object API.
func New() *Server {
	return &Server{objects: make(map[string]store.ObjectItem), changed: make(chan struct{})}
}

// ServeHTTP serves the object API under /v1/ and the controls for tests under
// /test/.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/test/") {
		s.serveControl(w, r)
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Away {
		http.Error(w, "away", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(time.Duration(faults.SlowMillis) * time.Millisecond)
	key, isObject := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	switch {
	case isObject && r.Method == http.MethodGet:
		s.get(w, key)
	case isObject && r.Method == http.MethodPut:
		s.put(w, r, key)
	case r.URL.Path == "/v1/list":
		s.list(w, r)
	case r.URL.Path == "/v1/watch":
		s.watch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.URL.Path {
	case "/test/faults":
		if err := json.NewDecoder(r.Body).Decode(&s.faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	case "/test/stats":
		reply(w, s.stats)
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	s.stats.Gets++
	o, ok := s.objects[key]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	reply(w, store.ObjectReply(o))
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, key string) {
	want, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "bad version", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	o, lose, ok := s.update(key, value, plank.ObjectVersion(want))
	if lose {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.Error(w, "conflict", http.StatusConflict)
		return
	}
	reply(w, store.ObjectReply{Key: key, Version: o.Version})
}

// update writes value if the object's version is want, which is 0 for an object that
// does not exist; ok reports whether it did. lose reports whether to drop the
// response.
func (s *Server) update(key string, value []byte, want plank.ObjectVersion) (o store.ObjectItem, lose, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Puts++
	old, exists := s.objects[key]
	if old.Version != want {
		s.stats.Conflicts++
		return old, false, false
	}
	if !exists {
		i := sort.SearchStrings(s.keys, key)
		s.keys = append(s.keys, "")
		copy(s.keys[i+1:], s.keys[i:])
		s.keys[i] = key
	}
	s.revision++
	s.stats.ValueBytes = max(s.stats.ValueBytes, len(value))
	o = store.ObjectItem{Key: key, Value: value, Version: plank.ObjectVersion(s.revision)}
	s.objects[key] = o
	s.history = append(s.history, store.ChangeItem{Object: o, Revision: s.revision})
	if len(s.history) > historyLimit {
		s.history = append([]store.ChangeItem(nil), s.history[historyLimit/2:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return o, true, true
	}
	return o, false, true
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	s.stats.Lists++
	out := store.ListReply{Revision: s.revision}
	size := 0
	for i := sort.SearchStrings(s.keys, max(prefix, after)); i < len(s.keys) && size < pageBytes; i++ {
		key := s.keys[i]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			out.Objects = append(out.Objects, s.objects[key])
			size += len(s.objects[key].Value)
		}
	}
	s.mu.Unlock()
	reply(w, out)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "bad revision", http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("wait"))
	if err != nil {
		http.Error(w, "bad wait", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.stats.Watches++
	s.mu.Unlock()
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		out := s.changesSince(query["prefix"], plank.Revision(after))
		changed := s.changed
		s.mu.Unlock()
		if len(out.Changes) > 0 {
			reply(w, out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the changes after the revision of objects whose key has one
// of the prefixes. s.mu must be held.
func (s *Server) changesSince(prefixes []string, after plank.Revision) store.WatchReply {
	out := store.WatchReply{Revision: s.revision}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	for _, c := range s.history[first:] {
		for _, p := range prefixes {
			if strings.HasPrefix(c.Object.Key, p) {
				out.Changes = append(out.Changes, c)
				break
			}
		}
	}
	return out
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
