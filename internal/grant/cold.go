package grant

// This file defines how the loads that the weight store allows are parted among
// holders.
//
// The load it answers: calls for many adapters that no engine has held yet, as
// in the first seconds of traffic or when demand moves. More loads at once only
// make each of them slower, and what holders tell each other of their loads is
// up to a second old: if each waited for the others, one began all loads at once
// while the others' callers waited.

const (
	// minCold and coldPerEngine give how many loads from the weight store may be
	// under way over all engines before each takes longer: 8 at the users' sites
	// of 9 engines and 48 at those of 140, and a fifth more, since a load counts
	// from its order until a check finds it done.
	minCold       = 8
	coldPerEngine = 0.4
	// borrowFactor weighs the loads of other holders when a holder goes beyond
	// its part, since they may have begun more meanwhile.
	borrowFactor = 2
)

// coldLimit returns how many loads may be under way over a number of engines.
func coldLimit(engines int) int { return max(minCold, int(coldPerEngine*float64(engines))) }

// mayLoadCold tells whether a holder of some of the engines may begin a load,
// with so many loads under way here and elsewhere.
func mayLoadCold(held, engines, here, elsewhere int) bool {
	limit := coldLimit(engines)
	part := max(1, (limit*held+engines/2)/max(1, engines))
	return here < part || here+borrowFactor*elsewhere < limit
}
