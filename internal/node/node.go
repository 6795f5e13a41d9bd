// Package node assembles the daemon that runs on the users' platform.
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
	"knapweedplank.org/plank/internal/budget"
	"knapweedplank.org/plank/internal/cold"
	"knapweedplank.org/plank/internal/conns"
	"knapweedplank.org/plank/internal/delay"
	"knapweedplank.org/plank/internal/duty"
	"knapweedplank.org/plank/internal/front"
	"knapweedplank.org/plank/internal/grant"
	"knapweedplank.org/plank/internal/health"
	"knapweedplank.org/plank/internal/idle"
	"knapweedplank.org/plank/internal/limit"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/pace"
	"knapweedplank.org/plank/internal/pause"
	"knapweedplank.org/plank/internal/peer"
	"knapweedplank.org/plank/internal/place"
	"knapweedplank.org/plank/internal/poison"
	"knapweedplank.org/plank/internal/view"
	"knapweedplank.org/plank/internal/watch"
	"knapweedplank.org/plank/internal/wire"
	"knapweedplank.org/plank/platform"
)

// The timeouts and intervals of a daemon.
const (
	storeTimeout = 700 * time.Millisecond
	// transferTimeout limits the transfer of an answer of the store. The largest
	// answer, about 1 MB, takes one second on an idle link of 10 Mbit/s.
	transferTimeout = 4 * time.Second
	// watchGrace is how long after the wait of a watch a connection without an
	// answer is considered broken.
	watchGrace = 400 * time.Millisecond
	// dialTimeout limits the time to connect to an endpoint.
	dialTimeout = 500 * time.Millisecond
	// crashProbeTimeout limits the probe whether an endpoint that broke off a call
	// is down.
	crashProbeTimeout = 300 * time.Millisecond
	sweepInterval     = 500 * time.Millisecond
	// startQuiet is how long a VM that starts with its whole fleet sends to few others:
	// a VM of a fifth of a core takes most of a second to start.
	startQuiet = 1200 * time.Millisecond
	// retryBudgetFraction is the fraction of the allowed retries that the VMs use.
	// It leaves a margin because each VM counts its retries separately.
	retryBudgetFraction = 0.8
)

// A Node is a running daemon.
type Node struct {
	settings *platform.Settings
	boot     plank.BootID
	clock    plank.Clock
	log      *logrus.Entry
	registry metrics.Registry

	store        *platform.Store
	pool         *conns.Pool
	view         *view.Publisher
	mesh         *mesh.Mesh
	transport    *peer.Transport
	scheduler    *grant.Scheduler
	limiter      *limit.GossipLimiter
	budgets      *front.Budgets
	requests     *poison.RequestTable
	parts        *poison.PartTable
	broker       *front.Broker
	paces        *pace.Table
	chooser      *front.Chooser
	health       *health.Table
	cold         *cold.Table
	duties       *dutyLoop
	delay        delay.Meter
	state        *state
	releaseTimes *releaseTimes
	table        *watch.Table
	watchPolicy  *watchPolicy
	objectSender *objectSender

	cancel         context.CancelFunc
	callerServer   *http.Server
	callerListener *idle.Listener
	callers        *budget.Account           // of what callers hold
	accounts       []*budget.Account         // of all ports
	stopping       atomic.Bool               // the VM reports that it is not ready
	closing        atomic.Bool               // connections are closed after each answer
	exitAt         atomic.Pointer[time.Time] // when calls are ended; nil while long calls are accepted
	calls          context.Context           // ends when calls are ended
	endCalls       context.CancelFunc
}

// New starts a daemon. dropped returns the number of log lines that were lost.
func New(settings *platform.Settings, log *logrus.Logger, dropped func() uint64) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		settings: settings, boot: newBoot(), clock: plank.SystemClock{}, cancel: cancel,
		log: log.WithField("vm", settings.VM), registry: metrics.NewRegistry(),
	}
	n.calls, n.endCalls = context.WithCancel(context.Background())
	n.paces = pace.New(n.clock, settings.Contended)
	n.buildState()
	n.buildClients()
	n.buildMesh(ctx, settings.ControlAddr)
	n.duties = &dutyLoop{
		n: n, leases: make(map[plank.DomainID]*duty.Lease), fenced: make(chan fencedTerm, 16), lastAlive: make(map[plank.DomainID]time.Time), lastClaimer: make(map[plank.DomainID]plank.VMID),
	}
	n.buildScheduler(ctx)
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

// The size of a VM whose capacity is 1.
const (
	referenceCPUShare = 0.4   // part of a core
	referenceLinkMbps = 100.0 // Mbit/s
)

// capacity returns the size of a VM relative to the reference size, by the
// scarcer of its CPU share and its link's bandwidth.
func capacity(s *platform.Settings) float64 {
	return min(s.CPUShare/referenceCPUShare, s.LinkMbps/referenceLinkMbps)
}

func newBoot() plank.BootID {
	var b [8]byte
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return plank.BootID(hex.EncodeToString(b[:]))
}

// buildState creates the parts that hold the state of the fleet.
func (n *Node) buildState() {
	n.state = &state{
		wake:    func() { n.mesh.Wake() },
		engines: make(map[plank.EndpointID]engineChange), partCrashes: make(map[poison.ObservationKey]observationChange),
		requestCrashes: make(map[poison.ObservationKey]observationChange), leaving: make(map[plank.Run]uint64), log: n.log,
	}
	n.view = view.New(n.viewChanged)
	n.buildCold()
	n.table = watch.NewTable(n.state.setObject)
	n.addEvacuationSink()
	n.watchPolicy = &watchPolicy{turn: newTurn(), endpointTurn: newTurn(), self: n.settings.VM, domain: n.settings.Domain, clock: n.clock, log: n.log, bound: n.updateBound(), linkMbps: n.settings.LinkMbps, view: n.view, bootstrap: n.settings.Bootstrap, startedAt: n.clock.Now()}
	n.state.paceTable = n.paces
	n.state.table, n.state.watchPolicy, n.state.clock = n.table, n.watchPolicy, n.clock
	n.state.objects = make(map[string]uint64)
	n.limiter = limit.NewGossipLimiter(n.clock, n.settings.Bootstrap, n.state.recordChange)
	n.limiter.SetContended(n.settings.Contended)
	n.requests = poison.NewRequestTable(n.clock, n.state.setRequestCrashes)
	n.parts = poison.NewPartTable(n.clock, n.state.setPartCrashes, n.quarantineChanged)
	n.state.view, n.state.limiter, n.state.requests, n.state.parts = n.view, n.limiter, n.requests, n.parts
	n.state.inFlight = front.NewInFlight(func() { n.mesh.Wake() })
	n.releaseTimes = newReleaseTimes()
	bounds := n.settings.Bounds
	n.budgets = front.NewBudgets(bounds.RetryRatio*retryBudgetFraction, bounds.RetrySlack*retryBudgetFraction)
}

// quarantineChanged logs that a quarantine of prompt parts begins or ends.
func (n *Node) quarantineChanged(q poison.Quarantine, begins bool) {
	n.log.WithFields(logrus.Fields{"parts": q.Parts, "crashes": q.Crashes, "begins": begins}).Warn("poison: quarantine of prompt parts")
}

// buildClients creates the clients of the store and of the endpoints.
func (n *Node) buildClients() {
	dialer := net.Dialer{Timeout: storeTimeout, Control: conns.SetUserTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8, IdleConnTimeout: 20 * time.Second}
	n.store = platform.NewStore(n.settings.StoreAddr, &http.Client{Transport: transport}, platform.StoreOptions{
		CallTimeout: storeTimeout, TransferTimeout: transferTimeout, WatchWait: func() time.Duration { return n.watchPolicy.timing().wait }, WatchGrace: watchGrace,
		OnUnreadable: func(err error) {
			n.log.WithError(err).Warn("node: ignored an object of the store without readable metadata")
		},
		OnReturn: func(era uint64) {
			n.log.WithField("era", era).Warn("node: the store came back from an older copy")
			metrics.GetOrRegisterCounter("Store.Returns", n.registry).Inc(1)
		},
		OnUnreadableEra: func(err error) { n.log.WithError(err).Warn("node: an answer of the store without a readable era") },
		OnCall: func(op string, status int, err error) {
			name := "Store." + op
			if err != nil {
				name = fmt.Sprintf("%s.Failed%d", name, status)
			}
			metrics.GetOrRegisterCounter(name, n.registry).Inc(1)
		},
	})
	dialed := metrics.GetOrRegisterCounter("Endpoints.Dialed", n.registry)
	n.pool = conns.New(conns.Options{DialTimeout: dialTimeout, Clock: n.clock, OnDial: func() { dialed.Inc(1) }, OnAnswer: n.handleNotice})
}

// handleNotice records what an endpoint states about itself in an answer.
func (n *Node) handleNotice(key conns.Key, status int, h http.Header) {
	now := n.clock.Now()
	notice, err := platform.DecodeNotice(status, h, now)
	if err != nil {
		n.log.WithField("endpoint", key.Endpoint).WithError(err).Warn("node: ignored a field of an answer")
	}
	run := plank.Run{Endpoint: key.Endpoint, Born: key.Born}
	requests, stated := platform.DecodeLoad(h)
	n.recordStatedLoad(run, requests, stated)
	if notice.Leaving {
		n.state.markLeaving(run, "the endpoint")
	}
	n.handleColdNotice(run, notice)
	if notice.PausedUntil.After(now) && n.health.RecordPause(run, notice.PausedUntil) {
		n.log.WithFields(logrus.Fields{"endpoint": run.Endpoint, "born": run.Born, "pause_ms": notice.PausedUntil.Sub(now).Milliseconds()}).Info("node: an endpoint asks for a pause")
		metrics.GetOrRegisterCounter("Endpoints.Pauses", n.registry).Inc(1)
	}
}

// buildMesh creates the mesh, its transport and the fetcher, which exchange state and
// objects with the other VMs. addr is the address at which they reach this VM.
func (n *Node) buildMesh(ctx context.Context, addr string) {
	s := n.settings
	n.transport = peer.New(net.ParseIP(s.IP), nil, n.log)
	self := mesh.Self{VM: s.VM, Boot: n.boot, Domain: s.Domain, Address: addr, Capacity: capacity(s)}
	if s.Bootstrap {
		self.Quiet = startQuiet
	}
	n.mesh = mesh.New(ctx, self, mesh.PeerTransport(n.transport), n.state, n.clock, n.log)
	n.watchPolicy.mesh = n.mesh
	n.state.fleetSize = n.mesh.Size
	n.objectSender = &objectSender{table: n.table}
	n.state.fetcher = watch.NewFetcher(ctx, watch.FetchOptions{
		Store: n.store, Table: n.table, GetFromPeer: n.fetchObject, IsWatching: n.watchPolicy.mustWatch, Clock: n.clock, Log: n.log,
	})
}

// buildScheduler creates the scheduler of the engines whose lease this VM holds, and
// the broker and the chooser, which depend on it.
func (n *Node) buildScheduler(ctx context.Context) {
	n.health = health.New(n.clock)
	n.scheduler = grant.NewScheduler(ctx, grant.Deps{
		Self: n.settings.VM, Controller: n.gateController(platform.NewEngineController(n.pool)), IsOutOfService: n.isOutOfService, Evictor: place.LowestValue{}, Clock: n.clock, Log: n.log,
		NewestVersion: n.newestVersion, SupersededAt: n.releaseTimes.supersededAt, RemoteColdLoads: n.remoteColdLoads, PublishColdLoads: n.state.setColdLoads, Contended: n.settings.Contended, CountOrder: n.countOrder,
		Health:         func(id plank.EndpointID) (float64, bool) { return n.health.FailRate(id), n.health.IsAvoided(id) },
		PausedUntil:    n.health.PausedUntil,
		Cold:           n.cold,
		ColdBound:      n.coldBound(),
		Paces:          n.paces,
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
		IsUnconfirmed: func() bool { return n.delay.IsUnconfirmed(n.clock.Now()) },
		ReportFenced: func(domain plank.DomainID, term plank.Term) {
			select {
			case n.duties.fenced <- fencedTerm{domain, term}:
			default: // the loss of this lease is queued already
			}
		},
		LearnsCost: n.learnsCost,
	})
	n.chooser = &front.Chooser{Domain: n.settings.Domain, View: n.view, Mesh: n.mesh, Health: n.health, Cold: n.cold, Clock: n.clock, Paces: n.paces, LearnsCost: n.learnsCost, Directories: n.scheduler.Directories}
	n.broker = &front.Broker{Local: n.scheduler, LastPause: func() (length, ago time.Duration) { return n.delay.LastPause(n.clock.Now()) }, Chooser: n.chooser, Paces: n.paces, Transport: n.transport, Clock: n.clock, Log: n.log}
}

// countOrder counts the result of an order.
func (n *Node) countOrder(unload bool, result string) {
	op := "Load."
	if unload {
		op = "Unload."
	}
	metrics.GetOrRegisterCounter("Orders."+op+result, n.registry).Inc(1)
}

// newestVersion returns the newest announced version of an adapter.
func (n *Node) newestVersion(ref plank.AdapterRef) plank.VersionNumber {
	return n.view.Load().Versions[ref]
}

// remoteColdLoads returns the number of loads from the weight store that other
// VMs have in progress.
func (n *Node) remoteColdLoads() int {
	total, now := 0, n.clock.Now()
	n.mesh.Each(func(p *mesh.Peer) {
		if p.IsAlive(now) {
			total += p.ColdLoads
		}
	})
	return total
}

// viewChanged updates the parts that keep data derived from the view.
func (n *Node) viewChanged(v *view.View) {
	if v.Manifest != nil {
		n.limiter.SetLimits(v.Manifest.Workspaces)
	}
	n.releaseTimes.update(v.Versions, n.clock.Now())
}

// updateReachableFraction passes the reachable fraction of the fleet to limits and
// retry budgets.
func (n *Node) updateReachableFraction() {
	reachable, known := n.mesh.Reachable()
	n.limiter.SetReachable(reachable, known)
	n.budgets.SetBurst(n.settings.Bounds.RetrySlack * retryBudgetFraction / float64(known))
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
		Domain: n.settings.Domain, View: n.view, Mesh: n.mesh, Reserver: n.broker, Chooser: n.chooser, Limiter: n.limiter, Budgets: n.budgets,
		Health: n.health, Requests: n.requests, Parts: n.parts, InFlight: n.state.inFlight, Portions: n.portions(), Sender: n.gateSender(platform.NewSender(n.pool, n.clock)),
		StopTime: n.exitTime, Stopping: n.calls, Probe: probe, Clock: n.clock, Metrics: n.registry, Log: n.log,
	})
	n.callers = n.newAccount("Callers", n.callerLimits)
	n.callerListener = idle.WrapHTTP(callers, n.callers)
	n.callerServer = n.newServer(platform.NewIngress(server, n.clock, platform.IngressOptions{MaxBody: n.maxBody, Closing: n.closing.Load}, n.log), n.callerListener)
	n.serve(n.callerServer, n.callerListener)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, n.serveReady)
	n.serveInternal("Ready", mux, ready)
	n.serveMetrics()
	others := idle.WrapOther(peers, n.newAccount("Peers", n.peerLimits))
	go func() { n.transport.Serve(others, n) }()
	return nil
}

// serve starts an HTTP server on ln.
func (n *Node) serve(s *http.Server, ln net.Listener) {
	go func() {
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !n.closing.Load() {
			n.log.WithField("addr", ln.Addr().String()).WithError(err).Error("node: HTTP server stopped unexpectedly")
		}
	}()
}

// exitTime returns the time at which the calls in progress are ended, or the zero time
// while long calls are accepted.
func (n *Node) exitTime() time.Time {
	if t := n.exitAt.Load(); t != nil {
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

// probe connects to an endpoint.
func probe(inst plank.Instance) error {
	conn, err := net.DialTimeout("tcp", inst.Addr, crashProbeTimeout)
	if err != nil {
		return err
	}
	conn.Close()
	return nil
}

// serveReady answers the platform's readiness probe. The VM is ready while it is
// not shutting down and has a configuration.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() || n.view.Load().Manifest == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// start starts the loops of the daemon.
func (n *Node) start(ctx context.Context) {
	instances := n.followStore(ctx)
	for _, addr := range n.settings.Seeds {
		n.mesh.Contact(addr)
	}
	go func() { n.mesh.Register(ctx, n.store) }()
	go func() { n.duties.run(ctx) }()
	go func() { n.observeDelay(ctx) }()
	go func() { n.sweepAccounts(ctx) }()
	go func() { instances.Run(ctx) }()
	go func() {
		for pause.For(ctx, sweepInterval) {
			n.state.expireObservations()
			current := n.view.Load().Instances
			n.state.forgetLeaving(current)
			n.state.forgetPaces(current)
			n.health.ExpirePauses()
			n.state.expireCold(current)
			n.paces.Expire()
			n.pool.Sweep(func(k conns.Key) bool { _, ok := current[k.Endpoint]; return ok })
		}
	}()
}

// followStore starts to follow the store's configuration, endpoints and adapter
// versions.
func (n *Node) followStore(ctx context.Context) *watch.InstanceSink {
	decoder := platform.RecordDecoder{}
	instances := watch.NewInstanceSink(platform.PrefixServers, decoder, n.view, n.state.setObject, n.clock, n.log)
	instances.OnCold(n.handleRegistration)
	n.table.AddSink(platform.PrefixConfig, &watch.ManifestSink{Key: platform.KeyManifest, Decoder: decoder, View: n.view, Log: n.log})
	n.table.AddSink(platform.PrefixServers, instances)
	n.table.AddSink(platform.PrefixVersions, &watch.ReleaseSink{Decoder: decoder, View: n.view, Log: n.log})
	opts := watch.Options{
		Store: n.store, Table: n.table, BatchDelay: func() time.Duration { return n.watchPolicy.timing().batchDelay }, RetryDelay: n.watchPolicy.retry, Clock: n.clock, Log: n.log,
		Active: n.watchPolicy.mustWatch, AwaitActive: n.watchPolicy.awaitTurn,
	}
	for _, prefix := range []string{platform.PrefixConfig, platform.PrefixVersions} {
		opts.Prefix = prefix
		n.watchPolicy.add(watch.New(ctx, opts))
	}
	n.followEvacuations(ctx, opts)
	opts.Prefix, opts.Active, opts.AwaitActive = platform.PrefixServers, n.watchPolicy.mustFollowEndpoints, n.watchPolicy.awaitEndpointTurn
	n.watchPolicy.addEndpoints(watch.New(ctx, opts))
	go func() { n.watchPolicy.run(ctx) }()
	return instances
}

// Serve answers a call of another VM.
func (n *Node) Serve(call *wire.Call, s *peer.Stream) {
	switch body := call.Body.(type) {
	case *wire.Call_Gossip:
		n.mesh.Serve(body.Gossip, s)
	case *wire.Call_Reserve:
		n.broker.ServeReserve(body.Reserve, s)
	case *wire.Call_Object:
		n.objectSender.serve(body.Object, s)
	default:
		n.log.Warn("node: call of unknown type from a peer")
	}
}
