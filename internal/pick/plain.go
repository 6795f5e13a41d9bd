package pick

import "knapweedplank.org/plank"

// The weights of the choice among replicas, in parts of a full set of slots.
const (
	farWeight  = 0.08
	failWeight = 4.0
)

// A Replica is an endpoint of a plain service as a choice sees it.
type Replica struct {
	Instance plank.Instance
	// Calls counts the calls that all VMs have there, as far as is known.
	Calls    int
	FailRate float64
	Avoid    bool
	Remote   bool
}

// Load returns how taken a replica is, 1 for all slots.
func (r *Replica) Load() float64 {
	load := float64(r.Calls) / float64(max(1, r.Instance.Slots))
	load += failWeight * r.FailRate
	if r.Remote {
		load += farWeight
	}
	return load
}

// LeastLoaded returns the index of the replica that is taken least, or -1. spread
// breaks ties.
func LeastLoaded(replicas []Replica, spread uint64, skip func(plank.EndpointID) bool) int {
	best := -1
	n := len(replicas)
	for k := range replicas {
		i := (k + int(spread%uint64(n))) % n
		r := &replicas[i]
		if skip(r.Instance.ID) {
			continue
		}
		if best < 0 || replicas[best].Avoid && !r.Avoid || replicas[best].Avoid == r.Avoid && r.Load() < replicas[best].Load() {
			best = i
		}
	}
	return best
}
