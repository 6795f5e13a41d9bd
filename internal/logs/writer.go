package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// bufferedLines bounds the number of lines that are buffered for a slow reader.
const bufferedLines = 4096

// flushTime bounds how long Close waits for a stalled reader.
const flushTime = 200 * time.Millisecond

// A Writer writes lines in the background and never blocks its callers. Lines are
// dropped while the buffer is full. Once it has room again, the number of dropped
// lines is written as a line of its own.
type Writer struct {
	out          io.Writer
	lines        chan []byte
	unreported   atomic.Uint64 // lines dropped and not yet reported
	totalDropped atomic.Uint64 // see Dropped
	closeOnce    sync.Once
	done         chan struct{}
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
		if n := w.unreported.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, `{"level":"warning","msg":"logs: lines dropped","count":%d}`+"\n", n)
		}
		if _, err := w.out.Write(batch); err != nil {
			// The error cannot be logged; the lost batch is counted in the
			// metric Logs.Dropped.
			w.totalDropped.Add(1)
		}
	}
}

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil // a line that a Sampler left out
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.unreported.Add(1)
		w.totalDropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start. A batch of lines
// whose write failed counts as one.
func (w *Writer) Dropped() uint64 { return w.totalDropped.Load() }

// Close writes the buffered lines, but waits at most flushTime for a stalled
// reader. Write must not be called after Close.
func (w *Writer) Close() error {
	w.closeOnce.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(flushTime):
	}
	return nil
}
