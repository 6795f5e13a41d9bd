package node

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/duty"
	"knapweedplank.org/plank/internal/grant"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/pause"
	"knapweedplank.org/plank/internal/wire"
)

// dutyPace is the pause between looks at the leases.
const dutyPace = 150 * time.Millisecond

// orphanTime is how long no VM of a domain must be alive before one of another
// domain takes its duty.
const orphanTime = 2 * time.Second

// A dutyLoop keeps the leases on the domains' engines. It belongs to the
// control goroutine.
type dutyLoop struct {
	n      *Node
	leases map[plank.DomainID]*duty.Lease
	fenced chan fencing
	// aliveAt is when a VM of a domain was last known to be alive.
	aliveAt map[plank.DomainID]time.Time
	claimer map[plank.DomainID]plank.VMID // that claimed the duty last
	// handAt is when a duty may be handed over again, after an attempt.
	handAt time.Time
	// leaving is set when the leases are to be given up.
	leaving atomic.Bool
}

type fencing struct {
	domain plank.DomainID
	term   plank.Term
}

// run steps the leases until ctx ends.
func (l *dutyLoop) run(ctx context.Context) {
	for pause.For(ctx, dutyPace) {
		l.step(ctx)
	}
}

func (l *dutyLoop) step(ctx context.Context) {
	l.takeFencings()
	n := l.n
	now := n.clock.Now()
	v := n.view.Load()
	for _, d := range l.domains() {
		lease := l.leases[d]
		if lease == nil {
			lease = duty.New(d, n.settings.VM, n.boot, n.settings.Bounds.Lease, n.settings.FencingEnforced, n.store, n.clock, n.log)
			l.leases[d] = lease
			l.aliveAt[d] = now
		}
		if l.leaving.Load() {
			lease.Release(ctx, l.successor(d, now))
		} else {
			facts := l.facts(d, now)
			lease.Step(ctx, facts)
			l.handOver(ctx, d, lease, facts, now)
		}
	}
	var duties []*wire.Duty
	for _, d := range slices.Sorted(maps.Keys(l.leases)) {
		if term := l.leases[d].Term(); term > 0 {
			duties = append(duties, &wire.Duty{Domain: string(d), Term: uint64(term), Version: uint64(l.leases[d].Version())})
		}
	}
	n.state.setDuties(duties)
	l.sync(v.Instances)
	n.observeReach()
}

// takeFencings gives up the leases that engines no longer accept.
func (l *dutyLoop) takeFencings() {
	for {
		select {
		case f := <-l.fenced:
			if lease := l.leases[f.domain]; lease != nil {
				lease.MarkFenced(f.term)
			}
		default:
			return
		}
	}
}

// domains returns the domains that have engines.
func (l *dutyLoop) domains() []plank.DomainID {
	v := l.n.view.Load()
	seen := make(map[plank.DomainID]bool)
	for _, inst := range v.Instances {
		if v.Pool(inst.Service) != nil {
			seen[inst.Domain] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// facts gathers what is known of a domain.
func (l *dutyLoop) facts(d plank.DomainID, now time.Time) duty.DomainView {
	n := l.n
	f := duty.DomainView{Boots: make(map[plank.VMID]plank.BootID)}
	leaving := false // a VM of the domain is
	inDomain, others := []plank.VMID{}, []plank.VMID{}
	capacity := map[plank.VMID]float64{n.settings.VM: capacity(n.settings)}
	if n.settings.Domain == d {
		inDomain = append(inDomain, n.settings.VM)
	} else {
		others = append(others, n.settings.VM)
	}
	n.mesh.Each(func(p *mesh.Peer) {
		if !p.IsAlive(now) {
			return
		}
		f.Boots[p.VM] = p.Boot
		capacity[p.VM] = p.Capacity
		if claim, ok := p.Leases[d]; ok {
			f.Claimed = true
			l.claimer[d] = p.VM
			f.LeaseVersion = max(f.LeaseVersion, claim.Version)
		}
		if l.claimer[d] == p.VM && !f.Claimed {
			f.Relinquished = true
		}
		if p.Leaving {
			leaving = leaving || p.Domain == d
			return
		}
		if p.Domain == d {
			inDomain = append(inDomain, p.VM)
		} else {
			others = append(others, p.VM)
		}
	})
	if len(inDomain) > 0 {
		l.aliveAt[d] = now
	}
	switch {
	case f.Claimed && !l.leaving.Load():
		// Nobody else takes it.
	case len(inDomain) > 0:
		f.Candidates = fittest(d, inDomain, capacity)
	case leaving || now.Sub(l.aliveAt[d]) > orphanTime:
		f.Candidates = fittest(d, others, capacity)
	}
	return f
}

// byHash orders VMs for a domain's duty, alike on all VMs.
func byHash(d plank.DomainID, vms []plank.VMID) []plank.VMID {
	weight := func(vm plank.VMID) uint64 { return xxhash.Sum64String(string(d) + "/" + string(vm)) }
	slices.SortFunc(vms, func(a, b plank.VMID) int { return cmp.Compare(weight(a), weight(b)) })
	return vms
}

// fittest orders VMs for a domain's duty, the largest first. VMs of one size
// are ordered differently for each domain, so that one does not get all duties.
func fittest(d plank.DomainID, vms []plank.VMID, capacity map[plank.VMID]float64) []plank.VMID {
	vms = byHash(d, vms)
	slices.SortStableFunc(vms, func(a, b plank.VMID) int { return cmp.Compare(capacity[b], capacity[a]) })
	return vms
}

// sync tells the keeper which engines this VM orders.
func (l *dutyLoop) sync(instances map[plank.EndpointID]plank.Instance) {
	v := l.n.view.Load()
	var held []grant.HeldEngine
	total := 0
	for _, id := range slices.Sorted(maps.Keys(instances)) {
		inst := instances[id]
		pool := v.Pool(inst.Service)
		if pool == nil {
			continue
		}
		total++
		lease := l.leases[inst.Domain]
		if lease == nil || lease.Term() == 0 || inst.Leaving {
			continue
		}
		held = append(held, grant.HeldEngine{Instance: inst, Limits: limits(pool), Term: lease.Term()})
	}
	l.n.keeper.Sync(held, total)
}

// limits returns the bounds of a pool's engines.
func limits(p *plank.EnginePool) grant.Limits {
	l := grant.Limits{MaxRunning: p.Slots, Memory: p.KVCapacity, MaxAdapters: p.MaxAdapters}
	if len(p.Bases) == 1 {
		l.Base = p.Bases[0].ID
	}
	return l
}

// handOver gives a duty to a VM of the domain with more room, if there is one.
func (l *dutyLoop) handOver(ctx context.Context, d plank.DomainID, lease *duty.Lease, f duty.DomainView, now time.Time) {
	held := lease.HeldFor(now)
	if held == 0 {
		return
	}
	known := map[plank.VMID]candidate{l.n.settings.VM: {vm: l.n.settings.VM, capacity: capacity(l.n.settings), settled: true}}
	inDomain := l.n.settings.Domain == d
	l.n.mesh.Each(func(p *mesh.Peer) {
		known[p.VM] = candidate{vm: p.VM, capacity: p.Capacity, settled: p.Settled}
		inDomain = inDomain || p.Domain == d && slices.Contains(f.Candidates, p.VM)
	})
	var candidates []candidate
	if inDomain {
		for _, vm := range f.Candidates {
			candidates = append(candidates, known[vm])
		}
	}
	if to := handover(l.n.settings.VM, candidates, held, l.n.settings.Bounds.Lease); to != "" && !now.Before(l.handAt) {
		l.handAt = now.Add(handoverPace)
		l.n.log.WithFields(logrus.Fields{"domain": d, "to": to, "capacity": capacity(l.n.settings), "of": known[to].capacity}).Info("duty: handing over")
		lease.Release(ctx, to)
	}
}

// successor returns the fittest VM that stays, one of the domain if there is
// any.
func (l *dutyLoop) successor(d plank.DomainID, now time.Time) plank.VMID {
	for _, vm := range l.facts(d, now).Candidates {
		if vm != l.n.settings.VM {
			return vm
		}
	}
	return ""
}
