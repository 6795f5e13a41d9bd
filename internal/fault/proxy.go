// Package fault defines a TCP proxy that brings about network faults on demand.
package fault

import (
	"net"
	"sync"
	"time"
)

// A Mode is what the proxy does to its connections.
type Mode struct {
	// Refuse closes new connections at once.
	Refuse bool
	// DropToTarget and DropToClient swallow bytes of one direction. With both,
	// connections are half open: they stay up and carry nothing.
	DropToTarget bool
	DropToClient bool
	// DelayMillis is added to each direction.
	DelayMillis int
	// LoseAnswers lets requests through and cuts the connection when the next
	// answers come, as often as it says.
	LoseAnswers int
}

// A Proxy forwards connections to a target. Its mode may change at any time.
type Proxy struct {
	ln     net.Listener
	target string

	mu   sync.Mutex
	mode Mode
	// from holds the modes of single clients, by IP number; they go before mode.
	from  map[string]Mode
	conns map[net.Conn]string // open connections with their client's IP number
}

// New starts a proxy to target on listen (host:port).
func New(listen, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target, from: make(map[string]Mode), conns: make(map[net.Conn]string)}
	go func() { p.accept() }()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// SetTarget changes where new connections go.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetMode changes the mode for new and present connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// SetClientMode changes the mode for one client.
func (p *Proxy) SetClientMode(ip string, m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.from[ip] = m
}

// CutClient refuses and breaks the connections of one client.
func (p *Proxy) CutClient(ip string) {
	p.SetClientMode(ip, Mode{Refuse: true})
	p.breakFrom(ip)
}

// HealClient takes the faults of one client away.
func (p *Proxy) HealClient(ip string) {
	p.mu.Lock()
	delete(p.from, ip)
	p.mu.Unlock()
	p.breakFrom(ip)
}

func (p *Proxy) breakFrom(ip string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, from := range p.conns {
		if from == ip {
			c.Close()
		}
	}
}

// Cut refuses new connections and breaks the present ones.
func (p *Proxy) Cut() {
	p.SetMode(Mode{Refuse: true})
	p.CloseConns()
}

// Heal takes all faults away and breaks connections that lost bytes.
func (p *Proxy) Heal() {
	p.mu.Lock()
	lossy := p.mode.DropToClient || p.mode.DropToTarget
	p.mu.Unlock()
	p.SetMode(Mode{})
	if lossy {
		p.CloseConns()
	}
}

// CloseConns closes the present connections.
func (p *Proxy) CloseConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
}

// Close stops the proxy.
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

// current returns the mode for a client, and the target.
func (p *Proxy) current(ip string) (Mode, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.from[ip]; ok {
		return m, p.target
	}
	return p.mode, p.target
}

func (p *Proxy) serve(client net.Conn) {
	ip, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	mode, target := p.current(ip)
	if mode.Refuse {
		client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = ip, ip
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copy(server, client, ip, true); done <- struct{}{} }()
	go func() { p.copy(client, server, ip, false); done <- struct{}{} }()
	<-done
	client.Close()
	server.Close()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copyBytes is the size of the pieces that are forwarded.
const copyBytes = 32 << 10

// copy forwards one direction under the mode in force.
func (p *Proxy) copy(dst, src net.Conn, ip string, toTarget bool) {
	buf := make([]byte, copyBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			mode, _ := p.current(ip)
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

// loseAnswer reports whether this answer is to be lost.
func (p *Proxy) loseAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode.LoseAnswers == 0 {
		return false
	}
	p.mode.LoseAnswers--
	return true
}
