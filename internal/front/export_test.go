package front

// TakeNote gives the tests access to takeNote.
var TakeNote = (*Broker).takeNote
