package node

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"knapweedplank.org/plank/internal/meter"
	"knapweedplank.org/plank/internal/pause"
)

// gaugePace is the pause between readings of the gauges.
const gaugePace = time.Second

// lateTime is from when on a timer that fires late is logged: the process waits
// for its processor, not for the network.
const lateTime = 250 * time.Millisecond

// metricsAddr returns the address for metrics: the first of the ports that are
// the system's own.
func (n *Node) metricsAddr() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.InternalPorts[0]))
}

// serveMetrics serves metrics, if their port can be had: calls are served
// without it.
func (n *Node) serveMetrics() {
	ln, err := net.Listen("tcp", n.metricsAddr())
	if err != nil {
		n.log.WithError(err).Warn("node: no metrics")
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+meter.Path, meter.New(n.registry))
	n.serve(&http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, ln)
}

// observe brings the gauges up to date until ctx ends.
func (n *Node) observe(ctx context.Context, dropped func() uint64) {
	set := func(name string, value int64) { metrics.GetOrRegisterGauge(name, n.registry).Update(value) }
	for due := n.clock.Now().Add(gaugePace); pause.For(ctx, gaugePace); due = n.clock.Now().Add(gaugePace) {
		late := n.clock.Now().Sub(due)
		set("Process.LateMs", late.Milliseconds())
		if late > lateTime {
			n.log.WithField("late_ms", late.Milliseconds()).Warn("node: timers fire late")
		}
		heard, known := n.mesh.Reachable()
		set("Mesh.Heard", int64(len(heard)+1))
		set("Mesh.Known", int64(known))
		set("Logs.Dropped", int64(dropped()))
		v := n.view.Load()
		if v.Manifest != nil {
			set("Manifest.Version", int64(v.Manifest.Version))
		}
		set("Endpoints.Registered", int64(len(v.Instances)))
		if fresh := n.news.newest(); !fresh.IsZero() {
			set("News.AgeMs", n.clock.Now().Sub(fresh).Milliseconds())
		}
		set("Duties.Held", int64(n.state.held()))
		for service, left := range n.budgets.Left() {
			metrics.GetOrRegisterGaugeFloat64("Retries.Left."+string(service), n.registry).Update(left)
		}
	}
}
