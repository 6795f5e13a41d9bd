package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/claim"
	"knapweedplank.org/plank/internal/member"
)

// A DesiredState is the Manager's input, as determined by the control goroutine.
type DesiredState struct {
	// Endpoints lists the domain's engines.
	Endpoints []plank.EndpointID
	// Share is the domain's share of the limits.
	Share plank.PPM
	// Applied is the number of the last note in force.
	Applied plank.NoteNumber
	// ListedVMs are the VMs on the platform's list; nil if the list is not known.
	ListedVMs []plank.VMID
}

// A Host is the Manager's interface to the rest of the VM.
type Host interface {
	// DesiredState returns the current desired state.
	DesiredState() DesiredState
	// ReleaseShare lowers the share that the VM uses by up to amount and returns
	// the reduction.
	ReleaseShare(amount plank.PPM) plank.PPM
	// DrainEndpoint stops new work on an endpoint and reports whether it is idle.
	DrainEndpoint(e plank.EndpointID) bool
	// SetView sets the VM's current view. It is called after each step.
	SetView(v View)
	// Record returns the domain's record as last received from the watch, if any.
	Record() (claim.Record, plank.ObjectVersion, bool)
}

// A View is a VM's membership, share and endpoints as last stored by the platform.
type View struct {
	Record claim.Record
	// Share is the share that the VM may use; 0 while it is not a member.
	Share plank.PPM
	// Claims lists the endpoints that the VM owns.
	Claims []claim.Claim
	// Joined is set once the VM is a member.
	Joined bool
}

// An Identity identifies a VM, as configured, and its current run.
type Identity struct {
	VM      plank.VMID
	Boot    plank.BootID
	Domain  plank.DomainID
	Address string // of the peer listener
}

// A Manager renews the VM's lease and maintains the VM's membership, share and
// endpoints in the domain's record.
type Manager struct {
	self  Identity
	store plank.Store
	table *member.Table
	clock plank.Clock
	host  Host
	log   *logrus.Entry

	mu sync.Mutex
	// expires is when the lease expires without extension by other VMs.
	expires time.Time
	// fencers lists the VMs that may fence the lease: the members of the stored
	// lease and, after a write whose response was lost, those of the lease that
	// may be stored.
	fencers []plank.VMID
	// lost is set while the VM is fenced or has left.
	lost bool

	// The fields below are used only by the Manager's goroutine.
	epoch         int // counts the VM's memberships in this run
	lease         Lease
	version       plank.ObjectVersion // of the stored lease
	record        claim.Record
	recordVersion plank.ObjectVersion
	// mustReadRecord is set after a failed write of the record, until the record
	// is read from the platform.
	mustReadRecord bool
	// shareCap limits the share, if shareCapped is set, while a write that lowers
	// it may still take effect; shareCapVersion is the record version on which
	// that write is based.
	shareCap        plank.PPM
	shareCapVersion plank.ObjectVersion
	shareCapped     bool
	// holdoffUntil is when the loans of an earlier run have certainly ended.
	holdoffUntil time.Time
	expiry       expiryDetector
	leaving      bool
	// leaveFailures counts the failed steps since the VM began to leave.
	leaveFailures  int
	left           chan struct{} // closed when the VM has left
	leaveRequested chan struct{} // receives the request of Leave
	cancel         context.CancelFunc
	done           chan struct{}
}

// New starts a Manager.
func New(self Identity, store plank.Store, table *member.Table, clock plank.Clock, host Host, log *logrus.Entry) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	mgr := &Manager{
		self: self, store: store, table: table, clock: clock, host: host, log: log,
		expiry: expiryDetector{started: clock.Now(), observations: make(map[plank.VMID]observation)},
		record: claim.Record{Domain: self.Domain},
		lease:  Lease{VM: self.VM, Boot: self.Boot, Domain: self.Domain, Address: self.Address, State: StateLive},
		left:   make(chan struct{}), leaveRequested: make(chan struct{}, 1), cancel: cancel, done: make(chan struct{}),
	}
	go func() {
		defer close(mgr.done)
		mgr.run(ctx)
	}()
	return mgr
}

// ValidUntil returns the time until which the VM may use its share and give orders
// to its endpoints: when its lease expires or, if later, the time to which every
// VM that may fence the lease has extended it by acknowledging heartbeats. The
// latter applies while the platform is unavailable.
func (mgr *Manager) ValidUntil() time.Time {
	mgr.mu.Lock()
	expires, fencers, lost := mgr.expires, mgr.fencers, mgr.lost
	mgr.mu.Unlock()
	if lost || expires.IsZero() {
		return time.Time{}
	}
	ackedUntil := mgr.table.AckedUntil(fencers, AckTTL, RetiredAckTTL, mgr.clock.Now())
	if ackedUntil.After(expires) {
		return ackedUntil
	}
	return expires
}

// Close stops the Manager without releasing endpoints, share or membership.
func (mgr *Manager) Close() {
	mgr.cancel()
	<-mgr.done
}

// Delays between steps.
const (
	// stepInterval is the mean delay after a step that left work to do.
	stepInterval = 200 * time.Millisecond
	// maxBackoff limits the delay while the platform is unavailable, before
	// jitter.
	maxBackoff = 4 * time.Second
)

// run calls tick periodically until ctx ends.
func (mgr *Manager) run(ctx context.Context) {
	backoff := RenewInterval
	for ctx.Err() == nil {
		more, err := mgr.tick(ctx)
		pause := RenewInterval
		switch {
		case err != nil:
			mgr.log.WithError(err).Warn("lease: platform call failed")
			pause = backoff
			if mgr.leaving {
				mgr.leaveWithoutPlatform()
				pause = stepInterval
			}
			backoff = min(backoff*3/2, maxBackoff)
		case more:
			pause = stepInterval
			backoff = RenewInterval
		default:
			backoff = RenewInterval
		}
		// Jitter keeps the VMs' calls from synchronizing after an outage.
		pause = pause*3/4 + rand.N(pause/2)
		select {
		case <-time.After(pause):
		case <-mgr.leaveRequested:
			mgr.leaving = true
		case <-ctx.Done():
		}
	}
}

// tick renews the lease and applies one step to the domain's record. It reports
// whether more steps may be due.
func (mgr *Manager) tick(ctx context.Context) (bool, error) {
	if err := mgr.readRecord(ctx); err != nil {
		return false, err
	}
	if !mgr.isLost() {
		if err := mgr.renew(ctx); err != nil {
			return false, err
		}
	}
	more, err := mgr.step(ctx)
	mgr.publish()
	return more, err
}

func (mgr *Manager) isLost() bool {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return mgr.lost
}

func (mgr *Manager) setLost(lost bool) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	mgr.lost = lost
	if lost {
		mgr.expires = time.Time{}
	}
}

// publish passes the current view to the host.
func (mgr *Manager) publish() {
	v := View{Record: mgr.record}
	m, ok := mgr.record.Member(mgr.self.VM)
	if ok && m.Boot == mgr.bootID() && !mgr.isLost() {
		v.Joined = true
		v.Share = m.Share
		if mgr.shareCapped {
			v.Share = min(v.Share, mgr.shareCap)
		}
		if mgr.clock.Now().Before(mgr.holdoffUntil) {
			v.Share = 0
		}
		for _, c := range mgr.record.Claims {
			if c.VM == mgr.self.VM {
				v.Claims = append(v.Claims, c)
			}
		}
	}
	mgr.host.SetView(v)
}
