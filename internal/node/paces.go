package node

import (
	"maps"
	"math"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pace"
	"knapweedplank.org/plank/internal/wire"
)

// recordStatedLoad records the number of requests and the pace that an endpoint stated in an
// answer; 0 for what it did not state.
func (n *Node) recordStatedLoad(run plank.Run, requests int, stated float64) {
	if stated <= 0 && requests == 0 {
		return
	}
	inst, ok := n.view.Load().Instances[run.Endpoint]
	if !ok || inst.Run() != run {
		return
	}
	n.paces.RecordLoad(inst.Service, run, requests)
	if stated <= 0 {
		return
	}
	if n.view.Load().Pool(inst.Service) == nil {
		n.state.setPace(run, stated, n.clock.Now())
	}
	metrics.GetOrRegisterCounter("Paces.Stated", n.registry).Inc(1)
	if n.paces.RecordStated(inst.Service, run, stated) {
		n.log.WithFields(logrus.Fields{"service": inst.Service, "endpoint": run.Endpoint, "pace": stated}).Info("node: the paces of the service's endpoints are learned from now on")
	}
}

// paceShareInterval is the shortest time between two statements of one endpoint that are sent to
// other VMs.
const paceShareInterval = time.Second

// A paceChange is the pace that an endpoint of a plain service stated, with the number of its
// last change.
type paceChange struct {
	percent uint32
	at      time.Time
	change  uint64
}

// setPace publishes the pace that an endpoint stated at now. The next message takes it along; it
// wakes no one.
func (s *state) setPace(run plank.Run, stated float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !pace.IsValid(stated) || now.Sub(s.paces[run].at) < paceShareInterval {
		return
	}
	if s.paces == nil {
		s.paces = make(map[plank.Run]paceChange)
	}
	s.paces[run] = paceChange{uint32(math.Round(100 * stated)), now, s.changes.Add(1)}
}

// changedPaces returns the paces that changed after a change. The lock is held.
func (s *state) changedPaces(after uint64, now time.Time) []*wire.EndpointPace {
	var out []*wire.EndpointPace
	for run, c := range s.paces {
		if c.change > after {
			out = append(out, &wire.EndpointPace{Endpoint: string(run.Endpoint), Born: run.Born, Percent: c.percent, AgeMillis: uint32(max(0, now.Sub(c.at).Milliseconds()))})
		}
	}
	return out
}

// mergePaces records the paces in a message that was sent some time ago.
func (s *state) mergePaces(paces []*wire.EndpointPace, age time.Duration) {
	if len(paces) == 0 || s.paceTable == nil {
		return
	}
	instances := s.view.Load().Instances
	for _, x := range paces {
		inst, ok := instances[plank.EndpointID(x.Endpoint)]
		if ok && inst.Born.UnixMilli() == x.Born {
			s.paceTable.RecordStatedBefore(inst.Service, inst.Run(), float64(x.Percent)/100, age+time.Duration(x.AgeMillis)*time.Millisecond)
		}
	}
}

// forgetPaces stops publishing the paces of endpoints that are no longer registered.
func (s *state) forgetPaces(registered map[plank.EndpointID]plank.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.paces, func(run plank.Run, _ paceChange) bool { return registered[run.Endpoint].Run() != run })
}
