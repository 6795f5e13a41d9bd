package node

import (
	"context"
	"time"

	"knapweedplank.org/plank/internal/pause"
)

// The steps of a planned stop, from the signal on.
const (
	// leaveTime is how long the platform goes on sending new connections after
	// the VM says that it is not ready: it asks once a second, twice.
	leaveTime = 2500 * time.Millisecond
	// closePace is the pause between looks for connections that became idle.
	closePace = 50 * time.Millisecond
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
	n.state.setLeaving()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	n.duties.leaving.Store(true)
	pause.For(ctx, leaveTime)
	n.ends.Store(&deadline)
	n.closing.Store(true)
	if err := n.entrance.Close(); err != nil {
		n.log.WithError(err).Warn("node: listener not closed")
	}
	for n.entrance.CloseIdle() > 0 {
		if !pause.For(ctx, closePace) {
			n.log.WithField("connections", n.entrance.CloseIdle()).Warn("node: calls were still in progress at the end of the grace time")
			break
		}
	}
	n.cancel()
	n.hub.Close()
	n.log.Info("node: stopped")
}
