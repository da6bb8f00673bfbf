package soak

import (
	"net"
	"sync"
	"time"
)

type (
	// proxy forwards connections on loopback and impairs them as it is told.
	proxy struct {
		listener net.Listener
		target   string
		wg       sync.WaitGroup

		mu     sync.Mutex
		state  impairment
		pairs  map[*pair]bool
		healed chan struct{}
	}

	// impairment is what happens to the bytes. Cut bytes wait until the cut ends,
	// as a network sends them again.
	impairment struct {
		cutForth, cutBack bool
		refuse            bool
		delay             time.Duration
	}

	pair struct{ client, server net.Conn }
)

// newProxy forwards connections to the address to the target.
func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, pairs: make(map[*pair]bool), healed: make(chan struct{})}
	p.wg.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes what happens to the bytes from now on.
func (p *proxy) set(h impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = h
	close(p.healed)
	p.healed = make(chan struct{})
}

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.reset()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.reset()
	p.set(impairment{refuse: true})
	p.wg.Wait()
}

func (p *proxy) current() (impairment, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.healed
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.forward(client) })
	}
}

func (p *proxy) forward(client net.Conn) {
	c := &pair{client: client}
	if h, _ := p.current(); h.refuse {
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
	p.pairs[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(client, server, func(h impairment) bool { return h.cutForth }) })
	both.Go(func() { p.pass(server, client, func(h impairment) bool { return h.cutBack }) })
	both.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
	client.Close()
	server.Close()
}

// pass copies bytes one way until either end closes.
func (p *proxy) pass(from, to net.Conn, cut func(impairment) bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		h, healed := p.current()
		for cut(h) {
			<-healed
			h, healed = p.current()
		}
		if h.delay > 0 {
			time.Sleep(h.delay)
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

// reset closes both connections so that the peers see a reset.
func (c *pair) reset() {
	for _, end := range []net.Conn{c.client, c.server} {
		if tcp, ok := end.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			tcp.Close()
		}
	}
}
