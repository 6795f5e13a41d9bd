package front

import (
	"errors"
	"io"
	"sync/atomic"
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
)

// A bodyReader reads whole answers with a bound on their total memory, since a
// faulty endpoint may send without end. It is safe for concurrent use.
type bodyReader struct {
	allocated atomic.Int64
}

// read returns the whole body. If r fails, it returns what was read and the error.
func (b *bodyReader) read(r io.Reader) ([]byte, error) {
	var allocated int64
	defer func() { b.allocated.Add(-allocated) }()
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			size := int64(max(initialBufferBytes, 2*cap(buf)))
			if size > 2*maxBodyBytes {
				return nil, errBodyTooLong
			}
			allocated += size
			if b.allocated.Add(size) > maxTotalBodyBytes {
				return nil, errTotalTooLarge
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case len(buf) > maxBodyBytes:
			return nil, errBodyTooLong
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return buf, err
		}
	}
}
