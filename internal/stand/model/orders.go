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

// This file defines the engine's orders: loads and unloads.

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
