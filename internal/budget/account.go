// Package budget implements the account of what a VM holds for its callers: connections,
// heads and bodies of requests, and answers that callers have not read yet.
package budget

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pause"
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
	// Small requests may exceed the budget by a fraction of 1/smallReserve, and are not evicted
	// before. An evicted request counts until its goroutine has released its memory; the sum
	// may exceed the budget by 1/largeReserve meanwhile, and by 1/evictedReserve for small
	// requests.
	smallReserve   = 4
	largeReserve   = 8
	evictedReserve = 2
	// spareReserve is the part of the budget, 1/spareReserve, that large answers leave free.
	spareReserve = 4
)

// minBlocked is the time from which on a write counts as waiting for its caller. Writes to
// callers that read last for microseconds.
const minBlocked = 100 * time.Millisecond

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

	mu        sync.Mutex
	conns     []*Conn
	openConns int   // connections that are open
	used      int64 // bytes, by all connections
	evicted   int64 // part of used that evicted ones have not released yet
	sweptAt   time.Duration
}

// New returns an empty account. onEvict is called for each eviction.
func New(clock plank.Clock, limits func() Limits, onEvict func(Eviction)) *Account {
	return &Account{clock: clock, start: clock.Now(), limits: limits, onEvict: onEvict}
}

// A Conn is the account of one connection. Its methods do nothing and succeed on a nil
// Conn.
type Conn struct {
	account *Account
	evict   func(Reason)

	// The fields below are guarded by account.mu.
	phase  Phase
	index  int   // in account.conns
	bytes  int64 // at least ConnCost
	since  time.Duration
	isGone bool // not opened, or closed: not in the account
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

// NewConn returns the account of a connection. evict ends the connection; it must not block,
// and may be called at any time from Open until Close.
func (a *Account) NewConn(evict func(Reason)) *Conn {
	return &Conn{account: a, evict: evict, bytes: ConnCost, isGone: true}
}

// now returns the time since the account was created.
func (a *Account) now() time.Duration { return a.clock.Now().Sub(a.start) }

// Open adds the connection to the account. It reports false if there is no room.
func (c *Conn) Open() bool {
	a := c.account
	limits, now := a.limits(), a.now()
	a.mu.Lock()
	c.since = now
	if a.openConns >= limits.Conns {
		v := a.pickVictim(nil, now, limits.EvictsIdle, 0)
		if v == nil || a.openConns > limits.Conns+limits.Conns/largeReserve {
			a.mu.Unlock()
			a.onEvict(Eviction{Reason: NoConnection, Phase: PhaseNew, Bytes: ConnCost})
			return false
		}
		defer a.end([]eviction{a.markEvicted(v, NoConnection, now)})
	}
	c.index, c.isGone = len(a.conns), false
	a.conns = append(a.conns, c)
	a.openConns++
	a.used += c.bytes
	a.mu.Unlock()
	return true
}

// An eviction is a connection that is to be ended.
type eviction struct {
	conn *Conn
	info Eviction
}

// markEvicted records an eviction. The lock is held.
func (a *Account) markEvicted(c *Conn, reason Reason, now time.Duration) eviction {
	c.isEvicted = true
	a.evicted += c.bytes
	return eviction{c, Eviction{Reason: reason, Phase: c.phase, Bytes: c.bytes, Age: now - c.since}}
}

// end carries out evictions. The lock is not held.
func (a *Account) end(evictions []eviction) {
	for _, e := range evictions {
		e.conn.evict(e.info.Reason)
		a.onEvict(e.info)
	}
}

// heldSince returns the time since which a connection keeps what it holds without need, and
// whether it may be evicted. The lock is held.
func (c *Conn) heldSince(now time.Duration, evictsIdle bool) (time.Duration, bool) {
	switch c.phase {
	case PhaseNew, PhaseHead, PhaseBody, PhaseClosing:
		return c.since, true
	case PhaseServing:
		// A request that is being served is not ended, but an answer may be that its caller
		// does not read.
		since := time.Duration(c.blocked.Load())
		return since, since != 0 && now-since >= minBlocked
	}
	return c.since, evictsIdle || c.wasRefused
}

// pickVictim returns the connection that holds the most for the longest, by the product of the
// two, or nil if none that holds minBytes may be evicted. Of equals it is self. The lock is
// held.
func (a *Account) pickVictim(self *Conn, now time.Duration, evictsIdle bool, minBytes int64) *Conn {
	var victim *Conn
	most := 0.0
	for _, c := range a.conns {
		if c.isEvicted || c.bytes < minBytes {
			continue
		}
		since, ok := c.heldSince(now, evictsIdle)
		if !ok {
			continue
		}
		if score := float64(c.bytes) * float64(max(now-since, time.Millisecond)); score > most || score == most && c == self {
			victim, most = c, score
		}
	}
	return victim
}

// Grow adds n bytes to what the connection holds. It evicts others as necessary, and reports
// false if the connection is itself evicted or there is no room, in which case nothing is added.
func (c *Conn) Grow(n int64) bool { return c.grow(n, false) }

// grow adds n bytes as Grow does. Those of a large answer leave a part of the budget, and the
// reserve beyond it, to others.
func (c *Conn) grow(n int64, isLargeAnswer bool) bool {
	if c == nil {
		return true
	}
	a := c.account
	limits, now := a.limits(), a.now()
	a.mu.Lock()
	if c.isEvicted || c.isGone {
		a.mu.Unlock()
		return false
	}
	c.bytes += n
	a.used += n
	var evictions []eviction
	ok := true
	small, reserve, limit := limits.Bytes/smallReserve, limits.Bytes/largeReserve, limits.Bytes
	isSmall := !isLargeAnswer && c.bytes <= smallRequest
	switch {
	case isSmall:
		reserve = limits.Bytes / evictedReserve
	case isLargeAnswer:
		limit -= limits.Bytes / spareReserve
	}
	for a.used-a.evicted > limit {
		minBytes := int64(0)
		isWithinReserve := a.used-a.evicted <= limit+small
		if isWithinReserve || isLargeAnswer { // it may need more than small ones hold together
			minBytes = smallRequest + 1
		}
		v := a.pickVictim(c, now, limits.EvictsIdle, minBytes)
		if v == nil {
			ok = isSmall && isWithinReserve
			break
		}
		if v == c {
			ok = false
			break
		}
		evictions = append(evictions, a.markEvicted(v, NoMemory, now))
	}
	ok = ok && a.used <= limits.Bytes+reserve
	if !ok {
		c.bytes -= n
		a.used -= n
		if c.phase != PhaseServing { // its caller is refused
			evictions = append(evictions, a.markEvicted(c, NoMemory, now))
		}
	}
	a.mu.Unlock()
	a.end(evictions)
	return ok
}

// ErrNoMemory is the error of an answer for which there is no memory.
var ErrNoMemory = errors.New("callers hold too much of the VM's memory for the answer")

// waitInterval is the interval at which a request that waits for memory tries again.
const waitInterval = 20 * time.Millisecond

// Wait adds n bytes once there is room. It returns ErrNoMemory if ctx ends before.
func (c *Conn) Wait(ctx context.Context, n int64) error { return c.wait(ctx, n, false) }

// WaitLarge adds n bytes of a large answer once there is room. A part of the budget stays free
// for ordinary requests and answers, because faulty endpoints may send large ones to many callers.
func (c *Conn) WaitLarge(ctx context.Context, n int64) error { return c.wait(ctx, n, true) }

func (c *Conn) wait(ctx context.Context, n int64, isLargeAnswer bool) error {
	for !c.grow(n, isLargeAnswer) {
		if !pause.For(ctx, waitInterval) {
			return ErrNoMemory
		}
	}
	return nil
}

// Shrink removes n bytes from what the connection holds.
func (c *Conn) Shrink(n int64) {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.shrink(n)
}

// shrink removes bytes. The lock is held.
func (c *Conn) shrink(n int64) {
	if c.isGone {
		return
	}
	c.bytes -= n
	c.account.used -= n
	if c.isEvicted {
		c.account.evicted -= n
	}
}

// StartHead records the first byte of a request, unless one is in progress. It reports
// whether a head is arriving.
func (c *Conn) StartHead() bool {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.phase == PhaseNew || c.phase == PhaseIdle {
		c.phase, c.since = PhaseHead, c.account.now()
	}
	return c.phase == PhaseHead
}

// StartBody records that a head has arrived. It reports false if the request must be refused.
func (c *Conn) StartBody() bool { return c.enter(PhaseBody) }

// StartServing records that a request has arrived. It reports false if the request must be
// refused.
func (c *Conn) StartServing() bool { return c.enter(PhaseServing) }

func (c *Conn) enter(phase Phase) bool {
	if c == nil {
		return true
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.isEvicted || c.phase == PhaseClosing {
		return false
	}
	if c.phase == PhaseNew || c.phase == PhaseIdle { // the head was read together with the request before
		c.since = c.account.now()
	}
	c.phase, c.wasRefused = phase, false
	c.progress.Store(int64(c.account.now()))
	return true
}

// StartClosing records that the caller was refused and the rest of its request is discarded.
func (c *Conn) StartClosing() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.shrink(c.bytes - ConnCost)
	c.phase, c.since = PhaseClosing, c.account.now()
	c.keep() // from now on it may be closed in favour of others
}

// SetRefused records that the request is refused for the caller's own fault.
func (c *Conn) SetRefused() {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.wasRefused = true
}

// SetIdle records that the answer to a request is complete. The request's memory is released.
func (c *Conn) SetIdle() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.shrink(c.bytes - ConnCost)
	c.phase, c.since = PhaseIdle, c.account.now()
}

// Close removes the connection from the account.
func (c *Conn) Close() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.isGone {
		return
	}
	c.shrink(c.bytes)
	c.disconnect()
	c.isGone = true
	c.account.remove(c)
}

// remove removes a connection from the list. The lock is held.
func (a *Account) remove(c *Conn) {
	last := len(a.conns) - 1
	a.conns[c.index] = a.conns[last]
	a.conns[c.index].index = c.index
	a.conns[last] = nil
	a.conns = a.conns[:last]
}

// Disconnect records that the connection is closed, while its request may still hold memory.
func (c *Conn) Disconnect() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.disconnect()
}

// disconnect records that the connection is closed. The lock is held.
func (c *Conn) disconnect() {
	if !c.isDisconnected {
		c.isDisconnected = true
		c.account.openConns--
	}
}

// Phase returns the connection's phase and whether it was evicted.
func (c *Conn) Phase() (phase Phase, isEvicted bool) {
	if c == nil {
		return PhaseServing, false
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.phase, c.isEvicted
}

// Progress records that a byte of a body has arrived.
func (c *Conn) Progress() { c.progress.Store(int64(c.account.now())) }

// SetBlocked records whether a write waits for the caller to read.
func (c *Conn) SetBlocked(isBlocked bool) {
	since := int64(0)
	if isBlocked {
		since = max(1, int64(c.account.now()))
	}
	c.blocked.Store(since)
}

// Limits returns the current limits of the connection's account.
func (c *Conn) Limits() Limits { return c.account.limits() }

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
	for _, c := range a.conns {
		if !c.isEvicted && c.isOverdue(now, limits) {
			evictions = append(evictions, a.markEvicted(c, TimedOut, now))
		}
	}
	a.mu.Unlock()
	a.end(evictions)
}

// postpone extends the times of all connections by d. The lock is held.
func (a *Account) postpone(d time.Duration) {
	for _, c := range a.conns {
		c.since += d
		c.progress.Add(int64(d))
		if blocked := c.blocked.Load(); blocked != 0 {
			// A write that ends meanwhile has set it to 0.
			c.blocked.CompareAndSwap(blocked, blocked+int64(d))
		}
	}
}

// idleMargin is how much longer than the limit idle connections stay open: callers measure
// the time from when they have read the answer.
const idleMargin = time.Second

// isOverdue reports whether a connection's time is over. The lock is held.
func (c *Conn) isOverdue(now time.Duration, limits Limits) bool {
	switch c.phase {
	case PhaseNew, PhaseIdle:
		return now-c.since > limits.IdleTimeout+idleMargin
	case PhaseHead:
		return now-c.since > limits.HeaderTimeout
	case PhaseBody:
		return now-time.Duration(c.progress.Load()) > limits.IdleTimeout
	case PhaseClosing:
		return now-c.since > limits.LingerTimeout
	}
	blocked := c.blocked.Load()
	return blocked != 0 && now-time.Duration(blocked) > limits.IdleTimeout
}

// Usage returns the bytes and the connections that callers hold.
func (a *Account) Usage() (bytes int64, conns int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used, a.openConns
}

// Keep takes back an eviction, for a connection on which a request had begun to arrive when it
// was to be closed as idle.
func (c *Conn) Keep() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.keep()
}

// keep takes back an eviction. The lock is held.
func (c *Conn) keep() {
	if c.isEvicted && !c.isGone {
		c.isEvicted = false
		c.account.evicted -= c.bytes
	}
}

type contextKey struct{}

// NewContext returns a context that carries c.
func NewContext(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the connection that ctx carries, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}
