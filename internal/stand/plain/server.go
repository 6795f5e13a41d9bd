// Package plain simulates a plain service, such as bookings, that counts how often
// each call is executed.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// KeyPrefix is the prefix of all callers' API keys in tests. Callers' keys must not
// reach engines and services, so these count the requests that contain the prefix.
const KeyPrefix = "kp-"

// Stats counts calls.
type Stats struct {
	// Runs counts the executed calls by the body's Booking field or, if that is
	// empty, by path.
	Runs map[string]int
	// Leaks counts requests that contained a caller's API key.
	Leaks int
}

// Faults are injected through /test/faults.
type Faults struct {
	SlowMillis  int // delay of each response in milliseconds
	LoseAnswers int // the next n calls are executed, but their responses are lost
}

// A Booking is the body of a call.
type Booking struct {
	Booking string
}

// A Server is one simulated replica of the service.
type Server struct {
	mu     sync.Mutex
	stats  Stats
	faults Faults
}

var _ http.Handler = (*Server)(nil)

// New returns a replica without faults, with all counts at zero.
func New() *Server { return &Server{stats: Stats{Runs: make(map[string]int)}} }

// ServeHTTP executes a call, or serves the controls for tests under /test/.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/test/stats":
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(s.stats)
	case "/test/faults":
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewDecoder(r.Body).Decode(&s.faults)
	default:
		s.run(w, r)
	}
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var b Booking
	name := r.URL.Path
	if json.Unmarshal(body, &b) == nil && b.Booking != "" {
		name = b.Booking
	}
	s.mu.Lock()
	s.stats.Runs[name]++
	run := s.stats.Runs[name]
	if containsKey(r, body) {
		s.stats.Leaks++
	}
	lose := s.faults.LoseAnswers > 0
	if lose {
		s.faults.LoseAnswers--
	}
	slow := s.faults.SlowMillis
	s.mu.Unlock()
	time.Sleep(time.Duration(slow) * time.Millisecond)
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Booking": name, "Run": run})
}

// containsKey reports whether the request contains a caller's API key in its body,
// URL or header.
func containsKey(r *http.Request, body []byte) bool {
	if strings.Contains(string(body), KeyPrefix) || strings.Contains(r.URL.String(), KeyPrefix) {
		return true
	}
	for _, values := range r.Header {
		if strings.Contains(strings.Join(values, " "), KeyPrefix) {
			return true
		}
	}
	return false
}
