// Package weight simulates the rate-limited weight store.
package weight

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Options are the parameters of a simulated store.
type Options struct {
	LoadMillis  int     // duration of one load at full speed
	FullSpeed   int     // maximum number of concurrent loads at full speed
	PerSecond   float64 // sustained rate of loads; 0 means unlimited
	FailPercent int     // number of loads that fail out of each 100
}

// Stats counts loads.
type Stats struct {
	Loads, Failed, MaxInFlight int
}

// A Server is a simulated weight store.
type Server struct {
	opts Options

	mu        sync.Mutex
	inFlight  int
	nextStart time.Time
	stats     Stats
}

var _ http.Handler = (*Server)(nil)

// New returns a store with the given options.
func New(opts Options) *Server { return &Server{opts: opts} }

// ServeHTTP serves /test/stats, and treats every other request as a load, which it
// answers after the load's duration.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/test/stats" {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(s.stats)
		return
	}
	wait, fail := s.startLoad(time.Now())
	defer s.endLoad()
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
		return
	}
	if fail {
		http.Error(w, "load failed", http.StatusInternalServerError)
	}
}

// startLoad registers a load and returns its duration and whether it fails.
func (s *Server) startLoad(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.stats.Loads++
	s.stats.MaxInFlight = max(s.stats.MaxInFlight, s.inFlight)
	wait := time.Duration(s.opts.LoadMillis) * time.Millisecond
	if s.inFlight > s.opts.FullSpeed && s.opts.FullSpeed > 0 {
		wait = wait * time.Duration(s.inFlight) / time.Duration(s.opts.FullSpeed)
	}
	if s.opts.PerSecond > 0 {
		// Up to FullSpeed loads may exceed the sustained rate in a burst.
		gap := time.Duration(float64(time.Second) / s.opts.PerSecond)
		earliest := now.Add(-gap * time.Duration(s.opts.FullSpeed))
		if s.nextStart.Before(earliest) {
			s.nextStart = earliest
		}
		s.nextStart = s.nextStart.Add(gap)
		wait += max(0, s.nextStart.Sub(now))
	}
	fail := s.opts.FailPercent > 0 && s.stats.Loads%100 < s.opts.FailPercent
	if fail {
		s.stats.Failed++
	}
	return wait, fail
}

func (s *Server) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}
