package model

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/engine/openai"
)

// This file defines the orders to load and unload adapters.

// rejectStale reports whether it rejected an order because its term is lower than
// that of an earlier order. s.mu must be held.
func (s *Server) rejectStale(w http.ResponseWriter, r *http.Request) bool {
	term, err := strconv.ParseUint(r.Header.Get(openai.HeaderTerm), 10, 64)
	if err != nil || !s.opts.Fencing {
		return false
	}
	if plank.Term(term) < s.highestTerm {
		s.stats.StaleOrders++
		http.Error(w, "stale fencing number", http.StatusConflict)
		return true
	}
	s.highestTerm = plank.Term(term)
	return false
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	m, ok := s.decodeOrder(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	if s.rejectStale(w, r) {
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
	slow, fail := takeFault(&s.faults.SlowLoads), takeFault(&s.faults.FailLoads)
	s.mu.Unlock()
	if slow {
		time.Sleep(slowLoadDelay)
	}
	err := s.fetchWeights(m)
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

// fetchWeights requests the weights of m from the weight store.
func (s *Server) fetchWeights(m plank.Model) error {
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
	m, ok := s.decodeOrder(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejectStale(w, r) {
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

// decodeOrder decodes an order and returns its model. If the order is invalid, it
// writes an error response and returns false.
func (s *Server) decodeOrder(w http.ResponseWriter, r *http.Request) (plank.Model, bool) {
	var order openai.AdapterRequest
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
