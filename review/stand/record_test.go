//go:build review

package stand

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// A record is the file that says what was sent, answered and run, with the time since the
// start of the case. It is safe for concurrent use.
type record struct {
	begin time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begin: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// logf writes one line.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
