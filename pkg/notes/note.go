// Package notes defines release notes, the catalog that a chain of them adds
// up to, and the chain itself in the platform's object API.
package notes

import (
	"knapweedplank.org/plank"
)

// A Note is one release note: the only means by which operators change what
// the system serves. Field names are those of the file format.
type Note struct {
	// Id names the note. The same Id with the same content is applied once.
	Id plank.NoteID
	// Base is the highest note number that the operator had seen. A note is
	// refused when an item it touches was changed after Base.
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

// An Item is one thing that notes set and withdraw.
type Item interface {
	// Name identifies the item within its section.
	Name() string
	// faults lists what is wrong with the item by itself.
	faults() []string
}

// A Section holds the items of one kind that a note adds, changes or withdraws.
type Section[T Item] struct {
	Set      []T      `json:",omitempty"`
	Withdraw []string `json:",omitempty"`
}

// names returns the names of all items that the section touches.
func (s Section[T]) names() []string {
	var names []string
	for _, item := range s.Set {
		names = append(names, item.Name())
	}
	return append(names, s.Withdraw...)
}

// AffectedItems returns the qualified names ("Section/name") of all items that the
// note adds, changes or withdraws.
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
