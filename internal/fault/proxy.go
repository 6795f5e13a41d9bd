// Package fault defines a TCP proxy that injects network faults.
package fault

import (
	"net"
	"sync"
	"time"
)

// A Mode is the set of faults that the proxy applies to its connections.
type Mode struct {
	// Refuse closes new connections immediately.
	Refuse bool
	// DropToTarget and DropToClient discard the bytes of one direction. With both,
	// connections stay open and transfer nothing.
	DropToTarget bool
	DropToClient bool
	// DelayMillis is the delay of each direction in milliseconds.
	DelayMillis int
	// LoseAnswers is the number of times that data from the target is discarded and
	// its connection closed, so that requests take effect without a response. It
	// has no effect in the mode of a single client.
	LoseAnswers int
}

// A Proxy forwards connections to a target. Its mode may change at any time.
type Proxy struct {
	ln     net.Listener
	target string

	mu   sync.Mutex
	mode Mode
	// clientModes holds modes of single clients, by IP address, which override mode.
	clientModes map[string]Mode
	conns       map[net.Conn]string // open connections with their client's IP address
}

// New starts a proxy that listens on listen and forwards to target, both host:port.
func New(listen, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target, clientModes: make(map[string]Mode), conns: make(map[net.Conn]string)}
	go func() { p.accept() }()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// SetTarget sets the target of new connections.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetMode sets the mode of new and existing connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// SetClientMode sets the mode of new and existing connections of the client with
// the given IP address, instead of the mode set by SetMode.
func (p *Proxy) SetClientMode(ip string, m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clientModes[ip] = m
}

// CutClient refuses new connections of one client and closes the existing ones.
func (p *Proxy) CutClient(ip string) {
	p.SetClientMode(ip, Mode{Refuse: true})
	p.closeClientConns(ip)
}

// HealClient removes the mode of one client and closes its connections.
func (p *Proxy) HealClient(ip string) {
	p.mu.Lock()
	delete(p.clientModes, ip)
	p.mu.Unlock()
	p.closeClientConns(ip)
}

func (p *Proxy) closeClientConns(ip string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, clientIP := range p.conns {
		if clientIP == ip {
			c.Close()
		}
	}
}

// Cut refuses new connections and closes the existing ones.
func (p *Proxy) Cut() {
	p.SetMode(Mode{Refuse: true})
	p.CloseConns()
}

// Heal removes all faults set by SetMode. If the mode discarded bytes, it also
// closes all connections, since their streams may be incomplete.
func (p *Proxy) Heal() {
	p.mu.Lock()
	lossy := p.mode.DropToClient || p.mode.DropToTarget
	p.mu.Unlock()
	p.SetMode(Mode{})
	if lossy {
		p.CloseConns()
	}
}

// CloseConns closes the existing connections.
func (p *Proxy) CloseConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
}

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	p.ln.Close()
	p.CloseConns()
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// modeAndTarget returns the mode for the client with the given IP address, and the
// target.
func (p *Proxy) modeAndTarget(ip string) (Mode, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.clientModes[ip]; ok {
		return m, p.target
	}
	return p.mode, p.target
}

func (p *Proxy) serve(clientConn net.Conn) {
	clientIP, _, _ := net.SplitHostPort(clientConn.RemoteAddr().String())
	mode, target := p.modeAndTarget(clientIP)
	if mode.Refuse {
		clientConn.Close()
		return
	}
	targetConn, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		clientConn.Close()
		return
	}
	p.mu.Lock()
	p.conns[clientConn], p.conns[targetConn] = clientIP, clientIP
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.forward(targetConn, clientConn, clientIP, true); done <- struct{}{} }()
	go func() { p.forward(clientConn, targetConn, clientIP, false); done <- struct{}{} }()
	<-done
	clientConn.Close()
	targetConn.Close()
	p.mu.Lock()
	delete(p.conns, clientConn)
	delete(p.conns, targetConn)
	p.mu.Unlock()
}

// bufferBytes is the maximum number of bytes that are forwarded at once.
const bufferBytes = 32 << 10

// forward copies one direction of a connection and applies the current mode to each
// read.
func (p *Proxy) forward(dst, src net.Conn, clientIP string, toTarget bool) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			mode, _ := p.modeAndTarget(clientIP)
			time.Sleep(time.Duration(mode.DelayMillis) * time.Millisecond)
			if !toTarget && p.loseAnswer() {
				return
			}
			dropped := toTarget && mode.DropToTarget || !toTarget && mode.DropToClient
			if !dropped {
				if _, err := dst.Write(buf[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}

// loseAnswer reports whether to discard the data that was read from the target, and
// decrements LoseAnswers if so.
func (p *Proxy) loseAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode.LoseAnswers == 0 {
		return false
	}
	p.mode.LoseAnswers--
	return true
}
