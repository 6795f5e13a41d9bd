package node

import "time"

// readTime is what a VM needs to read the store by itself, before the bound in
// which a configuration must be in force.
const readTime = 300 * time.Millisecond

// defaultBound is taken where the settings name no bound; the users' smaller
// sites have it.
const defaultBound = 2 * time.Second

// The paces of news from the store, as parts of that bound: watches wait for
// half of it, events are gathered for a little less than a quarter, and the next
// in rank begins to watch after three quarters.
const (
	waitPart      = 0.5
	gatherPart    = 0.225
	successorPart = 0.75
)

// A newsPace holds the times of following the store.
type newsPace struct {
	wait      time.Duration // of a watch
	gather    time.Duration // events, into one call
	successor time.Duration // age of news at which the next in rank watch
	oldest    time.Duration // age of news at which all watch
}

// paceFor returns the times for a bound in which a configuration must be in
// force.
func paceFor(bound time.Duration) newsPace {
	if bound <= readTime {
		bound = defaultBound
	}
	part := func(p float64) time.Duration { return time.Duration(p * float64(bound)) }
	return newsPace{wait: part(waitPart), gather: part(gatherPart), successor: part(successorPart), oldest: max(0, bound-readTime)}
}

// mustWatch tells whether the VM of a rank among the alive ones of its domain
// watches the store, when its news have an age. In a domain whose watchers are
// cut off from the store the next in rank go first, so that not all call it.
func (p newsPace) mustWatch(rank, alive int, age time.Duration) bool {
	watchers := 1
	if alive >= largeDomain {
		watchers = 2
	}
	switch {
	case rank < watchers, age > p.oldest:
		return true
	case rank < 2*watchers:
		return age > p.successor
	}
	return false
}
