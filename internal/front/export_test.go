package front

// These give the tests access to what is not exported.
var (
	TakeNote  = (*Broker).takeNote
	RoomLimit = roomLimit
)
