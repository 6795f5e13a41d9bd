// Package meter defines the HTTP handler that serves a daemon's metrics as text.
package meter

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Path is the URL path of the metrics.
const Path = "/metrics"

// A Handler serves the metrics of a registry. It writes one line for each value,
// with its name and number separated by a space, sorted by name.
type Handler struct {
	registry metrics.Registry
}

var _ http.Handler = (*Handler)(nil)

// New returns a handler of the registry.
func New(registry metrics.Registry) *Handler { return &Handler{registry: registry} }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	var lines []string
	h.registry.Each(func(name string, m any) { lines = append(lines, formatMetric(strings.ReplaceAll(name, " ", ""), m)...) })
	slices.Sort(lines)
	var b bytes.Buffer
	for _, line := range lines {
		b.WriteString(line + "\n")
	}
	if _, err := w.Write(b.Bytes()); err != nil {
		return // the connection is closed
	}
}

// percentiles lists the percentiles that are served for each timer.
var percentiles = []struct {
	name     string
	fraction float64
}{{"P50", 0.5}, {"P95", 0.95}, {"P99", 0.99}}

// formatMetric returns the lines of one metric, or nil for a metric of a type
// that is not served.
func formatMetric(name string, m any) []string {
	switch m := m.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s.Total %d", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case metrics.GaugeFloat64:
		return []string{fmt.Sprintf("%s %g", name, m.Value())}
	case metrics.Timer:
		t := m.Snapshot()
		lines := []string{
			fmt.Sprintf("%s.Total %d", name, t.Count()),
			fmt.Sprintf("%s.MaxMs %.1f", name, millis(float64(t.Max()))),
		}
		for _, q := range percentiles {
			lines = append(lines, fmt.Sprintf("%s.%sMs %.1f", name, q.name, millis(t.Percentile(q.fraction))))
		}
		return lines
	}
	return nil
}

func millis(ns float64) float64 { return ns / float64(time.Millisecond) }
