// Package story defines how the logs of several daemons are put together to the
// story of one request.
package story

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// A Line is one log line about the request.
type Line struct {
	VM      string
	Time    time.Time
	Message string
	Fields  map[string]any
	order   int // within its daemon's logs
}

// A Timeline is what the logs say of a request.
type Timeline struct {
	Request string
	Lines   []Line
	// Unreadable counts the lines that could not be read.
	Unreadable int
}

// New returns an empty story of a request.
func New(request string) *Timeline { return &Timeline{Request: request} }

// Read takes the lines of one log. What stands before the first brace of a line
// is left out, as a collector may have put it there.
func (s *Timeline) Read(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 64<<10), maxLine)
	for n := 0; sc.Scan(); n++ {
		text := sc.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, s.Request) {
			continue
		}
		s.take(text[start:], n)
	}
	return sc.Err()
}

// take keeps a line if it is about the request.
func (s *Timeline) take(text string, order int) {
	var fields map[string]any
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		s.Unreadable++
		return
	}
	if fields["request"] != s.Request {
		return
	}
	l := Line{VM: stringOf(fields["vm"]), Message: stringOf(fields["msg"]), Fields: fields, order: order}
	at, err := time.Parse(time.RFC3339Nano, stringOf(fields["time"]))
	if err != nil {
		s.Unreadable++
	}
	l.Time = at
	for _, name := range []string{"vm", "msg", "time", "level", "request"} {
		delete(fields, name)
	}
	s.Lines = append(s.Lines, l)
}

func stringOf(v any) string {
	t, _ := v.(string) // anything else counts as missing
	return t
}

// Write prints the story. The lines of each daemon stand in their own order
// with the time since its first, because the clocks of VMs differ; a daemon that
// was asked by another one stands behind it.
func (s *Timeline) Write(w io.Writer) error {
	byVM := make(map[string][]Line)
	for _, l := range s.Lines {
		byVM[l.VM] = append(byVM[l.VM], l)
	}
	vms := slices.SortedFunc(maps.Keys(byVM), func(a, b string) int {
		if fa, fb := isFront(byVM[a]), isFront(byVM[b]); fa != fb {
			if fa {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	for _, vm := range vms {
		lines := byVM[vm]
		slices.SortStableFunc(lines, func(a, b Line) int { return a.order - b.order })
		if _, err := fmt.Fprintf(w, "%s\n", vm); err != nil {
			return err
		}
		for _, l := range lines {
			if _, err := fmt.Fprintf(w, "  %8.3f s  %s%s\n", l.Time.Sub(lines[0].Time).Seconds(), l.Message, fieldsText(l.Fields)); err != nil {
				return err
			}
		}
	}
	_, err := fmt.Fprintf(w, "%d lines, %d unreadable\n", len(s.Lines), s.Unreadable)
	return err
}

// isFront tells whether a daemon took the request from its caller.
func isFront(lines []Line) bool {
	return slices.ContainsFunc(lines, func(l Line) bool { return strings.HasPrefix(l.Message, "front:") })
}

func fieldsText(fields map[string]any) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(&b, " %s=%v", name, fields[name])
	}
	return b.String()
}
