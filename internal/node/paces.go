package node

import (
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
)

// recordStatedPace records the pace that an endpoint stated in an answer; 0 for none.
func (n *Node) recordStatedPace(run plank.Run, stated float64) {
	if stated <= 0 {
		return
	}
	inst, ok := n.view.Load().Instances[run.Endpoint]
	if !ok || inst.Run() != run {
		return
	}
	if n.paces.RecordStated(inst.Service, run, stated) {
		n.log.WithFields(logrus.Fields{"service": inst.Service, "endpoint": run.Endpoint, "pace": stated}).Info("node: the paces of the service's endpoints are learned from now on")
	}
}
