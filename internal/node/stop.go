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
	// exitMargin is how long before the platform kills the process the calls in progress
	// are ended, and answerTime how long the process then stays for their answers.
	exitMargin = 500 * time.Millisecond
	answerTime = 250 * time.Millisecond
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
	if !n.closeIdle(ctx) {
		n.log.WithField("connections", n.callerListener.CloseIdle()).Warn("node: calls still in progress at the end of the grace period")
		n.endCalls()
		answering, cancel := context.WithTimeout(context.Background(), answerTime)
		defer cancel()
		if !n.closeIdle(answering) {
			n.log.WithField("connections", n.callerListener.CloseIdle()).Warn("node: cutting connections that are still busy")
		}
	}
	n.cancel()
	n.transport.Close()
	n.log.Info("node: stopped")
}

// closeIdle closes the callers' connections as they become idle. It reports false if some were
// busy when ctx ended.
func (n *Node) closeIdle(ctx context.Context) bool {
	for n.callerListener.CloseIdle() > 0 {
		if !pause.For(ctx, idleCloseInterval) {
			return false
		}
	}
	return true
}
