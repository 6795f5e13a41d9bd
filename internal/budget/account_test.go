package budget

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A testClock is a clock in virtual time.
type testClock struct{ now time.Time }

// Now implements plank.Clock.
func (c *testClock) Now() time.Time { return c.now }

const mib = 1 << 20

// A testAccount is an account in virtual time. Connections that it evicts release what they
// hold after delay, as goroutines do that wait for the processor.
type testAccount struct {
	*Account
	t         *testing.T
	clock     *testClock
	limits    Limits
	evictions []Eviction
	releases  []func()
	peak      int64
}

func newTestAccount(t *testing.T) *testAccount {
	a := &testAccount{t: t, clock: &testClock{now: time.Unix(1000, 0)}, limits: Limits{
		Bytes: 40 * mib, Conns: 1000, MaxHeader: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second, LingerTimeout: 2 * time.Second,
	}}
	a.Account = New(a.clock, func() Limits { return a.limits }, func(e Eviction) { a.evictions = append(a.evictions, e) })
	return a
}

// open adds a connection.
func (a *testAccount) open() *Conn {
	a.t.Helper()
	var h *Conn
	h = a.NewConn(func(reason Reason) {
		if reason == NoConnection {
			h.Disconnect()
		}
		a.releases = append(a.releases, h.Close)
	})
	assert.Assert(a.t, h.Open())
	return h
}

// tick lets a millisecond pass, in which evicted connections release what they held.
func (a *testAccount) tick() {
	bytes, _ := a.Usage()
	a.peak = max(a.peak, bytes)
	for _, release := range a.releases {
		release()
	}
	a.releases = nil
	a.clock.now = a.clock.now.Add(time.Millisecond)
}

// sendBody sends a body of n bytes in pieces and reports whether it was accepted.
func (a *testAccount) sendBody(h *Conn, n, piece int64) bool {
	h.StartHead()
	if !h.Grow(HeadCost(1500, 20)) || !h.StartBody() {
		return false
	}
	for ; n > 0; n -= piece {
		if !h.Grow(min(n, piece)) {
			return false
		}
	}
	return true
}

// Guards against ordinary callers that are refused for a crowd of large bodies which stop just
// short of their end: 120 bodies of 4 MiB took 685 MB of a VM of 184 MB.
func TestCrowdOfBodiesGoesBeforeOrdinaryCallers(t *testing.T) {
	a := newTestAccount(t)
	crowd := make([]*Conn, 120)
	for n := range crowd {
		crowd[n] = a.open()
		crowd[n].StartHead()
		crowd[n].StartBody()
	}
	served := 0
	for range 64 { // pieces of 64 KiB, in turn, with an ordinary request after each round
		for _, h := range crowd {
			h.Grow(64 << 10)
		}
		a.tick()
		h := a.open()
		if a.sendBody(h, 55<<10, 16<<10) && h.StartServing() {
			served++
		}
		a.tick()
		h.SetIdle()
		h.Close()
	}
	assert.Equal(t, served, 64)
	assert.Assert(t, a.peak <= a.limits.Bytes+a.limits.Bytes/largeReserve, "%d", a.peak)
	assert.Assert(t, len(a.evictions) > 0)
	for _, e := range a.evictions {
		assert.Equal(t, e.Phase, PhaseBody)
		assert.Assert(t, e.Bytes > smallRequest, "%d", e.Bytes)
	}
}

// Guards against a sum of bodies that exceeds the budget because none of them may be ended:
// all have arrived and are being served.
func TestBodiesBeingServedAreBounded(t *testing.T) {
	a := newTestAccount(t)
	accepted := 0
	for range 100 {
		h := a.open()
		if a.sendBody(h, 4*mib, 4*mib) && h.StartServing() {
			accepted++
		}
		a.tick()
	}
	assert.Assert(t, accepted == 9, "%d", accepted)
	assert.Assert(t, a.peak <= a.limits.Bytes+a.limits.Bytes/largeReserve, "%d", a.peak)
	// Ordinary requests have a reserve.
	assert.Assert(t, a.sendBody(a.open(), 55<<10, 55<<10))
}

// Guards against answers without bound that callers do not read, and against the end of those
// that are only being made.
func TestAnswersThatAreNotRead(t *testing.T) {
	a := newTestAccount(t)
	serve := func() *Conn {
		h := a.open()
		h.StartHead()
		h.StartBody()
		assert.Assert(t, h.StartServing())
		return h
	}
	busy := serve()
	assert.Assert(t, busy.Grow(8*mib))
	for range 50 {
		h := serve()
		assert.Assert(t, h.Grow(4*mib))
		h.SetBlocked(true)
		a.tick()
		a.clock.now = a.clock.now.Add(minBlocked)
	}
	assert.Assert(t, len(a.evictions) > 0)
	for _, e := range a.evictions {
		assert.Equal(t, e.Bytes, int64(4*mib+ConnCost))
	}
	_, isEvicted := busy.Phase()
	assert.Assert(t, !isEvicted)
}

// Guards against an order by size or by time alone: a caller on a slow link is older than a crowd,
// and a large body that has just arrived is not held yet.
func TestCallerThatHoldsTheMostForTheLongestGoes(t *testing.T) {
	for _, test := range []struct {
		name           string
		bytes          int64
		age            time.Duration
		otherBytes     int64
		otherAge       time.Duration
		isFirstEvicted bool
	}{
		{"small and old, large and new", 200 << 10, 2 * time.Second, 36 * mib, 500 * time.Millisecond, false},
		{"held for long, larger and new", 16 * mib, 2 * time.Second, 20 * mib, 20 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := newTestAccount(t)
			begin := func(bytes int64) *Conn {
				c := a.open()
				c.StartHead()
				c.StartBody()
				assert.Assert(t, c.Grow(bytes))
				return c
			}
			first := begin(test.bytes)
			a.clock.now = a.clock.now.Add(test.age - test.otherAge)
			other := begin(test.otherBytes)
			a.clock.now = a.clock.now.Add(test.otherAge)
			c := a.open()
			c.StartHead()
			c.StartBody()
			c.Grow(a.limits.Bytes - test.bytes - test.otherBytes)
			_, isFirst := first.Phase()
			_, isOther := other.Phase()
			assert.Equal(t, isFirst, test.isFirstEvicted)
			assert.Equal(t, isOther, !test.isFirstEvicted)
		})
	}
}

// Guards against ordinary callers that are cut off for large requests which cannot be ended: on a
// VM full of requests that are being served, an ordinary request that was just arriving, or whose
// answer was just being written, was the only one that could be ended.
func TestOrdinaryCallersAreNotEndedForLargeRequests(t *testing.T) {
	a := newTestAccount(t)
	var ordinary []*Conn
	for n := range 40 {
		h := a.open()
		assert.Assert(t, a.sendBody(h, 55<<10, 16<<10))
		if n%2 == 0 {
			assert.Assert(t, h.StartServing())
			h.SetBlocked(true)
		}
		ordinary = append(ordinary, h)
	}
	refused := 0
	for range 30 {
		h := a.open()
		if !a.sendBody(h, 2*mib, 2*mib) || !h.StartServing() {
			refused++
		}
		a.tick()
	}
	assert.Assert(t, refused > 0)
	for _, h := range ordinary {
		_, isEvicted := h.Phase()
		assert.Assert(t, !isEvicted)
	}
	for range 40 {
		h := a.open()
		assert.Assert(t, a.sendBody(h, 55<<10, 16<<10) && h.StartServing())
	}
}

// Guards against connections without a request that take the place of ordinary callers, and
// against idle connections of these that are closed before their time.
func TestConnectionsOpenedAndLeft(t *testing.T) {
	a := newTestAccount(t)
	a.limits.Conns = 100
	idle := a.open()
	assert.Assert(t, a.sendBody(idle, 100, 100) && idle.StartServing())
	idle.SetIdle()
	for range 500 {
		a.open()
		a.tick()
		_, conns := a.Usage()
		assert.Assert(t, conns <= 100)
	}
	h := a.open()
	assert.Assert(t, a.sendBody(h, 100, 100) && h.StartServing())
	h.SetIdle()
	a.clock.now = a.clock.now.Add(14 * time.Second)
	for _, h := range []*Conn{idle, h} {
		_, isEvicted := h.Phase()
		assert.Assert(t, !isEvicted)
	}
}

// Guards against connections that are kept by requests which are refused, such as those of
// callers without a key.
func TestRefusedIdleConnectionsMayBeClosed(t *testing.T) {
	a := newTestAccount(t)
	a.limits.Conns = 2
	for range 2 {
		h := a.open()
		h.StartHead()
		h.StartBody()
		h.SetRefused()
		h.SetIdle()
	}
	a.tick()
	a.open()
	assert.Equal(t, len(a.evictions), 1)
}

// Guards against connections that stay open for longer than their limit, and against ends
// before it.
func TestSweep(t *testing.T) {
	for _, test := range []struct {
		name  string
		enter func(h *Conn)
		lasts time.Duration
	}{
		{"new", func(*Conn) {}, 16 * time.Second},
		{"head", func(h *Conn) { h.StartHead() }, 3 * time.Second},
		{"body", func(h *Conn) { h.StartHead(); h.StartBody() }, 15 * time.Second},
		{"answer", func(h *Conn) { h.StartHead(); h.StartBody(); h.StartServing(); h.SetBlocked(true) }, 15 * time.Second},
		{"idle", func(h *Conn) { h.StartHead(); h.StartBody(); h.SetIdle() }, 16 * time.Second},
		{"closing", func(h *Conn) { h.StartHead(); h.StartClosing() }, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := newTestAccount(t)
			test.enter(a.open())
			a.clock.now = a.clock.now.Add(test.lasts)
			a.Sweep()
			assert.Equal(t, len(a.evictions), 0)
			a.clock.now = a.clock.now.Add(time.Millisecond)
			a.Sweep()
			assert.Equal(t, len(a.evictions), 1)
			assert.Equal(t, a.evictions[0].Reason, TimedOut)
		})
	}
	a := newTestAccount(t)
	h := a.open()
	h.StartHead()
	h.StartBody()
	h.StartServing()
	a.clock.now = a.clock.now.Add(time.Hour)
	a.Sweep()
	assert.Equal(t, len(a.evictions), 0, "a request that is being served has no limit here")
}

// Guards against heads that are cut off because the process was paused and has not read what
// arrived meanwhile.
func TestPauseOfTheProcessEndsNoConnection(t *testing.T) {
	a := newTestAccount(t)
	a.clock.now = a.clock.now.Add(time.Second)
	a.Sweep()
	a.open().StartHead()
	body := a.open()
	body.StartHead()
	body.StartBody()
	a.clock.now = a.clock.now.Add(20 * time.Second)
	a.Sweep()
	assert.Equal(t, len(a.evictions), 0)
	for range 13 {
		a.clock.now = a.clock.now.Add(250 * time.Millisecond)
		a.Sweep()
	}
	assert.Equal(t, len(a.evictions), 1)
	assert.Equal(t, a.evictions[0].Phase, PhaseHead)
}

// Guards against memory that stays charged, or is released twice: after all connections have
// closed, whatever happened to them, nothing is held.
func TestAccountIsExact(t *testing.T) {
	a := newTestAccount(t)
	a.limits.Bytes, a.limits.Conns = 2*mib, 20
	var open []*Conn
	for n := range 5000 {
		if n%3 == 0 || len(open) == 0 {
			open = append(open, a.open())
		}
		h := open[n*7%len(open)]
		switch n * 5 % 11 {
		case 0, 1:
			h.StartHead()
		case 2:
			h.StartBody()
		case 3:
			h.StartServing()
		case 4, 5, 6:
			if size := int64(n%97) << 12; h.Grow(size) && n%2 == 0 {
				h.Shrink(size)
			}
		case 7:
			h.SetBlocked(n%2 == 0)
		case 8:
			h.SetIdle()
		case 9:
			h.StartClosing()
		case 10:
			h.Close()
			open = slices.DeleteFunc(open, func(o *Conn) bool { return o == h })
		}
		a.tick()
	}
	for _, h := range open {
		h.Close()
	}
	a.tick()
	bytes, conns := a.Usage()
	assert.Equal(t, bytes, int64(0))
	assert.Equal(t, conns, 0)
	assert.Equal(t, a.evicted, int64(0))
}

// Guards against an estimate below what parsed heads hold: 900 legal heads of very short lines
// took 277 MB.
func TestHeadCostCoversParsedHeader(t *testing.T) {
	var shortNames, sameName strings.Builder
	for n := 0; shortNames.Len() < 15<<10; n++ {
		fmt.Fprintf(&shortNames, "%c%c%c:\r\n", 'a'+n%26, 'a'+n/26%26, 'a'+n/676%26)
	}
	for sameName.Len() < 15<<10 {
		sameName.WriteString("a:\n")
	}
	for _, test := range []struct{ name, lines string }{
		{"ordinary", strings.Repeat("X-Name: "+strings.Repeat("v", 60)+"\r\n", 20)},
		{"short names", shortNames.String()}, {"the same name", sameName.String()}, {"one long line", "a: " + strings.Repeat("x", 15<<10) + "\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			const heads = 100
			head := "POST / HTTP/1.1\r\nHost: x\r\n" + test.lines + "\r\n"
			var before, after runtime.MemStats
			requests := make([]*http.Request, heads)
			runtime.GC()
			runtime.ReadMemStats(&before)
			for n := range requests {
				r, err := http.ReadRequest(bufio.NewReaderSize(strings.NewReader(head), 16))
				assert.NilError(t, err)
				requests[n] = r
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			held := int64(after.HeapAlloc-before.HeapAlloc) / heads
			cost := HeadCost(len(head), strings.Count(head, "\n"))
			t.Logf("%d bytes, held %d, charged %d", len(head), held, cost)
			assert.Assert(t, held <= cost+ConnCost, "held %d, charged %d", held, cost)
			runtime.KeepAlive(requests)
		})
	}
}

// BenchmarkOpenAtLimit measures an eviction, which looks at all connections of the smallest VM.
func BenchmarkOpenAtLimit(b *testing.B) {
	clock := &testClock{now: time.Unix(1000, 0)}
	limits := Limits{Bytes: 1 << 30, Conns: 1437}
	a := New(clock, func() Limits { return limits }, func(Eviction) {})
	open := func() {
		var h *Conn
		h = a.NewConn(func(Reason) { h.Close() })
		h.Open()
	}
	for range limits.Conns {
		open()
	}
	for b.Loop() {
		open()
	}
}

// Guards against a refused connection that takes another one out of the account: each refusal
// once freed a place that was not free, and a later close ended the process.
func TestRefusedConnectionChangesNothing(t *testing.T) {
	a := New(&testClock{}, func() Limits { return Limits{Bytes: 1 << 20, Conns: 2} }, func(Eviction) {})
	var open []*Conn
	for range 2 {
		c := a.NewConn(func(Reason) {})
		assert.Assert(t, c.Open())
		assert.Assert(t, c.StartHead() && c.StartBody() && c.StartServing())
		open = append(open, c)
	}
	for range 5 {
		c := a.NewConn(func(Reason) {})
		assert.Assert(t, !c.Open())
		c.Shrink(10)
		c.Close()
	}
	bytes, conns := a.Usage()
	assert.Equal(t, conns, 2)
	assert.Equal(t, bytes, int64(2*ConnCost))
	for _, c := range open {
		c.Close()
	}
	bytes, conns = a.Usage()
	assert.Assert(t, bytes == 0 && conns == 0, "%d bytes, %d connections", bytes, conns)
}

// Guards against large answers that take the room of ordinary requests, or end requests of
// ordinary size in vain: answers of faulty endpoints without an end filled the account.
func TestLargeAnswersLeaveRoomForOrdinaryRequests(t *testing.T) {
	a := newTestAccount(t)
	ordinary := make([]*Conn, 20)
	for n := range ordinary {
		ordinary[n] = a.open()
		ordinary[n].StartHead()
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	granted := int64(0)
	for range 100 {
		h := a.open()
		h.StartHead()
		assert.Assert(t, h.StartBody() && h.StartServing())
		for size := int64(64 << 10); h.WaitLarge(canceled, size) == nil; size *= 2 {
			granted += size
		}
		a.tick()
	}
	assert.Assert(t, granted > a.limits.Bytes/2 && granted <= a.limits.Bytes-a.limits.Bytes/spareReserve, "%d", granted)
	h := a.open()
	h.StartHead()
	assert.Assert(t, h.StartBody() && h.StartServing())
	assert.ErrorIs(t, h.WaitLarge(canceled, a.limits.Bytes), ErrNoMemory)
	assert.Equal(t, len(a.evictions), 0)
	assert.Assert(t, a.sendBody(a.open(), 55<<10, 55<<10))
	assert.ErrorIs(t, a.open().WaitLarge(canceled, 64<<10), ErrNoMemory)
}
