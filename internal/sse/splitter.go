// Package sse splits streams of server-sent events into events and checks their
// order. An endpoint's stream may end within an event, so only complete events
// are returned.
package sse

import (
	"bytes"
	"io"
)

// maxEventBytes bounds one event. An event holds a few tokens; without the bound,
// a faulty engine that sends endless events on all of its streams would exhaust
// the memory.
const maxEventBytes = 256 << 10

// An Event is one event, with its bytes unchanged.
type Event struct {
	Data []byte // including the empty line that ends it; valid until the next call of Next
	ID   string // empty if the event has no id field
}

// A Splitter splits a stream into events.
type Splitter struct {
	r        io.Reader
	grow     func(n int64) error
	buf      []byte // read and not yet returned
	consumed int    // bytes of buf that were returned by the last call
	err      error
}

// initialBytes is the size that the buffer of a splitter starts with.
const initialBytes = 1 << 10

// New returns a splitter that reads from r. It calls grow before its buffer grows by n bytes, and
// ends the stream with the error that grow returns.
func New(r io.Reader, grow func(n int64) error) *Splitter {
	return &Splitter{r: r, grow: grow, buf: make([]byte, 0, initialBytes)}
}

// Next returns the next event. At the end of the stream it returns io.EOF, or
// io.ErrUnexpectedEOF if the stream ends within an event. It returns
// io.ErrShortBuffer if it has read more than maxEventBytes of an event and not yet
// its end.
func (s *Splitter) Next() (Event, error) {
	s.buf = s.buf[:copy(s.buf, s.buf[s.consumed:])]
	s.consumed = 0
	for {
		if n := eventEnd(s.buf); n > 0 {
			s.consumed = n
			return Event{Data: s.buf[:n], ID: eventID(s.buf[:n])}, nil
		}
		if s.err != nil {
			if s.err == io.EOF && len(s.buf) > 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, s.err
		}
		if len(s.buf) > maxEventBytes {
			return Event{}, io.ErrShortBuffer
		}
		s.read()
	}
}

func (s *Splitter) read() {
	if len(s.buf) == cap(s.buf) {
		if s.err = s.grow(int64(cap(s.buf))); s.err != nil {
			return
		}
		s.buf = append(make([]byte, 0, 2*cap(s.buf)), s.buf...)
	}
	n, err := s.r.Read(s.buf[len(s.buf):cap(s.buf)])
	s.buf = s.buf[:len(s.buf)+n]
	s.err = err
}

// eventEnd returns the length of the first event in data, or 0 if it is
// incomplete.
func eventEnd(data []byte) int {
	if i := bytes.Index(data, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	if i := bytes.Index(data, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}
	return 0
}

// eventID returns the value of the event's id field, or "" if it has none.
func eventID(data []byte) string {
	for line := range bytes.Lines(data) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
