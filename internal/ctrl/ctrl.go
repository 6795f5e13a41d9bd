package ctrl

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/claim"
	"knapweedplank.org/plank/internal/keys"
	"knapweedplank.org/plank/internal/lease"
	"knapweedplank.org/plank/internal/limit"
	"knapweedplank.org/plank/internal/member"
	"knapweedplank.org/plank/internal/runner"
	"knapweedplank.org/plank/pkg/notes"
)

// LoadWorkspace is the pseudo-workspace whose limit covers the adapter loads of
// the whole fleet.
const LoadWorkspace plank.WorkspaceID = "~loads"

// A RunnerFactory returns a new runner for an engine that this VM owns. Requests
// of an earlier owner may still run on the engine until pinned.
type RunnerFactory func(e notes.Endpoint, term plank.Term, pinned time.Time) *runner.Runner

// Deps are the dependencies of a Controller.
type Deps struct {
	Clock     plank.Clock
	Peers     *member.Table
	Limiter   *limit.ShareLimiter
	Keys      *keys.Table
	Log       *logrus.Entry
	NewRunner RunnerFactory
	// LoadLimit limits the adapter loads of the whole fleet.
	LoadLimit limit.Limit
	// Record returns the domain's record as last read by the watch of the
	// platform, and false if none was read.
	Record func() (claim.Record, plank.ObjectVersion, bool)
}

// RefreshInterval is the longest time between two snapshots, and so the longest
// delay until a changed state of a peer or runner is published.
const RefreshInterval = 250 * time.Millisecond

// A Controller runs the control goroutine. Its methods may be called from any
// goroutine; they send messages to the control goroutine.
type Controller struct {
	self lease.Identity
	deps Deps

	snap   atomic.Pointer[Snapshot]
	inbox  chan any
	cancel context.CancelFunc
	done   chan struct{}

	// The fields below belong to the control goroutine.
	catalog     *notes.Catalog
	storedLinks [][]byte         // encoded form of the last links, served to peers
	firstStored plank.NoteNumber // number of the first of storedLinks
	view        lease.View
	runners     map[plank.EndpointID]*ownedEngine
	inFlight    map[plank.EndpointID]*atomic.Int64 // requests of this VM
	draining    bool                               // the VM is shutting down
	listedVMs   []plank.VMID
	leavingVMs  map[string]bool // VMs marked as leaving in the platform's list
	services    map[plank.ServiceID][]notes.Endpoint
	routes      []notes.Route
	// highestKnown is the highest note number received from the platform or
	// reported by a peer.
	highestKnown plank.NoteNumber
	// synced is set once the platform or a peer has reported the number of the
	// latest note.
	synced bool
}

// The messages to the control goroutine.
type (
	linksMsg struct {
		links []notes.Record
		raw   [][]byte
	}
	vmListMsg  struct{ list PlatformList }
	drainMsg   struct{}
	catalogMsg struct{ catalog *notes.Catalog }
	funcMsg    struct {
		f    func()
		done chan struct{}
	}
)

// New starts the control goroutine.
func New(self lease.Identity, deps Deps) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		self: self, deps: deps, inbox: make(chan any, 256), cancel: cancel, done: make(chan struct{}),
		catalog: &notes.Catalog{}, firstStored: 1,
		runners: make(map[plank.EndpointID]*ownedEngine), inFlight: make(map[plank.EndpointID]*atomic.Int64),
	}
	c.applyCatalog()
	c.publish()
	go func() {
		defer close(c.done)
		c.run(ctx)
	}()
	return c
}

// Snapshot returns the current snapshot.
func (c *Controller) Snapshot() *Snapshot { return c.snap.Load() }

// Close stops the control goroutine and the runners.
func (c *Controller) Close() {
	c.cancel()
	<-c.done
	for _, o := range c.runners {
		o.runner.Close()
	}
}

func (c *Controller) run(ctx context.Context) {
	ticker := time.NewTicker(RefreshInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-c.inbox:
			c.handle(m)
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		c.publish()
	}
}

func (c *Controller) handle(m any) {
	switch m := m.(type) {
	case linksMsg:
		c.applyLinks(m.links, m.raw)
	case catalogMsg:
		c.replaceCatalog(m.catalog)
	case vmListMsg:
		c.applyVMList(m.list)
	case drainMsg:
		c.draining = true
	case funcMsg:
		m.f()
		close(m.done)
	}
}

func (c *Controller) send(m any) {
	select {
	case c.inbox <- m:
	case <-c.done:
	}
}

// runAndWait runs f on the control goroutine and waits until it has returned or
// the control goroutine has ended.
func (c *Controller) runAndWait(f func()) {
	m := funcMsg{f: f, done: make(chan struct{})}
	c.send(m)
	select {
	case <-m.done:
	case <-c.done:
	}
}
