package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/config"
	"knapweedplank.org/plank/internal/daemon"
	"knapweedplank.org/plank/internal/fault"
	"knapweedplank.org/plank/internal/keys"
	"knapweedplank.org/plank/internal/runner"
	"knapweedplank.org/plank/internal/stand/model"
	"knapweedplank.org/plank/internal/stand/objapi"
	"knapweedplank.org/plank/internal/stand/plain"
	"knapweedplank.org/plank/internal/stand/weight"
	"knapweedplank.org/plank/internal/store"
	"knapweedplank.org/plank/pkg/notes"
)

// baseModel is the base model of all engines and adapters in experiments.
const baseModel = "base"

// A fleet is a running deployment of daemons and simulated systems.
type fleet struct {
	exp          Experiment
	platform     *objapi.Server
	platformAddr string
	vms          []*vm
	engines      []*model.Server
	engineAddrs  []string
	serviceAddrs []string
	closers      []func()
}

// A vm is one daemon with the proxies that inject network faults.
type vm struct {
	name, domain, ip string
	daemon           *daemon.Daemon
	platform         *fault.Proxy
	peers            *fault.Proxy
	killed           bool
}

// startFleet starts a fleet and waits until all daemons serve. fleetIndex selects the
// range of loopback addresses, which must differ between concurrent fleets.
// onDispatch is called with the wait of each dispatched request.
func startFleet(exp Experiment, policies config.Policies, fleetIndex int, onDispatch func(runner.Wait)) (*fleet, error) {
	f := &fleet{exp: exp, platform: objapi.New()}
	var err error
	if f.platformAddr, err = f.serve(f.platform); err != nil {
		return nil, err
	}
	weights, err := f.serve(weight.New(weight.Options{LoadMillis: exp.Fleet.LoadMs, FullSpeed: exp.Fleet.FullSpeed, PerSecond: exp.Fleet.LoadsPerS}))
	if err != nil {
		return nil, err
	}
	for range exp.Fleet.Engines {
		if err := f.addEngine(weights); err != nil {
			return nil, err
		}
	}
	for range exp.Fleet.Services {
		addr, err := f.serve(plain.New())
		if err != nil {
			return nil, err
		}
		f.serviceAddrs = append(f.serviceAddrs, addr)
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := f.applyNotes(ctx); err != nil {
		return nil, err
	}
	for i := range exp.Fleet.VMs {
		if err := f.addVM(i, fleetIndex, policies, onDispatch); err != nil {
			return nil, err
		}
	}
	for _, v := range f.vms {
		if err := v.daemon.WaitServing(ctx, exp.Fleet.Engines); err != nil {
			return nil, err
		}
	}
	return f, nil
}

const startTimeout = time.Minute

// serve starts an HTTP server for a simulated system and returns its address.
func (f *fleet) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	f.closers = append(f.closers, func() { srv.Close() })
	return ln.Addr().String(), nil
}

func (f *fleet) addEngine(weights string) error {
	opts := model.DefaultOptions()
	opts.Slots, opts.Batch, opts.Weights = f.exp.Fleet.Slots, f.exp.Fleet.Batch, weights
	opts.Step = time.Duration(f.exp.Fleet.StepMs * float64(time.Millisecond))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s := model.New(opts)
	go func() { _ = model.Serve(s, ln) }()
	f.engines = append(f.engines, s)
	f.engineAddrs = append(f.engineAddrs, ln.Addr().String())
	f.closers = append(f.closers, func() {
		s.Close()
		ln.Close()
	})
	return nil
}

// domain returns the failure domain of the i-th VM or endpoint.
func (f *fleet) domain(i int) string {
	return f.exp.Fleet.Domains[i%len(f.exp.Fleet.Domains)]
}

// adaptersPerNote keeps the size of notes well below the platform's limit for values.
const adaptersPerNote = 4000

// applyNotes appends the notes that configure the experiment.
func (f *fleet) applyNotes(ctx context.Context) error {
	chain := notes.NewChain(store.New(f.platformAddr, nil))
	if _, err := chain.Append(ctx, f.baseNote(), "bench"); err != nil {
		return err
	}
	for from := 0; from < f.exp.Load.Adapters; from += adaptersPerNote {
		n := &notes.Note{Id: plank.NoteID(fmt.Sprintf("adapters-%d", from))}
		for i := from; i < min(from+adaptersPerNote, f.exp.Load.Adapters); i++ {
			n.Adapters.Set = append(n.Adapters.Set, notes.Adapter{Id: adapterID(i), Version: "1", Base: baseModel})
		}
		if _, err := chain.Append(ctx, n, plank.WriteToken(n.Id)); err != nil {
			return err
		}
	}
	return nil
}

func adapterID(i int) plank.AdapterID { return plank.AdapterID(fmt.Sprintf("ad-%05d", i)) }

func apiKey(workspace string) string { return plain.KeyPrefix + workspace }

func (f *fleet) baseNote() *notes.Note {
	n := &notes.Note{Id: "bench"}
	for _, d := range f.exp.Fleet.Domains {
		n.Domains.Set = append(n.Domains.Set, notes.Domain{Id: plank.DomainID(d), Share: plank.WholePPM / plank.PPM(len(f.exp.Fleet.Domains))})
	}
	for _, w := range f.exp.Load.Workspaces {
		id := plank.WorkspaceID(w.Id)
		n.Workspaces.Set = append(n.Workspaces.Set, notes.Workspace{Id: id, Rate: plank.TokensPerSecond(w.Rate), Burst: plank.Tokens(w.Burst)})
		n.Patience.Set = append(n.Patience.Set, notes.Patience{Workspace: id, Zone: "UTC", Hours: []notes.PatienceLevel{{Seconds: w.PatienceSec}}})
		n.Keys.Set = append(n.Keys.Set, notes.Key{Id: plank.KeyID(w.Id), Hash: keys.Hash(apiKey(w.Id)), Workspace: id})
	}
	for i, addr := range f.engineAddrs {
		n.Endpoints.Set = append(n.Endpoints.Set, notes.Endpoint{
			Id: plank.EndpointID(fmt.Sprintf("engine-%04d", i)), Kind: notes.KindEngine, Address: addr, Domain: plank.DomainID(f.domain(i)),
			Base: baseModel, Slots: f.exp.Fleet.Slots, Batch: f.exp.Fleet.Batch,
		})
	}
	for i, addr := range f.serviceAddrs {
		n.Endpoints.Set = append(n.Endpoints.Set, notes.Endpoint{
			Id: plank.EndpointID(fmt.Sprintf("service-%02d", i)), Kind: notes.KindService, Address: addr, Domain: plank.DomainID(f.domain(i)), Service: "bookings",
		})
	}
	n.Routes.Set = []notes.Route{{Path: "/bookings/", Service: "bookings", Once: []string{"POST"}, Cost: 1}}
	return n
}

// addVM starts the daemon of VM i behind its proxies.
func (f *fleet) addVM(i, fleetIndex int, policies config.Policies, onDispatch func(runner.Wait)) error {
	v := &vm{name: fmt.Sprintf("vm-%03d", i), domain: f.domain(i), ip: fmt.Sprintf("127.%d.%d.%d", 10+fleetIndex, i/250, 1+i%250)}
	var err error
	if v.platform, err = fault.New("127.0.0.1:0", f.platformAddr); err != nil {
		return eris.Wrap(err, "start proxy")
	}
	if v.peers, err = fault.New("127.0.0.1:0", "127.0.0.1:1"); err != nil {
		return eris.Wrap(err, "start proxy")
	}
	cfg := config.Default()
	cfg.VM, cfg.Domain, cfg.PlainPeers = plank.VMID(v.name), plank.DomainID(v.domain), true
	cfg.Callers, cfg.Peers, cfg.Admin = "127.0.0.1:0", v.ip+":0", "127.0.0.1:0"
	cfg.Advertise, cfg.Platform, cfg.Policies = v.peers.Addr(), v.platform.Addr(), policies
	cfg.Loads = config.Loads{PerSecond: f.exp.Fleet.LoadsPerS, Burst: float64(f.exp.Fleet.FullSpeed)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.ErrorLevel)
	if v.daemon, err = daemon.New(cfg, log, daemon.Hooks{OnDispatch: onDispatch}); err != nil {
		return err
	}
	v.peers.SetTarget(v.daemon.PeerAddr())
	for _, other := range f.vms {
		if other.domain != v.domain {
			other.peers.SetClientMode(v.ip, fault.Mode{DelayMillis: f.exp.Fleet.NetDelayMs})
			v.peers.SetClientMode(other.ip, fault.Mode{DelayMillis: f.exp.Fleet.NetDelayMs})
		}
	}
	f.vms = append(f.vms, v)
	return nil
}

// injectFault injects a fault into the fleet.
func (f *fleet) injectFault(fa Fault) {
	switch fa.Kind {
	case FaultKillVM:
		f.vms[fa.Target].killed = true
		f.vms[fa.Target].daemon.Close()
	case FaultCutDomain:
		f.forEachPairAcross(fa.Domain, func(to *vm, ip string) { to.peers.CutClient(ip) })
		f.forEachVM(fa.Domain, func(v *vm) { v.platform.Cut() })
	case FaultHealDomain:
		f.forEachPairAcross(fa.Domain, func(to *vm, ip string) { to.peers.HealClient(ip) })
		f.forEachVM(fa.Domain, func(v *vm) { v.platform.Heal() })
	case FaultPlatformUnavailable:
		for _, v := range f.vms {
			v.platform.Cut()
		}
	case FaultPlatformAvailable:
		for _, v := range f.vms {
			v.platform.Heal()
		}
	case FaultCrashEngine:
		resp, err := http.Post("http://"+f.engineAddrs[fa.Target]+"/test/crash", "", nil)
		if err == nil {
			resp.Body.Close()
		}
	}
}

// forEachVM calls do for each VM of a failure domain.
func (f *fleet) forEachVM(domain string, do func(v *vm)) {
	for _, v := range f.vms {
		if v.domain == domain {
			do(v)
		}
	}
}

// forEachPairAcross calls do for each ordered pair of VMs of which exactly one is in
// the failure domain, with the first VM and the IP address of the second.
func (f *fleet) forEachPairAcross(domain string, do func(to *vm, ip string)) {
	for _, a := range f.vms {
		for _, b := range f.vms {
			if (a.domain == domain) != (b.domain == domain) {
				do(a, b.ip)
			}
		}
	}
}

// close stops all daemons, proxies and simulated systems.
func (f *fleet) close() {
	for _, v := range f.vms {
		if !v.killed {
			v.daemon.Close()
		}
		v.platform.Close()
		v.peers.Close()
	}
	for _, c := range f.closers {
		c()
	}
}
