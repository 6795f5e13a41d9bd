// Package daemon defines the daemon that runs on every entry VM. It creates the
// components and starts and stops them in order.
package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/beat"
	"knapweedplank.org/plank/internal/claim"
	"knapweedplank.org/plank/internal/config"
	"knapweedplank.org/plank/internal/conns"
	"knapweedplank.org/plank/internal/ctrl"
	"knapweedplank.org/plank/internal/engine"
	"knapweedplank.org/plank/internal/entry"
	"knapweedplank.org/plank/internal/feed"
	"knapweedplank.org/plank/internal/keys"
	"knapweedplank.org/plank/internal/lease"
	"knapweedplank.org/plank/internal/ledger"
	"knapweedplank.org/plank/internal/limit"
	"knapweedplank.org/plank/internal/member"
	"knapweedplank.org/plank/internal/pause"
	"knapweedplank.org/plank/internal/peer"
	"knapweedplank.org/plank/internal/poison"
	"knapweedplank.org/plank/internal/policy"
	"knapweedplank.org/plank/internal/relay"
	"knapweedplank.org/plank/internal/runner"
	"knapweedplank.org/plank/internal/secure"
	"knapweedplank.org/plank/internal/store"
	"knapweedplank.org/plank/pkg/notes"
)

// The rate limit on calls to the platform. It is far above what a daemon needs in
// any state, and protects the platform from a faulty daemon.
const (
	platformCallsPerSecond = 40
	platformCallsBurst     = 120
)

// Hooks let a load generator in the same process observe a daemon.
type Hooks struct {
	// OnDispatch, if not nil, is called with the time that each dispatched
	// request waited.
	OnDispatch func(runner.Wait)
}

// A Daemon is a running daemon.
type Daemon struct {
	cfg    config.Config
	hooks  Hooks
	log    *logrus.Logger
	clock  plank.Clock
	self   lease.Identity
	policy policy.Set

	store           *store.Client
	transport       *peer.Transport
	table           *member.Table
	limiter         *limit.ShareLimiter
	keys            *keys.Table
	poison          *poison.Table
	control         *ctrl.Controller
	leaseManager    atomic.Pointer[lease.Manager]
	feed            *feed.Feed
	heartbeats      atomic.Pointer[beat.Exchanger]
	relay           *relay.Relay
	metrics         metrics.Registry
	engineTransport http.RoundTripper

	callerListener, peerListener, adminListener net.Listener
	callerServer                                *http.Server
	adminServer                                 *http.Server
	draining                                    atomic.Bool
	ctx                                         context.Context
	cancel                                      context.CancelFunc
}

// New listens on the configured addresses and starts a daemon. It returns a
// *config.Error if it cannot listen on an address or read the TLS files.
func New(cfg config.Config, log *logrus.Logger, hooks Hooks) (*Daemon, error) {
	d := &Daemon{
		cfg: cfg, log: log, hooks: hooks, clock: plank.SystemClock{}, policy: policy.New(cfg.Policies),
		store: store.New(cfg.Platform, rate.NewLimiter(platformCallsPerSecond, platformCallsBurst)), table: member.New(cfg.VM), keys: keys.New(), metrics: metrics.NewRegistry(),
		engineTransport: conns.NewTransport(&http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	if err := d.listen(); err != nil {
		return nil, err
	}
	tlsConfig, err := d.peerTLS()
	if err != nil {
		return nil, err
	}
	d.self = lease.Identity{VM: cfg.VM, Boot: newBootID(), Domain: cfg.Domain, Address: cfg.Advertise}
	if d.self.Address == "" {
		d.self.Address = d.peerListener.Addr().String()
	}
	d.start(tlsConfig)
	return d, nil
}

func newBootID() plank.BootID {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // crypto/rand does not fail on supported systems
	}
	return plank.BootID(hex.EncodeToString(b[:]))
}

// listen opens the three listeners.
func (d *Daemon) listen() error {
	listeners := []struct {
		field, address string
		to             *net.Listener
	}{
		{"Callers", d.cfg.Callers, &d.callerListener}, {"Peers", d.cfg.Peers, &d.peerListener}, {"Admin", d.cfg.Admin, &d.adminListener},
	}
	for _, l := range listeners {
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			return &config.Error{File: "settings", Field: l.field, Detail: err.Error()}
		}
		*l.to = ln
	}
	return nil
}

func (d *Daemon) peerTLS() (*tls.Config, error) {
	if d.cfg.PlainPeers {
		return nil, nil
	}
	credentials, err := secure.New(d.cfg.TLS)
	if err != nil {
		return nil, &config.Error{File: "settings", Field: "TLS", Detail: err.Error()}
	}
	return credentials.Config(), nil
}

func (d *Daemon) logEntry(part string) *logrus.Entry {
	return d.log.WithFields(logrus.Fields{"part": part, "vm": d.cfg.VM})
}

// start creates and starts the components, dependencies first.
func (d *Daemon) start(tlsConfig *tls.Config) {
	local := d.peerListener.Addr().(*net.TCPAddr).IP
	d.transport = peer.New(local, tlsConfig, d.logEntry("peer"))
	lender := &lender{daemon: d}
	d.limiter = limit.NewShareLimiter(d.clock, lender, limit.Options{Static: d.policy.StaticShares, ValidUntil: d.leaseValidUntil})
	d.poison = poison.New(d.clock, func(e poison.Entry) {
		d.logEntry("poison").WithFields(logrus.Fields{"print": e.Print, "crashes": e.Crashes, "quarantined": e.Quarantined}).Warn("poison: request was running when an endpoint crashed")
		go d.feed.StorePoison(d.ctx, e)
	})
	d.control = ctrl.New(d.self, ctrl.Deps{
		Clock: d.clock, Peers: d.table, Limiter: d.limiter, Keys: d.keys, Log: d.logEntry("ctrl"), NewRunner: d.newRunner,
		Record: func() (claim.Record, plank.ObjectVersion, bool) { return d.feed.Record(d.cfg.Domain) },
		// A load costs loadCost, so that shares of the budget can be lent in parts.
		LoadLimit: limit.Limit{Rate: plank.TokensPerSecond(d.cfg.Loads.PerSecond * loadCost), Burst: plank.Tokens(d.cfg.Loads.Burst * loadCost)},
	})
	d.feed = feed.New(d.store, d.control, d.transport, d.poison, d.logEntry("feed"))
	d.relay = relay.New(d.cfg.VM, d.control, d.transport, d.policy.Router, d.poison, d.clock, d.logEntry("relay"))
	d.heartbeats.Store(beat.New(d.self, d.cfg.Seeds, d.transport, d.table, d.limiter, d.poison, heartbeatSource{d}, d.clock))
	go d.transport.Serve(d.peerListener, d)
	d.leaseManager.Store(lease.New(d.self, d.store, d.table, d.clock, d.control, d.logEntry("lease")))
	d.serveHTTP()
	d.logEntry("daemon").WithFields(logrus.Fields{
		"callers": d.callerListener.Addr().String(), "peers": d.peerListener.Addr().String(), "admin": d.adminListener.Addr().String(), "domain": d.cfg.Domain,
	}).Info("daemon: started")
}

// serveHTTP starts the servers for callers and operators.
func (d *Daemon) serveHTTP() {
	limits := d.cfg.Limits
	handler := entry.New(entry.Options{
		MaxBodyBytes: limits.MaxBodyBytes, DefaultTokens: limits.DefaultTokens,
		WriteTimeout: time.Duration(limits.WriteTimeoutMs) * time.Millisecond,
	}, entry.Deps{
		Control: d.control, Relay: d.relay, Limiter: d.limiter, Keys: d.keys, Poison: d.poison,
		Ledger: ledger.New(d.store, d.clock, d.cfg.VM, d.logEntry("ledger")),
		Clock:  d.clock, Metrics: d.metrics, Log: d.logEntry("entry"),
	})
	d.callerServer = &http.Server{
		Handler: handler, MaxHeaderBytes: limits.MaxHeaderBytes,
		ReadHeaderTimeout: time.Duration(limits.HeaderTimeoutMs) * time.Millisecond,
		ReadTimeout:       time.Duration(limits.BodyTimeoutMs) * time.Millisecond,
		IdleTimeout:       time.Minute,
	}
	d.adminServer = &http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = d.callerServer.Serve(d.callerListener) }()
	go func() { _ = d.adminServer.Serve(d.adminListener) }()
}

// leaseValidUntil returns when the VM's lease expires, and the zero time before
// the lease manager has started.
func (d *Daemon) leaseValidUntil() time.Time {
	if mgr := d.leaseManager.Load(); mgr != nil {
		return mgr.ValidUntil()
	}
	return time.Time{}
}

// newRunner is the ctrl.RunnerFactory of the daemon.
func (d *Daemon) newRunner(e notes.Endpoint, term plank.Term, pinned time.Time) *runner.Runner {
	return runner.New(runner.Options{
		Endpoint: e.Id, AdapterSlots: e.Slots, Batch: e.Batch,
		Queue: d.policy.NewQueue(), Evictor: d.policy.Evictor, Order: d.policy.Order,
	}, runner.Deps{
		Engine: engine.New(e.Id, e.Address, d.engineTransport, d.adapterSource), Clock: d.clock, LoadLimiter: loadLimiter{d}, Poison: d.poison,
		Log: d.logEntry("runner"), ValidUntil: d.leaseValidUntil,
		Copies:      func(m plank.Model) int { return d.control.Snapshot().ResidentCount(m) },
		ObserveWait: d.observeDispatch,
	}, term, pinned)
}

// adapterSource returns the path of a model in the weight store: the one given in
// its release note, or else the model's name.
func (d *Daemon) adapterSource(m plank.Model) string {
	if a := d.control.Snapshot().Catalog.Adapters[m.String()]; a.Source != "" {
		return a.Source
	}
	return m.String()
}

// observeDispatch records how long a dispatched request waited.
func (d *Daemon) observeDispatch(w runner.Wait) {
	if w.Resident {
		metrics.GetOrRegisterTimer("Runner.ResidentWait", d.metrics).Update(w.Queue)
	} else {
		metrics.GetOrRegisterTimer("Runner.LoadWait", d.metrics).Update(w.Load)
	}
	if d.hooks.OnDispatch != nil {
		d.hooks.OnDispatch(w)
	}
}

// PlatformCalls returns the number of calls made to the platform.
func (d *Daemon) PlatformCalls() uint64 { return d.store.Calls() }

// loadCost is the cost of one adapter load, in tokens of ctrl.LoadWorkspace.
const loadCost = 1000

// A loadLimiter limits adapter loads by the rate limit of the whole fleet.
type loadLimiter struct{ daemon *Daemon }

// maxLoadWait bounds the wait for the tokens of one load.
const maxLoadWait = 8 * time.Second

// Acquire implements runner.LoadLimiter.
func (l loadLimiter) Acquire(ctx context.Context) error {
	_, err := l.daemon.limiter.Acquire(ctx, ctrl.LoadWorkspace, loadCost, l.daemon.clock.Now().Add(maxLoadWait))
	return err
}

// heartbeatSource implements beat.Source.
type heartbeatSource struct{ daemon *Daemon }

var _ beat.Source = heartbeatSource{}

// Statuses returns the state of the endpoints that this VM owns.
func (s heartbeatSource) Statuses() []runner.Status {
	var out []runner.Status
	for _, e := range s.daemon.control.Snapshot().Engines {
		if e.Runner != nil {
			st := e.Runner.Status()
			st.Leaving = st.Leaving || e.State.Leaving
			out = append(out, st)
		}
	}
	return out
}

// Applied returns the number of the last release note applied.
func (s heartbeatSource) Applied() plank.NoteNumber {
	return s.daemon.control.Snapshot().Catalog.Number
}

// Leaving reports whether the VM is shutting down.
func (s heartbeatSource) Leaving() bool { return s.daemon.draining.Load() }

// Records returns the records of all domains, as last read.
func (s heartbeatSource) Records() []claim.Record { return s.daemon.feed.Records() }

// CallerAddr returns the address that callers connect to.
func (d *Daemon) CallerAddr() string { return d.callerListener.Addr().String() }

// PeerAddr returns the address that peers connect to.
func (d *Daemon) PeerAddr() string { return d.peerListener.Addr().String() }

// AdminAddr returns the address of the operators' API.
func (d *Daemon) AdminAddr() string { return d.adminListener.Addr().String() }

// Shutdown stops the daemon gracefully: it becomes not ready, waits until the load
// balancer has noticed, finishes the requests in flight, releases its endpoints
// and share to other VMs, and closes. Requests that are still in flight after the
// shutdown timeout are cut.
func (d *Daemon) Shutdown() error {
	timeout := time.Duration(d.cfg.Limits.ShutdownTimeoutSec) * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	d.logEntry("daemon").Info("daemon: stopping")
	d.draining.Store(true)
	d.control.SetDraining()
	pause.For(ctx, unreadyDelay)
	err := d.callerServer.Shutdown(ctx)
	d.leaseManager.Load().Leave(ctx)
	d.leaseManager.Load().Close()
	acknowledged := d.heartbeats.Load().Retire(ctx)
	d.logEntry("daemon").WithField("told", acknowledged).Info("daemon: final heartbeats sent")
	// Requests that peers forwarded to this VM's endpoints have ended by now, since
	// the lease manager has drained the runners, unless the timeout expired.
	d.Close()
	return eris.Wrap(err, "finish callers' requests")
}

// unreadyDelay is how long new callers are still served after the daemon became
// not ready, since the load balancer polls readiness only at intervals.
const unreadyDelay = time.Second

// Close stops the daemon at once, and breaks off requests in flight.
func (d *Daemon) Close() {
	d.cancel()
	_ = d.callerServer.Close()
	_ = d.adminServer.Close()
	d.leaseManager.Load().Close()
	d.heartbeats.Load().Close()
	d.feed.Close()
	_ = d.peerListener.Close()
	d.transport.Close()
	d.control.Close()
}

// WaitServing waits until the daemon is ready and a member of its domain, and at
// least the given number of engines are up.
func (d *Daemon) WaitServing(ctx context.Context, engines int) error {
	for {
		snap := d.control.Snapshot()
		enginesUp := 0
		for _, e := range snap.Engines {
			if e.State.Up {
				enginesUp++
			}
		}
		if snap.Ready && snap.Joined && enginesUp >= engines {
			return nil
		}
		pause.For(ctx, ctrl.RefreshInterval)
		if ctx.Err() != nil {
			return eris.Wrap(ctx.Err(), "wait until serving")
		}
	}
}
