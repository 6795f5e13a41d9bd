package cold_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/cold"
)

const (
	coldRate  = 6.9
	perSecond = 15 // 6.9 x 1.5 + 5 requests in a second
	service   = plank.ServiceID("s")
)

var (
	start    = time.Unix(1_800_000_000, 0)
	bound    = cold.Bound{Overage: 1.5, Slack: 5}
	endpoint = plank.Instance{ID: "e1", Service: service}
)

// A clock is the virtual time of a test.
type clock struct{ now time.Time }

// Now implements plank.Clock.
func (c *clock) Now() time.Time { return c.now }

func services(plank.ServiceID) plank.Service {
	return plank.Service{ColdRate: coldRate, ColdTime: 3 * time.Second}
}

// most returns the largest number of arrivals in a second.
func most(arrivals []time.Time) (n int) {
	slices.SortFunc(arrivals, time.Time.Compare)
	first := 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= time.Second {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// Guards against the crash of replicas that come back cold while every VM of a fleet has calls
// for them: each VM sent calls as if it were alone. VMs are killed and started again without
// memory, paused, and forget each other in a split. The part of the rate that is used is
// checked too.
func TestPortionsStayWithinBound(t *testing.T) {
	for _, test := range []struct {
		size  int
		bound cold.Bound
	}{{2, bound}, {7, bound}, {68, bound}, {360, bound}, {68, cold.Bound{Overage: 1, Slack: 2}}} {
		size, bound, perSecond := test.size, test.bound, test.bound.PerSecond(coldRate)
		t.Run(fmt.Sprint(size, "-", perSecond), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(uint64(size), 1))
			c := &clock{start}
			table := cold.NewTable(c, services)
			vms := make([]plank.VMID, size)
			known := make([][]plank.VMID, size)
			portions := make([]*cold.Portions, size)
			boot := func(i int) {
				portions[i] = cold.NewPortions(vms[i], func() ([]plank.VMID, int) { return known[i], 0 }, table, bound, c)
			}
			for i := range vms {
				vms[i] = plank.VMID(fmt.Sprint("vm", i))
			}
			for i := range vms {
				known[i] = slices.Delete(slices.Clone(vms), i, i+1)
				boot(i)
			}
			var arrivals []time.Time
			used := make(map[int]bool)
			var parts [2][]time.Time // the arrivals of each part of the split
			const wholeFleet = 20 * time.Second
			for c.now.Sub(start) < 2*wholeFleet {
				c.now = c.now.Add(20 * time.Millisecond)
				table.Record(endpoint, c.now.Add(3*time.Second), cold.Answer, false)
				if c.now.Sub(start) == wholeFleet {
					rate := float64(len(arrivals)) / wholeFleet.Seconds()
					assert.Assert(t, rate > 0.22*float64(perSecond), "%.1f requests per second", rate)
					for i := range known { // the parts of a split have forgotten each other
						known[i] = slices.DeleteFunc(known[i], func(vm plank.VMID) bool { return slices.Index(vms, vm)%2 != i%2 })
					}
				}
				for i := range portions {
					if portions[i].Take(endpoint) {
						used[i] = true
						arrivals = append(arrivals, c.now.Add(time.Duration(rng.IntN(100))*time.Millisecond))
						if c.now.Sub(start) > wholeFleet {
							parts[i%2] = append(parts[i%2], arrivals[len(arrivals)-1])
						}
					}
				}
				if rng.IntN(200) == 0 {
					boot(rng.IntN(size))
				}
			}
			assert.Assert(t, most(arrivals) <= perSecond, "%d requests in a second", most(arrivals))
			for _, part := range parts {
				assert.Assert(t, most(part) <= perSecond/2, "%d requests of a part in a second", most(part))
			}
			assert.Assert(t, len(used) >= min(size, 30), "only %d VMs got a turn", len(used))
		})
	}
}

// Guards against VMs that take over the portions of dead ones at once: a VM that is cut off
// and still sends would exceed the bound together with its successor.
func TestPortionsOfSilentVMsLapse(t *testing.T) {
	c := &clock{start}
	table := cold.NewTable(c, services)
	others := []plank.VMID{"b", "c", "d", "e", "f", "g", "h", "i"}
	p := cold.NewPortions("a", func() ([]plank.VMID, int) { return others, 0 }, table, bound, c)
	u := cold.NewPortions("a", func() ([]plank.VMID, int) { return nil, len(others) }, table, bound, c)
	assert.Assert(t, !p.Take(endpoint), "the process may have sent some before its start")
	counts := [2]int{}
	for range 3000 {
		c.now = c.now.Add(20 * time.Millisecond)
		for n, portions := range []*cold.Portions{p, u} {
			if portions.Take(endpoint) {
				counts[n]++
			}
		}
	}
	for _, n := range counts { // of 60 s at 5 requests per second, a ninth
		assert.Assert(t, n > 10 && n < 70, "%v requests", counts)
	}
}

// Guards against VMs that use their portions while others do not know yet that the replica,
// which was warm, has become cold.
func TestPortionsOfAReplicaThatBecomesCold(t *testing.T) {
	c := &clock{start}
	table := cold.NewTable(c, services)
	p := cold.NewPortions("a", func() ([]plank.VMID, int) { return nil, 0 }, table, bound, c)
	c.now = c.now.Add(time.Minute)
	table.Record(endpoint, c.now.Add(3*time.Second), cold.Answer, true)
	assert.Assert(t, p.NextAt(endpoint).Sub(c.now) > time.Second)
	c.now = c.now.Add(1200 * time.Millisecond)
	assert.Assert(t, p.NextAt(endpoint).IsZero() && p.Take(endpoint))
}

// Guards against the crash of engines at the moments when the bound is hardest to keep: they
// become cold while warm traffic arrives, the holder learns it late, and an old holder goes on
// beside the new one.
func TestGrantsStayWithinBound(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		coldAt := start.Add(2 * time.Second)
		learnedAt := coldAt.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
		takeover := learnedAt.Add(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
		overlap := time.Duration(rng.IntN(2000)) * time.Millisecond
		warmInterval := time.Duration(70+rng.IntN(100)) * time.Millisecond
		old, successor := cold.NewPacer(bound), cold.NewPacer(bound)
		var arrivals []time.Time
		var lastWarm time.Time
		paced := 0
		grant := func(p *cold.Pacer, now time.Time) {
			isCold := !now.Before(learnedAt)
			p.SetCold(isCold, now)
			if isCold && p.NextAt(coldRate).After(now) || !isCold && now.Sub(lastWarm) < warmInterval {
				return
			}
			if !isCold {
				lastWarm = now
			} else {
				paced++
			}
			p.Record(coldRate, now)
			if at := now.Add(time.Duration(rng.IntN(100)) * time.Millisecond); !at.Before(coldAt) {
				arrivals = append(arrivals, at)
			}
		}
		for now := start; now.Before(start.Add(6 * time.Second)); now = now.Add(5 * time.Millisecond) {
			if now.Before(takeover.Add(overlap)) {
				grant(old, now)
			}
			if !now.Before(takeover) {
				grant(successor, now)
			}
		}
		assert.Assert(t, most(arrivals) <= perSecond, "%d requests in a second", most(arrivals))
		assert.Assert(t, paced > 15, "%d requests in 4 s", paced)
	}
}

// Guards against a holder that sends at once what waited for an engine that becomes cold after
// a burst of warm traffic: the requests before it knew count as well.
func TestGrantsBeforeColdnessWasKnownCount(t *testing.T) {
	p := cold.NewPacer(bound)
	for n := range 20 {
		p.Record(coldRate, start.Add(time.Duration(n)*10*time.Millisecond))
	}
	known := start.Add(200 * time.Millisecond)
	p.SetCold(true, known)
	assert.Assert(t, p.NextAt(coldRate).Sub(start) > time.Second)
}

// The latest statement wins in both directions, except that late messages do not end what the
// endpoint stated itself, and that a countdown is no change.
func TestStatements(t *testing.T) {
	c := &clock{start}
	table := cold.NewTable(c, services)
	ends := func(left time.Duration) time.Time { return c.now.Add(left) }
	isCold := func() bool { return !table.Until(endpoint).IsZero() }
	assert.Assert(t, !table.Record(endpoint, time.Time{}, cold.Registration, false))
	assert.Assert(t, table.Record(endpoint, ends(3*time.Second), cold.Registration, false) && isCold())
	c.now = c.now.Add(time.Second)
	assert.Assert(t, !table.Record(endpoint, ends(2100*time.Millisecond), cold.Peer, true), "a countdown is no change")
	assert.Assert(t, table.Record(endpoint, ends(3*time.Second), cold.Answer, true), "it became cold again")
	table.Record(endpoint, ends(0), cold.Registration, true)
	assert.Assert(t, isCold(), "an older registration ended what the endpoint stated")
	assert.Assert(t, table.Record(endpoint, ends(0), cold.Answer, true) && !isCold(), "the endpoint is warm")
	c.now = c.now.Add(4 * time.Second)
	assert.Assert(t, !isCold())

	table.RecordRefused(endpoint)
	assert.Assert(t, isCold(), "a replica whose process is down")
	table.Record(endpoint, ends(0), cold.Answer, true)
	assert.Assert(t, !isCold())

	table.MarkUnreached(endpoint)
	assert.Assert(t, isCold())
	table.RecordContact(endpoint)
	c.now = c.now.Add(2900 * time.Millisecond)
	assert.Assert(t, isCold(), "an engine that answers again may have just started")
	table.Record(endpoint, ends(0), cold.Answer, true)
	assert.Assert(t, !isCold())
	c.now = c.now.Add(2 * cold.MaxLeft)
	table.Expire(nil)
	assert.Equal(t, table.Count(), 0)
	never := cold.NewTable(c, func(plank.ServiceID) plank.Service { return plank.Service{} })
	assert.Assert(t, !never.Record(endpoint, ends(3*time.Second), cold.Answer, true) && never.Until(endpoint).IsZero())
}
