package node

import (
	"context"
	"time"

	"knapweedplank.org/plank/internal/pause"
)

// The steps of a planned stop, from the signal on.
const (
	// drainDelay is how long the platform goes on sending new connections after
	// the VM says that it is not ready: it asks once a second, twice.
	drainDelay = 2500 * time.Millisecond
	// idleCloseInterval is the pause between looks for connections that became idle.
	idleCloseInterval = 50 * time.Millisecond
	// exitMargin is how long before the platform kills the process it ends.
	exitMargin = 500 * time.Millisecond
	// minGrace holds where the platform names no time.
	minGrace = 5 * time.Second
)

// Shutdown stops the daemon gracefully: new connections go elsewhere first,
// and calls in progress end before the process does.
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
		n.log.WithError(err).Warn("node: listener not closed")
	}
	for n.callerListener.CloseIdle() > 0 {
		if !pause.For(ctx, idleCloseInterval) {
			n.log.WithField("connections", n.callerListener.CloseIdle()).Warn("node: calls were still in progress at the end of the grace time")
			break
		}
	}
	n.cancel()
	n.hub.Close()
	n.log.Info("node: stopped")
}
