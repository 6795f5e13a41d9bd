// Package duty implements the dispatch lease: the lease to give orders to the
// engines of one failure domain. The store grants it to one VM at a time. Its term
// is the version that the lease object had when it was acquired, so terms are
// unique and increase.
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

// KeyPrefix is the prefix of the keys of leases in the platform's store; the
// domain follows it.
const KeyPrefix = "duties/"

// Renewal of a lease, relative to its duration.
const (
	renewalsPerLease = 3   // renewals due within the duration of a lease
	unfencedFraction = 0.6 // fraction of the duration in which orders are given if engines check no terms
)

// Timing of a takeover.
const (
	// takeoverDelay is how long the lease must go unclaimed before another VM reads
	// it from the store. It covers the start of a fleet, when VMs are not yet
	// connected.
	takeoverDelay = 700 * time.Millisecond
	// rankDelay is the additional delay per rank, so that candidates act in order.
	rankDelay = 400 * time.Millisecond
	// unfitDelay is how long a holder must be unfit before another VM acquires its lease:
	// one that knows it may hand the lease over itself.
	unfitDelay = 300 * time.Millisecond
	// pollInterval is the time between reads of a lease that another VM holds, and
	// before a failed renewal is retried.
	pollInterval = 500 * time.Millisecond
)

// A Record is the lease as encoded in the store.
type Record struct {
	Holder plank.VMID
	Boot   plank.BootID
	// Count changes with each renewal.
	Count uint64
	// Released is set when the holder released the lease.
	Released bool
	// Successor is the VM that may acquire a released lease before it expires; if
	// empty, any VM may.
	Successor plank.VMID
}

// DomainView is what a VM knows about a domain when it calls Step.
type DomainView struct {
	// Claimed is set when a live VM claims the lease.
	Claimed bool
	// UnfitHolder is the claiming VM if it is too slow to use the lease or does not answer.
	UnfitHolder plank.VMID
	// LeaseVersion is the version of the claiming VM's last renewal.
	LeaseVersion plank.ObjectVersion
	// Relinquished is set when the VM that claimed the lease last is alive and no
	// longer claims it.
	Relinquished bool
	// Paused is set if the process was paused and its leases were not checked since.
	Paused bool
	// Candidates are the VMs that may acquire the lease, in order of preference.
	// This VM is included if it may.
	Candidates []plank.VMID
	// Boots holds the boot IDs of the other live VMs.
	Boots map[plank.VMID]plank.BootID
}

// A Lease is this VM's side of the lease on one domain. It is not safe for
// concurrent use.
type Lease struct {
	domain   plank.DomainID
	self     plank.VMID
	boot     plank.BootID
	duration time.Duration // until expiry after a renewal
	fenced   bool          // engines check terms
	fresh    bool          // this VM had no earlier run that may hold the lease
	store    plank.Store
	clock    plank.Clock
	log      *logrus.Entry

	held bool
	// unverified is set if the lease expired in a pause of the process, so that another
	// VM may hold it.
	unverified bool
	acquiredAt time.Time
	term       plank.Term
	version    plank.ObjectVersion
	record     Record
	expires    time.Time // of the last renewal
	renewAt    time.Time
	// seenVersion is the last known version of another holder's lease; seenAt is
	// when it was first observed.
	seenVersion    plank.ObjectVersion
	seenAt         time.Time
	unclaimedSince time.Time // start of the period in which no VM claims the lease
	unfitSince     time.Time // start of the period in which the holder is unfit
	nextReadAt     time.Time
	fencedTerm     plank.Term // term that an engine refused because it has seen a higher one; not used again
}

// New returns a lease that is not held. duration is the time from a renewal to
// expiry; fenced is set if the domain's engines check terms, and fresh if this VM had no
// earlier run that may hold the lease.
func New(domain plank.DomainID, self plank.VMID, boot plank.BootID, duration time.Duration, fenced, fresh bool, store plank.Store, clock plank.Clock, log *logrus.Entry) *Lease {
	return &Lease{domain: domain, self: self, boot: boot, duration: duration, fenced: fenced, fresh: fresh, store: store, clock: clock, log: log.WithField("domain", domain)}
}

// Term returns the term under which this VM may now give orders to engines, or 0
// if it may not.
func (l *Lease) Term() plank.Term {
	if !l.held || l.unverified || l.term == l.fencedTerm {
		return 0
	}
	if !l.fenced && !l.clock.Now().Before(l.expires.Add(-time.Duration((1-unfencedFraction)*float64(l.duration)))) {
		return 0
	}
	return l.term
}

// HeldFor returns how long this VM has held the lease, or 0 if it does not hold it.
func (l *Lease) HeldFor(now time.Time) time.Duration {
	if l.Term() == 0 {
		return 0
	}
	return now.Sub(l.acquiredAt)
}

// Version returns the lease object's version as of this VM's last renewal.
func (l *Lease) Version() plank.ObjectVersion { return l.version }

// MarkFenced records that an engine has seen a higher term than the given one, and
// drops the lease if it is held under that term.
func (l *Lease) MarkFenced(term plank.Term) {
	if !l.held || term != l.term {
		return
	}
	l.fencedTerm = term
	l.lose("an engine has seen a higher term")
}

// Step renews the lease if it is held; otherwise it tries to acquire it, or
// observes the claim of another VM.
func (l *Lease) Step(ctx context.Context, view DomainView) {
	now := l.clock.Now()
	if l.held {
		if view.Paused && !now.Before(l.expires) {
			l.unverified = true
			l.renewAt = now
		}
		if !now.Before(l.renewAt) {
			l.renew(ctx, now)
		}
		return
	}
	if view.Claimed {
		l.unclaimedSince = time.Time{}
		l.observe(view.LeaseVersion, now)
		l.takeFromUnfit(ctx, view, now)
		return
	}
	if l.unclaimedSince.IsZero() {
		l.unclaimedSince = now
	}
	rank := slices.Index(view.Candidates, l.self)
	if rank < 0 || now.Before(l.nextReadAt) {
		return
	}
	first := l.nextReadAt.IsZero() && !l.fresh
	wait := time.Duration(rank) * rankDelay
	if !view.Relinquished {
		wait += takeoverDelay
	}
	if !first && now.Sub(l.unclaimedSince) < wait {
		return
	}
	l.nextReadAt = now.Add(pollInterval)
	l.tryAcquire(ctx, now, view, first)
}

// takeFromUnfit acquires the lease from a live holder that does not make use of it, if this
// VM is the first candidate. The holder need not take part: a VM that is too slow to answer
// is too slow to hand over. Engines refuse its orders from then on, so it happens only
// where they check terms.
func (l *Lease) takeFromUnfit(ctx context.Context, view DomainView, now time.Time) {
	if view.UnfitHolder == "" || !l.fenced || len(view.Candidates) == 0 || view.Candidates[0] != l.self {
		l.unfitSince = time.Time{}
		return
	}
	if l.unfitSince.IsZero() {
		l.unfitSince = now
	}
	if now.Sub(l.unfitSince) < unfitDelay || now.Before(l.nextReadAt) {
		return
	}
	l.nextReadAt = now.Add(pollInterval)
	l.tryAcquire(ctx, now, view, false)
}

// observe records the version of another holder's lease.
func (l *Lease) observe(v plank.ObjectVersion, now time.Time) {
	if v != l.seenVersion {
		l.seenVersion, l.seenAt = v, now
	}
}

func (l *Lease) key() string { return KeyPrefix + string(l.domain) }

// tryAcquire acquires the lease if it is available. The first attempt after a start
// acquires only a lease that an earlier run of this VM holds.
func (l *Lease) tryAcquire(ctx context.Context, now time.Time, view DomainView, first bool) {
	o, err := l.store.Get(ctx, l.key())
	if err != nil {
		l.log.WithError(err).Warn("duty: lease not read")
		return
	}
	var rec Record
	if o.Version > 0 {
		if err := json.Unmarshal(o.Value, &rec); err != nil {
			l.log.WithError(err).Error("duty: invalid lease record, waiting for its expiry")
		}
	}
	l.observe(o.Version, now)
	if rec.Holder == l.self && rec.Boot == l.boot && !rec.Released && plank.Term(o.Version) != l.fencedTerm {
		// The response to an earlier attempt was lost.
		l.acquired(o.Version, rec, now, "read back")
		return
	}
	if first && rec.Holder != l.self || !l.isAvailable(o.Version, rec, view, now) {
		return
	}
	next := Record{Holder: l.self, Boot: l.boot, Count: rec.Count + 1}
	version, err := l.put(ctx, next, o.Version)
	if err != nil {
		l.log.WithError(err).Info("duty: lease not acquired")
		return
	}
	l.acquired(version, next, now, "taken from "+string(rec.Holder))
}

// isAvailable reports whether this VM may acquire the lease. A holder that has
// restarted since it acquired the lease gives no orders under it.
func (l *Lease) isAvailable(version plank.ObjectVersion, rec Record, view DomainView, now time.Time) bool {
	boot, alive := view.Boots[rec.Holder]
	switch {
	case alive && boot != rec.Boot:
		return true
	case l.fenced && view.UnfitHolder != "" && rec.Holder == view.UnfitHolder:
		return true // but not from a VM that has acquired it since
	case version == 0, rec.Holder == l.self:
		return true
	case rec.Released && (rec.Successor == "" || rec.Successor == l.self):
		return true
	}
	return now.Sub(l.seenAt) >= l.duration
}

func (l *Lease) acquired(version plank.ObjectVersion, rec Record, now time.Time, how string) {
	l.held, l.term, l.version, l.record, l.acquiredAt = true, plank.Term(version), version, rec, now
	l.renewed(now)
	l.log.WithFields(logrus.Fields{"term": l.term, "how": how}).Info("duty: lease won")
}

func (l *Lease) renewed(sentAt time.Time) {
	l.unverified = false
	l.expires = sentAt.Add(l.duration)
	l.renewAt = sentAt.Add(l.duration / renewalsPerLease)
}

func (l *Lease) lose(why string) {
	l.held = false
	l.unclaimedSince = time.Time{}
	l.log.WithFields(logrus.Fields{"term": l.term, "why": why}).Warn("duty: lease lost")
}

func (l *Lease) put(ctx context.Context, rec Record, expected plank.ObjectVersion) (plank.ObjectVersion, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, err
	}
	return l.store.Put(ctx, l.key(), value, expected)
}

// renew renews the lease. On a conflict it reads the lease, since the conflicting
// write may be an earlier renewal of this VM whose response was lost.
func (l *Lease) renew(ctx context.Context, now time.Time) {
	next := l.record
	next.Count++
	version, err := l.put(ctx, next, l.version)
	if err == nil {
		l.version, l.record = version, next
		l.renewed(now)
		return
	}
	l.renewAt = now.Add(pollInterval)
	var conflict *plank.ConflictError
	if !errors.As(err, &conflict) {
		// While the store does not answer, engines tell if another VM holds the lease.
		l.unverified = l.unverified && !l.fenced
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
		l.lose("another VM acquired it")
		return
	}
	l.version, l.record = o.Version, rec
	l.renewed(now)
}

// Release releases the lease; if successor is not empty, only that VM may acquire
// it before it expires. While the store is unavailable the lease is kept, since no
// other VM could acquire it; the caller retries.
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
		// Either another VM acquired it, or the response to an earlier write was
		// lost: in both cases the lease is no longer renewed.
		l.lose("changed during its release")
	default:
		l.log.WithError(err).Warn("duty: lease not released, will retry")
	}
}
