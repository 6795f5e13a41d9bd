// Package recent tracks the adapters that were recently resident on an engine.
package recent

import "slices"

// maxAdapters is how many adapters an engine keeps in memory, including the resident
// ones: on the users' smaller site the loads of the 42 most recent adapters took
// 25 ms, the others 250 ms.
const maxAdapters = 42

// A List holds the adapters that were recently resident on an engine, which loads
// them fast. The zero value is an empty list.
type List[K comparable] struct {
	// adapters has the most recent last, without duplicates.
	adapters []K
}

// Add makes adapter the most recent one. If the list is full, it removes the least
// recent one.
func (l *List[K]) Add(adapter K) {
	if n := len(l.adapters); n > 0 && l.adapters[n-1] == adapter {
		return
	}
	l.adapters = append(slices.DeleteFunc(l.adapters, func(a K) bool { return a == adapter }), adapter)
	if len(l.adapters) > maxAdapters {
		l.adapters = slices.Delete(l.adapters, 0, len(l.adapters)-maxAdapters)
	}
}

// Has reports whether the adapter was recently resident.
func (l *List[K]) Has(adapter K) bool { return slices.Contains(l.adapters, adapter) }

// All returns the adapters, the most recent last.
func (l *List[K]) All() []K { return slices.Clone(l.adapters) }
