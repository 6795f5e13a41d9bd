package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/platform"
	"knapweedplank.org/plank/platform/stand"
)

// This file tests the control plane of VMs over links of limited bandwidth.

// linkMbps is the bandwidth of most VMs of the users' grown sites, in Mbit/s.
const linkMbps = 10

// linkChunk is the largest number of bytes that pass a link at once.
const linkChunk = 4096

// links limits the bandwidth of each VM, by its IP address, separately for what the
// VM sends and for what it receives.
type links struct {
	mu            sync.Mutex
	sendLimits    map[string]*rate.Limiter
	receiveLimits map[string]*rate.Limiter
	// storeless holds the number of cuts of VMs from the store, and storeConns the
	// connections of the other VMs to it.
	storeless  map[string]int
	storeConns map[net.Conn]string
	// frozen holds the number of faults by which the links of VMs carry nothing.
	frozen map[string]int
}

func newLinks() *links {
	return &links{
		sendLimits: make(map[string]*rate.Limiter), receiveLimits: make(map[string]*rate.Limiter), storeless: make(map[string]int), storeConns: make(map[net.Conn]string),
		frozen: make(map[string]int),
	}
}

// freeze stops the traffic of a VM's link without closing connections.
func (l *links) freeze(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen[vm]++
}

// thaw undoes one freeze.
func (l *links) thaw(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen[vm]--
}

// isFrozen reports whether the link of any of the VMs is frozen.
func (l *links) isFrozen(vms ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(vms, func(vm string) bool { return l.frozen[vm] > 0 })
}

// cutStore cuts a VM off from the store.
func (l *links) cutStore(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeless[vm]++
	for c, owner := range l.storeConns {
		if owner == vm {
			c.Close()
		}
	}
}

// healStore undoes one cutStore.
func (l *links) healStore(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeless[vm]--
}

// addStoreConn registers a connection to the store. It reports false if the VM is cut
// off from it.
func (l *links) addStoreConn(vm string, c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeConns[c] = vm
	return l.storeless[vm] == 0
}

// limiter returns the limiter of one direction of the link of the VM with an IP
// address.
func (l *links) limiter(way map[string]*rate.Limiter, ip string) *rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	if way[ip] == nil {
		way[ip] = rate.NewLimiter(linkMbps*1e6/8, linkChunk)
	}
	return way[ip]
}

// proxy starts a proxy to target over a VM's link, and returns its address. If toVM
// is set, target is the VM, and the link of the dialling VM limits connections as
// well. If not, the VM dials the store, whose link has no limit.
func (l *links) proxy(t *testing.T, vm, target string, toVM bool) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			go l.forward(in, target, vm, toVM)
		}
	}()
	return ln.Addr().String()
}

// forward proxies one connection until either side closes it.
func (l *links) forward(in net.Conn, target, vm string, toVM bool) {
	defer in.Close()
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	var outward, inward []*rate.Limiter
	ends := []string{vm}
	if caller, _, err := net.SplitHostPort(in.RemoteAddr().String()); err == nil && toVM {
		ends = append(ends, caller)
		outward = []*rate.Limiter{l.limiter(l.sendLimits, caller), l.limiter(l.receiveLimits, vm)}
		inward = []*rate.Limiter{l.limiter(l.sendLimits, vm), l.limiter(l.receiveLimits, caller)}
	} else {
		if !l.addStoreConn(vm, in) {
			return
		}
		outward, inward = []*rate.Limiter{l.limiter(l.sendLimits, vm)}, []*rate.Limiter{l.limiter(l.receiveLimits, vm)}
	}
	// The buffers are small, like the windows of real links.
	for _, c := range []net.Conn{in, out} {
		_ = c.(*net.TCPConn).SetReadBuffer(8 * linkChunk)  // only limits the bytes in flight
		_ = c.(*net.TCPConn).SetWriteBuffer(8 * linkChunk) // likewise
	}
	done := make(chan struct{}, 2)
	copyLimited := func(to, from net.Conn, ways []*rate.Limiter) {
		defer func() { done <- struct{}{} }()
		buf := make([]byte, linkChunk)
		for {
			n, err := from.Read(buf)
			if err != nil {
				return
			}
			for _, way := range ways {
				if way.WaitN(context.Background(), n) != nil {
					return
				}
			}
			for l.isFrozen(ends...) {
				time.Sleep(10 * time.Millisecond)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
	}
	go copyLimited(out, in, outward)
	go copyLimited(in, out, inward)
	<-done
}

// configBound is the time within which a configuration must be in force in the
// users' grown sites.
const configBound = 3 * time.Second

// A slowDomain holds the VMs of one failure domain, on links of limited bandwidth.
type slowDomain struct {
	store *stand.Store
	links *links
	nodes []*Node
}

// startDomain starts the control plane of n VMs, which follow one store.
func startDomain(t *testing.T, n int) *slowDomain {
	t.Helper()
	return startDomains(t, n, func(int, *platform.Settings) {})
}

// startDomains is like startDomain with settings that configure changes, by the VM's number.
func startDomains(t *testing.T, n int, configure func(int, *platform.Settings)) *slowDomain {
	t.Helper()
	d := &slowDomain{store: stand.NewStore(), links: newLinks()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: d.store}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	d.writeConfig(1, 50, "")
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var seed string
	for i := range n {
		node, addr := startControl(ctx, t, d.links, i, ln.Addr().String(), seed, configure)
		d.nodes = append(d.nodes, node)
		if seed == "" {
			seed = addr
		}
	}
	return d
}

// startControl starts the parts of a daemon that follow the store and exchange
// messages with the other VMs. It returns the address for those.
func startControl(ctx context.Context, t *testing.T, l *links, i int, store, seed string, configure func(int, *platform.Settings)) (*Node, string) {
	t.Helper()
	ip := fmt.Sprintf("127.0.9.%d", i+1)
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &Node{
		settings: &platform.Settings{
			VM: plank.VMID(fmt.Sprint("vm-", i)), Domain: "d", IP: ip, StoreAddr: l.proxy(t, ip, store, false), CPUShare: 0.2, LinkMbps: linkMbps,
			Bounds: platform.Bounds{ConfigApply: configBound},
		},
		boot: newBoot(), clock: plank.SystemClock{}, log: log.WithField("vm", i), registry: metrics.NewRegistry(),
	}
	configure(i, n.settings)
	ln, err := net.Listen("tcp", ip+":0")
	assert.NilError(t, err)
	n.buildState()
	n.buildClients()
	addr := l.proxy(t, ip, ln.Addr().String(), true)
	n.buildMesh(ctx, addr)
	go func() { n.transport.Serve(ln, n) }()
	t.Cleanup(func() {
		ln.Close()
		n.transport.Close()
	})
	n.followStore(ctx)
	if seed != "" {
		n.mesh.Contact(seed)
	}
	return n, addr
}

// writeConfig writes a configuration with a number of routes. If last is not empty,
// it is the service of the last route.
func (d *slowDomain) writeConfig(version, routes int, last string) {
	list := make([]map[string]any, 0, routes)
	for i := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%x", i*2654435761), "host": "shop.example", "path_prefix": fmt.Sprintf("/p%x/", i*40503), "route_kind": "streaming",
			"timeout_ms": 5000, "target_latency_ms": 1000, "priority": 1, "service": "models", "max_attempts": 1, "public": false,
			"sticky": true, "resumable": false, "gap_aim_ms": 500,
		})
	}
	if last != "" {
		list[routes-1]["service"] = last
	}
	d.store.Put("config/main", map[string]any{"version": version, "routes": list})
}

// awaitVersion waits until all VMs that are not frozen have a version or a later
// one, and returns how long that took. It fails the test after within.
func (d *slowDomain) awaitVersion(t *testing.T, version plank.ManifestVersion, within time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	for {
		have := 0
		frozen := 0
		for _, n := range d.nodes {
			if d.links.isFrozen(n.settings.IP) {
				frozen++
			} else if m := n.view.Load().Manifest; m != nil && m.Version >= version {
				have++
			}
		}
		took := time.Since(began)
		if have == len(d.nodes)-frozen {
			return took
		}
		if took > within {
			t.Fatalf("version %d is in force on %d of %d VMs after %v", version, have, len(d.nodes)-frozen, took)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// minReachable returns the smallest number of other VMs that any VM can reach.
func (d *slowDomain) minReachable() int {
	least := len(d.nodes)
	for _, n := range d.nodes {
		vms, _ := n.mesh.Reachable()
		least = min(least, len(vms))
	}
	return least
}

// awaitStable waits until all VMs reach each other, and no more of them than the
// watchers have had recent answers from the store.
func (d *slowDomain) awaitStable(t *testing.T) {
	t.Helper()
	const timeout = 20 * time.Second
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		following := 0
		for _, n := range d.nodes {
			if time.Since(n.watchPolicy.lastResponse()) < n.watchPolicy.timing().wait+watchGrace {
				following++
			}
		}
		if d.minReachable() == len(d.nodes)-1 && following <= watchers(len(d.nodes)) {
			break
		}
		if time.Since(began) > timeout {
			t.Fatalf("a VM reaches %d others of %d, %d VMs watch the store", d.minReachable(), len(d.nodes)-1, following)
		}
	}
	d.awaitVersion(t, 1, configBound)
}

// Guards against large values in gossip: the watchers sent a configuration of 1,450
// routes, 0.35 MB, to each VM of their domain. On links of 10 Mbit/s it came into
// force seconds late, and heartbeats queued behind it.
func TestLargeConfigurationOverSlowLinks(t *testing.T) {
	const vms = 22 // of a domain of the users' grown sites
	d := startDomain(t, vms)
	d.awaitStable(t)
	d.writeConfig(2, 1450, "")
	t.Logf("1,400 routes more: %v", d.awaitVersion(t, 2, configBound))
	// One route changes while the first version may still be in transfer.
	d.writeConfig(3, 1450, "others")
	t.Logf("one route changed: %v", d.awaitVersion(t, 3, configBound))
	assert.Equal(t, d.minReachable(), vms-1, "a VM is not reachable")
}

// VMs that are cut off from the store fetch a large configuration from the others,
// a few at a time.
func TestLargeConfigurationIsFetchedFromPeers(t *testing.T) {
	const vms, connected = 8, 2
	d := startDomain(t, vms)
	d.awaitStable(t)
	for _, n := range d.nodes[connected:] {
		d.links.cutStore(n.settings.IP)
	}
	d.writeConfig(2, 1450, "")
	t.Logf("%d VMs without the store: %v", vms-connected, d.awaitVersion(t, 2, 10*time.Second))
}

// Guards against a bound missed by a large configuration: if the watchers freeze
// just before it changes, the others must start to read the store earlier than for a
// small one.
func TestLargeConfigurationWhileWatchersAreFrozen(t *testing.T) {
	const vms = 22
	d := startDomain(t, vms)
	d.awaitStable(t)
	d.writeConfig(2, 1450, "")
	d.awaitVersion(t, 2, configBound)
	d.awaitStable(t)
	for _, n := range d.nodes {
		if n.watchPolicy.mustWatch() {
			d.links.freeze(n.settings.IP)
		}
	}
	d.writeConfig(3, 1450, "others")
	t.Logf("without its watchers: %v", d.awaitVersion(t, 3, configBound))
}
