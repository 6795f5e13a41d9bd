package duty_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/duty"
	"knapweedplank.org/plank/internal/store/memory"
)

const leaseDuration = 3 * time.Second

// A clock returns the time set by the test.
type clock struct{ now time.Time }

// Now implements plank.Clock.
func (c *clock) Now() time.Time { return c.now }

type vm struct {
	*duty.Lease
	id   plank.VMID
	boot plank.BootID
}

func newVM(c *clock, store plank.Store, id plank.VMID, boot plank.BootID, fenced bool) vm {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return vm{duty.New("d1", id, boot, leaseDuration, fenced, false, store, c, log.WithField("vm", id)), id, boot}
}

// run steps the VMs every 100 ms for d. Each one sees the claims and boot IDs of
// the others.
func run(c *clock, d time.Duration, vms ...vm) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(100 * time.Millisecond) {
		for _, v := range vms {
			f := duty.DomainView{Boots: map[plank.VMID]plank.BootID{}}
			for _, o := range vms {
				f.Candidates = append(f.Candidates, o.id)
				if o.id == v.id {
					continue
				}
				f.Boots[o.id] = o.boot
				if o.Term() > 0 {
					f.Claimed, f.LeaseVersion = true, o.Version()
				}
			}
			v.Step(context.Background(), f)
		}
	}
}

// holders returns how many of the VMs hold the lease and the term of the last.
func holders(vms ...vm) (n int, term plank.Term) {
	for _, v := range vms {
		if v.Term() > 0 {
			n++
			term = v.Term()
		}
	}
	return n, term
}

func TestOneVMAcquiresLease(t *testing.T) {
	c, store := &clock{time.Unix(1_800_000_000, 0)}, memory.New()
	a, b := newVM(c, store, "a", "1", true), newVM(c, store, "b", "1", true)
	run(c, 3*time.Second, a, b)
	n, _ := holders(a, b)
	assert.Equal(t, n, 1)
}

// A VM without connections to its peers does not acquire a lease that is still
// renewed, although it sees no claim of the holder.
func TestRenewedLeaseIsNotAcquired(t *testing.T) {
	c, store := &clock{time.Unix(1_800_000_000, 0)}, memory.New()
	a, b := newVM(c, store, "a", "1", true), newVM(c, store, "b", "1", true)
	run(c, 2*time.Second, a)
	for range 20 {
		run(c, 500*time.Millisecond, a)
		run(c, 100*time.Millisecond, b)
	}
	assert.Assert(t, a.Term() > 0)
	assert.Equal(t, b.Term(), plank.Term(0))
}

// The lease of a holder that no longer renews it is acquired after its expiry,
// under a higher term.
func TestExpiredLeaseIsAcquired(t *testing.T) {
	c, store := &clock{time.Unix(1_800_000_000, 0)}, memory.New()
	a, b := newVM(c, store, "a", "1", true), newVM(c, store, "b", "1", true)
	run(c, 2*time.Second, a)
	first := a.Term()
	run(c, 2500*time.Millisecond, b)
	assert.Equal(t, b.Term(), plank.Term(0), "the lease has not expired")
	run(c, 3*time.Second, b)
	assert.Assert(t, b.Term() > first)
}

// A VM that has restarted reacquires its own lease at its first step. Other VMs
// recognize by the boot ID that the run that held the lease has ended.
func TestLeaseOfEarlierRunIsAvailable(t *testing.T) {
	for _, test := range []struct {
		name string
		next func(c *clock, store plank.Store) []vm
	}{
		{"own", func(c *clock, s plank.Store) []vm { return []vm{newVM(c, s, "a", "2", true)} }},
		{"another's", func(c *clock, s plank.Store) []vm {
			b := newVM(c, s, "b", "1", true)
			return []vm{b}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, store := &clock{time.Unix(1_800_000_000, 0)}, memory.New()
			a := newVM(c, store, "a", "1", true)
			run(c, 2*time.Second, a)
			v := test.next(c, store)[0]
			for range 12 {
				v.Step(context.Background(), duty.DomainView{Candidates: []plank.VMID{v.id}, Boots: map[plank.VMID]plank.BootID{"a": "2"}})
				c.now = c.now.Add(100 * time.Millisecond)
			}
			assert.Assert(t, v.Term() > 0)
		})
	}
}

// If the store's response to a write is lost, the VM reads the lease back and
// keeps it under the same term.
func TestLostResponsesAreReadBack(t *testing.T) {
	c, store := &clock{time.Unix(1_800_000_000, 0)}, memory.New()
	n := 0
	store.Fault = func() memory.Fault {
		n++
		if n%3 == 2 {
			return memory.LostResponse
		}
		return memory.NoFault
	}
	a, b := newVM(c, store, "a", "1", true), newVM(c, store, "b", "1", true)
	run(c, 5*time.Second, a, b)
	held, term := holders(a, b)
	assert.Equal(t, held, 1)
	run(c, 10*time.Second, a, b)
	held, later := holders(a, b)
	assert.Equal(t, held, 1)
	assert.Equal(t, term, later, "the term changed because of lost responses")
}

// While the store is unavailable, a holder whose engines check no terms stops
// before the lease expires; one whose engines check terms continues until an
// engine refuses its term.
func TestHolderWhileStoreUnavailable(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		c, store := &clock{time.Unix(1_800_000_000, 0)}, memory.New()
		a := newVM(c, store, "a", "1", fenced)
		run(c, 2*time.Second, a)
		term := a.Term()
		store.Fault = func() memory.Fault { return memory.LostRequest }
		run(c, leaseDuration, a)
		assert.Equal(t, a.Term() > 0, fenced)
		a.MarkFenced(term)
		run(c, time.Second, a)
		assert.Equal(t, a.Term(), plank.Term(0))
	}
}

// A holder that shuts down while the store is unavailable keeps the lease, since
// no other VM could acquire it.
func TestReleaseWhileStoreUnavailable(t *testing.T) {
	c, store := &clock{time.Unix(1_800_000_000, 0)}, memory.New()
	a := newVM(c, store, "a", "1", true)
	run(c, 2*time.Second, a)
	store.Fault = func() memory.Fault { return memory.LostRequest }
	a.Release(context.Background(), "b")
	assert.Assert(t, a.Term() > 0)
	store.Fault = nil
	a.Release(context.Background(), "b")
	assert.Equal(t, a.Term(), plank.Term(0))
}

// A released lease is acquired by its successor without waiting for the expiry.
func TestReleasedLeaseGoesToSuccessor(t *testing.T) {
	c, store := &clock{time.Unix(1_800_000_000, 0)}, memory.New()
	a, b := newVM(c, store, "a", "1", true), newVM(c, store, "b", "1", true)
	run(c, 2*time.Second, a)
	a.Release(context.Background(), "b")
	assert.Equal(t, a.Term(), plank.Term(0))
	for range 10 {
		b.Step(context.Background(), duty.DomainView{Relinquished: true, Candidates: []plank.VMID{"b"}})
		c.now = c.now.Add(100 * time.Millisecond)
	}
	assert.Assert(t, b.Term() > 0)
}

// A holder that had been paused for longer than its lease gave orders under it after it
// woke, before it had read that another VM had acquired it.
func TestPausedHolderVerifiesItsLease(t *testing.T) {
	for _, test := range []struct {
		name        string
		pause       time.Duration
		fenced      bool
		taken, away bool // another VM acquires the lease; the store does not answer
		wantStep    bool // whether the lease is held after a step
	}{
		{"a short pause", time.Second, true, false, false, true},
		{"not taken meanwhile", 5 * time.Second, true, false, false, true},
		{"taken meanwhile", 5 * time.Second, true, true, false, false},
		{"the store is away and engines check terms", 5 * time.Second, true, false, true, true},
		{"the store is away and engines do not", 5 * time.Second, false, false, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, store := &clock{now: time.Unix(1000, 0)}, memory.New()
			gate := &switchStore{Store: store}
			a, b := newVM(c, gate, "a", "1", test.fenced), newVM(c, store, "b", "1", test.fenced)
			run(c, 3*time.Second, a)
			assert.Assert(t, a.Term() > 0)
			if test.taken {
				run(c, test.pause, b)
				assert.Assert(t, b.Term() > 0)
			} else {
				c.now = c.now.Add(test.pause)
			}
			gate.away = test.away
			a.Step(context.Background(), duty.DomainView{Paused: true, Candidates: []plank.VMID{"a", "b"}})
			assert.Equal(t, a.Term() > 0, test.wantStep)
		})
	}
}

// A switchStore is a store that may be away.
type switchStore struct {
	plank.Store
	away bool
}

// Put implements plank.Store.
func (s *switchStore) Put(ctx context.Context, key string, value []byte, want plank.ObjectVersion) (plank.ObjectVersion, error) {
	if s.away {
		return 0, &plank.UnavailableError{Target: "store", Op: "put", Err: context.DeadlineExceeded}
	}
	return s.Store.Put(ctx, key, value, want)
}

// Two holders that were slowed to a fifth of their processor renewed their leases for 8 s,
// and could not hand them over, since the store's answers came too late for them.
func TestLeaseIsTakenFromAnUnfitHolder(t *testing.T) {
	for _, test := range []struct {
		name   string
		fenced bool
		change func(*duty.DomainView)
		want   bool // whether b holds the lease
	}{
		{"by the first candidate", true, func(*duty.DomainView) {}, true},
		{"not by the second", true, func(v *duty.DomainView) { v.Candidates = []plank.VMID{"c", "b"} }, false},
		{"not from a fit one", true, func(v *duty.DomainView) { v.UnfitHolder = "" }, false},
		{"not from another VM that has acquired it since", true, func(v *duty.DomainView) { v.UnfitHolder = "c" }, false},
		{"not if engines do not check terms", false, func(*duty.DomainView) {}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, store := &clock{now: time.Unix(1000, 0)}, memory.New()
			a, b := newVM(c, store, "a", "1", test.fenced), newVM(c, store, "b", "1", test.fenced)
			run(c, 3*time.Second, a)
			before := a.Term()
			for range 10 {
				v := duty.DomainView{Claimed: true, UnfitHolder: "a", LeaseVersion: a.Version(), Candidates: []plank.VMID{"b", "c"}, Boots: map[plank.VMID]plank.BootID{"a": "1"}}
				test.change(&v)
				b.Step(context.Background(), v)
				a.Step(context.Background(), duty.DomainView{}) // renews
				c.now = c.now.Add(100 * time.Millisecond)
			}
			assert.Equal(t, b.Term() > 0, test.want)
			if test.want {
				assert.Assert(t, b.Term() > before, "terms do not increase")
			}
		})
	}
}
