package node

import (
	"context"
	"time"

	"knapweedplank.org/plank/internal/pause"
)

// The times of a graceful shutdown, from the signal on.
const (
	// drainDelay is how long the platform may still send new connections after the
	// VM reports that it is not ready: the platform probes once a second and needs
	// two failed probes.
	drainDelay = 2500 * time.Millisecond
	// idleCloseInterval is the interval at which idle connections are closed.
	idleCloseInterval = 50 * time.Millisecond
	// exitMargin is how long the process ends before the platform kills it.
	exitMargin = 500 * time.Millisecond
	// minGrace is the shortest grace period, used if the platform sets none.
	minGrace = 5 * time.Second
)

// Shutdown stops the daemon gracefully. It waits until the platform sends new
// connections elsewhere, and then until the calls in progress have ended.
func (n *Node) Shutdown() {
	deadline := n.clock.Now().Add(max(n.settings.Bounds.Grace, minGrace) - exitMargin)
	n.log.Info("node: stopping")
	n.stopping.Store(true)
	n.state.setDraining()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	n.duties.draining.Store(true)
	pause.For(ctx, drainDelay)
	n.exitAt.Store(&deadline)
	n.closing.Store(true)
	if err := n.callerListener.Close(); err != nil {
		n.log.WithError(err).Warn("node: closing the listener failed")
	}
	for n.callerListener.CloseIdle() > 0 {
		if !pause.For(ctx, idleCloseInterval) {
			n.log.WithField("connections", n.callerListener.CloseIdle()).Warn("node: calls still in progress at the end of the grace period")
			break
		}
	}
	n.cancel()
	n.transport.Close()
	n.log.Info("node: stopped")
}
