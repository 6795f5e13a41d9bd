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

// This file runs the control side of VMs over links of limited bandwidth.

// linkMbps is the bandwidth of most VMs of the users' grown sites.
const linkMbps = 10

// linkChunk is the most bytes that pass a link at once.
const linkChunk = 4096

// Links hold the bandwidth of each VM, by its IP number. What a VM sends and what
// it receives pass its link one after the other, each way by itself.
type links struct {
	mu       sync.Mutex
	sending  map[string]*rate.Limiter
	receives map[string]*rate.Limiter
	// storeless holds the VMs that are cut off from the store, and open the
	// connections of the others to it.
	storeless map[string]bool
	open      map[net.Conn]string
	// frozen holds the VMs whose links carry nothing.
	frozen map[string]bool
}

func newLinks() *links {
	return &links{
		sending: make(map[string]*rate.Limiter), receives: make(map[string]*rate.Limiter), storeless: make(map[string]bool), open: make(map[net.Conn]string),
		frozen: make(map[string]bool),
	}
}

// freeze makes the links of a VM carry nothing, without closing connections.
func (l *links) freeze(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen[vm] = true
}

// isFrozen tells whether a link carries nothing.
func (l *links) isFrozen(vms ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(vms, func(vm string) bool { return l.frozen[vm] })
}

// cutStore cuts a VM off from the store.
func (l *links) cutStore(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeless[vm] = true
	for c, owner := range l.open {
		if owner == vm {
			c.Close()
		}
	}
}

// toStore registers a connection to the store. It reports false if the VM is cut
// off from it.
func (l *links) toStore(vm string, c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = vm
	return !l.storeless[vm]
}

// limiter returns one way of the link of the VM with an IP number.
func (l *links) limiter(way map[string]*rate.Limiter, ip string) *rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	if way[ip] == nil {
		way[ip] = rate.NewLimiter(linkMbps*1e6/8, linkChunk)
	}
	return way[ip]
}

// proxy passes connections on to target over a VM's link. With toVM the VM is the
// one that accepts, and the dialling VM's link counts as well; else the VM dials the
// store, whose link has no limit.
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
			go l.pass(in, target, vm, toVM)
		}
	}()
	return ln.Addr().String()
}

// pass carries one connection until either side ends it.
func (l *links) pass(in net.Conn, target, vm string, toVM bool) {
	defer in.Close()
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	var there, back []*rate.Limiter
	ends := []string{vm}
	if caller, _, err := net.SplitHostPort(in.RemoteAddr().String()); err == nil && toVM {
		ends = append(ends, caller)
		there = []*rate.Limiter{l.limiter(l.sending, caller), l.limiter(l.receives, vm)}
		back = []*rate.Limiter{l.limiter(l.sending, vm), l.limiter(l.receives, caller)}
	} else {
		if !l.toStore(vm, in) {
			return
		}
		there, back = []*rate.Limiter{l.limiter(l.sending, vm)}, []*rate.Limiter{l.limiter(l.receives, vm)}
	}
	// Small buffers, as windows of real links.
	for _, c := range []net.Conn{in, out} {
		_ = c.(*net.TCPConn).SetReadBuffer(8 * linkChunk)  // only bounds what is on its way
		_ = c.(*net.TCPConn).SetWriteBuffer(8 * linkChunk) // likewise
	}
	done := make(chan struct{}, 2)
	carry := func(to, from net.Conn, ways []*rate.Limiter) {
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
	go carry(out, in, there)
	go carry(in, out, back)
	<-done
}

// configBound is the time in which the users' grown sites want a configuration
// in force.
const configBound = 3 * time.Second

// A slowDomain is the VMs of one failure domain, on links of limited bandwidth.
type slowDomain struct {
	store *stand.Store
	links *links
	nodes []*Node
}

// startDomain starts the control side of n VMs, which follow one store.
func startDomain(t *testing.T, n int) *slowDomain {
	t.Helper()
	d := &slowDomain{store: stand.NewStore(), links: newLinks()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: d.store}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	d.configure(1, 50, "")
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var seed string
	for i := range n {
		node, addr := startControl(ctx, t, d.links, i, ln.Addr().String(), seed)
		d.nodes = append(d.nodes, node)
		if seed == "" {
			seed = addr
		}
	}
	return d
}

// startControl starts what of a daemon follows the store and talks to the others.
func startControl(ctx context.Context, t *testing.T, l *links, i int, store, seed string) (*Node, string) {
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
	ln, err := net.Listen("tcp", ip+":0")
	assert.NilError(t, err)
	n.buildState()
	n.buildClients()
	addr := l.proxy(t, ip, ln.Addr().String(), true)
	n.buildMesh(ctx, addr)
	go func() { n.hub.Serve(ln, n) }()
	t.Cleanup(func() {
		ln.Close()
		n.hub.Close()
	})
	n.follow(ctx)
	if seed != "" {
		n.mesh.Contact(seed)
	}
	return n, addr
}

// configure writes a configuration of many routes. last is the service of its last
// route.
func (d *slowDomain) configure(version, routes int, last string) {
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

// inForce waits until all VMs that are not frozen have a version, and returns how long the last of
// them took.
func (d *slowDomain) inForce(t *testing.T, version plank.ManifestVersion, within time.Duration) time.Duration {
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

// heard returns the least number of other VMs that any VM hears.
func (d *slowDomain) heard() int {
	least := len(d.nodes)
	for _, n := range d.nodes {
		vms, _ := n.mesh.Reachable()
		least = min(least, len(vms))
	}
	return least
}

// settle waits until all VMs hear each other, and only few of them still have an
// answer of the store to wait for.
func (d *slowDomain) settle(t *testing.T) {
	t.Helper()
	const patience = 20 * time.Second
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		following := 0
		for _, n := range d.nodes {
			if time.Since(n.news.fresh()) < n.news.pace().wait+watchGrace {
				following++
			}
		}
		if d.heard() == len(d.nodes)-1 && following <= watchers(len(d.nodes)) {
			break
		}
		if time.Since(began) > patience {
			t.Fatalf("a VM hears %d others of %d, %d VMs watch the store", d.heard(), len(d.nodes)-1, following)
		}
	}
	d.inForce(t, 1, configBound)
}

// A configuration of 1,450 routes, 0.35 MB, was told by the VMs that watch the
// store to each VM of their domain. On links of 10 Mbit/s it came into force
// seconds late, and heartbeats stood behind it.
func TestLargeConfigurationOverSlowLinks(t *testing.T) {
	const vms = 22 // of a domain of the users' grown sites
	d := startDomain(t, vms)
	d.settle(t)
	d.configure(2, 1450, "")
	t.Logf("1,400 routes more: %v", d.inForce(t, 2, configBound))
	// A change of one route comes while the first may still be on its way.
	d.configure(3, 1450, "others")
	t.Logf("one route changed: %v", d.inForce(t, 3, configBound))
	assert.Equal(t, d.heard(), vms-1, "a VM fell silent")
}

// VMs that are cut off from the store get a large configuration from those that
// are not, a few at a time.
func TestLargeConfigurationIsFetchedFromPeers(t *testing.T) {
	const vms, connected = 8, 2
	d := startDomain(t, vms)
	d.settle(t)
	for _, n := range d.nodes[connected:] {
		d.links.cutStore(n.settings.IP)
	}
	d.configure(2, 1450, "")
	t.Logf("%d VMs without the store: %v", vms-connected, d.inForce(t, 2, 10*time.Second))
}

// The VMs that watch the store freeze just before a large configuration changes. The
// others noticed in time to read a small one.
func TestLargeConfigurationWhileWatchersAreFrozen(t *testing.T) {
	const vms = 22
	d := startDomain(t, vms)
	d.settle(t)
	d.configure(2, 1450, "")
	d.inForce(t, 2, configBound)
	d.settle(t)
	for _, n := range d.nodes {
		if n.news.mustWatch() {
			d.links.freeze(n.settings.IP)
		}
	}
	d.configure(3, 1450, "others")
	t.Logf("without its watchers: %v", d.inForce(t, 3, configBound))
}
