package mesh

import "slices"

// keptAdapters is how many adapters an engine keeps at hand; loads of these
// take a tenth of the time.
const keptAdapters = 42

// A history holds the adapters that an engine held lately, the latest last.
type history struct {
	adapters []string
}

// add makes an adapter the latest.
func (h *history) add(adapter string) {
	if n := len(h.adapters); n > 0 && h.adapters[n-1] == adapter {
		return
	}
	h.adapters = append(slices.DeleteFunc(h.adapters, func(a string) bool { return a == adapter }), adapter)
	if len(h.adapters) > keptAdapters {
		h.adapters = slices.Delete(h.adapters, 0, len(h.adapters)-keptAdapters)
	}
}

func (h *history) has(adapter string) bool { return slices.Contains(h.adapters, adapter) }
