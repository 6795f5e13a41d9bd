package sse

import "strconv"

// A Verdict is the result of the check of an event.
type Verdict int

// The verdicts on events.
const (
	Pass      Verdict = iota // the event is to be passed on to the caller
	Duplicate                // the caller has already received the event
	Gap                      // an event before it is missing
)

// A SequenceChecker checks by their IDs that the events of a stream arrive in
// order, also when the stream is resumed from another endpoint. IDs that are not
// numbers are not checked. Gaps are detected only in streams with consecutive IDs.
type SequenceChecker struct {
	last    uint64
	hasLast bool // last is set
	// consecutive is set once the stream is known to have consecutive IDs: the
	// first is 0 or 1, or one ID was the one before plus one.
	consecutive bool
}

// NewSequenceChecker returns a checker of a stream. lastID is the ID of the last
// event that the caller has received, or empty if there is none.
func NewSequenceChecker(lastID string) *SequenceChecker {
	c := &SequenceChecker{}
	if n, err := strconv.ParseUint(lastID, 10, 64); err == nil {
		c.last, c.hasLast = n, true
	}
	return c
}

// Check returns the verdict on the event with the given ID, which is the next one
// received from the endpoint.
func (c *SequenceChecker) Check(id string) Verdict {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return Pass
	}
	switch {
	case !c.hasLast:
		c.consecutive = n <= 1
	case n <= c.last:
		return Duplicate
	case n == c.last+1:
		c.consecutive = true
	case c.consecutive:
		return Gap
	}
	c.last, c.hasLast = n, true
	return Pass
}
