package pick

import "knapweedplank.org/plank"

// The weights of Replica.Load, as fractions of the replica's slots.
const (
	// remoteWeight is added for a replica in another failure domain.
	remoteWeight = 0.08
	// failWeight is added at a failure rate of 1.
	failWeight = 4.0
	// coldWeight is added for a cold replica, which is slow for some seconds: it gets calls
	// only where the others have half of their slots in use.
	coldWeight = 0.5
)

// A Replica is the state of an endpoint of a plain service for the choice.
type Replica struct {
	Instance plank.Instance
	// Calls counts the current calls of all VMs, as far as known to this one.
	Calls    int
	FailRate float64 // fraction of recent calls that failed
	// Avoid is set for a replica to be chosen only if there is no other.
	Avoid  bool
	Remote bool // in another failure domain
	Cold   bool
}

// Load returns the load of the replica: 1 if all its slots are in use, plus the
// weights.
func (r *Replica) Load() float64 {
	load := float64(r.Calls) / float64(max(1, r.Instance.Slots))
	load += failWeight * r.FailRate
	if r.Remote {
		load += remoteWeight
	}
	if r.Cold {
		load += coldWeight
	}
	return load
}

// LeastLoaded returns the index of the replica with the least load, or -1 if there
// is none. spread breaks ties. Replicas with Avoid set are chosen only if there are
// no others, those in skip never.
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
