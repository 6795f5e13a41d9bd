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

// A gate is a reader that stalls until it is opened.
type gate struct {
	mu   sync.Mutex
	buf  bytes.Buffer
	open chan struct{}
	err  error
}

// Write implements io.Writer.
func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err != nil {
		return 0, g.err
	}
	return g.buf.Write(p)
}

func (g *gate) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.String()
}

// A stalled reader of the log delays nobody; what it missed is counted and told.
func TestStalledReader(t *testing.T) {
	g := &gate{open: make(chan struct{})}
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
		return poll.Continue("the loss is not told yet")
	})
	written := strings.Count(g.String(), "line ")
	assert.Equal(t, written+int(w.Dropped()), lines)
}

// A closed reader fails no caller.
func TestClosedReader(t *testing.T) {
	g := &gate{open: make(chan struct{}), err: errors.New("closed pipe")}
	close(g.open)
	w := logs.NewWriter(g)
	for range 100 {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.NilError(t, w.Close())
	assert.Assert(t, w.Dropped() > 0)
}

// Close writes what waits.
func TestCloseFlushes(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	w := logs.NewWriter(g)
	_, err := w.Write([]byte("last words\n"))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	assert.Equal(t, g.String(), "last words\n")
}
