package node

import (
	"github.com/rcrowley/go-metrics"
	"knapweedplank.org/plank"
)

// learnsCost reports whether the estimates for a service's calls include what engines keep of
// prompts, as they do where the paces of endpoints are learned.
func (n *Node) learnsCost(service plank.ServiceID) bool { return n.paces.IsLearned(service) }

// setPartGauges updates the gauges of the directories of kept prompt parts.
func (n *Node) setPartGauges() {
	st := n.scheduler.PartStats()
	metrics.GetOrRegisterGauge("Prefix.Entries", n.registry).Update(int64(st.Entries))
	metrics.GetOrRegisterGauge("Prefix.EntryTokens", n.registry).Update(int64(st.Tokens))
	metrics.GetOrRegisterGauge("Prefix.KeptTokens", n.registry).Update(int64(st.KeptTokens))
}
