// Package plain defines a stand-in for a plain service, such as bookings, that
// counts every run.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// KeyPrefix begins every caller's key in tests; a stand-in that sees it has
// been shown a key.
const KeyPrefix = "kp-"

// Stats is what the service saw.
type Stats struct {
	// Runs counts the calls by the booking named in the body's Booking field
	// or, without one, by path.
	Runs map[string]int
	// Leaks counts requests that carried a caller's key.
	Leaks int
}

// Faults are brought about on demand.
type Faults struct {
	SlowMillis  int // each call takes this long
	LoseAnswers int // the next n calls run, but their answer is lost
}

// A Booking is the body of a call.
type Booking struct {
	Booking string
}

// A Server is one replica of the service.
type Server struct {
	mu     sync.Mutex
	stats  Stats
	faults Faults
}

var _ http.Handler = (*Server)(nil)

// New returns a replica that has seen nothing.
func New() *Server { return &Server{stats: Stats{Runs: make(map[string]int)}} }

// ServeHTTP runs a call, or serves the controls below /test/.
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
	if hasKey(r, body) {
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

// hasKey reports whether a caller's key stands anywhere in the request.
func hasKey(r *http.Request, body []byte) bool {
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
