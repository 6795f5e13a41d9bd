// Package trace collects the lines about one request from the logs of several
// daemons.
package trace

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

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// A Line is one log line about the request.
type Line struct {
	VM         string
	Time       time.Time
	Message    string
	Fields     map[string]any
	lineNumber int // number of the line in its log, from 0
}

// A Timeline holds the log lines about one request.
type Timeline struct {
	Request string
	Lines   []Line
	// Unreadable counts the lines that contain the request's ID and could not be
	// decoded, or have no valid time.
	Unreadable int
}

// New returns an empty timeline of the request with the given ID.
func New(request string) *Timeline { return &Timeline{Request: request} }

// Read adds the lines of one log. Text before the first brace of a line is
// ignored, because a log collector may have added it.
func (t *Timeline) Read(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for lineNumber := 0; sc.Scan(); lineNumber++ {
		text := sc.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, t.Request) {
			continue
		}
		t.add(text[start:], lineNumber)
	}
	return sc.Err()
}

// add adds a line if it is about the request.
func (t *Timeline) add(text string, lineNumber int) {
	var fields map[string]any
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		t.Unreadable++
		return
	}
	if fields["request"] != t.Request {
		return
	}
	l := Line{VM: asString(fields["vm"]), Message: asString(fields["msg"]), Fields: fields, lineNumber: lineNumber}
	at, err := time.Parse(time.RFC3339Nano, asString(fields["time"]))
	if err != nil {
		t.Unreadable++
	}
	l.Time = at
	for _, name := range []string{"vm", "msg", "time", "level", "request"} {
		delete(fields, name)
	}
	t.Lines = append(t.Lines, l)
}

func asString(v any) string {
	t, _ := v.(string) // a value of another type is treated as missing
	return t
}

// Write writes the timeline as text. Because the clocks of VMs differ, the lines
// are grouped by daemon, in the order of its log and with the time since its
// first line. The daemon that received the request from the caller comes first.
func (t *Timeline) Write(w io.Writer) error {
	byVM := make(map[string][]Line)
	for _, l := range t.Lines {
		byVM[l.VM] = append(byVM[l.VM], l)
	}
	vms := slices.SortedFunc(maps.Keys(byVM), func(a, b string) int {
		if fa, fb := servedCaller(byVM[a]), servedCaller(byVM[b]); fa != fb {
			if fa {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	for _, vm := range vms {
		lines := byVM[vm]
		slices.SortStableFunc(lines, func(a, b Line) int { return a.lineNumber - b.lineNumber })
		if _, err := fmt.Fprintf(w, "%s\n", vm); err != nil {
			return err
		}
		for _, l := range lines {
			if _, err := fmt.Fprintf(w, "  %8.3f s  %s%s\n", l.Time.Sub(lines[0].Time).Seconds(), l.Message, formatFields(l.Fields)); err != nil {
				return err
			}
		}
	}
	_, err := fmt.Fprintf(w, "%d lines, %d unreadable\n", len(t.Lines), t.Unreadable)
	return err
}

// servedCaller reports whether lines are from the daemon that received the
// request from the caller.
func servedCaller(lines []Line) bool {
	return slices.ContainsFunc(lines, func(l Line) bool { return strings.HasPrefix(l.Message, "front:") })
}

func formatFields(fields map[string]any) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(&b, " %s=%v", name, fields[name])
	}
	return b.String()
}
