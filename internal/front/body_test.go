package front

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// An endless reader never ends.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(p []byte) (int, error) { return len(p), nil }

var errCut = errors.New("cut")

// A cutReader fails.
type cutReader struct{}

// Read implements io.Reader.
func (cutReader) Read([]byte) (int, error) { return 0, errCut }

// An answer longer than the bound was cut and passed on as if it were whole.
func TestBodies(t *testing.T) {
	for _, test := range []struct {
		name string
		r    io.Reader
		held int64 // by others
		size int
		err  error
	}{
		{"empty", bytes.NewReader(nil), 0, 0, nil},
		{"small", bytes.NewReader(make([]byte, 800)), 0, 800, nil},
		{"the longest", bytes.NewReader(make([]byte, maxBody)), 0, maxBody, nil},
		{"too long", bytes.NewReader(make([]byte, maxBody+1)), 0, 0, errLongBody},
		{"no end", endless{}, 0, 0, errLongBody},
		{"no end, beside many others", endless{}, maxBodies - maxBody, 0, errManyBytes},
		{"cut", io.MultiReader(bytes.NewReader(make([]byte, 9)), cutReader{}), 0, 9, errCut},
	} {
		t.Run(test.name, func(t *testing.T) {
			var b bodies
			b.held.Store(test.held)
			data, err := b.read(test.r)
			assert.Equal(t, err, test.err)
			assert.Equal(t, len(data), test.size)
			assert.Equal(t, b.held.Load(), test.held)
		})
	}
}
