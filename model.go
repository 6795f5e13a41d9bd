package plank

import "strings"

// A Model is one version of one adapter, the unit that is loaded and served.
type Model struct {
	Adapter AdapterID
	Version Version
}

// ParseModel splits "adapter@version". It reports false when either part is
// missing.
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
