//go:build review

package stand

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"knapweedplank.org/plank/platform/stand"
)

// The bounds of the small deployments, as in their settings.
const (
	contact     = 3 * time.Second
	configApply = 2 * time.Second
	grace       = 8 * time.Second
	heartbeat   = 1200 * time.Millisecond
)

// The names of the deployment.
const (
	host         = "review.example"
	tenant       = "tenant-1"
	key          = "i9n73hh2b9wu3fexd9dn"
	plainService = "desk"
)

// program and role are the command of the deploy file.
const (
	program = "target/knapweedplank"
	role    = "entry"
)

// A site is a small deployment: a store, daemons and workers.
type site struct {
	rec       *record
	dir       string
	store     *stand.Store
	storeAddr string
	storeHTTP *http.Server
	daemons   []*daemon
	workers   []*worker
	routes    []map[string]any
	version   int
	keys      []string // of the tenant
}

// A daemon is one daemon of the system, on an address of its own.
type daemon struct {
	site                            *site
	name, zone, ip                  string
	frontend, ready, control, inner string // addresses, host:port
	settings, log                   string // paths
	bootstrap                       bool
	storeAddr                       string
	cmd                             *exec.Cmd
	exited                          chan struct{}
}

// newSite returns a deployment with a store and nothing else.
func newSite(dir string, rec *record) (*site, error) {
	s := &site{rec: rec, dir: dir, store: stand.NewStore(), keys: []string{key}}
	var err error
	s.storeAddr, s.storeHTTP, err = s.serveStore("127.40.200.7:0")
	return s, err
}

// serveStore serves the store at an address.
func (s *site) serveStore(addr string) (string, *http.Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: s.store, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String(), server, nil
}

// stop ends all processes and stand-ins.
func (s *site) stop() {
	for _, d := range s.daemons {
		d.kill()
	}
	for _, w := range s.workers {
		w.stop()
	}
	s.storeHTTP.Close()
}

// route returns a route of the configuration.
func route(name, kind, service string, attempts int, timeoutMs int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": "/" + name + "/", "route_kind": kind, "timeout_ms": timeoutMs, "target_latency_ms": 1000,
		"gap_aim_ms": 400, "priority": 1, "service": service, "max_attempts": attempts, "public": false, "resumable": false,
	}
}

// configure writes the routes as a new version of the configuration.
func (s *site) configure() {
	s.version += 3
	s.store.Put("config/main", map[string]any{
		"version": s.version, "routes": s.routes,
		"services": []map[string]any{
			{"name": plainService, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api_keys": s.keys, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 150000, "burst": 150000}},
	})
	s.rec.note("configuration %d acknowledged, %d routes", s.version, len(s.routes))
}

// freeAddr returns an address with a free port.
func freeAddr(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// addDaemon adds a daemon in a zone, which is not started.
func (s *site) addDaemon(zone string) error {
	n := len(s.daemons) + 1
	d := &daemon{site: s, name: fmt.Sprintf("edge-%s-%d", zone, n), zone: zone, ip: fmt.Sprintf("127.40.0.%d", n), bootstrap: true, storeAddr: s.storeAddr}
	for _, addr := range []*string{&d.frontend, &d.ready, &d.control, &d.inner} {
		free, err := freeAddr(d.ip)
		if err != nil {
			return err
		}
		*addr = free
	}
	d.settings, d.log = filepath.Join(s.dir, d.name+".conf"), filepath.Join(s.dir, d.name+".log")
	s.daemons = append(s.daemons, d)
	return nil
}

// startDaemons starts all daemons and waits until they are ready.
func (s *site) startDaemons() error {
	for _, d := range s.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		if err := await(15*time.Second, d.isReady); err != nil {
			return fmt.Errorf("%s is not ready: %w", d.name, err)
		}
	}
	s.rec.note("%d daemons are ready", len(s.daemons))
	return nil
}

var errNever = errors.New("it did not happen in time")

// await waits until ok reports true.
func await(limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return errNever
}

// writeSettings writes the settings file, as the deploy page shows it.
func (d *daemon) writeSettings() error {
	var seeds []string
	for _, o := range d.site.daemons[:min(3, len(d.site.daemons))] {
		seeds = append(seeds, o.control)
	}
	_, port, err := net.SplitHostPort(d.inner)
	if err != nil {
		return err
	}
	lines := []string{
		"node_name=" + d.name, "role=" + role, "machine_class=edge", "serves=edge,control", "ip=" + d.ip, "zone=" + d.zone, "region=r",
		"zones.a=r", "zones.b=r", "zones.c=r", "listen.frontend=" + d.frontend, "listen.ready=" + d.ready, "listen.control_plane=" + d.control,
		"internal_ports=" + port + "," + port, "seeds=" + strings.Join(seeds, ","), fmt.Sprintf("is_bootstrap=%t", d.bootstrap),
		"counts_toward_faults=false", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100",
		"limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform",
		"fault_tolerance.machines=1", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
		"bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
		"bounds.downgrade_slack_ms=250", "bounds.max_stretch_ms=5000", "bounds.strict_revoke=false", "bounds.revoke_ms=5000",
		"bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.retry_budget_slack=54", "bounds.quota_window_s=8",
		"bounds.quota_overage=0.1", "bounds.quota_slack=110000", "bounds.recover_s=12", "bounds.pass_ms=120", "bounds.again_s=0",
		"bounds.fencing_enforced=true", "bounds.lease_ms=3000", "bounds.thaw_ms=300", "bounds.ceiling_window_s=5",
		"bounds.load_overage=1.1", "bounds.version_ms=5000", "platform.addr=" + d.storeAddr, "platform.form=objects",
		"platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
	}
	return os.WriteFile(d.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

// start starts the daemon's process.
func (d *daemon) start() error {
	if err := d.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	d.cmd = exec.Command(program, role)
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "KNAPWEEDPLANK_NODE_FILE=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), d.cmd
	d.exited = exited
	go func() {
		err := cmd.Wait()
		d.site.rec.note("%s has ended: %v", d.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the daemon's process.
func (d *daemon) signal(sig syscall.Signal) error {
	d.site.rec.note("%v to %s", sig, d.name)
	return d.cmd.Process.Signal(sig)
}

// kill ends the daemon's process if it runs.
func (d *daemon) kill() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	_ = d.cmd.Process.Kill() // it may have ended
	<-d.exited
}

// hasEnded reports whether the daemon's process has ended.
func (d *daemon) hasEnded() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

var probeClient = &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// isReady asks the daemon whether it is ready, as the platform does.
func (d *daemon) isReady() bool {
	resp, err := probeClient.Get("http://" + d.ready + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// warmUp sends requests to each daemon until it serves one.
func (s *site) warmUp(r func() request) error {
	for _, d := range s.daemons {
		if err := await(20*time.Second, func() bool { a := d.send(r()); return a.status == http.StatusOK && a.whole }); err != nil {
			return fmt.Errorf("%s does not serve: %w", d.name, err)
		}
	}
	s.rec.note("all daemons serve")
	return nil
}
