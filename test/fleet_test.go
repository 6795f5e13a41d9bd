package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/config"
	"knapweedplank.org/plank/internal/daemon"
	"knapweedplank.org/plank/internal/fault"
	"knapweedplank.org/plank/internal/keys"
	"knapweedplank.org/plank/internal/stand/model"
	"knapweedplank.org/plank/internal/stand/objapi"
	"knapweedplank.org/plank/internal/stand/plain"
	"knapweedplank.org/plank/internal/status"
	"knapweedplank.org/plank/internal/store"
	"knapweedplank.org/plank/pkg/notes"
)

// This file defines a fleet of real processes. Every connection from a daemon to
// the platform, an endpoint or another daemon passes a proxy that injects faults.

// A fleetConfig is the size of a fleet and the settings of its processes.
type fleetConfig struct {
	domains     []string
	daemons     int // per domain
	engines     int // per domain
	services    int // per domain
	slots       int // adapter slots per engine
	batch       int // batch size of each engine
	adapters    int
	engineArgs  []string
	rate        plank.TokensPerSecond
	burst       plank.Tokens
	patienceSec float64 // patience of each workspace
	shutdownSec int     // limit of a daemon's graceful shutdown
}

// smallFleet returns the smallest fleet in which a domain can be partitioned off.
func smallFleet() fleetConfig {
	return fleetConfig{
		domains: []string{"a", "b", "c"}, daemons: 1, engines: 2, services: 1, slots: 4, batch: 8, adapters: 40,
		engineArgs: []string{"--step=5ms"}, rate: 50_000, burst: 100_000, patienceSec: 20, shutdownSec: 30,
	}
}

// A fleet is the set of processes of one test.
type fleet struct {
	t            testing.TB
	cfg          fleetConfig
	platformAddr string // address of the platform itself, not of a proxy
	platformProc *proc
	weightsAddr  string
	daemons      []*vm
	engines      []*backend
	services     []*backend
	noteCount    int
}

// A vm is one daemon.
type vm struct {
	fleet         *fleet
	name          string
	domain        string
	ip            string
	settingsPath  string
	proc          *proc
	callersAddr   string
	adminAddr     string
	platformProxy *fault.Proxy // between the daemon and the platform
	peerProxy     *fault.Proxy // between other daemons and the daemon's peer listener
}

// A backend is the process of an engine or a service.
type backend struct {
	id     string
	domain string
	addr   string
	proc   *proc
	proxy  *fault.Proxy
}

// address returns the address at which daemons reach the backend.
func (e *backend) address() string {
	if e.proxy == nil {
		return e.addr
	}
	return e.proxy.Addr()
}

// nextIP numbers the loopback addresses of the daemons of all tests, so that
// proxies can distinguish the daemons by their source addresses.
var nextIP atomic.Int32

// newFleet starts a fleet and waits until every daemon serves requests.
func newFleet(t testing.TB, s fleetConfig) *fleet {
	t.Helper()
	f := &fleet{t: t, cfg: s}
	f.platformProc, f.platformAddr = start(t, true, "standin", "platform")
	_, f.weightsAddr = start(t, true, "standin", "weights", "--per-second=0", "--load-millis=50")
	for _, d := range s.domains {
		for i := range s.engines {
			args := append([]string{"engine", fmt.Sprintf("--slots=%d", s.slots), fmt.Sprintf("--batch=%d", s.batch), "--weights=" + f.weightsAddr}, s.engineArgs...)
			f.engines = append(f.engines, f.newBackend(fmt.Sprintf("engine-%s-%d", d, i), d, args))
		}
		for i := range s.services {
			f.services = append(f.services, f.newBackend(fmt.Sprintf("service-%s-%d", d, i), d, []string{"service"}))
		}
	}
	f.apply(f.firstNote())
	for _, d := range s.domains {
		for i := range s.daemons {
			f.daemons = append(f.daemons, f.newVM(fmt.Sprintf("vm-%s-%d", d, i), d))
		}
	}
	for _, v := range f.daemons {
		v.start()
	}
	for _, v := range f.daemons {
		v.waitServing(len(f.engines))
	}
	return f
}

func (f *fleet) newBackend(id, domain string, args []string) *backend {
	p, addr := start(f.t, true, "standin", args...)
	proxy, err := fault.New("127.0.0.1:0", addr)
	assert.NilError(f.t, err)
	f.t.Cleanup(proxy.Close)
	return &backend{id: id, domain: domain, addr: addr, proc: p, proxy: proxy}
}

// API keys of the tests' callers, one per workspace.
const (
	keyOne = plain.KeyPrefix + "one"
	keyTwo = plain.KeyPrefix + "two"
)

// bulkCost is the number of tokens that a call to /bulk/ takes from its
// workspace's rate.
const bulkCost = 100

// firstNote returns the release note with the domains, workspaces, keys, adapters,
// endpoints and routes that the tests use.
func (f *fleet) firstNote() *notes.Note {
	n := &notes.Note{Id: "first"}
	for _, d := range f.cfg.domains {
		n.Domains.Set = append(n.Domains.Set, notes.Domain{Id: plank.DomainID(d), Share: plank.WholePPM / plank.PPM(len(f.cfg.domains))})
	}
	for _, ws := range []string{"one", "two", "public"} {
		id := plank.WorkspaceID(ws)
		n.Workspaces.Set = append(n.Workspaces.Set, notes.Workspace{Id: id, Rate: f.cfg.rate, Burst: f.cfg.burst})
		n.Patience.Set = append(n.Patience.Set, notes.Patience{Workspace: id, Zone: "America/Vancouver", Hours: []notes.PatienceLevel{{From: 0, Seconds: f.cfg.patienceSec}}})
	}
	n.Keys.Set = []notes.Key{
		{Id: "key-one", Hash: keys.Hash(keyOne), Workspace: "one"},
		{Id: "key-two", Hash: keys.Hash(keyTwo), Workspace: "two"},
	}
	for i := range f.cfg.adapters {
		n.Adapters.Set = append(n.Adapters.Set, notes.Adapter{Id: plank.AdapterID(fmt.Sprintf("ad-%d", i)), Version: "1", Base: "base"})
	}
	n.Adapters.Set = append(n.Adapters.Set, notes.Adapter{Id: "private", Version: "1", Base: "base", Workspace: "two"})
	for _, e := range f.engines {
		n.Endpoints.Set = append(n.Endpoints.Set, notes.Endpoint{
			Id: plank.EndpointID(e.id), Kind: notes.KindEngine, Address: e.address(), Domain: plank.DomainID(e.domain),
			Base: "base", Slots: f.cfg.slots, Batch: f.cfg.batch, VM: e.id,
		})
	}
	for _, s := range f.services {
		n.Endpoints.Set = append(n.Endpoints.Set, notes.Endpoint{
			Id: plank.EndpointID(s.id), Kind: notes.KindService, Address: s.proxy.Addr(), Domain: plank.DomainID(s.domain), Service: "bookings", VM: s.id,
		})
	}
	n.Routes.Set = []notes.Route{
		{Path: "/bookings/", Service: "bookings", Once: []string{"POST"}, Cost: 1},
		{Path: "/bulk/", Service: "bookings", Cost: bulkCost},
		{Path: "/catalogue/", Service: "bookings", Open: true, Workspace: "public", Cost: 1},
	}
	return n
}

// apply appends n to the chain, based on the newest note, and returns its number.
func (f *fleet) apply(n *notes.Note) plank.NoteNumber {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	chain := notes.NewChain(store.New(f.platformAddr, nil))
	assert.NilError(f.t, chain.Refresh(ctx))
	n.Base = chain.Catalog().Number
	f.noteCount++
	if n.Id == "" {
		n.Id = plank.NoteID(fmt.Sprintf("note-%d", f.noteCount))
	}
	number, err := chain.Append(ctx, n, plank.WriteToken(n.Id))
	assert.NilError(f.t, err)
	return number
}

// inForce reports whether the newest note is in force on every VM.
func (f *fleet) inForce() bool {
	r, err := status.Read(context.Background(), store.New(f.platformAddr, nil), "")
	return err == nil && r.InForce
}

// newVM creates a daemon and its proxies without starting the process.
func (f *fleet) newVM(name, domain string) *vm {
	n := nextIP.Add(1)
	v := &vm{fleet: f, name: name, domain: domain, ip: fmt.Sprintf("127.0.%d.%d", 1+n/250, 1+n%250)}
	var err error
	v.platformProxy, err = fault.New("127.0.0.1:0", f.platformAddr)
	assert.NilError(f.t, err)
	f.t.Cleanup(v.platformProxy.Close)
	v.peerProxy, err = fault.New("127.0.0.1:0", "127.0.0.1:1")
	assert.NilError(f.t, err)
	f.t.Cleanup(v.peerProxy.Close)
	cfg := config.Default()
	cfg.VM, cfg.Domain, cfg.PlainPeers = plank.VMID(name), plank.DomainID(domain), true
	cfg.Callers, cfg.Peers, cfg.Admin = "127.0.0.1:0", v.ip+":0", "127.0.0.1:0"
	cfg.Advertise, cfg.Platform = v.peerProxy.Addr(), v.platformProxy.Addr()
	cfg.Logs.Format = "JSON"
	cfg.Loads = config.Loads{PerSecond: 1000, Burst: 1000}
	cfg.Limits.ShutdownTimeoutSec = f.cfg.shutdownSec
	for _, other := range f.daemons {
		cfg.Seeds = append(cfg.Seeds, other.peerProxy.Addr())
	}
	text, err := json.Marshal(cfg)
	assert.NilError(f.t, err)
	v.settingsPath = filepath.Join(f.t.TempDir(), name+".json")
	assert.NilError(f.t, os.WriteFile(v.settingsPath, text, 0o600))
	return v
}

// start runs the daemon and reads its addresses from its log.
func (v *vm) start() {
	t := v.fleet.t
	t.Helper()
	v.proc, _ = start(t, false, "knapweedplank", "serve", "--settings", v.settingsPath)
	eventually(t, 10*time.Second, v.name+" started", func() bool { return v.readAddresses() })
}

// readAddresses reports whether the log holds the daemon's addresses, and stores
// them if so.
func (v *vm) readAddresses() bool {
	text, err := os.ReadFile(v.proc.logPath)
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(text)) {
		var entry struct{ Msg, Callers, Peers, Admin string }
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "daemon: started" {
			v.callersAddr, v.adminAddr = entry.Callers, entry.Admin
			v.peerProxy.SetTarget(entry.Peers)
			return true
		}
	}
	return false
}

// status reads the daemon's status page and reports whether it answered.
func (v *vm) status() (daemon.Status, bool) {
	var st daemon.Status
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.adminAddr + "/status")
	if err != nil {
		return st, false
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st) == nil
}

// waitServing waits until the daemon is ready, has joined its domain, has tokens
// for at least two workspaces and reports at least the given number of engines up.
func (v *vm) waitServing(engines int) {
	v.fleet.t.Helper()
	eventually(v.fleet.t, 30*time.Second, v.name+" serves", func() bool {
		st, ok := v.status()
		return ok && st.Ready && st.Joined && enginesUp(st) >= engines && len(st.Spares) > 1
	})
}

func enginesUp(st daemon.Status) int {
	up := 0
	for _, e := range st.Engines {
		if e.Up {
			up++
		}
	}
	return up
}

// partition cuts the daemons of a domain off from all other daemons and from the
// platform.
func (f *fleet) partition(domain string) {
	f.forEachPairAcross(domain, func(to *vm, fromIP string) { to.peerProxy.CutClient(fromIP) })
	for _, v := range f.daemons {
		if v.domain == domain {
			v.platformProxy.Cut()
		}
	}
}

// heal ends the partition of a domain.
func (f *fleet) heal(domain string) {
	f.forEachPairAcross(domain, func(to *vm, fromIP string) { to.peerProxy.HealClient(fromIP) })
	for _, v := range f.daemons {
		if v.domain == domain {
			v.platformProxy.Heal()
		}
	}
}

// forEachPairAcross calls do for every ordered pair of daemons of which exactly one
// is in the domain.
func (f *fleet) forEachPairAcross(domain string, do func(to *vm, fromIP string)) {
	for _, a := range f.daemons {
		for _, b := range f.daemons {
			if (a.domain == domain) != (b.domain == domain) {
				do(a, b.ip)
			}
		}
	}
}

// getJSON reads a stand-in's state. It retries while the stand-in is down.
func getJSON[T any](t testing.TB, addr, path string) T {
	t.Helper()
	var v T
	eventually(t, 10*time.Second, "answer from "+addr+path, func() bool {
		resp, err := http.Get("http://" + addr + path)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return json.NewDecoder(resp.Body).Decode(&v) == nil
	})
	return v
}

// post sends v as JSON to a stand-in's control endpoint.
func post(t testing.TB, addr, path string, v any) {
	t.Helper()
	body, err := json.Marshal(v)
	assert.NilError(t, err)
	resp, err := http.Post("http://"+addr+path, "application/json", bytes.NewReader(body))
	assert.NilError(t, err)
	resp.Body.Close()
}

// platformFaults sets the faults with which the platform answers all daemons.
func (f *fleet) platformFaults(faults objapi.Faults) {
	post(f.t, f.platformAddr, "/test/faults", faults)
}

// bookingRuns returns how often the services ran each booking, summed over the
// replicas.
func (f *fleet) bookingRuns() map[string]int {
	sum := make(map[string]int)
	for _, s := range f.services {
		for name, n := range getJSON[plain.Stats](f.t, s.addr, "/test/stats").Runs {
			sum[name] += n
		}
	}
	return sum
}

// engineStats returns the statistics of each engine.
func (f *fleet) engineStats() []model.Stats {
	var all []model.Stats
	for _, e := range f.engines {
		all = append(all, getJSON[model.Stats](f.t, e.addr, "/test/stats"))
	}
	return all
}

// checkBackends fails the test if an engine or a service received a caller's key, or
// if an engine evicted an adapter in use.
func (f *fleet) checkBackends() {
	f.t.Helper()
	for i, s := range f.engineStats() {
		assert.Equal(f.t, s.InUseEvictions, 0, "adapters evicted while in use on %s", f.engines[i].id)
		assert.Equal(f.t, s.Leaks, 0, "requests with keys of callers received by %s", f.engines[i].id)
	}
	for _, s := range f.services {
		assert.Equal(f.t, getJSON[plain.Stats](f.t, s.addr, "/test/stats").Leaks, 0, "requests with keys of callers received by %s", s.id)
	}
}
