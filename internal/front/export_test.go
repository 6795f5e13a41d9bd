package front

// These give the tests access to what is not exported.
var (
	HandleNote          = (*Broker).takeNote
	ReservationDeadline = roomLimit
)
