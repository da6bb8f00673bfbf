package soak

import (
	"net"
	"sync"
	"time"
)

type (
	// proxy forwards TCP connections on loopback and injects network faults
	// into them.
	proxy struct {
		listenAddress string
		target        string
		wg            sync.WaitGroup

		mu         sync.Mutex
		listener   net.Listener
		impairment impairment
		conns      map[*connPair]bool
		changed    chan struct{}
	}

	// impairment is a network fault. Bytes in a cut direction are held until
	// the cut ends, since a real network would retransmit them. The delay
	// applies to each block of bytes; refuse resets new connections.
	impairment struct {
		cutToServer, cutToClient bool
		refuse                   bool
		delay                    time.Duration
	}

	// connPair is one forwarded connection. server is nil until it is dialled.
	connPair struct{ client, server net.Conn }
)

// newProxy listens on the address and forwards connections to the target.
func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listenAddress: l.Addr().String(), listener: l, target: target, conns: make(map[*connPair]bool), changed: make(chan struct{})}
	p.wg.Go(func() { p.accept(l) })
	return p, nil
}

func (p *proxy) address() string { return p.listenAddress }

// closeListener resets all open connections. New ones are refused, as where
// nothing listens.
func (p *proxy) closeListener() {
	p.mu.Lock()
	p.listener.Close()
	p.mu.Unlock()
	p.reset()
}

// reopenListener ends closeListener.
func (p *proxy) reopenListener() error {
	l, err := net.Listen("tcp", p.listenAddress)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	p.wg.Go(func() { p.accept(l) })
	return nil
}

// setImpairment sets the fault of all connections. The zero value ends it.
func (p *proxy) setImpairment(i impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairment = i
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.reset()
	}
}

func (p *proxy) close() {
	p.closeListener()
	p.setImpairment(impairment{refuse: true})
	p.wg.Wait()
}

// currentImpairment returns the impairment and a channel that is closed when it
// changes.
func (p *proxy) currentImpairment() (impairment, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.impairment, p.changed
}

func (p *proxy) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.forward(client) })
	}
}

func (p *proxy) forward(client net.Conn) {
	c := &connPair{client: client}
	if i, _ := p.currentImpairment(); i.refuse {
		c.reset()
		return
	}
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		c.reset()
		return
	}
	c.server = server
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.copyBytes(client, server, func(i impairment) bool { return i.cutToServer }) })
	directions.Go(func() { p.copyBytes(server, client, func(i impairment) bool { return i.cutToClient }) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	client.Close()
	server.Close()
}

// copyBytes copies bytes in one direction until either end closes. The function
// cut reports whether an impairment cuts this direction.
func (p *proxy) copyBytes(from, to net.Conn, cut func(impairment) bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		i, changed := p.currentImpairment()
		for cut(i) {
			<-changed
			i, changed = p.currentImpairment()
		}
		if i.delay > 0 {
			time.Sleep(i.delay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		}
	}
}

// reset closes both connections so that the other ends receive a TCP reset.
func (c *connPair) reset() {
	for _, end := range []net.Conn{c.client, c.server} {
		if tcp, ok := end.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			tcp.Close()
		}
	}
}
