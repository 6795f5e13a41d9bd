package notes

import (
	"fmt"
	"strings"

	"knapweedplank.org/plank"
)

// A Fault is one thing that is wrong with a note.
type Fault struct {
	Line   int    // 0 when the fault has no place in the file
	Item   string // qualified name of the item, may be empty
	Detail string
}

// String returns the fault as one line.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Item != "" {
		fmt.Fprintf(&b, "%s: ", f.Item)
	}
	b.WriteString(f.Detail)
	return b.String()
}

// An InvalidError reports every fault of a note at once.
type InvalidError struct {
	Faults []Fault
}

// Error returns the faults, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// A ChangedError reports that an item of the note was changed by a note that
// the operator had not seen.
type ChangedError struct {
	Item      string
	ChangedBy plank.NoteID
	Number    plank.NoteNumber
}

// Error returns the message.
func (e *ChangedError) Error() string {
	return fmt.Sprintf("%s was changed by note %q (number %d) after this note's Base", e.Item, e.ChangedBy, e.Number)
}

// A ReusedError reports that the note's Id stands for other content already.
type ReusedError struct {
	Id     plank.NoteID
	Number plank.NoteNumber
}

// Error returns the message.
func (e *ReusedError) Error() string {
	return fmt.Sprintf("note Id %q is taken by note number %d with other content", e.Id, e.Number)
}
