package sse

import "strconv"

// A Verdict tells what to do with an event.
type Verdict int

// The verdicts on events.
const (
	Pass      Verdict = iota // the event is next
	Duplicate                // the caller has it already
	Gap                      // an event before it is missing
)

// An SequenceChecker checks that a stream's events come one after the other, also over
// endpoints when a stream is resumed. Ids that are not numbers are not checked;
// gaps are told only of streams whose ids rise by one.
type SequenceChecker struct {
	last  uint64
	known bool // last is the id of an event
	// byOne is set once ids are known to rise by one: the first is 0 or 1, or
	// one followed another so.
	byOne bool
}

// NewSequenceChecker returns the check of a stream whose caller has the event with the
// given id, or none if it is empty.
func NewSequenceChecker(lastID string) *SequenceChecker {
	o := &SequenceChecker{}
	if n, err := strconv.ParseUint(lastID, 10, 64); err == nil {
		o.last, o.known = n, true
	}
	return o
}

// Check returns the verdict on the next event.
func (o *SequenceChecker) Check(id string) Verdict {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return Pass
	}
	switch {
	case !o.known:
		o.byOne = n <= 1
	case n <= o.last:
		return Duplicate
	case n == o.last+1:
		o.byOne = true
	case o.byOne:
		return Gap
	}
	o.last, o.known = n, true
	return Pass
}
