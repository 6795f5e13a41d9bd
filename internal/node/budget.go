package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
	"knapweedplank.org/plank/internal/budget"
	"knapweedplank.org/plank/internal/idle"
	"knapweedplank.org/plank/internal/pause"
)

// The parts of the VM's memory and descriptors that connections may take.
const (
	// memoryPercent is the part of the memory for what callers hold. Garbage takes as much
	// again, and the program 20 MB with what it knows of the fleet.
	memoryPercent = 25
	megabyte      = 1_000_000
	// reservedFDs is the number of descriptors that the platform reserves for files.
	reservedFDs = 200
	// The rest of the descriptors is for endpoints, the store and connections to other VMs.
	callerFDPercent   = 50
	peerFDPercent     = 16
	internalFDPercent = 2 // of the ports for readiness and metrics, each
	minInternalConns  = 16

	// Limits of VMs whose settings state none.
	defaultMemory = 1 << 30 // bytes
	defaultFDs    = 10000
)

// The limits of callers as long as no configuration is known, or for those that it omits.
const (
	defaultMaxHeader     = 64 << 10 // bytes
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
)

// The limits of the ports for readiness, metrics and other VMs.
const (
	internalMaxHeader     = 8 << 10 // bytes
	internalHeaderTimeout = 3 * time.Second
	internalIdleTimeout   = time.Minute
	internalMemory        = 4 << 20 // bytes
	// peerFirstByteTimeout bounds the time to the first byte of another VM, which sends a call
	// as soon as it is connected.
	peerFirstByteTimeout = 5 * time.Second
)

// lingerTimeout bounds how long the rest of a refused request is read. A body of 55 KB, the
// largest of ordinary callers, takes 45 ms on a link of 10 Mbit/s.
const lingerTimeout = 2 * time.Second

// accountSweepInterval is the precision of the time limits of connections.
const accountSweepInterval = 250 * time.Millisecond

// freeFDs returns the number of descriptors that are not reserved for files.
func (n *Node) freeFDs() int {
	if n.settings.MaxFDs == 0 {
		return defaultFDs
	}
	return max(1, n.settings.MaxFDs-reservedFDs)
}

// callerLimits returns the limits of the port for callers, from the configuration in force.
func (n *Node) callerLimits() budget.Limits {
	l := budget.Limits{
		Bytes: defaultMemory, Conns: n.freeFDs() * callerFDPercent / 100,
		MaxHeader: defaultMaxHeader, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, LingerTimeout: lingerTimeout,
	}
	if n.settings.MemoryMB > 0 {
		l.Bytes = int64(n.settings.MemoryMB) * megabyte * memoryPercent / 100
	}
	if m := n.view.Load().Manifest; m != nil {
		if m.Limits.MaxHeader > 0 {
			l.MaxHeader = m.Limits.MaxHeader
		}
		if m.Limits.HeaderTimeout > 0 {
			l.HeaderTimeout = m.Limits.HeaderTimeout
		}
		if m.Limits.IdleTimeout > 0 {
			l.IdleTimeout = m.Limits.IdleTimeout
		}
	}
	return l
}

// internalLimits returns the limits of the ports for readiness and metrics.
func (n *Node) internalLimits() budget.Limits {
	return budget.Limits{
		Bytes: internalMemory, Conns: max(minInternalConns, n.freeFDs()*internalFDPercent/100), MaxHeader: internalMaxHeader,
		HeaderTimeout: internalHeaderTimeout, IdleTimeout: internalIdleTimeout, LingerTimeout: lingerTimeout, EvictsIdle: true,
	}
}

// peerLimits returns the limits of the port for other VMs. Connections are closed in favour of
// others only before their first byte.
func (n *Node) peerLimits() budget.Limits {
	conns := max(minInternalConns, n.freeFDs()*peerFDPercent/100)
	return budget.Limits{
		Bytes: int64(conns+1) * budget.ConnCost, Conns: conns,
		HeaderTimeout: peerFirstByteTimeout, IdleTimeout: peerFirstByteTimeout, LingerTimeout: lingerTimeout,
	}
}

// newAccount creates the account of a port.
func (n *Node) newAccount(name string, limits func() budget.Limits) *budget.Account {
	var mu sync.Mutex
	limiter, leftOut := rate.NewLimiter(1, 1), 0
	a := budget.New(n.clock, limits, func(e budget.Eviction) {
		metrics.GetOrRegisterCounter(name+".Ended."+e.Reason.String()+"."+e.Phase.String(), n.registry).Inc(1)
		if e.Reason == budget.TimedOut && e.Phase == budget.PhaseIdle {
			return // as usual
		}
		mu.Lock()
		defer mu.Unlock()
		if !limiter.AllowN(n.clock.Now(), 1) {
			leftOut++
			return
		}
		n.log.WithFields(logrus.Fields{
			"port": name, "reason": e.Reason.String(), "phase": e.Phase.String(), "bytes": e.Bytes, "age_ms": e.Age.Milliseconds(), "suppressed": leftOut,
		}).Warn("node: refused or closed a connection at a limit")
		leftOut = 0
	})
	n.accounts = append(n.accounts, a)
	return a
}

// newServer returns an HTTP server for a listener, whose account bounds times and sizes.
func (n *Node) newServer(h http.Handler, ln *idle.Listener) *http.Server {
	return &http.Server{Handler: h, ConnState: ln.ConnState, ConnContext: ln.ConnContext}
}

// serveInternal serves a port that callers do not use.
func (n *Node) serveInternal(name string, h http.Handler, ln net.Listener) {
	listener := idle.WrapHTTP(ln, n.newAccount(name, n.internalLimits))
	n.serve(n.newServer(h, listener), listener)
}

// sweepAccounts ends the connections whose time is over, until ctx is cancelled.
func (n *Node) sweepAccounts(ctx context.Context) {
	for pause.For(ctx, accountSweepInterval) {
		for _, a := range n.accounts {
			a.Sweep()
		}
	}
}
