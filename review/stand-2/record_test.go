//go:build review

package stand

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// A record holds what was sent, answered and run, by the time since its start.
type record struct {
	start time.Time

	mu    sync.Mutex
	lines []string
}

func newRecord() *record { return &record{start: time.Now()} }

// now returns the time since the start.
func (r *record) now() time.Duration { return time.Since(r.start) }

// note adds a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f  ", r.now().Seconds())+fmt.Sprintf(format, args...))
}

// last returns the last line.
func (r *record) last() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines[len(r.lines)-1]
}

// write writes all lines to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
