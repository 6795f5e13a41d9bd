package plank

import "strings"

// A Model is one version of one adapter. It is the unit that engines load and
// serve.
type Model struct {
	Adapter AdapterID
	Version Version
}

// ParseModel parses "adapter@version". It reports false if either part is empty.
func ParseModel(s string) (Model, bool) {
	adapter, version, ok := strings.Cut(s, "@")
	if !ok || adapter == "" || version == "" {
		return Model{}, false
	}
	return Model{Adapter: AdapterID(adapter), Version: Version(version)}, true
}

// String returns "adapter@version".
func (m Model) String() string {
	return string(m.Adapter) + "@" + string(m.Version)
}
