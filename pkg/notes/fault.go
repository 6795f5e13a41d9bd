package notes

import (
	"fmt"
	"strings"

	"knapweedplank.org/plank"
)

// A Fault is one validation error of a note.
type Fault struct {
	Line   int    // 1-based line in the file; 0 if unknown
	Item   string // qualified name of the item; may be empty
	Detail string
}

// String returns the fault on one line, with its line number and item if known.
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

// An InvalidError reports all faults of a note.
type InvalidError struct {
	Faults []Fault
}

// Error returns the faults, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// A ChangedError reports that an item of the note was changed by a note that
// was accepted after the note's Base.
type ChangedError struct {
	Item      string           // qualified name
	ChangedBy plank.NoteID     // the conflicting note
	Number    plank.NoteNumber // number of the conflicting note
}

// Error returns the message.
func (e *ChangedError) Error() string {
	return fmt.Sprintf("%s was changed by note %q (number %d) after this note's Base", e.Item, e.ChangedBy, e.Number)
}

// A ReusedError reports that an accepted note has the same Id but different
// content.
type ReusedError struct {
	Id     plank.NoteID
	Number plank.NoteNumber
}

// Error returns the message.
func (e *ReusedError) Error() string {
	return fmt.Sprintf("note Id %q is taken by note number %d with other content", e.Id, e.Number)
}
