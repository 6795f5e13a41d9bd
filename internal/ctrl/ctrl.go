package ctrl

import (
	"cmp"
	"context"
	"maps"
	"slices"
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

// A RunnerMaker makes the runner of an engine that this VM owns.
type RunnerMaker func(e notes.Endpoint, term plank.Term, pinned time.Time) *runner.Runner

// Deps are what the control thread works with.
type Deps struct {
	Clock     plank.Clock
	Table     *member.Table
	Book      *limit.Book
	Keys      *keys.Table
	Log       *logrus.Entry
	NewRunner RunnerMaker
	// Loads is the limit of loads over the whole fleet.
	Loads limit.Limit
	// Record returns the domain's record as the watch of the platform has it.
	Record func() (claim.Record, plank.ObjectVersion, bool)
}

// TickEvery is the pause between refreshes of what peers and runners report.
const TickEvery = 250 * time.Millisecond

// A Control is the control thread. Its methods may be called from any
// goroutine; they hand messages to the thread.
type Control struct {
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

// owned is an engine that this VM owns.
type owned struct {
	runner *runner.Runner
	term   plank.Term
	spec   notes.Endpoint
	drain  <-chan struct{} // set once the endpoint is being given up
}

// The messages of the control thread.
type (
	linksMsg struct {
		links []notes.Link
		raw   [][]byte
	}
	headMsg    struct{ number plank.NoteNumber }
	listMsg    struct{ list PlatformList }
	drainMsg   struct{}
	catalogMsg struct{ catalog *notes.Catalog }
	callMsg    struct {
		run  func()
		done chan struct{}
	}
)

// New starts the control thread.
func New(self lease.Identity, deps Deps) *Control {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Control{
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
func (c *Control) Snapshot() *Snapshot { return c.snap.Load() }

// Close stops the control thread and its runners.
func (c *Control) Close() {
	c.cancel()
	<-c.done
	for _, o := range c.runners {
		o.runner.Close()
	}
}

func (c *Control) run(ctx context.Context) {
	ticker := time.NewTicker(TickEvery)
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

func (c *Control) handle(m any) {
	switch m := m.(type) {
	case linksMsg:
		c.takeLinks(m.links, m.raw)
	case catalogMsg:
		c.takeCatalog(m.catalog)
	case headMsg:
		c.known = max(c.known, m.number)
		c.confirmed = true
	case listMsg:
		c.takeList(m.list)
	case drainMsg:
		c.draining = true
	case callMsg:
		m.run()
		close(m.done)
	}
}

func (c *Control) send(m any) {
	select {
	case c.inbox <- m:
	case <-c.done:
	}
}

// call runs f on the control thread and waits for it.
func (c *Control) call(f func()) {
	m := callMsg{run: f, done: make(chan struct{})}
	c.send(m)
	select {
	case <-m.done:
	case <-c.done:
	}
}

// TakeLinks hands over accepted notes with their stored forms.
func (c *Control) TakeLinks(links []notes.Link, raw [][]byte) { c.send(linksMsg{links, raw}) }

// TakeCatalog hands over the catalog of a peer that no longer has all links.
func (c *Control) TakeCatalog(catalog *notes.Catalog) { c.send(catalogMsg{catalog}) }

// TakeHead tells the number of the last note that the platform or a peer knows.
func (c *Control) TakeHead(n plank.NoteNumber) { c.send(headMsg{n}) }

// Record implements lease.Host.
func (c *Control) Record() (claim.Record, plank.ObjectVersion, bool) { return c.deps.Record() }

// SetView implements lease.Host. It returns once the view is in force, so that
// an older view can never undo a share that was given up since.
func (c *Control) SetView(v lease.View) {
	c.call(func() {
		grown := v.Share > c.view.Share
		c.view = v
		c.deps.Book.SetShare(v.Share)
		if grown {
			// Loads are bounded for speed and promised to nobody, so a new VM
			// need not wait for its first.
			c.deps.Book.Fill(LoadBudget)
		}
		c.applyClaims()
	})
}

// SetDraining makes the VM unready for good.
func (c *Control) SetDraining() { c.send(drainMsg{}) }

// TakeList hands over the platform's list of VMs.
func (c *Control) TakeList(l PlatformList) { c.send(listMsg{l}) }

// GiveShare implements lease.Host.
func (c *Control) GiveShare(amount plank.PPM) plank.PPM {
	return c.deps.Book.GiveShare(amount)
}

// Desire implements lease.Host.
func (c *Control) Desire() lease.Desire {
	var d lease.Desire
	c.call(func() {
		d.Applied = c.catalog.Number
		d.Listed = c.listed
		d.Share = c.catalog.Domains[string(c.self.Domain)].Share
		for _, e := range c.catalog.Endpoints {
			if e.Kind == notes.KindEngine && e.Domain == c.self.Domain {
				d.Endpoints = append(d.Endpoints, e.Id)
			}
		}
		slices.Sort(d.Endpoints)
	})
	return d
}

// DrainEndpoint implements lease.Host.
func (c *Control) DrainEndpoint(e plank.EndpointID) bool {
	idle := true
	c.call(func() {
		o := c.runners[e]
		if o == nil {
			return
		}
		if o.drain == nil {
			o.drain = o.runner.Drain()
		}
		select {
		case <-o.drain:
		default:
			idle = false
		}
	})
	return idle
}

// takeLinks applies the links that follow the catalog. Others are dropped: a
// number is never taken twice, and never out of order.
func (c *Control) takeLinks(links []notes.Link, raw [][]byte) {
	applied := false
	for i, l := range links {
		c.known = max(c.known, l.Number)
		if l.Number != c.catalog.Number+1 {
			continue
		}
		c.catalog = c.catalog.Apply(&l.Note)
		c.keepLink(raw[i])
		applied = true
		c.deps.Log.WithFields(logrus.Fields{"number": l.Number, "note": l.Note.Id}).Info("ctrl: note in force")
	}
	if applied {
		c.applyCatalog()
	}
}

// maxLinks bounds the links kept for peers; a peer further behind takes the
// whole catalog.
const maxLinks = 4096

func (c *Control) keepLink(raw []byte) {
	c.links = append(c.links, raw)
	if len(c.links) > maxLinks {
		n := len(c.links) / 2
		c.links = slices.Clone(c.links[n:])
		c.firstLink += plank.NoteNumber(n)
	}
}

// takeCatalog replaces the catalog by a later one.
func (c *Control) takeCatalog(catalog *notes.Catalog) {
	if catalog.Number <= c.catalog.Number {
		return
	}
	c.catalog = catalog
	c.links = nil
	c.firstLink = catalog.Number + 1
	c.known = max(c.known, catalog.Number)
	c.deps.Log.WithField("number", catalog.Number).Info("ctrl: catalog taken from a peer")
	c.applyCatalog()
}

// LinksAfter returns the stored links after a number, or the whole catalog when
// the first of them is no longer kept.
func (c *Control) LinksAfter(n plank.NoteNumber, most int) (raw [][]byte, catalog *notes.Catalog) {
	c.call(func() {
		if n >= c.catalog.Number {
			return
		}
		if n+1 < c.firstLink {
			catalog = c.catalog
			return
		}
		raw = slices.Clone(c.links[n+1-c.firstLink:])
		raw = raw[:min(most, len(raw))]
	})
	return raw, catalog
}

// applyCatalog brings everything in line with a changed catalog.
func (c *Control) applyCatalog() {
	limits := map[plank.WorkspaceID]limit.Limit{LoadBudget: c.deps.Loads}
	for _, w := range c.catalog.Workspaces {
		limits[w.Id] = limit.Limit{Rate: w.Rate, Burst: w.Burst}
	}
	c.deps.Book.SetLimits(limits)
	c.services = make(map[plank.ServiceID][]notes.Endpoint)
	for _, e := range c.catalog.Endpoints {
		if e.Kind == notes.KindService {
			c.services[e.Service] = append(c.services[e.Service], e)
		}
	}
	for _, replicas := range c.services {
		slices.SortFunc(replicas, func(a, b notes.Endpoint) int {
			if aLocal, bLocal := a.Domain == c.self.Domain, b.Domain == c.self.Domain; aLocal != bLocal {
				if aLocal {
					return -1
				}
				return 1
			}
			return cmp.Compare(a.Id, b.Id)
		})
	}
	c.routes = sortRoutes(c.catalog.Routes)
	c.applyClaims()
	c.publish()
	// After the new snapshot is out no request can start with an old key, so
	// what is ended here is all there is.
	byHash := c.catalog.KeyByHash
	n := c.deps.Keys.Retain(func(id plank.KeyID) bool { return IsKeyValid(byHash, id) })
	if n > 0 {
		c.deps.Log.WithField("requests", n).Info("ctrl: ended requests of withdrawn keys")
	}
}

// KeyEntry names a key as presented by a caller, for the table of requests: its
// hash and the workspace that it stood for.
func KeyEntry(k notes.Key) plank.KeyID {
	return plank.KeyID(k.Hash + "/" + string(k.Workspace))
}

// IsKeyValid reports whether a key presented earlier still stands.
func IsKeyValid(byHash map[string]notes.Key, id plank.KeyID) bool {
	const hashLen = 64
	if len(id) < hashLen {
		return false
	}
	k, ok := byHash[string(id[:hashLen])]
	return ok && KeyEntry(k) == id
}

// applyClaims starts and stops runners so that they match the view.
func (c *Control) applyClaims() {
	wanted := make(map[plank.EndpointID]claim.Claim)
	for _, cl := range c.view.Claims {
		spec, ok := c.catalog.Endpoints[string(cl.Endpoint)]
		if ok && spec.Kind == notes.KindEngine {
			wanted[cl.Endpoint] = cl
		}
	}
	for id, o := range c.runners {
		cl, ok := wanted[id]
		if ok && cl.Term == o.term && c.catalog.Endpoints[string(id)] == o.spec {
			continue
		}
		delete(c.runners, id)
		c.deps.Log.WithFields(logrus.Fields{"endpoint": id, "term": o.term}).Info("ctrl: endpoint given up")
		go c.retire(o.runner)
	}
	for id, cl := range wanted {
		if c.runners[id] != nil {
			continue
		}
		spec := c.catalog.Endpoints[string(id)]
		var pinned time.Time
		if cl.Term > 1 {
			pinned = c.deps.Clock.Now().Add(notes.MaxPatience)
		}
		c.runners[id] = &owned{runner: c.deps.NewRunner(spec, cl.Term, pinned), term: cl.Term, spec: spec}
		c.deps.Log.WithFields(logrus.Fields{"endpoint": id, "term": cl.Term}).Info("ctrl: endpoint owned")
	}
	c.applyLeaving()
}

// retire lets running requests end before the runner is closed.
func (c *Control) retire(r *runner.Runner) {
	select {
	case <-r.Drain():
	case <-time.After(notes.MaxPatience):
	}
	r.Close()
}

// A PlatformList is the platform's list of VMs. It lags.
type PlatformList struct {
	VMs []PlatformVM
}

// A PlatformVM is one VM of the list.
type PlatformVM struct {
	Name    string
	Leaving bool
}

// ListKey is the object key of the platform's list of VMs.
const ListKey = "platform/vms"

// takeList merges the platform's list of VMs.
func (c *Control) takeList(l PlatformList) {
	c.listed = make([]plank.VMID, 0, len(l.VMs))
	c.away = make(map[string]bool)
	for _, vm := range l.VMs {
		c.listed = append(c.listed, plank.VMID(vm.Name))
		if vm.Leaving {
			c.away[vm.Name] = true
		}
	}
	c.applyLeaving()
}

// applyLeaving stops new work for engines whose VM the platform says is leaving.
func (c *Control) applyLeaving() {
	for _, o := range c.runners {
		if o.spec.VM != "" && c.away[o.spec.VM] {
			o.runner.SetLeaving(true)
		}
	}
}

// counter returns the count of this VM's requests on an engine.
func (c *Control) counter(id plank.EndpointID) *atomic.Int64 {
	n := c.sent[id]
	if n == nil {
		n = new(atomic.Int64)
		c.sent[id] = n
	}
	return n
}

// publish makes a new snapshot.
func (c *Control) publish() {
	now := c.deps.Clock.Now()
	s := &Snapshot{
		Catalog: c.catalog, Routes: c.routes, Record: c.view.Record, Joined: c.view.Joined,
		Services: c.presentServices(),
	}
	for _, p := range c.deps.Table.Peers() {
		c.known = max(c.known, p.Applied)
		if !p.Fresh(now, c.self.Domain) {
			continue
		}
		// A reachable peer tells the head as well as the platform does.
		c.confirmed = c.confirmed || p.Applied > 0
		s.Peers = append(s.Peers, p)
		for id, e := range p.Endpoints {
			if spec, ok := c.catalog.Endpoints[string(id)]; ok {
				s.Engines = append(s.Engines, c.engine(spec, p.VM, p.Address, e, nil))
			}
		}
	}
	for id, o := range c.runners {
		st := o.runner.Status()
		e := member.Endpoint{Term: st.Term, Up: st.Up, Leaving: st.Leaving, Outstanding: st.Outstanding, Loads: st.Loads, Resident: set(st.Resident), Loading: set(st.Loading)}
		if o.drain != nil {
			e.Leaving = true
		}
		s.Engines = append(s.Engines, c.engine(c.catalog.Endpoints[string(id)], c.self.VM, "", e, o.runner))
	}
	s.Engines = newestOwners(s.Engines)
	s.Ready = !c.draining && c.confirmed && c.catalog.Number > 0 && c.catalog.Number >= c.known
	c.snap.Store(s)
}

func (c *Control) engine(spec notes.Endpoint, vm plank.VMID, addr string, st member.Endpoint, r *runner.Runner) Engine {
	e := Engine{
		Endpoint: spec, Owner: vm, Address: addr, State: st, Runner: r,
		Local: spec.Domain == c.self.Domain, Sent: c.counter(spec.Id),
	}
	return e.WithSeed()
}

// newestOwners keeps, of engines that two VMs say they own, the one with the
// higher term, and sorts by endpoint.
func newestOwners(engines []Engine) []Engine {
	slices.SortFunc(engines, func(a, b Engine) int {
		if c := cmp.Compare(a.Endpoint.Id, b.Endpoint.Id); c != 0 {
			return c
		}
		return cmp.Compare(b.State.Term, a.State.Term)
	})
	return slices.CompactFunc(engines, func(a, b Engine) bool { return a.Endpoint.Id == b.Endpoint.Id })
}

// presentServices leaves out replicas whose VM the platform says is leaving.
func (c *Control) presentServices() map[plank.ServiceID][]notes.Endpoint {
	if len(c.away) == 0 {
		return c.services
	}
	present := maps.Clone(c.services)
	for id, replicas := range present {
		present[id] = slices.DeleteFunc(slices.Clone(replicas), func(e notes.Endpoint) bool { return c.away[e.VM] })
	}
	return present
}

func set(models []plank.Model) map[plank.Model]bool {
	m := make(map[plank.Model]bool, len(models))
	for _, model := range models {
		m[model] = true
	}
	return m
}
