package budget_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank/internal/budget"
)

// Guards against heads whose end is missed, or seen too early, when they arrive in pieces:
// bytes of bodies would then count as heads, or heads would not be bounded.
func TestHeadCountsItsBytesAndLines(t *testing.T) {
	for _, test := range []struct {
		text         string
		bytes, lines int
		isWhole      bool
	}{
		{"GET / HTTP/1.1\r\nHost: x\r\n\r\nbody\n\n\n", 27, 3, true},
		{"GET / HTTP/1.1\nHost: x\n\nbody", 24, 3, true},
		{"\r\n\r\n\r\nGET / HTTP/1.1\r\n\r\nbody", 24, 5, true},
		{"GET / HTTP/1.1\r\nX: \r\r\nY: z\r\n", 28, 3, false},
		{"\r\n\r\n\n\n", 6, 4, false},
		{"\r\r\r", 3, 0, false},
	} {
		for size := 1; size <= len(test.text); size++ {
			var h budget.Head
			lines := 0
			for rest := test.text; rest != ""; {
				piece := rest[:min(size, len(rest))]
				rest = rest[len(piece):]
				_, n := h.Add([]byte(piece))
				lines += n
			}
			assert.Equal(t, h.Bytes, test.bytes, "%q in pieces of %d", test.text, size)
			assert.Equal(t, lines, test.lines, "%q in pieces of %d", test.text, size)
			assert.Equal(t, h.IsWhole, test.isWhole, "%q in pieces of %d", test.text, size)
		}
	}
}
