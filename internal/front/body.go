package front

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"knapweedplank.org/plank/internal/budget"
	"knapweedplank.org/plank/internal/pause"
)

// Limits, in bytes, of answers that are read whole before they are forwarded.
const (
	// maxBodyBytes bounds one answer.
	maxBodyBytes = 8 << 20
	// maxTotalBodyBytes bounds the buffers of all answers being read. The smallest
	// VMs in use have 184 MB of memory.
	maxTotalBodyBytes = 32 << 20
	// initialBufferBytes is the size that a buffer starts with.
	initialBufferBytes = 4 << 10
)

var (
	errBodyTooLong   = errors.New("answer longer than 8 MiB")
	errTotalTooLarge = errors.New("answers being read exceed 32 MiB in total")
	errNoMemory      = errors.New("callers hold too much of the VM's memory for the answer")
)

// A bodyReader reads whole answers with a bound on their total memory, since a
// faulty endpoint may send without end. It is safe for concurrent use.
type bodyReader struct {
	allocated atomic.Int64
}

// read returns the whole body. If r fails, it returns what was read and the error. The memory
// is charged to held until its request ends, as the caller may not read the answer; read
// waits for it until ctx ends, because the call may have run.
func (b *bodyReader) read(ctx context.Context, r io.Reader, held *budget.Conn) ([]byte, error) {
	var allocated int64
	defer func() { b.allocated.Add(-allocated) }()
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			old := int64(cap(buf))
			size := max(initialBufferBytes, 2*old)
			if size > 2*maxBodyBytes {
				held.Shrink(old)
				return nil, errBodyTooLong
			}
			if !waitForMemory(ctx, held, size) {
				held.Shrink(old)
				return nil, errNoMemory
			}
			allocated += size
			if b.allocated.Add(size) > maxTotalBodyBytes {
				held.Shrink(old + size)
				return nil, errTotalTooLarge
			}
			buf = append(make([]byte, 0, size), buf...)
			held.Shrink(old)
			allocated -= old
			b.allocated.Add(-old)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case len(buf) > maxBodyBytes:
			held.Shrink(int64(cap(buf)))
			return nil, errBodyTooLong
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return buf, err
		}
	}
}

// memoryPoll is the interval at which a call whose answer finds no memory tries again.
const memoryPoll = 20 * time.Millisecond

// waitForMemory charges n bytes to held once there is room. It reports false if ctx ends
// before.
func waitForMemory(ctx context.Context, held *budget.Conn, n int64) bool {
	for !held.Grow(n) {
		if !pause.For(ctx, memoryPoll) {
			return false
		}
	}
	return true
}
