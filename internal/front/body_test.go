package front

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// An endless reader never reaches EOF.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(p []byte) (int, error) { return len(p), nil }

var errCut = errors.New("cut")

// A cutReader always fails with errCut.
type cutReader struct{}

// Read implements io.Reader.
func (cutReader) Read([]byte) (int, error) { return 0, errCut }

// An answer above the limit must give an error. It used to be truncated and
// forwarded as if it were complete.
func TestBodyReader(t *testing.T) {
	for _, test := range []struct {
		name string
		r    io.Reader
		held int64 // by other reads
		size int
		err  error
	}{
		{"empty", bytes.NewReader(nil), 0, 0, nil},
		{"small", bytes.NewReader(make([]byte, 800)), 0, 800, nil},
		{"at the limit", bytes.NewReader(make([]byte, maxBodyBytes)), 0, maxBodyBytes, nil},
		{"above the limit", bytes.NewReader(make([]byte, maxBodyBytes+1)), 0, 0, errBodyTooLong},
		{"without end", endless{}, 0, 0, errBodyTooLong},
		{"without end, total limit reached", endless{}, maxTotalBodyBytes - maxBodyBytes, 0, errTotalTooLarge},
		{"small, total limit exceeded by others", bytes.NewReader(make([]byte, 800)), maxTotalBodyBytes + 1, 800, nil},
		{"cut", io.MultiReader(bytes.NewReader(make([]byte, 9)), cutReader{}), 0, 9, errCut},
	} {
		t.Run(test.name, func(t *testing.T) {
			var b bodyReader
			b.allocated.Store(test.held)
			data, err := b.read(t.Context(), test.r, nil)
			assert.Equal(t, err, test.err)
			assert.Equal(t, len(data), test.size)
			assert.Equal(t, b.allocated.Load(), test.held)
		})
	}
}
