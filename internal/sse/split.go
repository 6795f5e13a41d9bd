// Package sse defines how streams of server-sent events are cut into events.
// An endpoint may break off within an event, so only whole events are passed on.
package sse

import (
	"bytes"
	"io"
)

// maxEvent bounds one event, in bytes. Events hold a few tokens each; an engine in
// trouble may send one without end on all of its streams.
const maxEvent = 256 << 10

// An Event is one event, byte for byte.
type Event struct {
	Data []byte // with the empty line that ends it; valid until the next call
	ID   string // empty if the event names none
}

// A Splitter cuts a stream into events.
type Splitter struct {
	r    io.Reader
	buf  []byte // read and not yet returned
	skip int    // bytes of buf that were returned by the last call
	err  error
}

// New returns a splitter of r.
func New(r io.Reader) *Splitter { return &Splitter{r: r, buf: make([]byte, 0, 1024)} }

// Next returns the next event. At the end of a stream that ends with a whole
// event it returns io.EOF; a part of an event gives io.ErrUnexpectedEOF.
func (s *Splitter) Next() (Event, error) {
	s.buf = s.buf[:copy(s.buf, s.buf[s.skip:])]
	s.skip = 0
	for {
		if n := eventEnd(s.buf); n > 0 {
			s.skip = n
			return Event{Data: s.buf[:n], ID: eventID(s.buf[:n])}, nil
		}
		if s.err != nil {
			if s.err == io.EOF && len(s.buf) > 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, s.err
		}
		if len(s.buf) > maxEvent {
			return Event{}, io.ErrShortBuffer
		}
		s.fill()
	}
}

func (s *Splitter) fill() {
	if len(s.buf) == cap(s.buf) {
		s.buf = append(s.buf, 0)[:len(s.buf)]
	}
	n, err := s.r.Read(s.buf[len(s.buf):cap(s.buf)])
	s.buf = s.buf[:len(s.buf)+n]
	s.err = err
}

// eventEnd returns the length of the first event in data, or 0.
func eventEnd(data []byte) int {
	if i := bytes.Index(data, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	if i := bytes.Index(data, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}
	return 0
}

// eventID returns the value of the event's id field.
func eventID(data []byte) string {
	for line := range bytes.Lines(data) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
