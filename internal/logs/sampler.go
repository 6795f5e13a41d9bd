package logs

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// The bound on lines of one kind. There are about twenty kinds, of which a call
// writes up to six lines of three.
const (
	linesPerSecond = 200
	lineBurst      = 400
)

// A Sampler bounds the lines of each kind, which is their message. Lines beyond
// the bound are left out before they are formatted, and counted in the field
// left_out of the next line of the kind. It is safe for concurrent use.
type Sampler struct {
	next logrus.Formatter

	mu    sync.Mutex
	kinds map[string]*kind
}

type kind struct {
	limit   *rate.Limiter
	leftOut int
}

var _ logrus.Formatter = (*Sampler)(nil)

// NewSampler returns a sampler before a formatter.
func NewSampler(next logrus.Formatter) *Sampler {
	return &Sampler{next: next, kinds: make(map[string]*kind)}
}

// Format implements logrus.Formatter.
func (s *Sampler) Format(e *logrus.Entry) ([]byte, error) {
	leftOut, ok := s.take(e.Message, e.Time)
	if !ok {
		return nil, nil
	}
	if leftOut > 0 {
		with := *e
		with.Data = make(logrus.Fields, len(e.Data)+1)
		for name, value := range e.Data {
			with.Data[name] = value
		}
		with.Data["left_out"] = leftOut
		e = &with
	}
	return s.next.Format(e)
}

// take asks for room for a line, and returns how many were left out before it.
func (s *Sampler) take(message string, now time.Time) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[message]
	if k == nil {
		k = &kind{limit: rate.NewLimiter(linesPerSecond, lineBurst)}
		s.kinds[message] = k
	}
	if !k.limit.AllowN(now, 1) {
		k.leftOut++
		return 0, false
	}
	n := k.leftOut
	k.leftOut = 0
	return n, true
}
