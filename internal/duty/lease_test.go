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

const leaseTime = 3 * time.Second

// A clock is moved by the test.
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
	return vm{duty.New("d1", id, boot, leaseTime, fenced, store, c, log.WithField("vm", id)), id, boot}
}

// run steps the VMs every 100 ms with what they would know of each other.
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

func holders(vms ...vm) (n int, term plank.Term) {
	for _, v := range vms {
		if v.Term() > 0 {
			n++
			term = v.Term()
		}
	}
	return n, term
}

func TestOneVMGetsTheLease(t *testing.T) {
	c, store := &clock{time.Unix(1_800_000_000, 0)}, memory.New()
	a, b := newVM(c, store, "a", "1", true), newVM(c, store, "b", "1", true)
	run(c, 3*time.Second, a, b)
	n, _ := holders(a, b)
	assert.Equal(t, n, 1)
}

// A VM that lost its peers does not take a lease that is still renewed, even
// though nobody tells it of the holder.
func TestRenewedLeaseIsNotTaken(t *testing.T) {
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

// The lease of a silent holder is taken once its time has passed, under a
// higher term.
func TestLapsedLeaseIsTaken(t *testing.T) {
	c, store := &clock{time.Unix(1_800_000_000, 0)}, memory.New()
	a, b := newVM(c, store, "a", "1", true), newVM(c, store, "b", "1", true)
	run(c, 2*time.Second, a)
	first := a.Term()
	run(c, 2500*time.Millisecond, b)
	assert.Equal(t, b.Term(), plank.Term(0), "the lease has not lapsed")
	run(c, 3*time.Second, b)
	assert.Assert(t, b.Term() > first)
}

// A VM that started anew takes its own lease back at its first step, and others
// see that the run that held it is over.
func TestLeaseOfAnEarlierRunIsFree(t *testing.T) {
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

// An answer of the store that was lost after the write leaves no doubt about
// the holder for long.
func TestLostAnswersAreReadBack(t *testing.T) {
	c, store := &clock{time.Unix(1_800_000_000, 0)}, memory.New()
	n := 0
	store.Fate = func() memory.Fate {
		n++
		if n%3 == 2 {
			return memory.LostAnswer
		}
		return memory.Done
	}
	a, b := newVM(c, store, "a", "1", true), newVM(c, store, "b", "1", true)
	run(c, 5*time.Second, a, b)
	held, term := holders(a, b)
	assert.Equal(t, held, 1)
	run(c, 10*time.Second, a, b)
	held, later := holders(a, b)
	assert.Equal(t, held, 1)
	assert.Equal(t, term, later, "the lease changed hands for lost answers")
}

// Where engines check no terms a holder that cannot renew stops well before
// another may begin; where they do it goes on until an engine refuses it.
func TestHolderWithoutTheStore(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		c, store := &clock{time.Unix(1_800_000_000, 0)}, memory.New()
		a := newVM(c, store, "a", "1", fenced)
		run(c, 2*time.Second, a)
		term := a.Term()
		store.Fate = func() memory.Fate { return memory.LostCall }
		run(c, leaseTime, a)
		assert.Equal(t, a.Term() > 0, fenced)
		a.MarkFenced(term)
		run(c, time.Second, a)
		assert.Equal(t, a.Term(), plank.Term(0))
	}
}

// A holder that stops while the store is away goes on ordering: nobody else
// could.
func TestReleaseWithoutTheStore(t *testing.T) {
	c, store := &clock{time.Unix(1_800_000_000, 0)}, memory.New()
	a := newVM(c, store, "a", "1", true)
	run(c, 2*time.Second, a)
	store.Fate = func() memory.Fate { return memory.LostCall }
	a.Release(context.Background(), "b")
	assert.Assert(t, a.Term() > 0)
	store.Fate = nil
	a.Release(context.Background(), "b")
	assert.Equal(t, a.Term(), plank.Term(0))
}

func TestReleasedLeaseGoesToTheSuccessor(t *testing.T) {
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
