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

// A DesiredState is what the control thread asks of the keeper.
type DesiredState struct {
	// Endpoints lists the domain's engines.
	Endpoints []plank.EndpointID
	// Share is the domain's part of the limits.
	Share plank.PPM
	// Applied is the number of the last note in force.
	Applied plank.NoteNumber
	// ListedVMs names the VMs on the platform's list; nil when it is not known.
	ListedVMs []plank.VMID
}

// A Host is what the keeper needs of the rest of the VM.
type Host interface {
	// DesiredState returns what is wanted now.
	DesiredState() DesiredState
	// ReleaseShare lowers the VM's share in force by up to amount and returns by
	// how much.
	ReleaseShare(amount plank.PPM) plank.PPM
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

// A Manager renews the VM's lease and keeps its place in the domain's record.
type Manager struct {
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
	// leaveFailures counts the failed calls since the VM is leaving.
	leaveFailures int
	left          chan struct{}
	leave         chan struct{}
	cancel        context.CancelFunc
	done          chan struct{}
}

// New starts a keeper.
func New(self Identity, store plank.Store, table *member.Table, clock plank.Clock, host Host, log *logrus.Entry) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Manager{
		self: self, store: store, table: table, clock: clock, host: host, log: log,
		suspector: suspector{started: clock.Now(), seen: make(map[plank.VMID]suspicion)},
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

// ValidUntil returns until when the VM may use its share and order its endpoints:
// the end of its lease or, while the platform is away, of the consent of every
// VM that could take over.
func (k *Manager) ValidUntil() time.Time {
	k.mu.Lock()
	until, consenters, lost := k.until, k.consenters, k.lost
	k.mu.Unlock()
	if lost || until.IsZero() {
		return time.Time{}
	}
	consent := k.table.AckedUntil(consenters, AckTTL, RetiredAckTTL, k.clock.Now())
	if consent.After(until) {
		return consent
	}
	return until
}

// Close stops the keeper without giving anything up.
func (k *Manager) Close() {
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
func (k *Manager) run(ctx context.Context) {
	backoff := RenewInterval
	for ctx.Err() == nil {
		more, err := k.tick(ctx)
		pause := RenewInterval
		switch {
		case err != nil:
			k.log.WithError(err).Warn("lease: platform call failed")
			pause = backoff
			if k.leaving {
				k.leaveAlone()
				pause = stepEvery
			}
			backoff = min(backoff*3/2, maxBackoff)
		case more:
			pause = stepEvery
			backoff = RenewInterval
		default:
			backoff = RenewInterval
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
func (k *Manager) tick(ctx context.Context) (bool, error) {
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

func (k *Manager) isLost() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lost
}

func (k *Manager) setLost(lost bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lost = lost
	if lost {
		k.until = time.Time{}
	}
}

// publish hands the present view to the host.
func (k *Manager) publish() {
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
