package node

import (
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
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
	metrics.GetOrRegisterCounter("Paces.Stated", n.registry).Inc(1)
	if n.paces.RecordStated(inst.Service, run, stated) {
		n.log.WithFields(logrus.Fields{"service": inst.Service, "endpoint": run.Endpoint, "pace": stated}).Info("node: the paces of the service's endpoints are learned from now on")
	}
}
