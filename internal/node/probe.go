package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/mesh"
)

// This file finds lease holders that are alive and renew their leases, but do not answer.

const (
	// probeInterval is the interval at which the next in rank checks that the holder of its
	// domain answers.
	probeInterval = 400 * time.Millisecond
	// silentProbes is the number of probes in a row without an answer after which the
	// holder counts as silent: a second, with the time that each waits.
	silentProbes = 3
)

// A holderProber records whether the holder of this VM's domain answers.
type holderProber struct {
	mu       sync.Mutex
	addr     string // of the holder that the fields below are of
	failures int    // in a row
	probing  bool
	nextAt   time.Time
}

// isSilent reports whether the holder at addr does not answer.
func (p *holderProber) isSilent(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr == addr && p.failures >= silentProbes
}

// begin reports whether a probe of the holder at addr is due, which the caller then sends.
func (p *holderProber) begin(addr string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addr != addr {
		p.addr, p.failures = addr, 0
	}
	if p.probing || now.Before(p.nextAt) {
		return false
	}
	p.probing, p.nextAt = true, now.Add(probeInterval)
	return true
}

// end records the result of a probe.
func (p *holderProber) end(addr string, answered bool) (failures int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing = false
	switch {
	case p.addr != addr:
	case answered:
		p.failures = 0
	default:
		p.failures++
	}
	return p.failures
}

// probeHolder checks that the holder of this VM's domain answers, if this VM would be the
// next. A VM that is slow or was paused does not judge others.
func (l *dutyLoop) probeHolder(ctx context.Context, now time.Time) {
	d := l.n.settings.Domain
	holder := l.successorOf(d, now)
	if holder == "" || l.n.delay.IsSlow() || l.n.delay.IsUnconfirmed(now) || !l.prober.begin(holder, now) {
		return
	}
	go func() {
		answered := l.n.broker.Probe(ctx, holder)
		if failures := l.prober.end(holder, answered); failures == silentProbes {
			l.n.log.WithField("addr", holder).Warn("duty: the holder of this domain is alive but does not answer")
		}
	}()
}

// successorOf returns the address of the live holder of a domain if this VM is the first
// candidate to succeed it, and "" otherwise.
func (l *dutyLoop) successorOf(d plank.DomainID, now time.Time) string {
	addr := ""
	var newest plank.Term
	capacity := map[plank.VMID]float64{l.n.settings.VM: capacity(l.n.settings)}
	candidates := []plank.VMID{l.n.settings.VM}
	l.n.mesh.Each(func(p *mesh.Peer) {
		switch claim, holds := p.Leases[d]; {
		case !p.IsAlive(now) || p.Domain != d:
		case holds && claim.Term >= newest:
			newest, addr = claim.Term, p.Address
		case holds:
		case !p.Leaving && !p.Slow:
			capacity[p.VM] = p.Capacity
			candidates = append(candidates, p.VM)
		}
	})
	if addr == "" || slices.Index(byCapacity(d, candidates, capacity), l.n.settings.VM) != 0 {
		return ""
	}
	return addr
}
