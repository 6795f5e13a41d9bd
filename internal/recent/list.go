// Package recent defines the adapters that an engine held lately.
package recent

import "slices"

// keptAdapters is how many adapters an engine keeps in its memory, those that it
// holds included: of the loads on the users' smaller site those of the 42 latest
// took 25 ms and the others 250 ms.
const keptAdapters = 42

// A List holds the adapters that an engine held lately, which it loads fast.
// The zero value holds none.
type List[K comparable] struct {
	// adapters has the latest last and none twice.
	adapters []K
}

// Add makes an adapter the latest.
func (r *List[K]) Add(adapter K) {
	if n := len(r.adapters); n > 0 && r.adapters[n-1] == adapter {
		return
	}
	r.adapters = append(slices.DeleteFunc(r.adapters, func(a K) bool { return a == adapter }), adapter)
	if len(r.adapters) > keptAdapters {
		r.adapters = slices.Delete(r.adapters, 0, len(r.adapters)-keptAdapters)
	}
}

// Has tells whether an adapter was held lately.
func (r *List[K]) Has(adapter K) bool { return slices.Contains(r.adapters, adapter) }

// All returns the adapters, the latest last.
func (r *List[K]) All() []K { return slices.Clone(r.adapters) }
