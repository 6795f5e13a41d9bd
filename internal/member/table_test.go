package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/member"
	"knapweedplank.org/plank/internal/wire"
)

// A side is one VM of a pair that exchanges heartbeats.
type side struct {
	vm    plank.VMID
	boot  plank.BootID
	table *member.Table
}

func newSide(vm plank.VMID, boot plank.BootID) *side {
	return &side{vm: vm, boot: boot, table: member.New(vm)}
}

// beat returns the side's heartbeat for another.
func (s *side) beat(to *side, now time.Time) *wire.Heartbeat {
	hb := &wire.Heartbeat{Vm: string(s.vm), Boot: string(s.boot), Domain: "a", StateSeq: 1}
	if s.table.PrepareHeartbeat(hb, to.vm, now) != 1 {
		hb.State = &wire.State{}
	}
	return hb
}

// exchange sends a heartbeat and its answer, each under way for a second.
func exchange(from, to *side, now time.Time) time.Time {
	hb := from.beat(to, now)
	now = now.Add(time.Second)
	to.table.MergeHeartbeat(hb, now, to.boot)
	answer := to.beat(from, now)
	now = now.Add(time.Second)
	from.table.MergeHeartbeat(answer, now, from.boot)
	return now
}

const (
	consent    = 6 * time.Second
	retirement = 15 * time.Second
)

// TestConsentRunsFromSending checks that consent counts from when the heartbeat
// that was acknowledged was sent, on both sides of one exchange.
func TestConsentRunsFromSending(t *testing.T) {
	a, b := newSide("vm-a", "1"), newSide("vm-b", "1")
	now := time.Unix(1000, 0)
	assert.Assert(t, a.table.AckedUntil([]plank.VMID{"vm-b"}, consent, retirement, now).IsZero())
	now = exchange(a, b, now)
	sent := now
	now = exchange(a, b, now)
	assert.Equal(t, a.table.AckedUntil([]plank.VMID{"vm-b"}, consent, retirement, now), sent.Add(consent))
	// b's answer of the first exchange was acknowledged by a's second heartbeat.
	assert.Equal(t, b.table.AckedUntil([]plank.VMID{"vm-a"}, consent, retirement, now), sent.Add(-time.Second).Add(consent))
	// A VM that was never heard gives none.
	assert.Assert(t, a.table.AckedUntil([]plank.VMID{"vm-b", "vm-c"}, consent, retirement, now).IsZero())
}

// TestConsentEndsWithTheRun checks that a restarted VM holds up nothing until it
// acknowledges anew, and that it soon does.
func TestConsentEndsWithTheRun(t *testing.T) {
	a, b := newSide("vm-a", "1"), newSide("vm-b", "1")
	now := time.Unix(1000, 0)
	for range 50 {
		now = exchange(a, b, now)
	}
	b = newSide("vm-b", "2")
	now = exchange(a, b, now)
	assert.Assert(t, a.table.AckedUntil([]plank.VMID{"vm-b"}, consent, retirement, now).Before(now))
	sent := now
	now = exchange(a, b, now)
	assert.Equal(t, a.table.AckedUntil([]plank.VMID{"vm-b"}, consent, retirement, now), sent.Add(consent))
}

// TestLostAnswersGiveNoConsent loses all answers: the sender is heard, and so
// not taken over, but must not count on it.
func TestLostAnswersGiveNoConsent(t *testing.T) {
	a, b := newSide("vm-a", "1"), newSide("vm-b", "1")
	now := exchange(a, b, time.Unix(1000, 0))
	now = exchange(a, b, now)
	until := a.table.AckedUntil([]plank.VMID{"vm-b"}, consent, retirement, now)
	for range 5 {
		now = now.Add(time.Second)
		b.table.MergeHeartbeat(a.beat(b, now), now, b.boot)
	}
	assert.Equal(t, a.table.AckedUntil([]plank.VMID{"vm-b"}, consent, retirement, now), until)
	assert.Equal(t, b.table.LastReceived("vm-a"), now)
}

// TestRetiredVMsConsentLonger checks that the last heartbeat of a run holds up a
// lease for the time of retirement, counted from the acknowledged heartbeat, and
// that the VM's next run ends it.
func TestRetiredVMsConsentLonger(t *testing.T) {
	a, b := newSide("vm-a", "1"), newSide("vm-b", "1")
	now := exchange(a, b, time.Unix(1000, 0))
	sent := now
	now = exchange(a, b, now)
	last := b.beat(a, now)
	last.Retired = true
	a.table.MergeHeartbeat(last, now.Add(3*time.Second), a.boot)
	assert.Equal(t, a.table.AckedUntil([]plank.VMID{"vm-b"}, consent, retirement, now), sent.Add(retirement))
	b = newSide("vm-b", "2")
	exchange(a, b, now)
	assert.Assert(t, a.table.AckedUntil([]plank.VMID{"vm-b"}, consent, retirement, now).Before(now))
}
