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

// baseModel is the one base model of the experiments.
const baseModel = "base"

// A fleet is a running deployment.
type fleet struct {
	exp      Experiment
	platform *objapi.Server
	platAddr string
	vms      []*vm
	engines  []*model.Server
	addrs    []string // of the engines
	services []string
	closers  []func()
}

// A vm is one daemon with its proxies.
type vm struct {
	name, domain, ip string
	daemon           *daemon.Daemon
	platform         *fault.Proxy
	peers            *fault.Proxy
	dead             bool
}

// startFleet starts everything and waits until all daemons serve. base
// distinguishes the loopback addresses of fleets that run at once.
func startFleet(exp Experiment, policies config.Policies, base int, waited func(runner.Wait)) (*fleet, error) {
	f := &fleet{exp: exp, platform: objapi.New()}
	var err error
	if f.platAddr, err = f.serve(f.platform); err != nil {
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
		f.services = append(f.services, addr)
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := f.applyNotes(ctx); err != nil {
		return nil, err
	}
	for i := range exp.Fleet.VMs {
		if err := f.addVM(i, base, policies, waited); err != nil {
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

// serve runs a stand-in and returns its address.
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
	f.addrs = append(f.addrs, ln.Addr().String())
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

// adaptersPerNote keeps notes well below the platform's largest value.
const adaptersPerNote = 4000

// applyNotes sets everything that the experiment uses.
func (f *fleet) applyNotes(ctx context.Context) error {
	chain := notes.NewChain(store.New(f.platAddr, nil))
	if _, err := chain.Append(ctx, f.firstNote(), "bench"); err != nil {
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

func keyOf(workspace string) string { return plain.KeyPrefix + workspace }

func (f *fleet) firstNote() *notes.Note {
	n := &notes.Note{Id: "bench"}
	for _, d := range f.exp.Fleet.Domains {
		n.Domains.Set = append(n.Domains.Set, notes.Domain{Id: plank.DomainID(d), Share: plank.WholePPM / plank.PPM(len(f.exp.Fleet.Domains))})
	}
	for _, w := range f.exp.Load.Workspaces {
		id := plank.WorkspaceID(w.Id)
		n.Workspaces.Set = append(n.Workspaces.Set, notes.Workspace{Id: id, Rate: plank.TokensPerSecond(w.Rate), Burst: plank.Tokens(w.Burst)})
		n.Patience.Set = append(n.Patience.Set, notes.Patience{Workspace: id, Zone: "UTC", Hours: []notes.PatienceLevel{{Seconds: w.PatienceSec}}})
		n.Keys.Set = append(n.Keys.Set, notes.Key{Id: plank.KeyID(w.Id), Hash: keys.Hash(keyOf(w.Id)), Workspace: id})
	}
	for i, addr := range f.addrs {
		n.Endpoints.Set = append(n.Endpoints.Set, notes.Endpoint{
			Id: plank.EndpointID(fmt.Sprintf("engine-%04d", i)), Kind: notes.KindEngine, Address: addr, Domain: plank.DomainID(f.domain(i)),
			Base: baseModel, Slots: f.exp.Fleet.Slots, Batch: f.exp.Fleet.Batch,
		})
	}
	for i, addr := range f.services {
		n.Endpoints.Set = append(n.Endpoints.Set, notes.Endpoint{
			Id: plank.EndpointID(fmt.Sprintf("service-%02d", i)), Kind: notes.KindService, Address: addr, Domain: plank.DomainID(f.domain(i)), Service: "bookings",
		})
	}
	n.Routes.Set = []notes.Route{{Path: "/bookings/", Service: "bookings", Once: []string{"POST"}, Cost: 1}}
	return n
}

// addVM starts a daemon behind proxies.
func (f *fleet) addVM(i, base int, policies config.Policies, waited func(runner.Wait)) error {
	v := &vm{name: fmt.Sprintf("vm-%03d", i), domain: f.domain(i), ip: fmt.Sprintf("127.%d.%d.%d", 10+base, i/250, 1+i%250)}
	var err error
	if v.platform, err = fault.New("127.0.0.1:0", f.platAddr); err != nil {
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
	if v.daemon, err = daemon.New(cfg, log, daemon.Hooks{OnDispatch: waited}); err != nil {
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

// inject brings a fault about.
func (f *fleet) inject(fa Fault) {
	switch fa.Kind {
	case FaultKillVM:
		f.vms[fa.Target].dead = true
		f.vms[fa.Target].daemon.Close()
	case FaultCutDomain:
		f.eachAcross(fa.Domain, func(to *vm, ip string) { to.peers.CutClient(ip) })
		f.eachIn(fa.Domain, func(v *vm) { v.platform.Cut() })
	case FaultHealDomain:
		f.eachAcross(fa.Domain, func(to *vm, ip string) { to.peers.HealClient(ip) })
		f.eachIn(fa.Domain, func(v *vm) { v.platform.Heal() })
	case FaultPlatformUnavailable:
		for _, v := range f.vms {
			v.platform.Cut()
		}
	case FaultPlatformAvailable:
		for _, v := range f.vms {
			v.platform.Heal()
		}
	case FaultCrashEngine:
		resp, err := http.Post("http://"+f.addrs[fa.Target]+"/test/crash", "", nil)
		if err == nil {
			resp.Body.Close()
		}
	}
}

// eachIn calls do for every VM of a domain.
func (f *fleet) eachIn(domain string, do func(v *vm)) {
	for _, v := range f.vms {
		if v.domain == domain {
			do(v)
		}
	}
}

// eachAcross calls do for every pair of VMs on both sides of a domain's border.
func (f *fleet) eachAcross(domain string, do func(to *vm, ip string)) {
	for _, a := range f.vms {
		for _, b := range f.vms {
			if (a.domain == domain) != (b.domain == domain) {
				do(a, b.ip)
			}
		}
	}
}

// close stops everything.
func (f *fleet) close() {
	for _, v := range f.vms {
		if !v.dead {
			v.daemon.Close()
		}
		v.platform.Close()
		v.peers.Close()
	}
	for _, c := range f.closers {
		c()
	}
}
