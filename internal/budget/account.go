// Package budget implements the account of what a VM holds for its callers: connections,
// heads and bodies of requests, and answers that callers have not read yet.
package budget

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"knapweedplank.org/plank"
)

// The costs of what callers hold, in bytes of memory.
const (
	// ConnCost is what a connection holds without a request: the stack of its goroutine and
	// the buffers of the HTTP server.
	ConnCost = 16 << 10
	// lineCost is what the parsed header holds for each line beyond its bytes: the entry of
	// the map, the strings and the slice of values. See TestHeadCostCoversParsedHeader.
	lineCost = 144
	// headCopies is the number of copies of a head's bytes: in the parsed header, and in the
	// requests that are sent to endpoints.
	headCopies = 3
)

const (
	// smallRequest is the size up to which a request is served in the reserve beyond the
	// budget. Ordinary requests have heads under 2 KB and bodies of up to 55 KB.
	smallRequest = 128 << 10
	// An evicted request counts until its goroutine has released its memory. The sum may
	// exceed the budget by a fraction of 1/largeReserve meanwhile, and by 1/smallReserve for
	// small requests.
	largeReserve = 8
	smallReserve = 4
)

// HeadCost returns what a head of n bytes and a number of lines holds, or a part of a head.
func HeadCost(n, lines int) int64 { return int64(headCopies*n) + int64(lines)*lineCost }

// A Phase is the state of a connection.
type Phase int

// The values of Phase.
const (
	PhaseNew     Phase = iota // no byte of a request has arrived yet
	PhaseHead                 // a head is arriving
	PhaseBody                 // a body is arriving
	PhaseServing              // the request has arrived, and its answer is not yet written
	PhaseIdle                 // a request was answered, and no byte of another one has arrived
	PhaseClosing              // refused; what the caller still sends is discarded
)

// String returns the name of the phase as it appears in logs and metrics.
func (p Phase) String() string {
	return [...]string{"new", "head", "body", "serving", "idle", "closing"}[p]
}

// A Reason states why a connection is ended.
type Reason int

// The values of Reason.
const (
	NoMemory Reason = iota
	NoConnection
	TimedOut
)

// String returns the name of the reason as it appears in logs and metrics.
func (r Reason) String() string { return [...]string{"memory", "connections", "time"}[r] }

// Limits are the limits of an account. They may change while it is in use.
type Limits struct {
	Bytes int64
	Conns int
	// MaxHeader bounds the bytes of a head.
	MaxHeader int
	// HeaderTimeout bounds the time of a head, IdleTimeout that of a connection on which
	// nothing happens: no request, no byte of a body, no byte of an answer taken.
	HeaderTimeout, IdleTimeout time.Duration
	// LingerTimeout bounds how long the rest of a refused request is discarded.
	LingerTimeout time.Duration
	// EvictsIdle is set if idle connections may be closed in favour of new ones.
	EvictsIdle bool
}

// An Eviction is the end of what a caller held.
type Eviction struct {
	Reason Reason
	Phase  Phase
	Bytes  int64
	Age    time.Duration
}

// An Account decides who is refused or closed when callers hold too much. The load that it
// addresses is a crowd of callers that hold heads, bodies, answers or connections and do not
// finish, while ordinary callers come and go: whoever holds the most for the longest goes
// first, so that a request of ordinary size goes after all of the crowd. It is safe for
// concurrent use and does no I/O.
type Account struct {
	clock   plank.Clock
	start   time.Time // all times are relative to it
	limits  func() Limits
	onEvict func(Eviction)

	mu      sync.Mutex
	holders []*Holder
	conns   int   // connections that are open
	used    int64 // bytes, by all holders
	evicted int64 // part of used that evicted holders have not released yet
	sweptAt time.Duration
}

// New returns an empty account. onEvict is called for each eviction.
func New(clock plank.Clock, limits func() Limits, onEvict func(Eviction)) *Account {
	return &Account{clock: clock, start: clock.Now(), limits: limits, onEvict: onEvict}
}

// A Holder is the account of one connection. Its methods do nothing and succeed on a nil
// Holder.
type Holder struct {
	account *Account
	evict   func(Reason)

	// The fields below are guarded by account.mu.
	phase  Phase
	index  int   // in account.holders
	bytes  int64 // at least ConnCost
	since  time.Duration
	isGone bool // closed, and no longer in the account
	// isDisconnected is set when the connection is closed, from when on it holds no descriptor.
	isDisconnected bool
	// isEvicted is set from an eviction until the connection is closed.
	isEvicted bool
	// wasRefused is set if the last request was refused for the caller's own fault. Such a
	// connection may be closed while it is idle.
	wasRefused bool

	progress atomic.Int64 // time of the last byte of a body, in nanoseconds
	blocked  atomic.Int64 // time since which a write has waited for the caller; 0 if none does
}

// NewHolder returns the account of a connection. evict ends the connection; it must not block,
// and may be called at any time from Open until Close.
func (a *Account) NewHolder(evict func(Reason)) *Holder {
	return &Holder{account: a, evict: evict, bytes: ConnCost}
}

// now returns the time since the account was created.
func (a *Account) now() time.Duration { return a.clock.Now().Sub(a.start) }

// Open adds the connection to the account. It reports false if there is no room.
func (h *Holder) Open() bool {
	a := h.account
	limits, now := a.limits(), a.now()
	a.mu.Lock()
	h.since = now
	if a.conns >= limits.Conns {
		v := a.pickVictim(nil, now, limits.EvictsIdle)
		if v == nil || a.conns > limits.Conns+limits.Conns/largeReserve {
			a.mu.Unlock()
			a.onEvict(Eviction{Reason: NoConnection, Phase: PhaseNew, Bytes: ConnCost})
			return false
		}
		defer a.end([]eviction{a.markEvicted(v, NoConnection, now)})
	}
	h.index = len(a.holders)
	a.holders = append(a.holders, h)
	a.conns++
	a.used += h.bytes
	a.mu.Unlock()
	return true
}

// An eviction is a holder that is to be ended.
type eviction struct {
	holder *Holder
	info   Eviction
}

// markEvicted records an eviction. The lock is held.
func (a *Account) markEvicted(h *Holder, reason Reason, now time.Duration) eviction {
	h.isEvicted = true
	a.evicted += h.bytes
	return eviction{h, Eviction{Reason: reason, Phase: h.phase, Bytes: h.bytes, Age: now - h.since}}
}

// end carries out evictions. The lock is not held.
func (a *Account) end(evictions []eviction) {
	for _, e := range evictions {
		e.holder.evict(e.info.Reason)
		a.onEvict(e.info)
	}
}

// heldSince returns the time since which a holder keeps what it holds without need, and
// whether it may be evicted. The lock is held.
func (h *Holder) heldSince(evictsIdle bool) (time.Duration, bool) {
	switch h.phase {
	case PhaseNew, PhaseHead, PhaseBody, PhaseClosing:
		return h.since, true
	case PhaseServing:
		// A request that is being served is not ended, but an answer may be that its caller
		// does not read.
		since := h.blocked.Load()
		return time.Duration(since), since != 0
	}
	return h.since, evictsIdle || h.wasRefused
}

// pickVictim returns the holder that holds the most for the longest, by the product of the
// two, or nil if none may be evicted. self counts even if it does not wait for its caller.
// The lock is held.
func (a *Account) pickVictim(self *Holder, now time.Duration, evictsIdle bool) *Holder {
	var victim *Holder
	most := 0.0
	for _, h := range a.holders {
		if h.isEvicted {
			continue
		}
		since, ok := h.heldSince(evictsIdle)
		if !ok {
			continue
		}
		if score := float64(h.bytes) * float64(max(now-since, time.Millisecond)); score > most || score == most && h == self {
			victim, most = h, score
		}
	}
	return victim
}

// Grow adds n bytes to what the holder holds. It evicts others as necessary, and reports
// false if the holder is itself evicted or there is no room, in which case nothing is added.
func (h *Holder) Grow(n int64) bool {
	if h == nil {
		return true
	}
	a := h.account
	limits, now := a.limits(), a.now()
	a.mu.Lock()
	if h.isEvicted || h.isGone {
		a.mu.Unlock()
		return false
	}
	h.bytes += n
	a.used += n
	var evictions []eviction
	ok := true
	reserve := limits.Bytes / largeReserve
	if h.bytes <= smallRequest {
		reserve = limits.Bytes / smallReserve
	}
	for a.used-a.evicted > limits.Bytes {
		v := a.pickVictim(h, now, limits.EvictsIdle)
		if v == nil {
			ok = h.bytes <= smallRequest
			break
		}
		if v == h {
			ok = false
			break
		}
		evictions = append(evictions, a.markEvicted(v, NoMemory, now))
	}
	ok = ok && a.used <= limits.Bytes+reserve
	if !ok {
		h.bytes -= n
		a.used -= n
		if h.phase != PhaseServing { // its caller is refused
			evictions = append(evictions, a.markEvicted(h, NoMemory, now))
		}
	}
	a.mu.Unlock()
	a.end(evictions)
	return ok
}

// Shrink removes n bytes from what the holder holds.
func (h *Holder) Shrink(n int64) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.shrink(n)
}

// shrink removes bytes. The lock is held.
func (h *Holder) shrink(n int64) {
	if h.isGone {
		return
	}
	h.bytes -= n
	h.account.used -= n
	if h.isEvicted {
		h.account.evicted -= n
	}
}

// StartHead records the first byte of a request, unless one is in progress. It reports
// whether a head is arriving.
func (h *Holder) StartHead() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.phase == PhaseNew || h.phase == PhaseIdle {
		h.phase, h.since = PhaseHead, h.account.now()
	}
	return h.phase == PhaseHead
}

// StartBody records that a head has arrived. It reports false if the request must be refused.
func (h *Holder) StartBody() bool { return h.enter(PhaseBody) }

// StartServing records that a request has arrived. It reports false if the request must be
// refused.
func (h *Holder) StartServing() bool { return h.enter(PhaseServing) }

func (h *Holder) enter(phase Phase) bool {
	if h == nil {
		return true
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.isEvicted || h.phase == PhaseClosing {
		return false
	}
	if h.phase == PhaseNew || h.phase == PhaseIdle { // the head was read together with the request before
		h.since = h.account.now()
	}
	h.phase, h.wasRefused = phase, false
	h.progress.Store(int64(h.account.now()))
	return true
}

// StartClosing records that the caller was refused and the rest of its request is discarded.
func (h *Holder) StartClosing() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.shrink(h.bytes - ConnCost)
	h.phase, h.since = PhaseClosing, h.account.now()
	h.keep() // from now on it may be closed in favour of others
}

// SetRefused records that the request is refused for the caller's own fault.
func (h *Holder) SetRefused() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.wasRefused = true
}

// SetIdle records that the answer to a request is complete. The request's memory is released.
func (h *Holder) SetIdle() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.shrink(h.bytes - ConnCost)
	h.phase, h.since = PhaseIdle, h.account.now()
}

// Close removes the connection from the account.
func (h *Holder) Close() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.isGone {
		return
	}
	h.shrink(h.bytes)
	h.disconnect()
	h.isGone = true
	h.account.remove(h)
}

// remove removes a holder from the list. The lock is held.
func (a *Account) remove(h *Holder) {
	last := len(a.holders) - 1
	a.holders[h.index] = a.holders[last]
	a.holders[h.index].index = h.index
	a.holders[last] = nil
	a.holders = a.holders[:last]
}

// Disconnect records that the connection is closed, while its request may still hold memory.
func (h *Holder) Disconnect() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.disconnect()
}

// disconnect records that the connection is closed. The lock is held.
func (h *Holder) disconnect() {
	if !h.isDisconnected {
		h.isDisconnected = true
		h.account.conns--
	}
}

// Phase returns the connection's phase and whether it was evicted.
func (h *Holder) Phase() (phase Phase, isEvicted bool) {
	if h == nil {
		return PhaseServing, false
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.phase, h.isEvicted
}

// Progress records that a byte of a body has arrived.
func (h *Holder) Progress() { h.progress.Store(int64(h.account.now())) }

// SetBlocked records whether a write waits for the caller to read.
func (h *Holder) SetBlocked(isBlocked bool) {
	since := int64(0)
	if isBlocked {
		since = max(1, int64(h.account.now()))
	}
	h.blocked.Store(since)
}

// Limits returns the current limits of the holder's account.
func (h *Holder) Limits() Limits { return h.account.limits() }

// maxSweepGap is the longest time between two calls of Sweep that counts. In a longer one the
// process did not run, and what callers sent meanwhile is not read yet.
const maxSweepGap = time.Second

// Sweep ends the connections whose time is over: heads that take too long, connections on
// which nothing happens, and refused requests that go on. It must be called several times a
// second.
func (a *Account) Sweep() {
	limits, now := a.limits(), a.now()
	var evictions []eviction
	a.mu.Lock()
	if gap := now - a.sweptAt; a.sweptAt > 0 && gap > maxSweepGap {
		a.postpone(gap)
	}
	a.sweptAt = now
	for _, h := range a.holders {
		if !h.isEvicted && h.isOverdue(now, limits) {
			evictions = append(evictions, a.markEvicted(h, TimedOut, now))
		}
	}
	a.mu.Unlock()
	a.end(evictions)
}

// postpone extends the times of all connections by d. The lock is held.
func (a *Account) postpone(d time.Duration) {
	for _, h := range a.holders {
		h.since += d
		h.progress.Add(int64(d))
		if blocked := h.blocked.Load(); blocked != 0 {
			// A write that ends meanwhile has set it to 0.
			h.blocked.CompareAndSwap(blocked, blocked+int64(d))
		}
	}
}

// idleMargin is how much longer than the limit idle connections stay open: callers measure
// the time from when they have read the answer.
const idleMargin = time.Second

// isOverdue reports whether a connection's time is over. The lock is held.
func (h *Holder) isOverdue(now time.Duration, limits Limits) bool {
	switch h.phase {
	case PhaseNew, PhaseIdle:
		return now-h.since > limits.IdleTimeout+idleMargin
	case PhaseHead:
		return now-h.since > limits.HeaderTimeout
	case PhaseBody:
		return now-time.Duration(h.progress.Load()) > limits.IdleTimeout
	case PhaseClosing:
		return now-h.since > limits.LingerTimeout
	}
	blocked := h.blocked.Load()
	return blocked != 0 && now-time.Duration(blocked) > limits.IdleTimeout
}

// Usage returns the bytes and the connections that callers hold.
func (a *Account) Usage() (bytes int64, conns int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used, a.conns
}

// Keep takes back an eviction, for a connection on which a request had begun to arrive when it
// was to be closed as idle.
func (h *Holder) Keep() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.keep()
}

// keep takes back an eviction. The lock is held.
func (h *Holder) keep() {
	if h.isEvicted && !h.isGone {
		h.isEvicted = false
		h.account.evicted -= h.bytes
	}
}

type contextKey struct{}

// NewContext returns a context that carries h.
func NewContext(ctx context.Context, h *Holder) context.Context {
	return context.WithValue(ctx, contextKey{}, h)
}

// FromContext returns the holder that ctx carries, or nil.
func FromContext(ctx context.Context) *Holder {
	h, _ := ctx.Value(contextKey{}).(*Holder)
	return h
}
