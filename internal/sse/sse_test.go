package sse_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank/internal/sse"
)

func TestSplitter(t *testing.T) {
	for _, test := range []struct {
		name, in string
		want     []string
		ids      []string
		err      error
	}{
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, []string{"1", "2"}, io.EOF},
		{"truncated within an event", "id: 1\ndata: a\n\nid: 2\nda", []string{"id: 1\ndata: a\n\n"}, []string{"1"}, io.ErrUnexpectedEOF},
		{"an extra line first", "knapweedplank: 3\nid: 7\ndata: a\n\n", []string{"knapweedplank: 3\nid: 7\ndata: a\n\n"}, []string{"7"}, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", []string{"id: 1\r\ndata: a\r\n\r\n"}, []string{"1"}, io.EOF},
		{"no id", "data: a\n\n", []string{"data: a\n\n"}, []string{""}, io.EOF},
		{"empty", "", nil, nil, io.EOF},
	} {
		for name, r := range map[string]io.Reader{"whole": strings.NewReader(test.in), "byte by byte": iotest.OneByteReader(strings.NewReader(test.in))} {
			t.Run(test.name+" "+name, func(t *testing.T) {
				s := sse.New(r, func(int64) error { return nil })
				var got, ids []string
				for {
					e, err := s.Next()
					if err != nil {
						assert.Equal(t, err, test.err)
						break
					}
					got, ids = append(got, string(e.Data)), append(ids, e.ID)
				}
				assert.DeepEqual(t, got, test.want)
				assert.DeepEqual(t, ids, test.ids)
			})
		}
	}
}

// Guards against events that grow without being counted: streams on many endpoints filled the
// memory with events that did not end.
func TestSplitterCountsItsBuffer(t *testing.T) {
	errFull := errors.New("full")
	counted := int64(0)
	s := sse.New(strings.NewReader("id: 1\n\n"+strings.Repeat("x", 1<<20)), func(n int64) error {
		if counted+n > 64<<10 {
			return errFull
		}
		counted += n
		return nil
	})
	e, err := s.Next()
	assert.NilError(t, err)
	assert.Equal(t, e.ID, "1")
	_, err = s.Next()
	assert.Equal(t, err, errFull)
	assert.Assert(t, counted > 32<<10, "%d bytes", counted)
}

func TestSequenceChecker(t *testing.T) {
	for _, test := range []struct {
		name, last string
		ids        []string
		want       []sse.Verdict
	}{
		{"in order", "", []string{"1", "2", "3"}, []sse.Verdict{sse.Pass, sse.Pass, sse.Pass}},
		{"twice", "", []string{"1", "1", "2"}, []sse.Verdict{sse.Pass, sse.Duplicate, sse.Pass}},
		{"missing", "", []string{"1", "2", "4"}, []sse.Verdict{sse.Pass, sse.Pass, sse.Gap}},
		{"the second missing", "", []string{"1", "3"}, []sse.Verdict{sse.Pass, sse.Gap}},
		{"resumed with a duplicate", "5", []string{"5", "6", "7"}, []sse.Verdict{sse.Duplicate, sse.Pass, sse.Pass}},
		{"ids in steps", "", []string{"10", "20", "30"}, []sse.Verdict{sse.Pass, sse.Pass, sse.Pass}},
		{"no numbers", "", []string{"a", "a", ""}, []sse.Verdict{sse.Pass, sse.Pass, sse.Pass}},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := sse.NewSequenceChecker(test.last)
			for i, id := range test.ids {
				assert.Equal(t, o.Check(id), test.want[i])
			}
		})
	}
}
