// Package evac decides which failure domains get no requests because operators took them out of
// service, and how they get requests again afterwards.
package evac

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"knapweedplank.org/plank"
)

// DefaultReturnTime is the time of the gradual return of a failure domain for services whose
// configuration states no time for which endpoints are cold: the usual one of such services.
const DefaultReturnTime = 3 * time.Second

// Domains are the failure domains that are or were out of service. The zero value has none. It is
// immutable and has no I/O.
//
// It addresses the return of a failure domain under load: its endpoints are idle, so that every VM
// prefers them, and all calls of the fleet would reach endpoints without resident adapters at once.
type Domains struct {
	states map[plank.DomainID]domainState
}

// A domainState is the state of a failure domain that has had an entry.
type domainState struct {
	out bool
	// backAt is when this VM learned of the removal of the entry; zero while out is set.
	backAt time.Time
}

// With returns the domains with an entry for d in force, or removed at now. Removing an entry that
// is not in force changes nothing.
func (s Domains) With(d plank.DomainID, inForce bool, now time.Time) Domains {
	if s.states[d].out == inForce {
		return s
	}
	next := maps.Clone(s.states)
	if next == nil {
		next = make(map[plank.DomainID]domainState)
	}
	if inForce {
		next[d] = domainState{out: true}
	} else {
		next[d] = domainState{backAt: now}
	}
	return Domains{next}
}

// IsOut reports whether a failure domain is out of service.
func (s Domains) IsOut(d plank.DomainID) bool { return len(s.states) > 0 && s.states[d].out }

// Out returns the failure domains that are out of service, in order.
func (s Domains) Out() []plank.DomainID {
	var out []plank.DomainID
	for d, state := range s.states {
		if state.out {
			out = append(out, d)
		}
	}
	slices.Sort(out)
	return out
}

// HoldsBack reports whether a call should go to another failure domain because d returned to
// service less than length ago. The fraction of calls that d gets grows from 0 to 1. call is the
// call's hash, so that the VM that received the call and the holder that grants it agree.
func (s Domains) HoldsBack(d plank.DomainID, call uint64, now time.Time, length time.Duration) bool {
	if len(s.states) == 0 {
		return false
	}
	state, ok := s.states[d]
	if !ok || state.out {
		return false
	}
	if length <= 0 {
		length = DefaultReturnTime
	}
	elapsed := now.Sub(state.backAt)
	if elapsed >= length {
		return false
	}
	position := float64(call>>11) / (1 << 53)
	return position >= elapsed.Seconds()/length.Seconds()
}

// CallHash returns the hash of a call for HoldsBack. It is independent of the other hashes of the
// call's id.
func CallHash(id plank.RequestID) uint64 { return xxhash.Sum64String("return/" + string(id)) }

// checkPeriod is the interval at which a VM checks the entries in force that it does not watch. It
// leaves a second of the allowed 15 for the call.
const checkPeriod = 14 * time.Second

// NextCheck returns the next time after now at which a VM reads the entries from the store. Each
// VM has its own phase of the period: 360 VMs that learned of an entry within a second would
// otherwise call the store together.
//
// It addresses a removal that a VM missed because the VMs that watched the store restarted
// meanwhile: their lists do not show what was removed before, so that nobody tells it.
func NextCheck(vm plank.VMID, now time.Time) time.Time {
	phase := time.Duration(xxhash.Sum64String("evacuations/"+string(vm)) % uint64(checkPeriod))
	next := now.Truncate(checkPeriod).Add(phase)
	if !next.After(now) {
		next = next.Add(checkPeriod)
	}
	return next
}
