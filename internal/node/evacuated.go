package node

import (
	"context"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/evac"
	"knapweedplank.org/plank/internal/pause"
	"knapweedplank.org/plank/internal/watch"
	"knapweedplank.org/plank/internal/wire"
	"knapweedplank.org/plank/platform"
)

// This file follows the failure domains that operators take out of service, and keeps requests
// from their endpoints. It does nothing unless the settings have a bound for it.

// Intervals of the checks of entries in force.
const (
	checkInterval = 500 * time.Millisecond
	// checkRetryDelay is the pause after a check failed. VMs whose store is away do not check:
	// they watch.
	checkRetryDelay = 3 * time.Second
)

// evacuates reports whether operators can take failure domains out of service.
func (n *Node) evacuates() bool { return n.settings.Bounds.Evacuate > 0 }

// updateBound returns the time within which updates of the store must have reached this VM.
func (n *Node) updateBound() time.Duration {
	bounds := n.settings.Bounds
	if n.evacuates() && bounds.ConfigApply > bounds.Evacuate {
		return bounds.Evacuate
	}
	return bounds.ConfigApply
}

// addEvacuationSink adds the sink of the entries. It is called before the VM accepts messages: a
// peer sends an entry once on a stream.
func (n *Node) addEvacuationSink() {
	if n.evacuates() {
		n.table.AddSink(platform.PrefixEvacuations, &watch.EvacuationSink{Prefix: platform.PrefixEvacuations, View: n.view, Clock: n.clock, Log: n.log})
	}
}

// followEvacuations starts to follow the entries in the store. opts are those of the watchers that
// follow the store while it is this VM's turn.
func (n *Node) followEvacuations(ctx context.Context, opts watch.Options) {
	if !n.evacuates() {
		return
	}
	opts.Prefix, opts.RelistInterval = platform.PrefixEvacuations, n.settings.Bounds.Evacuate
	n.watchPolicy.add(watch.New(ctx, opts))
	go func() { n.checkEvacuations(ctx) }()
}

// checkEvacuations reads the entries at intervals while one is in force and this VM does not watch
// the store, until ctx ends.
func (n *Node) checkEvacuations(ctx context.Context) {
	due := time.Time{} // zero while no entry is in force
	for pause.For(ctx, checkInterval) {
		now := n.clock.Now()
		switch {
		case len(n.view.Load().Evacuated.Out()) == 0 || n.watchPolicy.mustWatch():
			due = time.Time{}
		case due.IsZero():
			due = evac.NextCheck(n.settings.VM, now)
		case !now.Before(due):
			due = evac.NextCheck(n.settings.VM, now)
			objects, revision, err := n.store.List(ctx, platform.PrefixEvacuations, "")
			if err != nil {
				due = n.clock.Now().Add(checkRetryDelay)
				n.log.WithError(err).Info("node: entries of failure domains out of service not checked")
				continue
			}
			n.table.ApplyList(platform.PrefixEvacuations, objects, revision, time.Time{})
		}
	}
}

// isOutOfService reports whether a failure domain is out of service.
func (n *Node) isOutOfService(d plank.DomainID) bool { return n.view.Load().Evacuated.IsOut(d) }

// gate returns the last check of requests to endpoints.
func (n *Node) gate() *evac.Gate {
	return &evac.Gate{
		IsOut: func(inst plank.Instance) bool { return n.view.Load().IsOut(inst) },
		OnStop: func(inst plank.Instance, op string) {
			n.log.WithFields(logrus.Fields{"endpoint": inst.ID, "domain": inst.Domain, "op": op}).Info("evac: request to an endpoint out of service stopped")
			metrics.GetOrRegisterCounter("Evacuation.Stopped."+op, n.registry).Inc(1)
		},
	}
}

// gateSender returns a sender that sends no calls to endpoints out of service.
func (n *Node) gateSender(next plank.Sender) plank.Sender {
	if !n.evacuates() {
		return next
	}
	return n.gate().Sender(next)
}

// gateController returns a controller that sends nothing to engines out of service.
func (n *Node) gateController(next plank.EngineController) plank.EngineController {
	if !n.evacuates() {
		return next
	}
	return n.gate().Controller(next)
}

// isEvacuation reports whether an object of the store takes a failure domain out of service.
func isEvacuation(key string) bool { return strings.HasPrefix(key, platform.PrefixEvacuations) }

// changedEvacuations returns the evacuations that changed after a change, removals included. They
// are sent to all VMs, also to those of other failure domains in large fleets and by VMs that rely
// on others for the store: a domain that is cut off from the store learns of them by any peer. Values
// do not count and are not sent, so that an entry is never too large for a message.
func (s *state) changedEvacuations(after uint64) []*wire.StoredObject {
	s.mu.Lock()
	var keys []string
	for key, change := range s.objects {
		if change > after && isEvacuation(key) {
			keys = append(keys, key)
		}
	}
	s.mu.Unlock()
	var out []*wire.StoredObject
	for _, key := range keys {
		c := s.table.Get(key)
		out = append(out, &wire.StoredObject{Key: key, Version: uint64(c.Object.Version), Revision: uint64(c.Revision)})
	}
	return out
}
