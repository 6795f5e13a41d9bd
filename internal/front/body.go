package front

import (
	"context"
	"errors"
	"io"
	"sync/atomic"

	"knapweedplank.org/plank/internal/budget"
)

// Limits, in bytes, of answers that are read whole before they are forwarded.
const (
	// maxBodyBytes bounds one answer.
	maxBodyBytes = 8 << 20
	// maxTotalBodyBytes bounds the buffers of all answers being read, but for small ones. It is
	// less than large answers get on the smallest VMs, of 144 MB: a call that waits for memory
	// keeps a connection of its endpoint from others.
	maxTotalBodyBytes = 20 << 20
	// smallBytes is the size of a buffer up to which an answer, or an event, is read whatever
	// other answers hold. The users' plain answers have 800 bytes, and their events fewer.
	smallBytes = 16 << 10
	// initialBufferBytes is the size that a buffer starts with.
	initialBufferBytes = 4 << 10
)

var (
	errBodyTooLong   = errors.New("answer longer than 8 MiB")
	errTotalTooLarge = errors.New("answers being read exceed 20 MiB in total")
)

// isOutOfMemory reports whether an attempt failed for want of memory here, which says nothing of
// its endpoint.
func isOutOfMemory(err error) bool {
	return errors.Is(err, budget.ErrNoMemory) || errors.Is(err, errTotalTooLarge)
}

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
			// One byte more than the limit, so that a longer answer is seen.
			size := min(max(initialBufferBytes, 2*old), maxBodyBytes+1)
			if err := waitForBuffer(ctx, held, size, size); err != nil {
				held.Shrink(old)
				return nil, err
			}
			allocated += size
			if b.allocated.Add(size) > maxTotalBodyBytes && size > smallBytes {
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

// waitForBuffer charges n bytes to held once there is room for them, for a buffer that has size
// bytes then.
func waitForBuffer(ctx context.Context, held *budget.Conn, n, size int64) error {
	if size <= smallBytes {
		return held.Wait(ctx, n)
	}
	return held.WaitLarge(ctx, n)
}
