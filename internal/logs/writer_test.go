package logs_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"knapweedplank.org/plank/internal/logs"
)

// A gatedWriter blocks every write until open is closed.
type gatedWriter struct {
	mu   sync.Mutex
	buf  bytes.Buffer
	open chan struct{}
	err  error
}

// Write implements io.Writer.
func (g *gatedWriter) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err != nil {
		return 0, g.err
	}
	return g.buf.Write(p)
}

func (g *gatedWriter) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.String()
}

// TestStalledReader checks that a stalled reader of the log does not delay Write,
// and that the dropped lines are counted and reported.
func TestStalledReader(t *testing.T) {
	g := &gatedWriter{open: make(chan struct{})}
	w := logs.NewWriter(g)
	const lines = 20_000
	start := time.Now()
	for n := range lines {
		fmt.Fprintf(w, "line %d\n", n)
	}
	assert.Assert(t, time.Since(start) < 5*time.Second)
	assert.Assert(t, w.Dropped() > 0)
	close(g.open)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if strings.Contains(g.String(), "lines dropped") {
			return poll.Success()
		}
		return poll.Continue("the dropped lines are not reported yet")
	})
	written := strings.Count(g.String(), "line ")
	assert.Equal(t, written+int(w.Dropped()), lines)
}

// TestClosedReader checks that Write returns no error if the reader is closed.
func TestClosedReader(t *testing.T) {
	g := &gatedWriter{open: make(chan struct{}), err: errors.New("closed pipe")}
	close(g.open)
	w := logs.NewWriter(g)
	for range 100 {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.NilError(t, w.Close())
	assert.Assert(t, w.Dropped() > 0)
}

// TestCloseFlushes checks that Close writes the buffered lines.
func TestCloseFlushes(t *testing.T) {
	g := &gatedWriter{open: make(chan struct{})}
	close(g.open)
	w := logs.NewWriter(g)
	_, err := w.Write([]byte("last line\n"))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	assert.Equal(t, g.String(), "last line\n")
}
