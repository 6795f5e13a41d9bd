package model

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/engine/openai"
)

// A Server is a simulated model engine.
type Server struct {
	opts Options
	// OnCrash, if not nil, is called after each simulated crash.
	OnCrash func()

	mu          sync.Mutex
	boot        int
	resident    map[plank.Model]int // number of current requests by resident model
	loading     map[plank.Model]bool
	highestTerm plank.Term // highest term of an order
	rows        []*row     // executing
	waiting     []*row     // queued for the batch
	prefixes    map[uint64]bool
	draining    bool
	faults      Faults
	stats       Stats
	report      plank.EngineReport // created at reportAt
	reportAt    time.Time
	wake        chan struct{}
	done        chan struct{}
}

// A row is one request in the batch or in the queue for it.
type row struct {
	model  plank.Model
	prompt string
	next   int
	total  int
	out    chan int // indexes of generated tokens, closed at the end
	ended  bool
}

var _ http.Handler = (*Server)(nil)

// New starts an engine without resident adapters.
func New(opts Options) *Server {
	s := &Server{
		opts: opts, boot: 1,
		resident: make(map[plank.Model]int), loading: make(map[plank.Model]bool), prefixes: make(map[uint64]bool),
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	go func() {
		for s.step() {
		}
	}()
	return s
}

// Close stops the engine.
func (s *Server) Close() { close(s.done) }

// ServeHTTP serves the engine API, and the controls for tests under /test/.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/completions", "/v1/chat/completions":
		s.generate(w, r)
	case "/v1/load_lora_adapter":
		s.load(w, r)
	case "/v1/unload_lora_adapter":
		s.unload(w, r)
	case "/report":
		s.serveReport(w)
	case "/test/stats":
		s.mu.Lock()
		defer s.mu.Unlock()
		stats := s.stats
		for m := range s.resident {
			stats.Resident = append(stats.Resident, m)
		}
		reply(w, stats)
	case "/test/faults":
		s.mu.Lock()
		defer s.mu.Unlock()
		if err := json.NewDecoder(r.Body).Decode(&s.faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	case "/test/leave":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.draining = true
		s.reportAt = time.Time{}
	case "/test/crash":
		// The response must be complete before the crash closes the connection.
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusOK)
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		s.crash()
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.reportAt) > s.opts.ReportLag {
		s.report = plank.EngineReport{Boot: plank.BootID(strconv.Itoa(s.boot)), Leaving: s.draining, Running: len(s.rows) + len(s.waiting)}
		s.report.Serving = []plank.Model{}
		for m, n := range s.resident {
			s.report.Resident = append(s.report.Resident, m)
			if n > 0 {
				s.report.Serving = append(s.report.Serving, m)
			}
		}
		s.reportAt = time.Now()
	}
	reply(w, s.report)
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var req openai.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m, _ := plank.ParseModel(req.Model)
	prompt := req.PromptText()
	if s.opts.CrashOn != "" && strings.Contains(prompt, s.opts.CrashOn) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	total := req.MaxTokens
	if total <= 0 {
		total = s.opts.DefaultTokens
	}
	offset, _ := strconv.Atoi(r.Header.Get(openai.HeaderResumeOffset))
	row := &row{model: m, prompt: prompt, next: offset, total: total, out: make(chan int, total+1)}
	if !s.enqueue(w, r, row) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher, _ := w.(http.Flusher)
	defer s.finish(row)
	chat := r.URL.Path == "/v1/chat/completions"
	s.mu.Lock()
	wrong, crossed, slow := takeFault(&s.faults.WrongModel), takeFault(&s.faults.Crossed), takeFault(&s.faults.SlowEnds)
	s.mu.Unlock()
	if slow {
		defer time.Sleep(slowEndDelay)
	}
	answerModel := m
	if wrong {
		answerModel.Adapter += "-other"
	}
	for {
		select {
		case i, more := <-row.out:
			if !more {
				return
			}
			chunk := openai.TokenChunk(r.Header.Get(openai.HeaderRequestID), answerModel, chat, TokenText(answerModel, prompt, i), i == total-1)
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, chunk)
			if crossed {
				fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i/2, chunk)
			}
			if i == total-1 {
				fmt.Fprint(w, "data: [DONE]\n\n")
			}
			flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// takeFault decrements a fault's counter and reports whether it was above zero.
func takeFault(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// crash discards all state except the counts, ends all requests and calls OnCrash.
func (s *Server) crash() {
	s.mu.Lock()
	s.boot++
	s.stats.Crashes++
	for _, r := range s.rows {
		r.ended = true
	}
	for _, r := range s.waiting {
		r.ended = true
	}
	s.rows, s.waiting = nil, nil
	s.resident, s.loading = make(map[plank.Model]int), make(map[plank.Model]bool)
	s.prefixes = make(map[uint64]bool)
	s.highestTerm = 0
	s.reportAt = time.Time{}
	s.mu.Unlock()
	if s.OnCrash != nil {
		s.OnCrash()
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Serve serves the engine on the listener and, after each simulated crash, again on
// the same address, until the engine is closed.
func Serve(s *Server, ln net.Listener) error {
	addr := ln.Addr().String()
	for {
		srv := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
		s.OnCrash = func() { go func() { _ = srv.Close() }() }
		_ = srv.Serve(ln)
		select {
		case <-s.done:
			return nil
		case <-time.After(s.opts.RestartAfter):
		}
		var err error
		if ln, err = net.Listen("tcp", addr); err != nil {
			return err
		}
	}
}

// Stats returns the engine's counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}
