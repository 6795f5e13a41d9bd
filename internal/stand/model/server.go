package model

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/engine/openai"
	"knapweedplank.org/plank/internal/stand/plain"
)

// A Server is one model engine.
type Server struct {
	opts Options
	// Crashed is called when a request crashes the engine.
	Crashed func()

	mu       sync.Mutex
	boot     int
	resident map[plank.Model]int // executing requests by resident model
	loading  map[plank.Model]bool
	terms    plank.Term // the highest fencing number seen
	rows     []*row     // executing
	waiting  []*row     // for a place in the batch
	prefixes map[uint64]bool
	leaving  bool
	faults   Faults
	stats    Stats
	report   plank.EngineReport // as of reportAt
	reportAt time.Time
	wake     chan struct{}
	done     chan struct{}
}

// A row is one executing request.
type row struct {
	model  plank.Model
	prompt string
	next   int
	total  int
	out    chan int // indexes of generated tokens, closed at the end
	gone   bool
}

var _ http.Handler = (*Server)(nil)

// New returns a running engine without adapters.
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

// ServeHTTP serves the published engine API and the controls below /test/.
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
		s.leaving = true
		s.reportAt = time.Time{}
	case "/test/crash":
		s.crash()
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.reportAt) > s.opts.ReportLag {
		s.report = plank.EngineReport{Boot: plank.BootID(strconv.Itoa(s.boot)), Leaving: s.leaving, Running: len(s.rows) + len(s.waiting)}
		for m := range s.resident {
			s.report.Resident = append(s.report.Resident, m)
		}
		s.reportAt = time.Now()
	}
	reply(w, s.report)
}

// staleOrder checks the fencing number of an order. The lock is held.
func (s *Server) staleOrder(w http.ResponseWriter, r *http.Request) bool {
	term, err := strconv.ParseUint(r.Header.Get(openai.HeaderTerm), 10, 64)
	if err != nil || !s.opts.Fencing {
		return false
	}
	if plank.Term(term) < s.terms {
		s.stats.StaleOrders++
		http.Error(w, "stale fencing number", http.StatusConflict)
		return true
	}
	s.terms = plank.Term(term)
	return false
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	m, ok := s.order(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	if s.staleOrder(w, r) {
		s.mu.Unlock()
		return
	}
	if _, ok := s.resident[m]; ok {
		s.mu.Unlock()
		return
	}
	if len(s.resident)+len(s.loading) >= s.opts.Slots {
		s.mu.Unlock()
		http.Error(w, "no free slot", http.StatusBadRequest)
		return
	}
	s.loading[m] = true
	boot := s.boot
	slow, fail := take(&s.faults.SlowLoads), take(&s.faults.FailLoads)
	s.mu.Unlock()
	if slow {
		time.Sleep(slowLoad)
	}
	err := s.fetch(m)
	if fail {
		err = errors.New("load failed on demand")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if boot != s.boot {
		panic(http.ErrAbortHandler)
	}
	delete(s.loading, m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.resident[m] = 0
	s.stats.Loads++
}

// fetch gets the weights of m.
func (s *Server) fetch(m plank.Model) error {
	if s.opts.Weights == "" {
		return nil
	}
	resp, err := http.Get("http://" + s.opts.Weights + "/weights/" + m.String())
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store: status %d", resp.StatusCode)
	}
	return nil
}

func (s *Server) unload(w http.ResponseWriter, r *http.Request) {
	m, ok := s.order(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staleOrder(w, r) {
		return
	}
	if s.resident[m] > 0 {
		s.stats.InUseEvictions++
	}
	if _, ok := s.resident[m]; ok {
		s.stats.Unloads++
		delete(s.resident, m)
	}
}

// order reads the model that an order names.
func (s *Server) order(w http.ResponseWriter, r *http.Request) (plank.Model, bool) {
	var order openai.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return plank.Model{}, false
	}
	m, ok := plank.ParseModel(order.Name)
	if !ok {
		http.Error(w, "bad lora_name", http.StatusBadRequest)
	}
	return m, ok
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var req openai.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m, _ := plank.ParseModel(req.Model)
	prompt := req.Text()
	if s.opts.CrashOn != "" && strings.Contains(prompt, s.opts.CrashOn) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	total := req.MaxTokens
	if total <= 0 {
		total = s.opts.DefaultTokens
	}
	offset, _ := strconv.Atoi(r.Header.Get(openai.HeaderOffset))
	row := &row{model: m, prompt: prompt, next: offset, total: total, out: make(chan int, total+1)}
	if !s.admit(w, r, row) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher, _ := w.(http.Flusher)
	defer s.leave(row)
	chat := r.URL.Path == "/v1/chat/completions"
	s.mu.Lock()
	wrong, crossed := take(&s.faults.WrongModel), take(&s.faults.Crossed)
	s.mu.Unlock()
	named := m
	if wrong {
		named.Adapter += "-other"
	}
	for {
		select {
		case i, more := <-row.out:
			if !more {
				return
			}
			chunk := openai.TokenChunk(r.Header.Get(openai.HeaderRequest), named, chat, Word(named, prompt, i), i == total-1)
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

// take counts a fault down and reports whether it is due.
func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// admit queues the row for the batch; a model that is not resident is refused.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, row *row) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Header.Get("Authorization") != "" || strings.Contains(row.prompt, plain.KeyPrefix) {
		s.stats.Leaks++
	}
	if _, ok := s.resident[row.model]; !ok {
		http.Error(w, "model not loaded", http.StatusNotFound)
		return false
	}
	s.resident[row.model]++
	s.waiting = append(s.waiting, row)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// leave takes the row out when its request ended, whole or not.
func (s *Server) leave(r *row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.gone = true
	if _, ok := s.resident[r.model]; ok && s.resident[r.model] > 0 {
		s.resident[r.model]--
	}
	if r.next < r.total {
		s.stats.Cancelled++
		return
	}
	s.stats.Completed++
}

// step runs one decoding step over the batch. It returns false once closed.
func (s *Server) step() bool {
	s.mu.Lock()
	prefill := s.fillBatch()
	rows := s.rows
	adapters := make(map[plank.Model]bool)
	for _, r := range rows {
		adapters[r.model] = true
	}
	s.mu.Unlock()
	if len(rows) == 0 {
		select {
		case <-s.wake:
			return true
		case <-s.done:
			return false
		}
	}
	took := s.opts.Step + time.Duration(len(adapters)-1)*s.opts.AdapterStep + time.Duration(prefill)*s.opts.PrefillPer1K/1000
	time.Sleep(took)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Steps++
	s.stats.StepRows += len(rows)
	s.stats.StepAdapters += len(adapters)
	s.stats.BusyNanos += int64(took)
	var rest []*row
	for _, r := range s.rows {
		if r.gone {
			continue
		}
		r.out <- r.next
		r.next++
		s.stats.Tokens++
		if r.next >= r.total {
			close(r.out)
			continue
		}
		rest = append(rest, r)
	}
	s.rows = rest
	return true
}

// fillBatch moves waiting rows into the batch and returns the prompt tokens
// that have to be taken in. The lock is held.
func (s *Server) fillBatch() int {
	prefill := 0
	for len(s.rows) < s.opts.Batch && len(s.waiting) > 0 {
		r := s.waiting[0]
		s.waiting = s.waiting[1:]
		if r.gone {
			continue
		}
		if r.next >= r.total {
			close(r.out)
			continue
		}
		prefix := xxhash.Sum64String(r.model.String() + r.prompt[:min(len(r.prompt), 256)])
		if s.prefixes[prefix] {
			s.stats.PrefixHits++
		} else {
			prefill += len(r.prompt) / 4
		}
		if len(s.prefixes) > 1000 {
			clear(s.prefixes)
		}
		s.prefixes[prefix] = true
		s.rows = append(s.rows, r)
	}
	return prefill
}

// crash loses all state and tells the owner of the listener.
func (s *Server) crash() {
	s.mu.Lock()
	s.boot++
	s.stats.Crashes++
	for _, r := range s.rows {
		r.gone = true
	}
	for _, r := range s.waiting {
		r.gone = true
	}
	s.rows, s.waiting = nil, nil
	s.resident, s.loading = make(map[plank.Model]int), make(map[plank.Model]bool)
	s.prefixes = make(map[uint64]bool)
	s.terms = 0
	s.reportAt = time.Time{}
	s.mu.Unlock()
	if s.Crashed != nil {
		s.Crashed()
	}
}

// Word returns token number i of the answer to the prompt.
func Word(m plank.Model, prompt string, i int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", m, prompt, i))
	return fmt.Sprintf("%s-%04x ", m.Adapter, h&0xffff)
}

// Answer returns the whole answer to the prompt.
func Answer(m plank.Model, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Word(m, prompt, i))
	}
	return b.String()
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Serve runs the engine on the listener and brings it back there after each
// crash, until the engine is closed.
func Serve(s *Server, ln net.Listener) error {
	addr := ln.Addr().String()
	for {
		srv := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
		s.Crashed = func() { go func() { _ = srv.Close() }() }
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
