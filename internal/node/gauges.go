package node

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank/internal/delay"
	"knapweedplank.org/plank/internal/meter"
	"knapweedplank.org/plank/internal/pause"
)

// gaugeInterval is the interval at which the gauges are updated.
const gaugeInterval = time.Second

// lateTimerThreshold is the delay above which a late timer is logged. A late timer
// shows that the process waits for CPU time and not for the network.
const lateTimerThreshold = 250 * time.Millisecond

// metricsAddr returns the address of the metrics server, on the first of the
// ports that are reserved for the system.
func (n *Node) metricsAddr() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.InternalPorts[0]))
}

// serveMetrics serves metrics. If it cannot listen on the port, it logs this, and
// calls are served without metrics.
func (n *Node) serveMetrics() {
	ln, err := net.Listen("tcp", n.metricsAddr())
	if err != nil {
		n.log.WithError(err).Warn("node: cannot listen on the metrics port, metrics are not served")
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+meter.Path, meter.New(n.registry))
	n.serveInternal("Metrics", mux, ln)
}

// observeDelay measures how late timers fire, until ctx is cancelled.
func (n *Node) observeDelay(ctx context.Context) {
	for due := n.clock.Now().Add(delay.Interval); pause.For(ctx, delay.Interval); due = n.clock.Now().Add(delay.Interval) {
		now := n.clock.Now()
		late := now.Sub(due)
		if n.delay.Observe(late, now) {
			n.log.WithFields(logrus.Fields{"slow": n.delay.IsSlow(), "late_ms": late.Milliseconds()}).Warn("node: whether this VM is too slow for duties has changed")
			n.mesh.SetSlow(n.delay.IsSlow())
		}
		if late >= delay.MinPause {
			n.log.WithField("paused_ms", late.Milliseconds()).Warn("node: the process was paused, leases are checked before they are used")
		}
	}
}

// observe updates the gauges until ctx is cancelled.
func (n *Node) observe(ctx context.Context, dropped func() uint64) {
	set := func(name string, value int64) { metrics.GetOrRegisterGauge(name, n.registry).Update(value) }
	for due := n.clock.Now().Add(gaugeInterval); pause.For(ctx, gaugeInterval); due = n.clock.Now().Add(gaugeInterval) {
		late := n.clock.Now().Sub(due)
		set("Process.LateMs", late.Milliseconds())
		if late > lateTimerThreshold {
			n.log.WithField("late_ms", late.Milliseconds()).Warn("node: timers fire late")
		}
		reachable, known := n.mesh.Reachable()
		set("Mesh.Heard", int64(len(reachable)+1))
		set("Mesh.Known", int64(known))
		set("Logs.Dropped", int64(dropped()))
		v := n.view.Load()
		if v.Manifest != nil {
			set("Manifest.Version", int64(v.Manifest.Version))
		}
		set("Endpoints.Cold", int64(n.cold.Count()))
		set("Endpoints.Registered", int64(len(v.Instances)))
		set("Endpoints.Leaving", int64(v.CountLeaving()))
		set("Evacuation.Domains", int64(len(v.Evacuated.Out())))
		if last := n.watchPolicy.lastUpdate(); !last.IsZero() {
			set("News.AgeMs", n.clock.Now().Sub(last).Milliseconds())
		}
		set("Poison.PartQuarantines", int64(len(n.parts.Quarantines())))
		n.setPartGauges()
		bytes, open := n.callers.Usage()
		set("Callers.HeldBytes", bytes)
		set("Callers.Connections", int64(open))
		set("Paces.Slow", int64(n.paces.CountSlow()))
		set("Duties.Held", int64(n.state.dutyCount()))
		for service, left := range n.budgets.Left() {
			metrics.GetOrRegisterGaugeFloat64("Retries.Left."+string(service), n.registry).Update(left)
		}
	}
}
