package lease

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/claim"
	"knapweedplank.org/plank/internal/member"
)

// A Desire is what the control thread asks of the keeper.
type Desire struct {
	// Endpoints lists the domain's engines.
	Endpoints []plank.EndpointID
	// Share is the domain's part of the limits.
	Share plank.PPM
	// Applied is the number of the last note in force.
	Applied plank.NoteNumber
	// Listed names the VMs on the platform's list; nil when it is not known.
	Listed []plank.VMID
}

// A Host is what the keeper needs of the rest of the VM.
type Host interface {
	// Desire returns what is wanted now.
	Desire() Desire
	// GiveShare lowers the VM's share in force by up to amount and returns by
	// how much.
	GiveShare(amount plank.PPM) plank.PPM
	// DrainEndpoint gives an endpoint up. It reports true once nothing runs.
	DrainEndpoint(e plank.EndpointID) bool
	// SetView hands over what the VM holds. It is called after each change.
	SetView(v View)
	// Record returns the domain's record as a watch has it, if it is known.
	Record() (claim.Record, plank.ObjectVersion, bool)
}

// A View is what a VM holds, as last confirmed by the platform.
type View struct {
	Record claim.Record
	// Share is the VM's own share; 0 while it is not a member.
	Share plank.PPM
	// Claims lists the endpoints that the VM owns.
	Claims []claim.Claim
	// Joined is set once the VM is a member.
	Joined bool
}

// An Identity is what a VM is told by its settings, and its run.
type Identity struct {
	VM      plank.VMID
	Boot    plank.BootID
	Domain  plank.DomainID
	Address string // of the peer listener
}

// A Keeper renews the VM's lease and keeps its place in the domain's record.
type Keeper struct {
	self  Identity
	store plank.Store
	table *member.Table
	clock plank.Clock
	host  Host
	log   *logrus.Entry

	mu sync.Mutex
	// until is when the lease ends as far as the platform knows.
	until time.Time
	// consenters lists the VMs named by the stored lease, or by one that may
	// be stored because its answer was lost.
	consenters []plank.VMID
	// lost is set while the VM is fenced or has left.
	lost bool

	// The fields below belong to the keeper's goroutine.
	epoch      int // counts the VM's memberships in this run
	lease      Lease
	version    plank.ObjectVersion // of the stored lease
	record     claim.Record
	recVersion plank.ObjectVersion
	// doubt is set after a write of the record that failed.
	doubt bool
	// shareCap bounds the share while a write that lowered it may still take
	// effect; capVersion is the version that the write was based on.
	shareCap   plank.PPM
	capVersion plank.ObjectVersion
	capped     bool
	// settled is when the loans of an earlier run have ended.
	settled   time.Time
	suspector suspector
	leaving   bool
	left      chan struct{}
	leave     chan struct{}
	cancel    context.CancelFunc
	done      chan struct{}
}

// New starts a keeper.
func New(self Identity, store plank.Store, table *member.Table, clock plank.Clock, host Host, log *logrus.Entry) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{
		self: self, store: store, table: table, clock: clock, host: host, log: log,
		suspector: suspector{seen: make(map[plank.VMID]suspicion)},
		record:    claim.Record{Domain: self.Domain},
		lease:     Lease{VM: self.VM, Boot: self.Boot, Domain: self.Domain, Address: self.Address, State: StateLive},
		left:      make(chan struct{}), leave: make(chan struct{}, 1), cancel: cancel, done: make(chan struct{}),
	}
	go func() {
		defer close(k.done)
		k.run(ctx)
	}()
	return k
}

// Valid returns until when the VM may use its share and order its endpoints:
// the end of its lease or, while the platform is away, of the consent of every
// VM that could take over.
func (k *Keeper) Valid() time.Time {
	k.mu.Lock()
	until, consenters, lost := k.until, k.consenters, k.lost
	k.mu.Unlock()
	if lost || until.IsZero() {
		return time.Time{}
	}
	consent := k.table.Consent(consenters, ConsentTime, k.clock.Now())
	if consent.After(until) {
		return consent
	}
	return until
}

// Leave drains the VM's endpoints and gives up its membership, as far as the
// platform can be reached before ctx ends.
func (k *Keeper) Leave(ctx context.Context) {
	select {
	case k.leave <- struct{}{}:
	default:
	}
	select {
	case <-k.left:
	case <-ctx.Done():
	}
}

// Close stops the keeper without giving anything up.
func (k *Keeper) Close() {
	k.cancel()
	<-k.done
}

// The pauses of the keeper.
const (
	// stepEvery is the pause after a step that left work to do.
	stepEvery = 200 * time.Millisecond
	// maxBackoff bounds the pause while the platform is away.
	maxBackoff = 4 * time.Second
)

// run renews and steps until ctx ends.
func (k *Keeper) run(ctx context.Context) {
	backoff := RenewEvery
	for ctx.Err() == nil {
		more, err := k.tick(ctx)
		pause := RenewEvery
		switch {
		case err != nil:
			k.log.WithError(err).Warn("lease: platform call failed")
			pause = backoff
			backoff = min(backoff*3/2, maxBackoff)
		case more:
			pause = stepEvery
			backoff = RenewEvery
		default:
			backoff = RenewEvery
		}
		// Jitter keeps the VMs from calling in step after an outage.
		pause = pause*3/4 + rand.N(pause/2)
		select {
		case <-time.After(pause):
		case <-k.leave:
			k.leaving = true
		case <-ctx.Done():
		}
	}
}

// tick renews the lease and moves the domain's record one step. It reports
// whether more steps wait.
func (k *Keeper) tick(ctx context.Context) (bool, error) {
	if err := k.readRecord(ctx); err != nil {
		return false, err
	}
	if !k.isLost() {
		if err := k.renew(ctx); err != nil {
			return false, err
		}
	}
	more, err := k.step(ctx)
	k.publish()
	return more, err
}

func (k *Keeper) isLost() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lost
}

// bootID names the VM's present membership.
func (k *Keeper) bootID() plank.BootID {
	return plank.BootID(fmt.Sprintf("%s.%d", k.self.Boot, k.epoch))
}

// renew writes the lease anew.
func (k *Keeper) renew(ctx context.Context) error {
	sent := k.clock.Now()
	next := k.lease
	next.Boot = k.bootID()
	next.Seq++
	next.Token = plank.Token(fmt.Sprintf("%s-%d", next.Boot, next.Seq))
	next.Applied = k.host.Desire().Applied
	next.Members = nil
	for _, m := range k.record.Members {
		if m.VM != k.self.VM {
			next.Members = append(next.Members, m.VM)
		}
	}
	if k.leaving {
		next.State = StateLeaving
	}
	value, err := next.Encode()
	if err != nil {
		return err
	}
	// Until the write is confirmed, either list may be the stored one.
	k.addConsenters(next.Members)
	version, err := k.store.Put(ctx, Key(k.self.Domain, k.self.VM), value, k.version)
	var conflict *plank.ConflictError
	if errors.As(err, &conflict) {
		return k.resolve(ctx)
	}
	if err != nil {
		return err
	}
	k.confirm(next, version, sent)
	return nil
}

func (k *Keeper) addConsenters(vms []plank.VMID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, vm := range vms {
		if !slices.Contains(k.consenters, vm) {
			k.consenters = append(slices.Clone(k.consenters), vm)
		}
	}
}

// confirm takes a stored lease as the VM's own.
func (k *Keeper) confirm(l Lease, version plank.ObjectVersion, sent time.Time) {
	k.lease, k.version = l, version
	k.mu.Lock()
	defer k.mu.Unlock()
	k.until = sent.Add(TTL)
	k.consenters = l.Members
}

// resolve finds out why the lease was at another version.
func (k *Keeper) resolve(ctx context.Context) error {
	o, err := k.store.Get(ctx, Key(k.self.Domain, k.self.VM))
	if err != nil {
		return err
	}
	stored, err := Decode(o.Value)
	if err != nil {
		return err
	}
	k.version = o.Version
	switch {
	case stored.Boot == k.bootID() && stored.State != StateFenced:
		// An own renewal whose answer was lost. The next one extends it.
		k.lease.Seq = max(k.lease.Seq, stored.Seq)
	case stored.State == StateFenced && stored.Boot == k.bootID():
		k.log.WithField("by", stored.FencedBy).Warn("lease: fenced by another VM")
		k.setLost(true)
	default:
		// The lease of an earlier run; this run replaces it.
		k.log.WithField("boot", stored.Boot).Info("lease: replaces that of an earlier run")
	}
	return nil
}

func (k *Keeper) setLost(lost bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lost = lost
	if lost {
		k.until = time.Time{}
	}
}

// readRecord takes the domain's record from the watch, which spares a call. It
// reads the platform where the watch has nothing, or nothing new for an own
// write that failed.
func (k *Keeper) readRecord(ctx context.Context) error {
	if r, version, ok := k.host.Record(); ok && !k.doubt && version >= k.recVersion {
		k.setRecord(r, version)
		return nil
	}
	o, err := k.store.Get(ctx, claim.Key(k.self.Domain))
	if err != nil {
		return err
	}
	k.doubt = false
	if o.Version < k.recVersion {
		return nil // a stale read
	}
	r, err := claim.Decode(k.self.Domain, o.Value)
	if err != nil {
		return err
	}
	k.setRecord(r, o.Version)
	return nil
}

func (k *Keeper) setRecord(r claim.Record, version plank.ObjectVersion) {
	if k.capped && version > k.capVersion {
		k.capped = false
	}
	k.record, k.recVersion = r, version
}

// step applies all changes that are due to the record in one write.
func (k *Keeper) step(ctx context.Context) (bool, error) {
	if k.leaving {
		return true, k.stepLeave(ctx)
	}
	desire := k.host.Desire()
	r, changed := k.record, false
	apply := func(next claim.Record, ok bool) {
		if ok {
			r, changed = next, true
		}
	}
	rejoin := k.isLost()
	if rejoin {
		// A new membership begins without what the fenced one held.
		apply(r.Remove(k.self.VM))
		k.epoch++
	}
	if old, ok := r.Member(k.self.VM); ok && old.Boot != k.bootID() && !rejoin {
		k.settled = k.clock.Now().Add(SettleTime)
	}
	apply(r.Join(claim.Member{VM: k.self.VM, Boot: k.bootID(), Address: k.self.Address}))
	apply(r.SetShare(desire.Share))
	gone, err := k.fence(ctx, r, desire.Listed)
	if err != nil {
		return false, err
	}
	for _, vm := range gone {
		apply(r.Remove(vm))
	}
	given := k.giveExcess(r)
	if given > 0 {
		apply(r.Give(k.self.VM, given))
	} else {
		apply(r.Take(k.self.VM))
	}
	apply(r.Own(k.self.VM, desire.Endpoints))
	if e, to, ok := r.Surplus(k.self.VM); ok && k.host.DrainEndpoint(e) {
		apply(r.HandOver(k.self.VM, e, to))
	}
	if !changed {
		return false, nil
	}
	if err := k.writeRecord(ctx, r); err != nil {
		return false, err
	}
	if rejoin {
		k.rejoined()
	}
	return true, nil
}

// giveExcess lowers the VM's share in force to what it should hold, or repeats
// a lowering whose write was lost. It returns by how much the record is to be
// lowered.
func (k *Keeper) giveExcess(r claim.Record) plank.PPM {
	m, ok := r.Member(k.self.VM)
	if !ok {
		return 0
	}
	if !k.capped {
		excess := r.Excess(k.self.VM)
		if excess <= 0 {
			return 0
		}
		k.shareCap = m.Share - k.host.GiveShare(excess)
		k.capVersion, k.capped = k.recVersion, true
	}
	return m.Share - k.shareCap
}

// rejoined begins a new membership after the VM was fenced. The record no
// longer holds what the VM held before.
func (k *Keeper) rejoined() {
	if m, ok := k.record.Member(k.self.VM); ok && m.Boot == k.bootID() {
		k.lease.State = StateLive
		k.setLost(false)
	}
}

// writeRecord stores r if nobody changed the record meanwhile. A conflict is
// not an error: the next tick reads and tries again.
func (k *Keeper) writeRecord(ctx context.Context, r claim.Record) error {
	r.Token = plank.Token(fmt.Sprintf("%s-r%d", k.bootID(), rand.Uint64()))
	value, err := r.Encode()
	if err != nil {
		return err
	}
	version, err := k.store.Put(ctx, claim.Key(k.self.Domain), value, k.recVersion)
	var conflict *plank.ConflictError
	if errors.As(err, &conflict) {
		k.capped, k.doubt = false, true
		return nil
	}
	if err != nil {
		k.doubt = true
		return err
	}
	k.setRecord(r, version)
	return nil
}

// fence marks the leases that lapsed for certain, and returns the members whose
// leases are fenced or given up.
func (k *Keeper) fence(ctx context.Context, r claim.Record, listed []plank.VMID) ([]plank.VMID, error) {
	now := k.clock.Now()
	var gone []plank.VMID
	for _, m := range r.Members {
		if m.VM == k.self.VM {
			continue
		}
		heard := k.table.Heard(m.VM)
		if now.Sub(heard) < member.FreshTime {
			k.suspector.forget(m.VM)
			continue
		}
		o, err := k.store.Get(ctx, Key(k.self.Domain, m.VM))
		if err != nil {
			return nil, err
		}
		l, err := Decode(o.Value)
		if err != nil {
			return nil, err
		}
		if l.Boot == m.Boot && (l.State == StateFenced || l.State == StateGone) {
			gone = append(gone, m.VM)
			continue
		}
		absent := listed != nil && !slices.Contains(listed, m.VM)
		// A lease of another run than the member's is about to be joined anew.
		if l.Boot != m.Boot || !k.suspector.mayTake(m.VM, o.Version, heard, now) || !l.mayFence(k.self.VM) && !absent {
			continue
		}
		ok, err := k.fenceOne(ctx, l, o.Version)
		if err != nil {
			return nil, err
		}
		if ok {
			gone = append(gone, m.VM)
		}
	}
	return gone, nil
}

// fenceOne marks one lease as taken over. It reports false if the holder
// renewed it meanwhile.
func (k *Keeper) fenceOne(ctx context.Context, l Lease, version plank.ObjectVersion) (bool, error) {
	l.State = StateFenced
	l.FencedBy = k.self.VM
	l.Token = plank.Token(fmt.Sprintf("%s-f%d", k.bootID(), rand.Uint64()))
	value, err := l.Encode()
	if err != nil {
		return false, err
	}
	_, err = k.store.Put(ctx, Key(k.self.Domain, l.VM), value, version)
	var conflict *plank.ConflictError
	if errors.As(err, &conflict) {
		k.suspector.forget(l.VM)
		return false, nil
	}
	if err != nil {
		return false, err
	}
	k.log.WithField("vm", l.VM).Warn("lease: fenced a silent VM")
	return true, nil
}

// stepLeave drains all endpoints, then gives up share and membership.
func (k *Keeper) stepLeave(ctx context.Context) error {
	idle := true
	for _, c := range k.record.Claims {
		if c.VM == k.self.VM && !k.host.DrainEndpoint(c.Endpoint) {
			idle = false
		}
	}
	m, ok := k.record.Member(k.self.VM)
	if ok && (!idle || k.giveAll() < m.Share) {
		return nil
	}
	if r, changed := k.record.Remove(k.self.VM); changed {
		if err := k.writeRecord(ctx, r); err != nil {
			return err
		}
		if _, still := k.record.Member(k.self.VM); still {
			return nil
		}
	}
	return k.finishLeave(ctx)
}

// giveAll lowers the VM's share as far as loans allow and returns how much of
// it is given up in all.
func (k *Keeper) giveAll() plank.PPM {
	m, _ := k.record.Member(k.self.VM)
	if !k.capped {
		k.shareCap, k.capped = m.Share, true
	}
	k.capVersion = k.recVersion
	k.shareCap -= k.host.GiveShare(k.shareCap)
	return m.Share - k.shareCap
}

// finishLeave marks the lease as given up.
func (k *Keeper) finishLeave(ctx context.Context) error {
	k.setLost(true)
	l := k.lease
	l.State = StateGone
	l.Boot = k.bootID()
	value, err := l.Encode()
	if err != nil {
		return err
	}
	if _, err := k.store.Put(ctx, Key(k.self.Domain, k.self.VM), value, k.version); err != nil {
		return err
	}
	select {
	case <-k.left:
	default:
		close(k.left)
	}
	return nil
}

// publish hands the present view to the host.
func (k *Keeper) publish() {
	v := View{Record: k.record}
	m, ok := k.record.Member(k.self.VM)
	if ok && m.Boot == k.bootID() && !k.isLost() {
		v.Joined = true
		v.Share = m.Share
		if k.capped {
			v.Share = min(v.Share, k.shareCap)
		}
		if k.clock.Now().Before(k.settled) {
			v.Share = 0
		}
		for _, c := range k.record.Claims {
			if c.VM == k.self.VM {
				v.Claims = append(v.Claims, c)
			}
		}
	}
	k.host.SetView(v)
}
