// Package daemon defines the daemon that runs on every entry VM: it connects
// the parts and starts and stops them in order.
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

// The budget of calls to the platform. It is far above what a daemon needs in any
// state, and bounds what a fault in it could do to the platform.
const (
	callsPerSecond = 40
	callsBurst     = 120
)

// Hooks let a load tool in the same process observe a daemon.
type Hooks struct {
	// OnDispatch, if not nil, is told how long each dispatched request waited.
	OnDispatch func(runner.Wait)
}

// A Daemon is one running daemon.
type Daemon struct {
	cfg    config.Config
	hooks  Hooks
	log    *logrus.Logger
	clock  plank.Clock
	self   lease.Identity
	policy policy.Set

	store   *store.Client
	hub     *peer.Transport
	table   *member.Table
	book    *limit.ShareLimiter
	keys    *keys.Table
	poison  *poison.Table
	control *ctrl.Controller
	keeper  atomic.Pointer[lease.Manager]
	feed    *feed.Feed
	beater  atomic.Pointer[beat.Exchanger]
	relay   *relay.Relay
	metrics metrics.Registry
	engines http.RoundTripper

	callers, peers, admin net.Listener
	callerServer          *http.Server
	adminServer           *http.Server
	leaving               atomic.Bool
	ctx                   context.Context
	cancel                context.CancelFunc
}

// New listens on the settings' addresses and starts a daemon. An address that
// cannot be listened on is a *config.Error.
func New(cfg config.Config, log *logrus.Logger, hooks Hooks) (*Daemon, error) {
	d := &Daemon{
		cfg: cfg, log: log, hooks: hooks, clock: plank.SystemClock{}, policy: policy.New(cfg.Policies),
		store: store.New(cfg.Platform, rate.NewLimiter(callsPerSecond, callsBurst)), table: member.New(cfg.VM), keys: keys.New(), metrics: metrics.NewRegistry(),
		engines: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second},
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	if err := d.listen(); err != nil {
		return nil, err
	}
	tlsConfig, err := d.tls()
	if err != nil {
		return nil, err
	}
	d.self = lease.Identity{VM: cfg.VM, Boot: newBoot(), Domain: cfg.Domain, Address: cfg.Advertise}
	if d.self.Address == "" {
		d.self.Address = d.peers.Addr().String()
	}
	d.start(tlsConfig)
	return d, nil
}

func newBoot() plank.BootID {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // the system's random source does not fail
	}
	return plank.BootID(hex.EncodeToString(b[:]))
}

// listen opens the three listeners.
func (d *Daemon) listen() error {
	listeners := []struct {
		field, address string
		to             *net.Listener
	}{
		{"Callers", d.cfg.Callers, &d.callers}, {"Peers", d.cfg.Peers, &d.peers}, {"Admin", d.cfg.Admin, &d.admin},
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

func (d *Daemon) tls() (*tls.Config, error) {
	if d.cfg.PlainPeers {
		return nil, nil
	}
	files, err := secure.New(d.cfg.TLS)
	if err != nil {
		return nil, &config.Error{File: "settings", Field: "TLS", Detail: err.Error()}
	}
	return files.Config(), nil
}

func (d *Daemon) entry(part string) *logrus.Entry {
	return d.log.WithFields(logrus.Fields{"part": part, "vm": d.cfg.VM})
}

// start connects and starts the parts, those that others depend on first.
func (d *Daemon) start(tlsConfig *tls.Config) {
	local := d.peers.Addr().(*net.TCPAddr).IP
	d.hub = peer.New(local, tlsConfig, d.entry("peer"))
	lender := &lender{daemon: d}
	d.book = limit.NewShareLimiter(d.clock, lender, limit.Options{Static: d.policy.StaticShares, ValidUntil: d.valid})
	d.poison = poison.New(d.clock, func(e poison.Entry) {
		d.entry("poison").WithFields(logrus.Fields{"print": e.Print, "crashes": e.Crashes, "quarantined": e.Quarantined}).Warn("poison: request ran as an endpoint crashed")
		go d.feed.StorePoison(d.ctx, e)
	})
	d.control = ctrl.New(d.self, ctrl.Deps{
		Clock: d.clock, Peers: d.table, Limiter: d.book, Keys: d.keys, Log: d.entry("ctrl"), NewRunner: d.newRunner,
		Record: func() (claim.Record, plank.ObjectVersion, bool) { return d.feed.Record(d.cfg.Domain) },
		// A load costs loadCost, so that shares of the budget can be lent in parts.
		LoadLimit: limit.Limit{Rate: plank.TokensPerSecond(d.cfg.Loads.PerSecond * loadCost), Burst: plank.Tokens(d.cfg.Loads.Burst * loadCost)},
	})
	d.feed = feed.New(d.store, d.control, d.hub, d.poison, d.entry("feed"))
	d.relay = relay.New(d.cfg.VM, d.control, d.hub, d.policy.Router, d.poison, d.clock, d.entry("relay"))
	d.beater.Store(beat.New(d.self, d.cfg.Seeds, d.hub, d.table, d.book, d.poison, source{d}, d.clock))
	go d.hub.Serve(d.peers, d)
	d.keeper.Store(lease.New(d.self, d.store, d.table, d.clock, d.control, d.entry("lease")))
	d.serveHTTP()
	d.entry("daemon").WithFields(logrus.Fields{
		"callers": d.callers.Addr().String(), "peers": d.peers.Addr().String(), "admin": d.admin.Addr().String(), "domain": d.cfg.Domain,
	}).Info("daemon: started")
}

// serveHTTP starts the servers for callers and operators.
func (d *Daemon) serveHTTP() {
	limits := d.cfg.Limits
	handler := entry.New(entry.Options{
		MaxBodyBytes: limits.MaxBodyBytes, DefaultTokens: limits.DefaultTokens,
		WriteTimeout: time.Duration(limits.WriteTimeoutMs) * time.Millisecond,
	}, entry.Deps{
		Control: d.control, Relay: d.relay, Limiter: d.book, Keys: d.keys, Poison: d.poison,
		Ledger: ledger.New(d.store, d.clock, d.cfg.VM, d.entry("ledger")),
		Clock:  d.clock, Metrics: d.metrics, Log: d.entry("entry"),
	})
	d.callerServer = &http.Server{
		Handler: handler, MaxHeaderBytes: limits.MaxHeaderBytes,
		ReadHeaderTimeout: time.Duration(limits.HeaderTimeoutMs) * time.Millisecond,
		ReadTimeout:       time.Duration(limits.BodyTimeoutMs) * time.Millisecond,
		IdleTimeout:       time.Minute,
	}
	d.adminServer = &http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = d.callerServer.Serve(d.callers) }()
	go func() { _ = d.adminServer.Serve(d.admin) }()
}

// valid returns until when the VM's lease holds.
func (d *Daemon) valid() time.Time {
	if k := d.keeper.Load(); k != nil {
		return k.ValidUntil()
	}
	return time.Time{}
}

// newRunner implements ctrl.RunnerMaker.
func (d *Daemon) newRunner(e notes.Endpoint, term plank.Term, pinned time.Time) *runner.Runner {
	return runner.New(runner.Options{
		Endpoint: e.Id, AdapterSlots: e.Slots, Batch: e.Batch,
		Queue: d.policy.NewQueue(), Evictor: d.policy.Evictor, Order: d.policy.Order,
	}, runner.Deps{
		Engine: engine.New(e.Id, e.Address, d.engines, d.source), Clock: d.clock, LoadLimiter: loadBudget{d}, Poison: d.poison,
		Log: d.entry("runner"), ValidUntil: d.valid,
		Copies:      func(m plank.Model) int { return d.control.Snapshot().ResidentCount(m) },
		ObserveWait: d.waited,
	}, term, pinned)
}

// source returns where a model lies in the weight store: the path that its note
// gives, or its name.
func (d *Daemon) source(m plank.Model) string {
	if a := d.control.Snapshot().Catalog.Adapters[m.String()]; a.Source != "" {
		return a.Source
	}
	return m.String()
}

// waited counts the wait of a dispatched request.
func (d *Daemon) waited(w runner.Wait) {
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

// loadCost is the cost of one adapter load in the budget of loads.
const loadCost = 1000

// A loadBudget takes loads from the budget that all VMs share.
type loadBudget struct{ daemon *Daemon }

// loadPatience bounds one wait for the budget.
const loadPatience = 8 * time.Second

// Acquire implements runner.Budget.
func (b loadBudget) Acquire(ctx context.Context) error {
	_, err := b.daemon.book.Acquire(ctx, ctrl.LoadBudget, loadCost, b.daemon.clock.Now().Add(loadPatience))
	return err
}

// source implements beat.Source.
type source struct{ daemon *Daemon }

var _ beat.Source = source{}

// Statuses returns the state of the endpoints that this VM owns.
func (s source) Statuses() []runner.Status {
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

// Applied returns the number of the last note in force.
func (s source) Applied() plank.NoteNumber { return s.daemon.control.Snapshot().Catalog.Number }

// Leaving reports whether the VM is stopping.
func (s source) Leaving() bool { return s.daemon.leaving.Load() }

// Records returns the records of all domains.
func (s source) Records() []claim.Record { return s.daemon.feed.Records() }

// CallerAddr returns the address that callers connect to.
func (d *Daemon) CallerAddr() string { return d.callers.Addr().String() }

// PeerAddr returns the address that peers connect to.
func (d *Daemon) PeerAddr() string { return d.peers.Addr().String() }

// AdminAddr returns the operators' address.
func (d *Daemon) AdminAddr() string { return d.admin.Addr().String() }

// Shutdown stops the daemon without cutting a request: it becomes unready,
// gives the balancer time to see that, finishes what is in flight, hands its
// endpoints and share over and closes.
func (d *Daemon) Shutdown() error {
	limit := time.Duration(d.cfg.Limits.ShutdownTimeoutSec) * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	d.entry("daemon").Info("daemon: stopping")
	d.leaving.Store(true)
	d.control.SetDraining()
	pause.For(ctx, unreadyTime)
	err := d.callerServer.Shutdown(ctx)
	d.keeper.Load().Leave(ctx)
	d.keeper.Load().Close()
	told := d.beater.Load().Retire(ctx)
	d.entry("daemon").WithField("told", told).Info("daemon: retired")
	// Peers may have requests on this VM's endpoints that were forwarded before
	// the hand-over; the drained runners have ended them.
	d.Close()
	return eris.Wrap(err, "finish callers' requests")
}

// unreadyTime is how long callers are still served after readiness went, since
// the balancer looks only now and then.
const unreadyTime = time.Second

// Close stops the daemon at once.
func (d *Daemon) Close() {
	d.cancel()
	_ = d.callerServer.Close()
	_ = d.adminServer.Close()
	d.keeper.Load().Close()
	d.beater.Load().Close()
	d.feed.Close()
	_ = d.peers.Close()
	d.hub.Close()
	d.control.Close()
}

// WaitServing waits until the daemon is ready, has a share of the limits and
// sees the given number of engines up.
func (d *Daemon) WaitServing(ctx context.Context, engines int) error {
	for {
		snap := d.control.Snapshot()
		up := 0
		for _, e := range snap.Engines {
			if e.State.Up {
				up++
			}
		}
		if snap.Ready && snap.Joined && up >= engines {
			return nil
		}
		pause.For(ctx, ctrl.RefreshInterval)
		if ctx.Err() != nil {
			return eris.Wrap(ctx.Err(), "wait until serving")
		}
	}
}
