package node

import (
	"maps"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/cold"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/wire"
)

// This file connects what endpoints state of coldness with the messages between VMs.

// A coldChange is the end of a cold period, as stated in an answer, with the number of its
// last change. An end in the past states that the endpoint is warm.
type coldChange struct {
	until  time.Time
	change uint64
}

// buildCold creates the table of cold endpoints.
func (n *Node) buildCold() {
	n.cold = cold.NewTable(n.clock, func(id plank.ServiceID) plank.Service {
		if m := n.view.Load().Manifest; m != nil {
			return m.Services[id]
		}
		return plank.Service{}
	})
	n.state.cold, n.state.coldEndpoints = n.cold, make(map[plank.Run]coldChange)
}

// coldBound returns the bound on the requests to a cold endpoint.
func (n *Node) coldBound() cold.Bound {
	return cold.Bound{Overage: n.settings.Bounds.ColdOverage, Slack: n.settings.Bounds.ColdSlack}
}

// portions returns this VM's portions of the requests to cold replicas.
func (n *Node) portions() *cold.Portions {
	return cold.NewPortions(n.settings.VM, n.mesh.Known, n.cold, n.coldBound(), n.clock)
}

// handleRegistration records what a registration states of coldness.
func (n *Node) handleRegistration(inst plank.Instance, wasKnown bool) {
	if n.cold.Record(inst, inst.ColdUntil, cold.Registration, wasKnown) {
		n.logCold(inst, inst.ColdUntil, "the registration")
	}
}

// handleColdNotice records what an answer of an endpoint states of coldness.
func (n *Node) handleColdNotice(run plank.Run, notice plank.Notice) {
	inst, ok := n.view.Load().Instances[run.Endpoint]
	switch {
	case !ok || inst.Run() != run:
	case !notice.HasCold:
		n.cold.RecordContact(inst)
	case n.cold.Record(inst, notice.ColdUntil, cold.Answer, true):
		n.logCold(inst, notice.ColdUntil, "the endpoint")
		n.state.setCold(run, notice.ColdUntil)
	}
}

// logCold logs and counts that a cold period of an endpoint begins, changes or ends.
func (n *Node) logCold(inst plank.Instance, until time.Time, source string) {
	n.log.WithFields(logrus.Fields{
		"endpoint": inst.ID, "born": inst.Born.UnixMilli(), "cold_ms": max(0, until.Sub(n.clock.Now()).Milliseconds()), "source": source,
	}).Info("node: an endpoint says how long it is cold")
	metrics.GetOrRegisterCounter("Endpoints.ColdPeriods", n.registry).Inc(1)
}

// setCold publishes the end of a cold period.
func (s *state) setCold(run plank.Run, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldEndpoints[run] = coldChange{until: until, change: s.recordChange()}
}

// changedCold returns the cold periods that changed after a change. The lock is held.
func (s *state) changedCold(opts mesh.GossipOptions) []*wire.ColdEndpoint {
	var out []*wire.ColdEndpoint
	now := s.clock.Now()
	for run, c := range s.coldEndpoints {
		if c.change > opts.AfterChange {
			out = append(out, &wire.ColdEndpoint{Endpoint: string(run.Endpoint), Born: run.Born, LeftMillis: max(0, c.until.Sub(now).Milliseconds())})
		}
	}
	return out
}

// mergeCold applies what another VM sent age ago. VMs that the sender does not send to learn
// from this VM that an endpoint has become cold.
func (s *state) mergeCold(vm plank.VMID, endpoints []*wire.ColdEndpoint, age time.Duration) {
	for _, x := range endpoints {
		run := plank.Run{Endpoint: plank.EndpointID(x.Endpoint), Born: x.Born}
		inst, ok := s.view.Load().Instances[run.Endpoint]
		left, valid := cold.ParseLeft(x.LeftMillis)
		if !ok || inst.Run() != run || !valid {
			continue
		}
		until := s.clock.Now().Add(left - age)
		wasCold := !s.cold.Until(inst).IsZero()
		if !s.cold.Record(inst, until, cold.Peer, true) {
			continue
		}
		s.log.WithFields(logrus.Fields{"endpoint": run.Endpoint, "born": run.Born, "cold_ms": (left - age).Milliseconds(), "source": vm}).Info("node: an endpoint says how long it is cold")
		if !wasCold {
			s.setCold(run, until)
		}
	}
}

// expireCold forgets the cold periods that have ended.
func (s *state) expireCold(registered map[plank.EndpointID]plank.Instance) {
	s.cold.Expire(registered)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	maps.DeleteFunc(s.coldEndpoints, func(_ plank.Run, c coldChange) bool { return now.Sub(c.until) > cold.MaxLeft })
}
