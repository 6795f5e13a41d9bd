package notes

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxNoteBytes is the maximum size of a note's text in bytes. The platform limits
// values to a megabyte.
const MaxNoteBytes = 900_000

// Parse parses a note in JSON with comments. Its error is an *InvalidError with
// the faults that can be detected without the catalog.
func Parse(text []byte) (*Note, error) {
	if len(text) > MaxNoteBytes {
		return nil, &InvalidError{[]Fault{{Detail: fmt.Sprintf("note has over %d bytes", MaxNoteBytes)}}}
	}
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, &InvalidError{[]Fault{{Detail: err.Error()}}}
	}
	var n Note
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&n); err != nil {
		return nil, &InvalidError{[]Fault{{Line: errorLine(plain, dec, err), Detail: strings.TrimPrefix(err.Error(), "json: ")}}}
	}
	if faults := n.faults(); len(faults) > 0 {
		return nil, &InvalidError{faults}
	}
	return &n, nil
}

// errorLine returns the line of text at which decoding stopped.
func errorLine(text []byte, dec *json.Decoder, err error) int {
	offset := dec.InputOffset()
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		offset = typeErr.Offset
	}
	offset = min(offset, int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

// faults returns the faults that can be detected from the note alone.
func (n *Note) faults() []Fault {
	var faults []Fault
	if n.Id == "" {
		faults = append(faults, Fault{Detail: "Id is missing"})
	}
	faults = append(faults, sectionFaults("Workspaces", n.Workspaces)...)
	faults = append(faults, sectionFaults("Patience", n.Patience)...)
	faults = append(faults, sectionFaults("Adapters", n.Adapters)...)
	faults = append(faults, sectionFaults("Keys", n.Keys)...)
	faults = append(faults, sectionFaults("Routes", n.Routes)...)
	faults = append(faults, sectionFaults("Endpoints", n.Endpoints)...)
	faults = append(faults, sectionFaults("Domains", n.Domains)...)
	if len(n.Domains.Withdraw) > 0 {
		faults = append(faults, Fault{Item: "Domains", Detail: "a domain's share cannot be withdrawn"})
	}
	return faults
}

// sectionFaults returns the faults of the section's items, including duplicate
// names.
func sectionFaults[T Item](section string, s Section[T]) []Fault {
	var faults []Fault
	for _, item := range s.Set {
		name := section + "/" + item.Name()
		if item.Name() == "" {
			faults = append(faults, Fault{Item: name, Detail: "name is missing"})
		}
		for _, detail := range item.faults() {
			faults = append(faults, Fault{Item: name, Detail: detail})
		}
	}
	seen := make(map[string]bool)
	for _, name := range s.names() {
		if seen[name] {
			faults = append(faults, Fault{Item: section + "/" + name, Detail: "stands twice"})
		}
		seen[name] = true
	}
	return faults
}
