package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// bufferedLines bounds the lines that wait for a slow reader.
const bufferedLines = 4096

// flushTime bounds how long Close waits for a reader that stalled.
const flushTime = 200 * time.Millisecond

// A Writer passes lines on without ever blocking its callers: lines that find
// the buffer full are dropped and counted, and the count is told once there is
// room again.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	total   atomic.Uint64 // of lines dropped since the start
	once    sync.Once
	done    chan struct{}
}

var _ io.WriteCloser = (*Writer)(nil)

// NewWriter starts a writer of lines to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.run()
	}()
	return w
}

func (w *Writer) run() {
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for more := true; more; {
			select {
			case line, ok := <-w.lines:
				batch = append(batch, line...)
				more = ok
			default:
				more = false
			}
		}
		if n := w.dropped.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, `{"level":"warning","msg":"logs: lines dropped","count":%d}`+"\n", n)
		}
		if _, err := w.out.Write(batch); err != nil {
			// There is nowhere to tell; the count shows in the metrics.
			w.total.Add(1)
		}
	}
}

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil // a line that was left out
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
		w.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines or batches lost since the start.
func (w *Writer) Dropped() uint64 { return w.total.Load() }

// Close writes what waits, unless the reader has stalled. Nothing may be
// written afterwards.
func (w *Writer) Close() error {
	w.once.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(flushTime):
	}
	return nil
}
