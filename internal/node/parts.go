package node

import (
	"github.com/rcrowley/go-metrics"
	"knapweedplank.org/plank"
)

// learnsCost reports whether the estimates for a service's calls include what engines keep of
// prompts.
func (n *Node) learnsCost(plank.ServiceID) bool { return n.settings.Contended }

// setPartGauges updates the gauges of the directories of kept prompt parts.
func (n *Node) setPartGauges() {
	st := n.scheduler.PartStats()
	metrics.GetOrRegisterGauge("Prefix.Entries", n.registry).Update(int64(st.Entries))
	metrics.GetOrRegisterGauge("Prefix.EntryTokens", n.registry).Update(int64(st.Tokens))
	metrics.GetOrRegisterGauge("Prefix.KeptTokens", n.registry).Update(int64(st.KeptTokens))
}
