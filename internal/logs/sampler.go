package logs

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// The limit on lines with the same message. There are about twenty messages. One
// call logs up to six lines, with three different messages.
const (
	linesPerSecond = 200
	lineBurst      = 400 // lines
)

// A Sampler limits the rate of lines with the same message. Lines beyond the
// limit are left out before they are formatted. The next line with the message
// has their number in the field left_out. A Sampler is safe for concurrent use.
type Sampler struct {
	next logrus.Formatter

	mu     sync.Mutex
	limits map[string]*messageLimit
}

// A messageLimit is the limit of one message.
type messageLimit struct {
	limiter *rate.Limiter
	leftOut int // lines left out since the last one that was written
}

var _ logrus.Formatter = (*Sampler)(nil)

// NewSampler returns a sampler that passes lines within the limit to next.
func NewSampler(next logrus.Formatter) *Sampler {
	return &Sampler{next: next, limits: make(map[string]*messageLimit)}
}

// Format implements logrus.Formatter.
func (s *Sampler) Format(e *logrus.Entry) ([]byte, error) {
	leftOut, ok := s.allow(e.Message, e.Time)
	if !ok {
		return nil, nil
	}
	if leftOut > 0 {
		withCount := *e
		withCount.Data = make(logrus.Fields, len(e.Data)+1)
		for name, value := range e.Data {
			withCount.Data[name] = value
		}
		withCount.Data["left_out"] = leftOut
		e = &withCount
	}
	return s.next.Format(e)
}

// allow reports whether a line with the message is within the limit, and returns
// the number of lines left out before it.
func (s *Sampler) allow(message string, now time.Time) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.limits[message]
	if l == nil {
		l = &messageLimit{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
		s.limits[message] = l
	}
	if !l.limiter.AllowN(now, 1) {
		l.leftOut++
		return 0, false
	}
	n := l.leftOut
	l.leftOut = 0
	return n, true
}
