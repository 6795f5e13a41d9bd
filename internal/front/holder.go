package front

import "time"

// This file decides which lease holders are asked for reservations. It is free of I/O.
//
// It answers holders that are slowed or frozen while calls arrive: 67 VMs that asked each
// of three such holders for each call, 600 to 1,000 times a second, kept them from
// recovering, and each call waited 250 ms for every one of them.

const (
	// firstBackoff is how long a holder that did not answer is not asked. The mesh reports
	// a VM that is cut off as silent shortly after this time. It doubles with each
	// further request without an answer, up to maxBackoff.
	firstBackoff = 600 * time.Millisecond
	maxBackoff   = 2400 * time.Millisecond
)

// A holderTable records which holders answer. It is not safe for concurrent use.
type holderTable struct {
	silent map[string]*silentHolder // by address
}

// A silentHolder is a holder that has not answered since it was asked last.
type silentHolder struct {
	misses  int       // requests without an answer, in a row
	askNext time.Time // when it may be asked again
}

// recordMiss records that the holder at addr did not answer. Requests that were under way
// together count once.
func (t *holderTable) recordMiss(addr string, now time.Time) {
	if t.silent == nil {
		t.silent = make(map[string]*silentHolder)
	}
	h := t.silent[addr]
	if h == nil {
		h = new(silentHolder)
		t.silent[addr] = h
	}
	if h.misses > 0 && now.Before(h.askNext) {
		return
	}
	h.misses++
	h.askNext = now.Add(min(maxBackoff, firstBackoff<<min(h.misses-1, 8)))
}

// recordAnswer records that the holder at addr answered.
func (t *holderTable) recordAnswer(addr string) { delete(t.silent, addr) }

// isSilent reports whether the holder at addr is not to be asked now.
func (t *holderTable) isSilent(addr string, now time.Time) bool {
	h := t.silent[addr]
	return h != nil && now.Before(h.askNext)
}

// mayAsk reports whether a request may be sent to the holder at addr. A holder that did not
// answer gets a single one at first, and others wait for its answer.
func (t *holderTable) mayAsk(addr string, now time.Time) bool {
	h := t.silent[addr]
	if h == nil {
		return true
	}
	if now.Before(h.askNext) {
		return false
	}
	h.askNext = now.Add(ackTimeout)
	return true
}
