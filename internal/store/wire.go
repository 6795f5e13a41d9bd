package store

import "knapweedplank.org/plank"

// This file defines the JSON bodies of the platform's object API.

// An ObjectReply is the response to a get or a put.
type ObjectReply struct {
	Key     string
	Value   []byte
	Version plank.ObjectVersion
}

// A ListReply is the response to a list.
type ListReply struct {
	Objects  []ObjectItem
	Revision plank.Revision
}

// An ObjectItem is one object of a list.
type ObjectItem struct {
	Key     string
	Value   []byte
	Version plank.ObjectVersion
}

// A WatchReply is the response to a watch. A Revision below the one in the request
// means that the platform has lost its history; the client must list all objects
// again.
type WatchReply struct {
	Changes  []ChangeItem
	Revision plank.Revision
}

// A ChangeItem is one change of a watch.
type ChangeItem struct {
	Object   ObjectItem
	Revision plank.Revision
}
