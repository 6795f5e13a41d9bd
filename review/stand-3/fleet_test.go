//go:build review

// Package stand3_test starts daemons of the project as processes, with stand-ins of the platform's
// store, workers and clients around them on loopback addresses, and judges one rule by what the
// stand-ins saw. Its test binary is the program that the scripts of the review's cases run: each
// case has a subcommand. It lies behind a build tag, so that neither CI nor the default test run
// builds it.
package stand3_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"knapweedplank.org/plank/platform/stand"
)

// start is the zero of all times in the record.
var start = time.Now()

// A record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	lines []string
}

// addf adds a line with the time since the start.
func (r *record) addf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(start).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

// write writes the record to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// A vm is one machine of the system with its daemon's process.
type vm struct {
	name, zone                       string
	callers, ready, control, metrics string // host:port
	settings, log                    string // paths of files
	cmd                              *exec.Cmd
	exited                           chan struct{}
}

// A fleet is a set of machines with the store.
type fleet struct {
	dir, binary string
	store       *stand.Store
	storeAddr   string
	vms         []*vm
	rec         *record
	bootstrap   bool
}

// newFleet starts the store.
func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs("target/knapweedplank")
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, binary: binary, store: stand.NewStore(), storeAddr: ln.Addr().String(), rec: rec, bootstrap: true}
	go func() { _ = http.Serve(ln, f.store) }()
	return f, nil
}

// freeAddr returns an address whose port outgoing connections do not get: a socket that does
// not listen stays bound to it.
func freeAddr() (string, error) {
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
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port), nil
}

// addVM adds a machine, whose settings are those of the users' small sites.
func (f *fleet) addVM(name, zone string) (*vm, error) {
	v := &vm{name: name, zone: zone}
	for _, addr := range []*string{&v.callers, &v.ready, &v.control, &v.metrics} {
		var err error
		if *addr, err = freeAddr(); err != nil {
			return nil, err
		}
	}
	v.settings, v.log = filepath.Join(f.dir, name+".conf"), filepath.Join(f.dir, name+".log")
	f.vms = append(f.vms, v)
	return v, nil
}

// writeSettings writes the settings file of a machine, as the platform does at each start.
func (f *fleet) writeSettings(v *vm) error {
	var seeds []string
	for _, o := range f.vms[:min(3, len(f.vms))] {
		seeds = append(seeds, o.control)
	}
	_, port, _ := strings.Cut(v.metrics, ":")
	lines := []string{
		"node_name=" + v.name, "role=entry", "machine_class=edge", "serves=edge,control", "ip=127.0.0.1", "zone=" + v.zone, "region=r1",
		"listen.frontend=" + v.callers, "listen.ready=" + v.ready, "listen.control_plane=" + v.control, "internal_ports=" + port + "," + port,
		"seeds=" + strings.Join(seeds, ","), fmt.Sprintf("is_bootstrap=%v", f.bootstrap), "counts_toward_faults=false",
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200", "contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform",
		"fault_tolerance.machines=1", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000",
		"bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.downgrade_slack_ms=250", "bounds.max_stretch_ms=5000",
		"bounds.strict_revoke=false", "bounds.revoke_ms=5000", "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.retry_budget_slack=52",
		"bounds.quota_window_s=8", "bounds.quota_overage=0.1", "bounds.quota_slack=110000", "bounds.recover_s=12", "bounds.pass_ms=120", "bounds.again_s=0",
		"bounds.fencing_enforced=true", "bounds.lease_ms=3000", "bounds.thaw_ms=300", "bounds.ceiling_window_s=5", "bounds.load_overage=1.1", "bounds.version_ms=5000",
		"platform.addr=" + f.storeAddr, "platform.form=objects", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
		"platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
	}
	return os.WriteFile(v.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts the daemon of a machine, by the command of the deploy file.
func (f *fleet) start(v *vm) error {
	if err := f.writeSettings(v); err != nil {
		return err
	}
	log, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(f.binary, "entry")
	cmd.Env = []string{"KNAPWEEDPLANK_NODE_FILE=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.cmd, v.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // the cases look at exits where they matter
		close(exited)
	}()
	f.rec.addf("machine %s: process %d started", v.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process of a machine.
func (f *fleet) signal(v *vm, sig syscall.Signal) {
	f.rec.addf("machine %s: signal %v", v.name, sig)
	_ = v.cmd.Process.Signal(sig) // it may have exited
}

// waitReady waits until all machines say that they are ready.
func (f *fleet) waitReady(timeout time.Duration) error {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range f.vms {
			if resp, err := http.Get("http://" + v.ready + "/readyz"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.vms) {
			f.rec.addf("all %d machines are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("the machines are not ready after %v", timeout)
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, v := range f.vms {
		if v.cmd != nil {
			_ = v.cmd.Process.Kill() // it may have exited
			<-v.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	}
}
