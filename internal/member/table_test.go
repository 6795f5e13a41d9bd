package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/member"
	"knapweedplank.org/plank/internal/wire"
)

// A testVM is one VM of a pair that exchanges heartbeats.
type testVM struct {
	vm    plank.VMID
	boot  plank.BootID
	table *member.Table
}

func newTestVM(vm plank.VMID, boot plank.BootID) *testVM {
	return &testVM{vm: vm, boot: boot, table: member.New(vm)}
}

// heartbeat returns the VM's heartbeat to another.
func (v *testVM) heartbeat(to *testVM, now time.Time) *wire.Heartbeat {
	hb := &wire.Heartbeat{Vm: string(v.vm), Boot: string(v.boot), Domain: "a", StateSeq: 1}
	if v.table.PrepareHeartbeat(hb, to.vm, now) != 1 {
		hb.State = &wire.State{}
	}
	return hb
}

// exchange sends a heartbeat and its reply, each with a delay of 1 s. It returns the
// time at which the reply arrives.
func exchange(from, to *testVM, now time.Time) time.Time {
	hb := from.heartbeat(to, now)
	now = now.Add(time.Second)
	to.table.MergeHeartbeat(hb, now, to.boot)
	reply := to.heartbeat(from, now)
	now = now.Add(time.Second)
	from.table.MergeHeartbeat(reply, now, from.boot)
	return now
}

const (
	ackTTL        = 6 * time.Second
	retiredAckTTL = 15 * time.Second
)

// TestExtensionCountsFromSendTime checks that a lease is extended from the time at
// which the acknowledged heartbeat was sent, for both VMs of an exchange.
func TestExtensionCountsFromSendTime(t *testing.T) {
	a, b := newTestVM("vm-a", "1"), newTestVM("vm-b", "1")
	now := time.Unix(1000, 0)
	assert.Assert(t, a.table.AckedUntil([]plank.VMID{"vm-b"}, ackTTL, retiredAckTTL, now).IsZero())
	now = exchange(a, b, now)
	sent := now
	now = exchange(a, b, now)
	assert.Equal(t, a.table.AckedUntil([]plank.VMID{"vm-b"}, ackTTL, retiredAckTTL, now), sent.Add(ackTTL))
	// a's second heartbeat acknowledged b's reply of the first exchange.
	assert.Equal(t, b.table.AckedUntil([]plank.VMID{"vm-a"}, ackTTL, retiredAckTTL, now), sent.Add(-time.Second).Add(ackTTL))
	// A VM from which no heartbeat was received extends no lease.
	assert.Assert(t, a.table.AckedUntil([]plank.VMID{"vm-b", "vm-c"}, ackTTL, retiredAckTTL, now).IsZero())
}

// TestRestartInvalidatesAcks checks that a restarted VM extends no lease until it
// acknowledges a heartbeat in its new run, and that the second exchange does so.
func TestRestartInvalidatesAcks(t *testing.T) {
	a, b := newTestVM("vm-a", "1"), newTestVM("vm-b", "1")
	now := time.Unix(1000, 0)
	for range 50 {
		now = exchange(a, b, now)
	}
	b = newTestVM("vm-b", "2")
	now = exchange(a, b, now)
	assert.Assert(t, a.table.AckedUntil([]plank.VMID{"vm-b"}, ackTTL, retiredAckTTL, now).Before(now))
	sent := now
	now = exchange(a, b, now)
	assert.Equal(t, a.table.AckedUntil([]plank.VMID{"vm-b"}, ackTTL, retiredAckTTL, now), sent.Add(ackTTL))
}

// TestLostRepliesExtendNothing loses all replies. The receiver has the heartbeats,
// so it does not fence the sender, but the sender's lease is not extended.
func TestLostRepliesExtendNothing(t *testing.T) {
	a, b := newTestVM("vm-a", "1"), newTestVM("vm-b", "1")
	now := exchange(a, b, time.Unix(1000, 0))
	now = exchange(a, b, now)
	until := a.table.AckedUntil([]plank.VMID{"vm-b"}, ackTTL, retiredAckTTL, now)
	for range 5 {
		now = now.Add(time.Second)
		b.table.MergeHeartbeat(a.heartbeat(b, now), now, b.boot)
	}
	assert.Equal(t, a.table.AckedUntil([]plank.VMID{"vm-b"}, ackTTL, retiredAckTTL, now), until)
	assert.Equal(t, b.table.LastReceived("vm-a"), now)
}

// TestRetiredVMExtendsLonger checks that the last heartbeat of a run that shuts down
// extends a lease by retiredAckTTL, from the send time of the acknowledged
// heartbeat, and that the VM's next run ends the extension.
func TestRetiredVMExtendsLonger(t *testing.T) {
	a, b := newTestVM("vm-a", "1"), newTestVM("vm-b", "1")
	now := exchange(a, b, time.Unix(1000, 0))
	sent := now
	now = exchange(a, b, now)
	last := b.heartbeat(a, now)
	last.Retired = true
	a.table.MergeHeartbeat(last, now.Add(3*time.Second), a.boot)
	assert.Equal(t, a.table.AckedUntil([]plank.VMID{"vm-b"}, ackTTL, retiredAckTTL, now), sent.Add(retiredAckTTL))
	b = newTestVM("vm-b", "2")
	exchange(a, b, now)
	assert.Assert(t, a.table.AckedUntil([]plank.VMID{"vm-b"}, ackTTL, retiredAckTTL, now).Before(now))
}
