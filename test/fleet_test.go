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

// This file defines a fleet of real processes. Every connection between a
// daemon and anything else goes through a proxy that can bring about faults.

// A shape is the size of a fleet.
type shape struct {
	domains    []string
	daemons    int // per domain
	engines    int // per domain
	services   int // per domain
	slots      int
	batch      int
	adapters   int
	engineArgs []string
	rate       plank.TokensPerSecond
	burst      plank.Tokens
	seconds    float64 // patience
	shutdown   int     // seconds
}

// small is the least fleet in which domains can be cut off.
func small() shape {
	return shape{
		domains: []string{"a", "b", "c"}, daemons: 1, engines: 2, services: 1, slots: 4, batch: 8, adapters: 40,
		engineArgs: []string{"--step=5ms"}, rate: 50_000, burst: 100_000, seconds: 20, shutdown: 30,
	}
}

// A fleet is the processes of one test.
type fleet struct {
	t        testing.TB
	shape    shape
	platform string // address without a proxy
	platProc *proc
	weights  string
	daemons  []*vm
	engines  []*backend
	services []*backend
	notes    int
}

// A vm is one daemon.
type vm struct {
	fleet    *fleet
	name     string
	domain   string
	ip       string
	settings string
	proc     *proc
	callers  string
	admin    string
	platform *fault.Proxy // between the daemon and the platform
	peers    *fault.Proxy // before the daemon's peer listener
}

// A backend is an engine or a service.
type backend struct {
	id     string
	domain string
	addr   string
	proc   *proc
	proxy  *fault.Proxy
}

// address is where daemons reach the backend.
func (e *backend) address() string {
	if e.proxy == nil {
		return e.addr
	}
	return e.proxy.Addr()
}

// nextIP numbers the loopback addresses of daemons over all tests, so that
// proxies can tell them apart.
var nextIP atomic.Int32

// newFleet starts a fleet and waits until every daemon serves.
func newFleet(t testing.TB, s shape) *fleet {
	t.Helper()
	f := &fleet{t: t, shape: s}
	f.platProc, f.platform = start(t, true, "standin", "platform")
	_, f.weights = start(t, true, "standin", "weights", "--per-second=0", "--load-millis=50")
	for _, d := range s.domains {
		for i := range s.engines {
			args := append([]string{"engine", fmt.Sprintf("--slots=%d", s.slots), fmt.Sprintf("--batch=%d", s.batch), "--weights=" + f.weights}, s.engineArgs...)
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

// The callers' keys of the tests, one per workspace.
const (
	keyOne = plain.KeyPrefix + "one"
	keyTwo = plain.KeyPrefix + "two"
)

// bulkCost is what a call of /bulk/ takes from its workspace's rate.
const bulkCost = 100

// firstNote sets everything that the tests use.
func (f *fleet) firstNote() *notes.Note {
	n := &notes.Note{Id: "first"}
	for _, d := range f.shape.domains {
		n.Domains.Set = append(n.Domains.Set, notes.Domain{Id: plank.DomainID(d), Share: plank.WholePPM / plank.PPM(len(f.shape.domains))})
	}
	for _, ws := range []string{"one", "two", "public"} {
		id := plank.WorkspaceID(ws)
		n.Workspaces.Set = append(n.Workspaces.Set, notes.Workspace{Id: id, Rate: f.shape.rate, Burst: f.shape.burst})
		n.Patience.Set = append(n.Patience.Set, notes.Patience{Workspace: id, Zone: "America/Vancouver", Hours: []notes.PatienceLevel{{From: 0, Seconds: f.shape.seconds}}})
	}
	n.Keys.Set = []notes.Key{
		{Id: "key-one", Hash: keys.Hash(keyOne), Workspace: "one"},
		{Id: "key-two", Hash: keys.Hash(keyTwo), Workspace: "two"},
	}
	for i := range f.shape.adapters {
		n.Adapters.Set = append(n.Adapters.Set, notes.Adapter{Id: plank.AdapterID(fmt.Sprintf("ad-%d", i)), Version: "1", Base: "base"})
	}
	n.Adapters.Set = append(n.Adapters.Set, notes.Adapter{Id: "private", Version: "1", Base: "base", Workspace: "two"})
	for _, e := range f.engines {
		n.Endpoints.Set = append(n.Endpoints.Set, notes.Endpoint{
			Id: plank.EndpointID(e.id), Kind: notes.KindEngine, Address: e.address(), Domain: plank.DomainID(e.domain),
			Base: "base", Slots: f.shape.slots, Batch: f.shape.batch, VM: e.id,
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

// apply has a note accepted that builds on the newest one.
func (f *fleet) apply(n *notes.Note) plank.NoteNumber {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	chain := notes.NewChain(store.New(f.platform, nil))
	assert.NilError(f.t, chain.Refresh(ctx))
	n.Base = chain.Catalog().Number
	f.notes++
	if n.Id == "" {
		n.Id = plank.NoteID(fmt.Sprintf("note-%d", f.notes))
	}
	number, err := chain.Append(ctx, n, plank.WriteToken(n.Id))
	assert.NilError(f.t, err)
	return number
}

// inForce reports whether the last note is in force on every VM.
func (f *fleet) inForce() bool {
	r, err := status.Read(context.Background(), store.New(f.platform, nil), "")
	return err == nil && r.InForce
}

// newVM makes a daemon without starting it.
func (f *fleet) newVM(name, domain string) *vm {
	n := nextIP.Add(1)
	v := &vm{fleet: f, name: name, domain: domain, ip: fmt.Sprintf("127.0.%d.%d", 1+n/250, 1+n%250)}
	var err error
	v.platform, err = fault.New("127.0.0.1:0", f.platform)
	assert.NilError(f.t, err)
	f.t.Cleanup(v.platform.Close)
	v.peers, err = fault.New("127.0.0.1:0", "127.0.0.1:1")
	assert.NilError(f.t, err)
	f.t.Cleanup(v.peers.Close)
	cfg := config.Default()
	cfg.VM, cfg.Domain, cfg.PlainPeers = plank.VMID(name), plank.DomainID(domain), true
	cfg.Callers, cfg.Peers, cfg.Admin = "127.0.0.1:0", v.ip+":0", "127.0.0.1:0"
	cfg.Advertise, cfg.Platform = v.peers.Addr(), v.platform.Addr()
	cfg.Logs.Format = "JSON"
	cfg.Loads = config.Loads{PerSecond: 1000, Burst: 1000}
	cfg.Limits.ShutdownTimeoutSec = f.shape.shutdown
	for _, other := range f.daemons {
		cfg.Seeds = append(cfg.Seeds, other.peers.Addr())
	}
	text, err := json.Marshal(cfg)
	assert.NilError(f.t, err)
	v.settings = filepath.Join(f.t.TempDir(), name+".json")
	assert.NilError(f.t, os.WriteFile(v.settings, text, 0o600))
	return v
}

// start runs the daemon and learns its addresses from its log.
func (v *vm) start() {
	t := v.fleet.t
	t.Helper()
	v.proc, _ = start(t, false, "knapweedplank", "serve", "--settings", v.settings)
	eventually(t, 10*time.Second, v.name+" started", func() bool { return v.readAddresses() })
}

func (v *vm) readAddresses() bool {
	text, err := os.ReadFile(v.proc.log)
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(text)) {
		var entry struct{ Msg, Callers, Peers, Admin string }
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "daemon: started" {
			v.callers, v.admin = entry.Callers, entry.Admin
			v.peers.SetTarget(entry.Peers)
			return true
		}
	}
	return false
}

// status reads the daemon's own view.
func (v *vm) status() (daemon.Status, bool) {
	var st daemon.Status
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.admin + "/status")
	if err != nil {
		return st, false
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st) == nil
}

// waitServing waits until the daemon is a ready member, reaches all VMs of a
// small fleet and sees the given number of engines up.
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

// cutOff separates the daemons of a domain from all others and the platform.
func (f *fleet) cutOff(domain string) {
	f.eachAcross(domain, func(to *vm, fromIP string) { to.peers.CutClient(fromIP) })
	for _, v := range f.daemons {
		if v.domain == domain {
			v.platform.Cut()
		}
	}
}

// heal undoes cutOff.
func (f *fleet) heal(domain string) {
	f.eachAcross(domain, func(to *vm, fromIP string) { to.peers.HealClient(fromIP) })
	for _, v := range f.daemons {
		if v.domain == domain {
			v.platform.Heal()
		}
	}
}

// eachAcross calls do for every pair of daemons on both sides of a domain's
// border.
func (f *fleet) eachAcross(domain string, do func(to *vm, fromIP string)) {
	for _, a := range f.daemons {
		for _, b := range f.daemons {
			if (a.domain == domain) != (b.domain == domain) {
				do(a, b.ip)
			}
		}
	}
}

// getJSON reads a stand-in's state. A stand-in that is down is asked again.
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

// post sends JSON to a stand-in's controls.
func post(t testing.TB, addr, path string, v any) {
	t.Helper()
	body, err := json.Marshal(v)
	assert.NilError(t, err)
	resp, err := http.Post("http://"+addr+path, "application/json", bytes.NewReader(body))
	assert.NilError(t, err)
	resp.Body.Close()
}

// platformFaults sets the platform's faults for all.
func (f *fleet) platformFaults(faults objapi.Faults) { post(f.t, f.platform, "/test/faults", faults) }

// runs returns how often the services ran each booking, summed over replicas.
func (f *fleet) runs() map[string]int {
	sum := make(map[string]int)
	for _, s := range f.services {
		for name, n := range getJSON[plain.Stats](f.t, s.addr, "/test/stats").Runs {
			sum[name] += n
		}
	}
	return sum
}

// engineStats returns the counts of all engines.
func (f *fleet) engineStats() []model.Stats {
	var all []model.Stats
	for _, e := range f.engines {
		all = append(all, getJSON[model.Stats](f.t, e.addr, "/test/stats"))
	}
	return all
}

// checkEngines fails if an engine saw a caller's key or lost an adapter in use.
func (f *fleet) checkEngines() {
	f.t.Helper()
	for i, s := range f.engineStats() {
		assert.Equal(f.t, s.InUseEvictions, 0, "adapters evicted in use on %s", f.engines[i].id)
		assert.Equal(f.t, s.Leaks, 0, "keys seen by %s", f.engines[i].id)
	}
	for _, s := range f.services {
		assert.Equal(f.t, getJSON[plain.Stats](f.t, s.addr, "/test/stats").Leaks, 0, "keys seen by %s", s.id)
	}
}
