// Package notes defines release notes, the chain of accepted notes in the
// platform's object API, and the catalog that results from applying them in order.
package notes

import (
	"knapweedplank.org/plank"
)

// A Note is one release note, a set of configuration changes. Operators change
// what the system serves only through notes. The field names are those of the
// file format.
type Note struct {
	// Id identifies the note. A note that is applied again under the same Id and
	// with the same content takes effect once.
	Id plank.NoteID
	// Base is the number of the last note that this note takes into account. The
	// note is refused if a later note changed one of the same items.
	Base       plank.NoteNumber
	Comment    string             `json:",omitempty"`
	Workspaces Section[Workspace] `json:",omitzero"`
	Patience   Section[Patience]  `json:",omitzero"`
	Adapters   Section[Adapter]   `json:",omitzero"`
	Keys       Section[Key]       `json:",omitzero"`
	Routes     Section[Route]     `json:",omitzero"`
	Endpoints  Section[Endpoint]  `json:",omitzero"`
	Domains    Section[Domain]    `json:",omitzero"`
}

// An Item is a configuration entry that notes set and withdraw.
type Item interface {
	// Name identifies the item within its section.
	Name() string
	// faults returns the faults that can be detected from the item alone.
	faults() []string
}

// A Section holds a note's changes to one kind of items: Set adds or replaces
// items, and Withdraw removes items by name.
type Section[T Item] struct {
	Set      []T      `json:",omitempty"`
	Withdraw []string `json:",omitempty"`
}

// names returns the names of all items that the section sets or withdraws.
func (s Section[T]) names() []string {
	var names []string
	for _, item := range s.Set {
		names = append(names, item.Name())
	}
	return append(names, s.Withdraw...)
}

// AffectedItems returns the qualified names ("Section/name") of all items that
// the note sets or withdraws.
func (n *Note) AffectedItems() []string {
	var all []string
	add := func(section string, names []string) {
		for _, name := range names {
			all = append(all, section+"/"+name)
		}
	}
	add("Workspaces", n.Workspaces.names())
	add("Patience", n.Patience.names())
	add("Adapters", n.Adapters.names())
	add("Keys", n.Keys.names())
	add("Routes", n.Routes.names())
	add("Endpoints", n.Endpoints.names())
	add("Domains", n.Domains.names())
	return all
}
