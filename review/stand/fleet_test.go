//go:build review

package stand

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"knapweedplank.org/plank/platform/stand"
)

const (
	modelService = "lamplight"
	plainService = "yardbook"
	baseModel    = "base"
	host         = "shop.example"
	tenant       = "tenant-1"
	key          = "key-1"
)

var zones = []string{"bc-south-a", "bc-south-b", "bc-south-c"}

// The bounds of the small sites that the cases use.
const (
	contactTime  = 3000 * time.Millisecond
	drainTime    = 2000 * time.Millisecond
	versionTime  = 5000 * time.Millisecond
	maxReadyTime = 20 * time.Second
	maxPlayTime  = 110 * time.Second
)

// bounds holds the settings of the small sites that are the same on all machines.
const bounds = `role=entry
machine_class=edge
serves=edge,control
region=bc-south
zones.bc-south-a=bc-south
zones.bc-south-b=bc-south
zones.bc-south-c=bc-south
counts_toward_faults=false
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform
fault_tolerance.machines=1
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.downgrade_slack_ms=250
bounds.max_stretch_ms=5000
bounds.strict_revoke=false
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=54
bounds.quota_window_s=8
bounds.quota_overage=0.1
bounds.quota_slack=110000
bounds.recover_s=12
bounds.pass_ms=120
bounds.again_s=0
bounds.fencing_enforced=true
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.ceiling_window_s=5
bounds.load_overage=1.1
bounds.version_ms=5000
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
`

// A daemon is one process of the entry role with its addresses.
type daemon struct {
	name, zone                        string
	callers, ready, control, internal string // host:port
	settings                          string // path
	cmd                               *exec.Cmd
	exited                            chan struct{}
}

// A fleet is the store and the daemons of one play.
type fleet struct {
	*run
	dir       string
	store     *stand.Store
	storeAddr string
	daemons   []*daemon
	seeds     []string

	mu       sync.Mutex
	attempts int
}

// newFleet starts a store with the configuration.
func newFleet(r *run) (*fleet, error) {
	dir, err := os.MkdirTemp("", "knapweedplank-review")
	if err != nil {
		return nil, err
	}
	f := &fleet{run: r, dir: dir, store: stand.NewStore()}
	ln, err := serve(f.store)
	if err != nil {
		return nil, err
	}
	f.storeAddr = ln.Addr().String()
	f.configure()
	go f.stopEarly()
	return f, nil
}

// stopEarly ends the daemons and the program on a signal, or when the case takes too long.
func (f *fleet) stopEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case sig := <-signals:
		f.logf("stopped by %v", sig)
	case <-time.After(maxPlayTime):
		f.logf("the case takes too long")
	}
	f.close()
	os.Exit(exitFailed)
}

// serve serves h on a free port of the loopback interface.
func serve(h http.Handler) (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(ln) }()
	return ln, nil
}

// configure writes the configuration, with the routes of the sheet of brightline-ops.
func (f *fleet) configure() {
	route := func(name, kind, service string, timeout, target, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "route_kind": kind, "timeout_ms": timeout, "target_latency_ms": target,
			"gap_aim_ms": 400, "priority": 1, "service": service, "max_attempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": resumable,
		}
	}
	f.store.Put("config/main", map[string]any{
		"version": 3,
		"routes": []any{
			route("planner-ask", "streaming", modelService, 15000, 800, 1, false),
			route("event-plan", "streaming", modelService, 10000, 1000, 2, true),
			route("hold-book", "non_idempotent", plainService, 1000, 150, 1, false),
			route("stock-check", "idempotent", plainService, 1000, 150, 2, false),
		},
		"services": []any{
			map[string]any{"name": plainService, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
			map[string]any{"name": modelService, "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": engineSlots, "kv_capacity": 255303, "max_adapters": engineAdapters, "loads_per_s": 2.1, "weights_mb": 66500.0,
				"models": []any{map[string]any{"name": baseModel, "weights_mb": 65100.0, "load_time_s": 1.9, "adapters": 3000, "adapter_size_mb": 12.0}},
			}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": tenant, "api_keys": []string{key}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 869540, "burst": 869540,
		}},
	})
	f.logf("operator: configuration version 3 acknowledged")
}

// startDaemons starts the given number of daemons in each zone and waits until all are ready.
func (f *fleet) startDaemons(perZone ...int) error {
	for i, n := range perZone {
		for j := range n {
			f.daemons = append(f.daemons, &daemon{name: fmt.Sprintf("edge-%s-%d", zones[i], j+1), zone: zones[i]})
		}
	}
	for _, d := range f.daemons {
		for _, addr := range []*string{&d.callers, &d.ready, &d.control, &d.internal} {
			var err error
			if *addr, err = reserveAddr(); err != nil {
				return err
			}
		}
	}
	for _, d := range f.daemons[:min(3, len(f.daemons))] {
		f.seeds = append(f.seeds, d.control)
	}
	for _, d := range f.daemons {
		if err := f.start(d, true); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if err := f.waitReady(d); err != nil {
			return err
		}
	}
	// From now on all daemons are in touch: they have run undisturbed for contact_ms.
	time.Sleep(contactTime + time.Second)
	return nil
}

// reserveAddr returns a free address of the loopback interface. A socket that is bound to it
// and does not listen keeps outgoing connections from getting its port, also while a daemon is
// down.
func reserveAddr() (string, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", err
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", err
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return "", err
	}
	addr, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		return "", errors.New("no IPv4 address")
	}
	return fmt.Sprintf("127.0.0.1:%d", addr.Port), nil
}

// start starts a daemon as the deploy file does. first is set if the whole system starts for
// the first time.
func (f *fleet) start(d *daemon, first bool) error {
	_, internalPort, err := net.SplitHostPort(d.internal)
	if err != nil {
		return err
	}
	d.settings = filepath.Join(f.dir, d.name+".conf")
	text := bounds + strings.Join([]string{
		"node_name=" + d.name, "ip=127.0.0.1", "zone=" + d.zone, "listen.frontend=" + d.callers, "listen.ready=" + d.ready,
		"listen.control_plane=" + d.control, "internal_ports=" + internalPort + "," + internalPort, "seeds=" + strings.Join(f.seeds, ","), "platform.addr=" + f.storeAddr,
		fmt.Sprintf("is_bootstrap=%v", first),
	}, "\n") + "\n"
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	d.cmd = exec.Command(f.daemon, "entry")
	d.cmd.Env = append(os.Environ(), "KNAPWEEDPLANK_NODE_FILE="+d.settings)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	if err := d.cmd.Start(); err != nil {
		return err
	}
	cmd, exited := d.cmd, make(chan struct{})
	d.exited = exited
	go func() {
		_ = cmd.Wait() // killed in the case or at the end
		close(exited)
	}()
	f.logf("daemon %s started, callers at %s", d.name, d.callers)
	return nil
}

func (f *fleet) waitReady(d *daemon) error {
	for until := time.Now().Add(maxReadyTime); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + d.ready + "/readyz")
		if err != nil {
			continue
		}
		if err := resp.Body.Close(); err != nil {
			return err
		}
		if resp.StatusCode == http.StatusOK {
			f.logf("daemon %s is ready", d.name)
			return nil
		}
	}
	return errors.New(d.name + " is not ready")
}

// kill kills daemons at the same moment and waits for their ends.
func (f *fleet) kill(daemons ...*daemon) error {
	for _, d := range daemons {
		f.logf("daemon %s is killed", d.name)
		if err := d.cmd.Process.Kill(); err != nil {
			return err
		}
	}
	for _, d := range daemons {
		<-d.exited
	}
	return nil
}

// close ends the daemons and removes their files. Their logs are kept if KEEP_LOGS names a
// directory.
func (f *fleet) close() {
	for _, d := range f.daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Kill() // it may have ended
			<-d.exited
		}
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		_ = os.CopyFS(dir, os.DirFS(f.dir)) // for debugging only
	}
	_ = os.RemoveAll(f.dir)
}

// register writes an endpoint's entry to the store, as its heartbeat does.
func (f *fleet) register(id string, entry map[string]any) {
	f.store.Put("servers/"+id, entry)
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // the entry is made here
	}
	f.logf("endpoint %s: entry acknowledged: %s", id, data)
}

// nextID returns the id of the next client attempt.
func (f *fleet) nextID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts++
	return fmt.Sprintf("%016x", 0x5eed000000000000+f.attempts)
}
