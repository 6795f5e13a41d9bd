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

// dutyInterval is the interval at which the leases are checked.
const dutyInterval = 150 * time.Millisecond

// reachableSteps is the number of steps after which the reachable part of the fleet is
// computed anew.
const reachableSteps = 2

// orphanTimeout is how long no VM of a domain has to be alive before a VM of
// another domain acquires the domain's duty.
const orphanTimeout = 2 * time.Second

// A dutyLoop acquires, renews and releases the dispatch leases (duties) of the
// failure domains. All but fenced and draining belongs to the goroutine of run.
type dutyLoop struct {
	n      *Node
	leases map[plank.DomainID]*duty.Lease
	fenced chan fencedTerm
	// lastAlive is the time at which a VM of a domain was last alive.
	lastAlive   map[plank.DomainID]time.Time
	lastClaimer map[plank.DomainID]plank.VMID // the peer that last claimed the duty
	// nextHandover is the earliest time of the next handover, set at each one.
	nextHandover time.Time
	prober       holderProber
	steps        int
	// unfitUntil holds the VMs whose leases this VM has acquired because they were unfit,
	// and until when it does not hand over to them.
	unfitUntil map[plank.VMID]time.Time
	// draining is set when the leases are to be released.
	draining atomic.Bool
}

// A fencedTerm is a term of this VM's lease that an engine refused.
type fencedTerm struct {
	domain plank.DomainID
	term   plank.Term
}

// run steps the leases until ctx is cancelled.
func (l *dutyLoop) run(ctx context.Context) {
	for pause.For(ctx, dutyInterval) {
		l.step(ctx)
	}
}

func (l *dutyLoop) step(ctx context.Context) {
	l.applyFencings()
	n := l.n
	now := n.clock.Now()
	pauses := n.delay.Pauses(now)
	defer func() { n.delay.Confirm(pauses) }()
	v := n.view.Load()
	for _, d := range l.domains() {
		lease := l.leases[d]
		if lease == nil {
			lease = duty.New(d, n.settings.VM, n.boot, n.settings.Bounds.Lease, n.settings.FencingEnforced, n.settings.Bootstrap, n.store, n.clock, n.log)
			l.leases[d] = lease
			l.lastAlive[d] = now
		}
		if l.draining.Load() {
			lease.Release(ctx, l.successor(d, now))
		} else {
			view := l.domainView(d, now)
			view.Paused = n.delay.IsUnconfirmed(now)
			held := lease.Term() > 0
			lease.Step(ctx, view)
			if !held && lease.Term() > 0 && view.UnfitHolder != "" {
				l.avoid(view.UnfitHolder, now)
			}
			l.handOver(ctx, d, lease, view, now)
		}
	}
	var duties []*wire.Duty
	for _, d := range slices.Sorted(maps.Keys(l.leases)) {
		if term := l.leases[d].Term(); term > 0 {
			duties = append(duties, &wire.Duty{Domain: string(d), Term: uint64(term), Version: uint64(l.leases[d].Version())})
		}
	}
	n.state.setDuties(duties)
	l.probeHolder(ctx, now)
	l.sync(v.Instances)
	if l.steps++; l.steps%reachableSteps == 0 {
		n.updateReachableFraction()
	}
}

// applyFencings drops the leases whose terms engines have refused.
func (l *dutyLoop) applyFencings() {
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

// domainView returns what the lease on a domain depends on. While a fit VM claims the lease,
// which is nearly always, it lists no candidates.
func (l *dutyLoop) domainView(d plank.DomainID, now time.Time) duty.DomainView {
	n := l.n
	var view duty.DomainView
	var newest plank.Term
	var holder plank.VMID              // by the newest claim
	inDomain := n.settings.Domain == d // whether a VM of the domain is alive
	draining := false                  // whether a VM of the domain is
	n.mesh.Each(func(p *mesh.Peer) {
		if !p.IsAlive(now) {
			return
		}
		if claim, ok := p.Leases[d]; ok {
			view.Claimed = true
			// A VM that has lost the lease may not know it yet.
			if claim.Term >= newest {
				newest = claim.Term
				holder = p.VM
				view.UnfitHolder = ""
				if p.Slow || d == n.settings.Domain && l.prober.isSilent(p.Address) {
					view.UnfitHolder = p.VM
				}
			}
			view.LeaseVersion = max(view.LeaseVersion, claim.Version)
		}
		if l.lastClaimer[d] == p.VM && !view.Claimed {
			view.Relinquished = true
		}
		if p.Domain == d {
			inDomain = inDomain || !p.Leaving
			draining = draining || p.Leaving
		}
	})
	if view.Claimed {
		l.lastClaimer[d] = holder
	}
	if inDomain {
		l.lastAlive[d] = now
	}
	inUse := view.Claimed && view.UnfitHolder == "" && !l.draining.Load()
	isOrphan := draining || now.Sub(l.lastAlive[d]) > orphanTimeout
	if inUse || view.UnfitHolder == "" && !inDomain && !isOrphan {
		return view
	}
	view.Candidates, view.Boots = l.candidates(d, inDomain || view.UnfitHolder != "", view.UnfitHolder, now)
	return view
}

// candidates returns the VMs that may acquire the lease on a domain, in order of preference,
// and the boot IDs of all live VMs. The candidates are those of the domain or those of all
// other domains. If unfit is not empty, they are the VMs that are fit to replace it.
func (l *dutyLoop) candidates(d plank.DomainID, ofDomain bool, unfit plank.VMID, now time.Time) ([]plank.VMID, map[plank.VMID]plank.BootID) {
	self := l.n.settings
	boots := make(map[plank.VMID]plank.BootID)
	var vms []plank.VMID
	capacities := make(map[plank.VMID]float64)
	add := func(vm plank.VMID, domain plank.DomainID, capacity float64, slow bool) {
		if slow {
			capacity = 0 // after all others
		}
		if (domain == d) != ofDomain || unfit != "" && (vm == unfit || capacity == 0) {
			return
		}
		vms = append(vms, vm)
		capacities[vm] = capacity
	}
	add(self.VM, self.Domain, capacity(self), l.n.delay.IsSlow())
	l.n.mesh.Each(func(p *mesh.Peer) {
		if !p.IsAlive(now) {
			return
		}
		boots[p.VM] = p.Boot
		if !p.Leaving {
			add(p.VM, p.Domain, p.Capacity, p.Slow)
		}
	})
	return byCapacity(d, vms, capacities), boots
}

// byHash orders VMs for a domain's duty, in the same order on all VMs.
func byHash(d plank.DomainID, vms []plank.VMID) []plank.VMID {
	weight := func(vm plank.VMID) uint64 { return xxhash.Sum64String(string(d) + "/" + string(vm)) }
	slices.SortFunc(vms, func(a, b plank.VMID) int { return cmp.Compare(weight(a), weight(b)) })
	return vms
}

// byCapacity orders VMs for a domain's duty, the largest first. VMs of equal size
// are ordered differently for each domain, so that no single VM gets all duties.
func byCapacity(d plank.DomainID, vms []plank.VMID, capacity map[plank.VMID]float64) []plank.VMID {
	vms = byHash(d, vms)
	slices.SortStableFunc(vms, func(a, b plank.VMID) int { return cmp.Compare(capacity[b], capacity[a]) })
	return vms
}

// unfitTime is how long a VM that was unfit to hold a lease gets none back.
const unfitTime = 15 * time.Second

// avoid records a VM that was unfit to hold a lease.
func (l *dutyLoop) avoid(vm plank.VMID, now time.Time) {
	if l.unfitUntil == nil {
		l.unfitUntil = make(map[plank.VMID]time.Time)
	}
	l.unfitUntil[vm] = now.Add(unfitTime)
}

// sync passes to the scheduler the engines whose lease this VM holds.
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
	l.n.scheduler.Sync(held, total)
}

// limits returns the limits of a pool's engines.
func limits(p *plank.EnginePool) grant.Limits {
	l := grant.Limits{MaxRunning: p.Slots, Memory: p.KVCapacity, MaxAdapters: p.MaxAdapters, EventTokens: p.EventTokens}
	if len(p.Bases) == 1 {
		l.Base = p.Bases[0].ID
	}
	return l
}

// handOver hands a duty over to a VM of the domain with more capacity, if there
// is one.
func (l *dutyLoop) handOver(ctx context.Context, d plank.DomainID, lease *duty.Lease, view duty.DomainView, now time.Time) {
	held := lease.HeldFor(now)
	if held == 0 {
		return
	}
	known := map[plank.VMID]candidate{l.n.settings.VM: {vm: l.n.settings.VM, capacity: capacity(l.n.settings), settled: true, slow: l.n.delay.IsSlow()}}
	inDomain := l.n.settings.Domain == d
	l.n.mesh.Each(func(p *mesh.Peer) {
		known[p.VM] = candidate{vm: p.VM, capacity: p.Capacity, settled: p.Settled, slow: p.Slow || now.Before(l.unfitUntil[p.VM])}
		inDomain = inDomain || p.Domain == d && slices.Contains(view.Candidates, p.VM)
	})
	var candidates []candidate
	if inDomain {
		for _, vm := range view.Candidates {
			candidates = append(candidates, known[vm])
		}
	}
	if to := handoverTarget(l.n.settings.VM, candidates, held, l.n.settings.Bounds.Lease); to != "" && !now.Before(l.nextHandover) {
		l.nextHandover = now.Add(handoverRetryInterval)
		l.n.log.WithFields(logrus.Fields{"domain": d, "to": to, "capacity": capacity(l.n.settings), "of": known[to].capacity, "slow": l.n.delay.IsSlow()}).Info("duty: handing the dispatch lease over")
		lease.Release(ctx, to)
	}
}

// successor returns the first candidate for a duty other than this VM, or "". It
// is a VM of the domain if one is alive and not draining.
func (l *dutyLoop) successor(d plank.DomainID, now time.Time) plank.VMID {
	for _, vm := range l.domainView(d, now).Candidates {
		if vm != l.n.settings.VM {
			return vm
		}
	}
	return ""
}
