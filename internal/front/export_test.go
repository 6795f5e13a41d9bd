package front

// Unexported identifiers for the external tests.
var (
	HandleNote        = (*Broker).handleNote
	LatestReservation = latestReservation
	NewReserveRequest = newReserveRequest
	PromptParts       = promptParts
)
