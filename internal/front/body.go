package front

import (
	"errors"
	"io"
	"sync/atomic"
)

// The limits of answers that are read whole before they are passed on, in bytes.
const (
	// maxBody bounds one answer.
	maxBody = 8 << 20
	// maxBodies bounds what is read of all at the same time. The smallest VMs of
	// the users have 184 MB.
	maxBodies = 32 << 20
	// bodyStep is the first size of a buffer.
	bodyStep = 4 << 10
)

var (
	errLongBody  = errors.New("the answer is too long")
	errManyBytes = errors.New("too many bytes of answers are being read")
)

// Bodies read answers whole, with a bound on the memory of all together: an
// endpoint in trouble may send without end. They are safe for concurrent use.
type bodies struct {
	held atomic.Int64
}

// read returns the whole body, or an error.
func (b *bodies) read(r io.Reader) ([]byte, error) {
	var held int64
	defer func() { b.held.Add(-held) }()
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			size := int64(max(bodyStep, 2*cap(buf)))
			if size > 2*maxBody {
				return nil, errLongBody
			}
			held += size
			if b.held.Add(size) > maxBodies {
				return nil, errManyBytes
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case len(buf) > maxBody:
			return nil, errLongBody
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return buf, err
		}
	}
}
