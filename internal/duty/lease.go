// Package duty defines the lease on giving orders to the engines of a failure
// domain. One VM holds it; its term is the revision of the store that won it,
// so no two terms are alike and later ones are higher.
package duty

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
)

// KeyPrefix is where leases lie in the platform's store, by domain.
const KeyPrefix = "duties/"

// The pace of a lease, as parts of its time.
const (
	renewParts = 3   // renewals within a lease
	safePart   = 0.6 // for which a holder orders engines that check no terms
)

// The times of a take-over.
const (
	// silence is how long no VM must claim the duty before another asks the
	// store. It covers the start of a fleet, when VMs have not met yet.
	silence = 700 * time.Millisecond
	// rankDelay lets the first VM in rank act before the next.
	rankDelay = 400 * time.Millisecond
	// askEvery is the pause between looks at a lease that another VM holds.
	askEvery = 500 * time.Millisecond
)

// A Record is the lease as it lies in the store.
type Record struct {
	Holder plank.VMID
	Boot   plank.BootID
	// Count changes with each renewal.
	Count uint64
	// Released is set when the holder gave the lease up.
	Released bool
	// Successor is who may take a released lease first; empty for anyone.
	Successor plank.VMID
}

// DomainView are what a VM knows of a domain when it steps.
type DomainView struct {
	// Claimed is set when a VM that is alive claims the duty, with the version
	// of its last renewal.
	Claimed      bool
	LeaseVersion plank.ObjectVersion
	// Relinquished is set when the VM that claimed the duty last is alive and claims
	// it no more.
	Relinquished bool
	// Candidates are the VMs that may take the lease, the fittest first, this
	// one included if it may.
	Candidates []plank.VMID
	// Boots holds the runs of the VMs that are alive, without this one.
	Boots map[plank.VMID]plank.BootID
}

// A Lease is this VM's part of the lease on one domain. It is used by one
// goroutine.
type Lease struct {
	domain plank.DomainID
	self   plank.VMID
	boot   plank.BootID
	time   time.Duration // how long a lease lasts without a renewal
	fenced bool          // engines check terms
	store  plank.Store
	clock  plank.Clock
	log    *logrus.Entry

	held    bool
	wonAt   time.Time
	term    plank.Term
	version plank.ObjectVersion
	record  Record
	expires time.Time // of the last renewal
	renewAt time.Time
	// seen is the last version known of another holder's lease, since seenAt.
	seen    plank.ObjectVersion
	seenAt  time.Time
	quiet   time.Time // since when no VM claims the duty
	askAt   time.Time
	refused plank.Term // the term that an engine refused; it is not used again
}

// New returns a lease that is not held.
func New(domain plank.DomainID, self plank.VMID, boot plank.BootID, lease time.Duration, fenced bool, store plank.Store, clock plank.Clock, log *logrus.Entry) *Lease {
	return &Lease{domain: domain, self: self, boot: boot, time: lease, fenced: fenced, store: store, clock: clock, log: log.WithField("domain", domain)}
}

// Term returns the term under which this VM may order engines now, or 0.
func (l *Lease) Term() plank.Term {
	if !l.held || l.term == l.refused {
		return 0
	}
	if !l.fenced && !l.clock.Now().Before(l.expires.Add(-time.Duration((1-safePart)*float64(l.time)))) {
		return 0
	}
	return l.term
}

// HeldFor returns how long this VM has held the lease; 0 if it does not.
func (l *Lease) HeldFor(now time.Time) time.Duration {
	if l.Term() == 0 {
		return 0
	}
	return now.Sub(l.wonAt)
}

// Version returns the lease object's version when it was last renewed here.
func (l *Lease) Version() plank.ObjectVersion { return l.version }

// MarkFenced records that an engine has seen a higher term than the given one.
func (l *Lease) MarkFenced(term plank.Term) {
	if !l.held || term != l.term {
		return
	}
	l.refused = term
	l.lose("an engine has seen a higher term")
}

// Step renews, takes or watches the lease.
func (l *Lease) Step(ctx context.Context, f DomainView) {
	now := l.clock.Now()
	if l.held {
		if !now.Before(l.renewAt) {
			l.renew(ctx, now)
		}
		return
	}
	if f.Claimed {
		l.quiet = time.Time{}
		l.observe(f.LeaseVersion, now)
		return
	}
	if l.quiet.IsZero() {
		l.quiet = now
	}
	rank := slices.Index(f.Candidates, l.self)
	if rank < 0 || now.Before(l.askAt) {
		return
	}
	first := l.askAt.IsZero()
	wait := time.Duration(rank) * rankDelay
	if !f.Relinquished {
		wait += silence
	}
	if !first && now.Sub(l.quiet) < wait {
		return
	}
	l.askAt = now.Add(askEvery)
	l.tryTake(ctx, now, f.Boots, first)
}

// observe notes the version of another holder's lease.
func (l *Lease) observe(v plank.ObjectVersion, now time.Time) {
	if v != l.seen {
		l.seen, l.seenAt = v, now
	}
}

func (l *Lease) key() string { return KeyPrefix + string(l.domain) }

// tryTake takes the lease if nobody holds it. A VM that has just started takes
// it only back from its own earlier run.
func (l *Lease) tryTake(ctx context.Context, now time.Time, boots map[plank.VMID]plank.BootID, first bool) {
	o, err := l.store.Get(ctx, l.key())
	if err != nil {
		l.log.WithError(err).Warn("duty: cannot read the lease")
		return
	}
	var rec Record
	if o.Version > 0 {
		if err := json.Unmarshal(o.Value, &rec); err != nil {
			l.log.WithError(err).Error("duty: unreadable lease, waiting for its time to pass")
		}
	}
	l.observe(o.Version, now)
	if rec.Holder == l.self && rec.Boot == l.boot && !rec.Released && plank.Term(o.Version) != l.refused {
		// The answer to an earlier attempt was lost.
		l.won(o.Version, rec, now, "read back")
		return
	}
	if first && rec.Holder != l.self || !l.isFree(o.Version, rec, boots, now) {
		return
	}
	next := Record{Holder: l.self, Boot: l.boot, Count: rec.Count + 1}
	version, err := l.put(ctx, next, o.Version)
	if err != nil {
		l.log.WithError(err).Info("duty: did not get the lease")
		return
	}
	l.won(version, next, now, "taken from "+string(rec.Holder))
}

// isFree tells whether this VM may take the lease. A holder that has started
// anew since it took the lease no longer orders anything under it.
func (l *Lease) isFree(version plank.ObjectVersion, rec Record, boots map[plank.VMID]plank.BootID, now time.Time) bool {
	boot, alive := boots[rec.Holder]
	switch {
	case alive && boot != rec.Boot:
		return true
	case version == 0, rec.Holder == l.self:
		return true
	case rec.Released && (rec.Successor == "" || rec.Successor == l.self):
		return true
	}
	return now.Sub(l.seenAt) >= l.time
}

func (l *Lease) won(version plank.ObjectVersion, rec Record, now time.Time, how string) {
	l.held, l.term, l.version, l.record, l.wonAt = true, plank.Term(version), version, rec, now
	l.renewed(now)
	l.log.WithFields(logrus.Fields{"term": l.term, "how": how}).Info("duty: lease won")
}

func (l *Lease) renewed(asked time.Time) {
	l.expires = asked.Add(l.time)
	l.renewAt = asked.Add(l.time / renewParts)
}

func (l *Lease) lose(why string) {
	l.held = false
	l.quiet = time.Time{}
	l.log.WithFields(logrus.Fields{"term": l.term, "why": why}).Warn("duty: lease lost")
}

func (l *Lease) put(ctx context.Context, rec Record, want plank.ObjectVersion) (plank.ObjectVersion, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, err
	}
	return l.store.Put(ctx, l.key(), value, want)
}

// renew prolongs the lease. A conflict is looked into, since the answer of an
// earlier renewal may have been lost.
func (l *Lease) renew(ctx context.Context, now time.Time) {
	next := l.record
	next.Count++
	version, err := l.put(ctx, next, l.version)
	if err == nil {
		l.version, l.record = version, next
		l.renewed(now)
		return
	}
	l.renewAt = now.Add(askEvery)
	var conflict *plank.ConflictError
	if !errors.As(err, &conflict) {
		l.log.WithError(err).Warn("duty: lease not renewed")
		return
	}
	o, err := l.store.Get(ctx, l.key())
	if err != nil {
		return
	}
	var rec Record
	if err := json.Unmarshal(o.Value, &rec); err != nil || rec.Holder != l.self || rec.Boot != l.boot {
		l.observe(o.Version, now)
		l.lose("another VM took it")
		return
	}
	l.version, l.record = o.Version, rec
	l.renewed(now)
}

// Release gives the lease up, in favour of a successor if one is named. While
// the store does not answer the lease is kept, since nobody could take it; the
// caller tries again.
func (l *Lease) Release(ctx context.Context, successor plank.VMID) {
	if !l.held {
		return
	}
	rec := l.record
	rec.Count++
	rec.Released, rec.Successor = true, successor
	_, err := l.put(ctx, rec, l.version)
	var conflict *plank.ConflictError
	switch {
	case err == nil:
		l.lose("released")
	case errors.As(err, &conflict):
		// Another VM took it, or an earlier answer was lost: either way the
		// lease is no longer renewed.
		l.lose("changed while it was released")
	default:
		l.log.WithError(err).Warn("duty: lease not released yet")
	}
}
