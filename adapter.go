package plank

import "strings"

// A BaseID names a base model. An engine holds the weights of a base model once
// for all of its adapters.
type BaseID string

// An AdapterRef names an adapter of a base model. If Name is empty, it names the
// base model itself.
type AdapterRef struct {
	Base BaseID
	Name AdapterID
}

// ParseAdapterRef parses "base/adapter". A string without a slash names the base
// model itself.
func ParseAdapterRef(s string) AdapterRef {
	base, name, _ := strings.Cut(s, "/")
	return AdapterRef{Base: BaseID(base), Name: AdapterID(name)}
}

// String returns "base/adapter", or the name of the base model if Name is empty.
func (a AdapterRef) String() string {
	if a.Name == "" {
		return string(a.Base)
	}
	return string(a.Base) + "/" + string(a.Name)
}

// A VersionNumber orders the versions of one adapter. 0 means that the version
// is unknown.
type VersionNumber uint64
