package grant

// This file divides the cold loads that the weight store can serve among lease
// holders.
//
// Many cold loads are needed when calls arrive for many adapters that no engine has
// held, as in the first seconds of traffic or when demand shifts. More concurrent
// loads only make each of them slower. The counts that holders publish are up to a
// second old: without a share for each holder, one holder would start all the loads
// while the calls of the others wait.

const (
	// minColdLoads and coldLoadsPerEngine give the number of concurrent cold loads in
	// the fleet beyond which each takes longer: 8 at sites of 9 engines and 48 at
	// those of 140, plus a fifth, since a load counts from its order until a check
	// finds it done.
	minColdLoads       = 8
	coldLoadsPerEngine = 0.4
	// remoteLoadFactor is the weight of the loads of other holders when a holder
	// exceeds its share, since they may have started more since their last update.
	remoteLoadFactor = 2
)

// coldLoadLimit returns the number of concurrent cold loads allowed for a fleet of
// that many engines.
func coldLoadLimit(engines int) int {
	return max(minColdLoads, int(coldLoadsPerEngine*float64(engines)))
}

// mayStartColdLoad reports whether the holder of held of the fleet's engines may start
// a cold load, given the number of loads in progress on its engines and elsewhere.
func mayStartColdLoad(held, engines, here, elsewhere int) bool {
	limit := coldLoadLimit(engines)
	share := max(1, (limit*held+engines/2)/max(1, engines))
	return here < share || here+remoteLoadFactor*elsewhere < limit
}
