// Package node wires the parts of a daemon that runs on the users' platform.
package node

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/conns"
	"knapweedplank.org/plank/internal/duty"
	"knapweedplank.org/plank/internal/front"
	"knapweedplank.org/plank/internal/grant"
	"knapweedplank.org/plank/internal/health"
	"knapweedplank.org/plank/internal/idle"
	"knapweedplank.org/plank/internal/limit"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/pause"
	"knapweedplank.org/plank/internal/peer"
	"knapweedplank.org/plank/internal/place"
	"knapweedplank.org/plank/internal/poison"
	"knapweedplank.org/plank/internal/view"
	"knapweedplank.org/plank/internal/watch"
	"knapweedplank.org/plank/internal/wire"
	"knapweedplank.org/plank/platform"
)

// The times of a daemon.
const (
	storeTimeout = 700 * time.Millisecond
	// transferTimeout bounds a whole answer of the store. Its largest, about 1 MB,
	// takes a second on a link of 10 Mbit/s that carries nothing else.
	transferTimeout = 4 * time.Second
	// watchGrace is how long after the end of a watch's wait a connection that
	// went silent is noticed.
	watchGrace = 400 * time.Millisecond
	// dialTimeout bounds a connection to an endpoint.
	dialTimeout = 500 * time.Millisecond
	// crashProbe bounds the look whether an endpoint that broke off is down.
	crashProbe = 300 * time.Millisecond
	sweepEvery = 500 * time.Millisecond
	// keepAlive is how long callers' idle connections are kept. It is longer
	// than any caller keeps one.
	keepAlive     = time.Minute
	headerTimeout = 10 * time.Second
	// budgetPart is the part of the retries allowed that VMs use, since they
	// count apart.
	budgetPart = 0.8
)

// A Node is a daemon.
type Node struct {
	settings *platform.Settings
	boot     plank.BootID
	clock    plank.Clock
	log      *logrus.Entry
	registry metrics.Registry

	store   *platform.Store
	pool    *conns.Pool
	view    *view.Holder
	mesh    *mesh.Mesh
	hub     *peer.Transport
	keeper  *grant.Scheduler
	tally   *limit.GossipLimiter
	budgets *front.Budgets
	poison  *poison.Table
	broker  *front.Broker
	chooser *front.Chooser
	health  *health.Table
	duties  *dutyLoop
	state   *state
	known   releaseTimes
	table   *watch.Table
	news    *watchPolicy
	objects *objectSender

	cancel   context.CancelFunc
	callers  *http.Server
	entrance *idle.Listener            // of callers
	stopping atomic.Bool               // no longer ready
	closing  atomic.Bool               // answers end their connections
	ends     atomic.Pointer[time.Time] // of the process; nil while it takes long calls
}

// New starts a daemon. dropped returns how many lines of its log were lost.
func New(settings *platform.Settings, log *logrus.Logger, dropped func() uint64) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		settings: settings, boot: newBoot(), clock: plank.SystemClock{}, cancel: cancel,
		log: log.WithField("vm", settings.VM), registry: metrics.NewRegistry(),
	}
	n.buildState()
	n.buildClients()
	n.buildMesh(ctx, settings.ControlAddr)
	n.duties = &dutyLoop{
		n: n, leases: make(map[plank.DomainID]*duty.Lease), fenced: make(chan fencing, 16), aliveAt: make(map[plank.DomainID]time.Time), claimer: make(map[plank.DomainID]plank.VMID),
	}
	n.buildKeeper(ctx)
	if err := n.listen(); err != nil {
		cancel()
		return nil, err
	}
	n.start(ctx)
	go func() { n.observe(ctx, dropped) }()
	n.log.WithFields(logrus.Fields{
		"boot": n.boot, "domain": settings.Domain, "callers": settings.CallerAddr, "bootstrap": settings.Bootstrap, "metrics": n.metricsAddr(),
	}).Info("node: started")
	return n, nil
}

// The size of a VM that counts as 1.
const (
	usualCPU  = 0.4
	usualLink = 100.0 // Mbit/s
)

// capacity compares VMs by what they have least of.
func capacity(s *platform.Settings) float64 {
	return min(s.CPUShare/usualCPU, s.LinkMbps/usualLink)
}

func newBoot() plank.BootID {
	var b [8]byte
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return plank.BootID(hex.EncodeToString(b[:]))
}

// buildState makes the parts that hold what is known.
func (n *Node) buildState() {
	n.state = &state{
		wake:    func() { n.mesh.Wake() },
		engines: make(map[plank.EndpointID]engineChange), suspects: make(map[plank.Fingerprint]suspectChange),
	}
	n.view = view.New(n.viewChanged)
	n.table = watch.NewTable(n.state.setObject)
	n.news = &watchPolicy{self: n.settings.VM, domain: n.settings.Domain, clock: n.clock, bound: n.settings.Bounds.ConfigApply, link: n.settings.LinkMbps, view: n.view}
	n.state.table, n.state.news, n.state.clock = n.table, n.news, n.clock
	n.state.objects = make(map[string]uint64)
	n.tally = limit.NewGossipLimiter(n.clock, n.settings.Bootstrap, n.state.stamp)
	n.poison = poison.New(n.clock, n.state.setSuspect)
	n.state.view, n.state.tally, n.state.poison = n.view, n.tally, n.poison
	n.state.flights = front.NewInFlight(func() { n.mesh.Wake() })
	n.known.since = make(map[plank.AdapterRef]time.Time)
	b := n.settings.Bounds
	n.budgets = front.NewBudgets(b.RetryRatio*budgetPart, b.RetrySlack*budgetPart)
}

// buildClients makes the clients of the store and of the endpoints.
func (n *Node) buildClients() {
	dialer := net.Dialer{Timeout: storeTimeout, Control: conns.SetUserTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8, IdleConnTimeout: 20 * time.Second}
	n.store = platform.NewStore(n.settings.StoreAddr, &http.Client{Transport: transport}, platform.StoreOptions{
		CallTimeout: storeTimeout, TransferTimeout: transferTimeout, WatchWait: func() time.Duration { return n.news.pace().wait }, WatchGrace: watchGrace,
		OnCall: func(op string, status int, err error) {
			name := "Store." + op
			if err != nil {
				name = fmt.Sprintf("%s.Failed%d", name, status)
			}
			metrics.GetOrRegisterCounter(name, n.registry).Inc(1)
		},
	})
	dialed := metrics.GetOrRegisterCounter("Endpoints.Dialed", n.registry)
	n.pool = conns.New(conns.Options{DialTimeout: dialTimeout, Clock: n.clock, OnDial: func() { dialed.Inc(1) }})
}

// buildMesh makes what connects this VM to the others, which reach it at addr.
func (n *Node) buildMesh(ctx context.Context, addr string) {
	s := n.settings
	n.hub = peer.New(net.ParseIP(s.IP), nil, n.log)
	self := mesh.Self{VM: s.VM, Boot: n.boot, Domain: s.Domain, Address: addr, Capacity: capacity(s)}
	n.mesh = mesh.New(ctx, self, n.hub, n.state, n.clock, n.log)
	n.news.mesh = n.mesh
	n.state.peers = n.mesh.Size
	n.objects = &objectSender{table: n.table}
	n.state.fetcher = watch.NewFetcher(ctx, watch.FetchOptions{
		Store: n.store, Table: n.table, GetFromPeer: n.askObject, IsWatching: n.news.mustWatch, Clock: n.clock, Log: n.log,
	})
}

// buildKeeper makes the keeper of the engines that this VM orders.
func (n *Node) buildKeeper(ctx context.Context) {
	n.health = health.New(n.clock)
	n.keeper = grant.NewScheduler(ctx, grant.Deps{
		Self: n.settings.VM, Operator: platform.NewEngineController(n.pool), Evictor: place.Value{}, Clock: n.clock, Log: n.log,
		NewestVersion: n.newest, RemoteColdLoads: n.peersCold, PublishColdLoads: n.state.setCold, CountOrder: n.countOrder,
		Health:         func(id plank.EndpointID) (float64, bool) { return n.health.FailRate(id), n.health.IsAvoided(id) },
		InUseElsewhere: func(id plank.EndpointID, ref plank.AdapterRef) bool { return n.mesh.InUse(id, ref.String()) },
		RecentAdapters: func(inst plank.Instance) []plank.AdapterRef {
			var refs []plank.AdapterRef
			for _, name := range n.mesh.RecentAdapters(inst.ID, inst.Born) {
				refs = append(refs, plank.ParseAdapterRef(name))
			}
			return refs
		},
		PublishState: func(id plank.EndpointID, s *wire.EngineState) {
			n.mesh.SetOwnEngine(id, s)
			n.state.setEngine(id, s)
		},
		ReportFenced: func(domain plank.DomainID, term plank.Term) {
			select {
			case n.duties.fenced <- fencing{domain, term}:
			default: // the same loss is queued already
			}
		},
	})
	n.chooser = &front.Chooser{Domain: n.settings.Domain, View: n.view, Mesh: n.mesh, Health: n.health, Clock: n.clock}
	n.broker = &front.Broker{Local: n.keeper, Chooser: n.chooser, Transport: n.hub, Clock: n.clock, Log: n.log}
}

// countOrder counts the results of orders.
func (n *Node) countOrder(unload bool, result string) {
	op := "Load."
	if unload {
		op = "Unload."
	}
	metrics.GetOrRegisterCounter("Orders."+op+result, n.registry).Inc(1)
}

// newest returns the newest version of an adapter and since when it is known.
func (n *Node) newest(ref plank.AdapterRef) (plank.VersionNumber, time.Time) {
	return n.view.Load().Versions[ref], n.known.of(ref)
}

// peersCold counts the loads from the weight store that others have under way.
func (n *Node) peersCold() int {
	total, now := 0, n.clock.Now()
	n.mesh.Each(func(p *mesh.Peer) {
		if p.IsAlive(now) {
			total += p.ColdLoads
		}
	})
	return total
}

// viewChanged takes what of a new view is kept elsewhere.
func (n *Node) viewChanged(v *view.View) {
	if v.Manifest != nil {
		n.tally.SetLimits(v.Manifest.Workspaces)
	}
	n.known.note(v.Versions, n.clock.Now())
}

// observeReach tells limits and budgets how much of the fleet is heard.
func (n *Node) observeReach() {
	heard, known := n.mesh.Reachable()
	n.tally.SetReachable(heard, known)
	n.budgets.SetBurst(n.settings.Bounds.RetrySlack * budgetPart / float64(known))
}

// listen opens the daemon's ports.
func (n *Node) listen() error {
	callers, err := net.Listen("tcp", n.settings.CallerAddr)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", n.settings.ReadyAddr)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp", n.settings.ControlAddr)
	if err != nil {
		return err
	}
	server := front.New(front.Deps{
		Domain: n.settings.Domain, View: n.view, Mesh: n.mesh, Reserver: n.broker, Chooser: n.chooser, Limiter: n.tally, Budgets: n.budgets,
		Health: n.health, Poison: n.poison, InFlight: n.state.flights, Sender: platform.NewSender(n.pool, n.clock),
		StopTime: n.endsAt, IsDown: isDown, Clock: n.clock, Metrics: n.registry, Log: n.log,
	})
	n.entrance = idle.Wrap(callers)
	n.callers = &http.Server{
		Handler:           platform.NewIngress(server, n.clock, platform.IngressOptions{MaxBody: n.maxBody, Closing: n.closing.Load}, n.log),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: keepAlive, ConnState: n.entrance.ConnState,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, n.serveReady)
	n.serve(n.callers, n.entrance)
	n.serve(&http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, ready)
	n.serveMetrics()
	go func() { n.hub.Serve(peers, n) }()
	return nil
}

// serve runs an HTTP server.
func (n *Node) serve(s *http.Server, ln net.Listener) {
	go func() {
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !n.closing.Load() {
			n.log.WithField("addr", ln.Addr().String()).WithError(err).Error("node: a server ended")
		}
	}()
}

// endsAt returns when the process ends, once it takes no more long calls.
func (n *Node) endsAt() time.Time {
	if t := n.ends.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

func (n *Node) maxBody() int64 {
	if m := n.view.Load().Manifest; m != nil {
		return m.Limits.MaxBody
	}
	return 0
}

// isDown tells whether an endpoint takes no connections.
func isDown(inst plank.Instance) bool {
	conn, err := net.DialTimeout("tcp", inst.Addr, crashProbe)
	if err != nil {
		return true
	}
	conn.Close()
	return false
}

// serveReady tells the platform whether this VM takes connections.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() || n.view.Load().Manifest == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// start begins the loops of the daemon.
func (n *Node) start(ctx context.Context) {
	instances := n.follow(ctx)
	for _, addr := range n.settings.Seeds {
		n.mesh.Contact(addr)
	}
	go func() { n.mesh.Register(ctx, n.store) }()
	go func() { n.duties.run(ctx) }()
	go func() {
		for pause.For(ctx, sweepEvery) {
			instances.Expire()
			current := n.view.Load().Instances
			n.pool.Sweep(func(k conns.Key) bool { _, ok := current[k.Endpoint]; return ok })
		}
	}()
}

// follow begins to follow the store.
func (n *Node) follow(ctx context.Context) *watch.InstanceSink {
	dir := platform.RecordDecoder{}
	instances := watch.NewInstanceSink(platform.PrefixServers, dir, n.view, n.state.setObject, n.clock, n.log)
	n.table.AddSink(platform.PrefixConfig, &watch.ManifestSink{Key: platform.KeyManifest, Dir: dir, View: n.view, Log: n.log})
	n.table.AddSink(platform.PrefixServers, instances)
	n.table.AddSink(platform.PrefixVersions, &watch.ReleaseSink{Dir: dir, View: n.view, Log: n.log})
	for _, prefix := range []string{platform.PrefixConfig, platform.PrefixServers, platform.PrefixVersions} {
		n.news.add(watch.New(ctx, watch.Options{
			Store: n.store, Prefix: prefix, Table: n.table, BatchDelay: func() time.Duration { return n.news.pace().gather }, Active: n.news.mustWatch, RetryDelay: n.news.retry, Clock: n.clock, Log: n.log,
		}))
	}
	return instances
}

// Serve answers the calls of other VMs.
func (n *Node) Serve(call *wire.Call, s *peer.Stream) {
	switch body := call.Body.(type) {
	case *wire.Call_Gossip:
		n.mesh.Serve(body.Gossip, s)
	case *wire.Call_Reserve:
		n.broker.ServeReserve(body.Reserve, s)
	case *wire.Call_Object:
		n.objects.serve(body.Object, s)
	default:
		n.log.Warn("node: a peer made a call that is not known")
	}
}
