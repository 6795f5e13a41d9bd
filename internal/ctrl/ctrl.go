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

// LoadBudget is the name under which the loads of the whole fleet are limited,
// like the tokens of a workspace.
const LoadBudget plank.WorkspaceID = "~loads"

// A RunnerFactory makes the runner of an engine that this VM owns.
type RunnerFactory func(e notes.Endpoint, term plank.Term, pinned time.Time) *runner.Runner

// Deps are what the control thread works with.
type Deps struct {
	Clock     plank.Clock
	Peers     *member.Table
	Limiter   *limit.ShareLimiter
	Keys      *keys.Table
	Log       *logrus.Entry
	NewRunner RunnerFactory
	// LoadLimit is the limit of loads over the whole fleet.
	LoadLimit limit.Limit
	// Record returns the domain's record as the watch of the platform has it.
	Record func() (claim.Record, plank.ObjectVersion, bool)
}

// RefreshInterval is the pause between refreshes of what peers and runners report.
const RefreshInterval = 250 * time.Millisecond

// A Controller is the control thread. Its methods may be called from any
// goroutine; they hand messages to the thread.
type Controller struct {
	self lease.Identity
	deps Deps

	snap   atomic.Pointer[Snapshot]
	inbox  chan any
	cancel context.CancelFunc
	done   chan struct{}

	// The fields below belong to the control goroutine.
	catalog   *notes.Catalog
	links     [][]byte // stored form of the last links, for peers
	firstLink plank.NoteNumber
	view      lease.View
	runners   map[plank.EndpointID]*owned
	sent      map[plank.EndpointID]*atomic.Int64
	draining  bool // the VM is leaving
	listed    []plank.VMID
	away      map[string]bool // VMs of endpoints that the platform says leave
	services  map[plank.ServiceID][]notes.Endpoint
	routes    []notes.Route
	// known is the highest note number that the platform or a peer told of.
	known plank.NoteNumber
	// confirmed is set once the platform or a peer told the head of the chain.
	confirmed bool
}

// The messages of the control thread.
type (
	linksMsg struct {
		links []notes.Record
		raw   [][]byte
	}
	listMsg    struct{ list PlatformList }
	drainMsg   struct{}
	catalogMsg struct{ catalog *notes.Catalog }
	callMsg    struct {
		run  func()
		done chan struct{}
	}
)

// New starts the control thread.
func New(self lease.Identity, deps Deps) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		self: self, deps: deps, inbox: make(chan any, 256), cancel: cancel, done: make(chan struct{}),
		catalog: &notes.Catalog{}, firstLink: 1,
		runners: make(map[plank.EndpointID]*owned), sent: make(map[plank.EndpointID]*atomic.Int64),
	}
	c.applyCatalog()
	c.publish()
	go func() {
		defer close(c.done)
		c.run(ctx)
	}()
	return c
}

// Snapshot returns the present snapshot.
func (c *Controller) Snapshot() *Snapshot { return c.snap.Load() }

// Close stops the control thread and its runners.
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
		c.takeLinks(m.links, m.raw)
	case catalogMsg:
		c.takeCatalog(m.catalog)
	case listMsg:
		c.takeList(m.list)
	case drainMsg:
		c.draining = true
	case callMsg:
		m.run()
		close(m.done)
	}
}

func (c *Controller) send(m any) {
	select {
	case c.inbox <- m:
	case <-c.done:
	}
}

// call runs f on the control thread and waits for it.
func (c *Controller) call(f func()) {
	m := callMsg{run: f, done: make(chan struct{})}
	c.send(m)
	select {
	case <-m.done:
	case <-c.done:
	}
}
