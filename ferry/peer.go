package ferry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"

	"chervilhollow/order"
)

type (
	// peer is another process with the messages that wait for it.
	peer struct {
		id    order.MemberID
		queue chan queued

		// turn holds one token. Only the link whose writer has it sends
		// messages, so that two links to one peer cannot reorder them.
		turn chan struct{}

		dialing  bool
		links    int
		accepted *link
	}

	queued struct {
		msg order.Msg
		at  time.Time
	}
)

// peer returns the peer with the given ID; the caller holds the lock.
func (n *Node) peer(id order.MemberID) *peer {
	p, ok := n.peers[id]
	if !ok {
		p = &peer{
			id:    id,
			queue: make(chan queued, n.limits.ring),
			turn:  make(chan struct{}, 1),
		}
		p.turn <- struct{}{}
		n.peers[id] = p
	}
	return p
}

// dialIfNeeded starts the dialer of a peer without a link; the caller holds
// the lock.
func (n *Node) dialIfNeeded(p *peer) {
	if p.dialing || p.links > 0 {
		return
	}
	p.dialing = true
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		n.dialLoop(p)
	}()
}

// dialLoop dials until a link is open or no message waits any more.
func (n *Node) dialLoop(p *peer) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = n.limits.backoff
	delays.MaxInterval = n.limits.longest
	for {
		err := n.dial(p)
		if err == nil {
			return
		}
		n.reg.Count("ferry.dial_failed")
		n.log.Debug().Str("peer", string(p.id)).Err(err).Msg("ferry: dial failed")
		if errors.Is(err, errWrongMember) {
			// A member ID names one run of a process, so it never comes back.
			n.dropQueued(p, "wrong_member", time.Time{})
		}
		select {
		case <-n.clock.After(delays.NextBackOff()):
		case <-n.ctx.Done():
			n.dropQueued(p, "closed", time.Time{})
		}
		n.dropQueued(p, "expired", n.clock.Now().Add(-n.limits.age))
		if n.endDial(p) {
			return
		}
	}
}

// endDial ends dialing if nothing waits for the peer or a link is open.
func (n *Node) endDial(p *peer) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closed && p.links == 0 && len(p.queue) > 0 {
		return false
	}
	p.dialing = false
	n.forget(p)
	return true
}

// forget removes a peer that is not in use; the caller holds the lock.
func (n *Node) forget(p *peer) {
	if !p.dialing && p.links == 0 && len(p.queue) == 0 && n.peers[p.id] == p {
		delete(n.peers, p.id)
	}
}

// dropQueued drops the messages queued up to the given time; the zero time
// drops all. It leaves the messages alone while a link sends them.
func (n *Node) dropQueued(p *peer, reason string, until time.Time) {
	select {
	case <-p.turn:
	default:
		return
	}
	defer func() { p.turn <- struct{}{} }()
	var kept []queued
	for count := len(p.queue); count > 0; count-- {
		q := <-p.queue
		if until.IsZero() || !q.at.After(until) {
			n.reg.Count("ferry.dropped." + reason)
			continue
		}
		kept = append(kept, q)
	}
	for _, q := range kept {
		select {
		case p.queue <- q:
		default:
			n.reg.Count("ferry.dropped.ring_full")
		}
	}
}

// dial opens a link and leaves it to its two goroutines.
func (n *Node) dial(p *peer) error {
	ctx, cancel := context.WithTimeout(n.ctx, n.limits.handshake)
	defer cancel()
	var raw *batchConn
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			raw = &batchConn{Conn: c, write: n.limits.write, idle: n.limits.idle}
			return raw, nil
		},
	}
	ws, _, err := websocket.Dial(ctx, "ws://"+p.id.Address()+path, &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport},
	})
	if err != nil {
		transport.CloseIdleConnections()
		return err
	}
	if err := n.greet(ctx, ws, p.id); err != nil {
		ws.CloseNow()
		return err
	}
	n.open(&link{node: n, peer: p, ws: ws, conn: raw, dialed: true})
	return nil
}

// greet sends the own hello message and checks the answer.
func (n *Node) greet(ctx context.Context, ws *websocket.Conn, want order.MemberID) error {
	if err := n.sendHello(ctx, ws); err != nil {
		return err
	}
	hello, err := n.readHello(ctx, ws)
	if err != nil {
		return err
	}
	if hello.Member() != want {
		return errWrongMember
	}
	return nil
}
