package plank

import "strings"

// A BaseID names a base model, whose weights an engine holds once for all of
// its adapters.
type BaseID string

// An AdapterRef names an adapter of a base model. An empty Name stands for the
// base model itself.
type AdapterRef struct {
	Base BaseID
	Name AdapterID
}

// ParseAdapterRef splits "base/adapter". A string without a slash names the
// base model.
func ParseAdapterRef(s string) AdapterRef {
	base, name, _ := strings.Cut(s, "/")
	return AdapterRef{Base: BaseID(base), Name: AdapterID(name)}
}

// String returns "base/adapter", or the base model's name alone.
func (a AdapterRef) String() string {
	if a.Name == "" {
		return string(a.Base)
	}
	return string(a.Base) + "/" + string(a.Name)
}

// A VersionNumber orders the versions of one adapter. 0 means that no version
// is known.
type VersionNumber uint64
