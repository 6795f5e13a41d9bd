// Package weight defines a stand-in for the rate-limited weight store.
package weight

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Options set the store's speed.
type Options struct {
	LoadMillis  int     // time of one load at full speed
	FullSpeed   int     // loads in flight up to which they run at full speed
	PerSecond   float64 // loads begun a second over any long time; 0 is unlimited
	FailPercent int     // share of loads that fail, by count
}

// Stats counts loads.
type Stats struct {
	Loads, Failed, MaxInFlight int
}

// A Server serves weights.
type Server struct {
	opts Options

	mu       sync.Mutex
	inFlight int
	nextFree time.Time
	stats    Stats
}

var _ http.Handler = (*Server)(nil)

// New returns a store with the given speed.
func New(opts Options) *Server { return &Server{opts: opts} }

// ServeHTTP answers a load of weights after the time that it takes, and
// /test/stats.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/test/stats" {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(s.stats)
		return
	}
	wait, fail := s.begin(time.Now())
	defer s.end()
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
		return
	}
	if fail {
		http.Error(w, "load failed", http.StatusInternalServerError)
	}
}

// begin takes a load in and returns how long it takes and whether it fails.
func (s *Server) begin(now time.Time) (time.Duration, bool) {
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
		// Up to FullSpeed loads may run ahead of the long-term rate.
		gap := time.Duration(float64(time.Second) / s.opts.PerSecond)
		earliest := now.Add(-gap * time.Duration(s.opts.FullSpeed))
		if s.nextFree.Before(earliest) {
			s.nextFree = earliest
		}
		s.nextFree = s.nextFree.Add(gap)
		wait += max(0, s.nextFree.Sub(now))
	}
	fail := s.opts.FailPercent > 0 && s.stats.Loads%100 < s.opts.FailPercent
	if fail {
		s.stats.Failed++
	}
	return wait, fail
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}
