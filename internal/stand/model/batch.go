package model

import (
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/stand/plain"
)

// This file defines continuous batching.

// enqueue adds the row to the queue for the batch and reports whether it did. If the
// model is not resident, it responds with status 404 instead.
func (s *Server) enqueue(w http.ResponseWriter, r *http.Request, row *row) bool {
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

// finish marks the row as ended, whether complete or cancelled, and releases its
// model.
func (s *Server) finish(r *row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.ended = true
	if _, ok := s.resident[r.model]; ok && s.resident[r.model] > 0 {
		s.resident[r.model]--
	}
	if r.next < r.total {
		s.stats.Cancelled++
		return
	}
	s.stats.Completed++
}

// step runs one decoding step for all rows of the batch, or waits for a row if there
// are none. It returns false once the engine is closed.
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
		if r.ended {
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

// fillBatch moves waiting rows into the batch and returns the number of prompt
// tokens to prefill, at an estimated 4 bytes per token. A prompt whose first 256
// bytes were processed before for the same model needs none. s.mu must be held.
func (s *Server) fillBatch() int {
	prefill := 0
	for len(s.rows) < s.opts.Batch && len(s.waiting) > 0 {
		r := s.waiting[0]
		s.waiting = s.waiting[1:]
		if r.ended {
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
