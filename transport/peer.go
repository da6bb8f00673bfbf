package transport

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
	// peer is another process with its send queue. The lock of the node guards
	// the fields below sendToken.
	peer struct {
		id    order.MemberID
		queue chan queuedMsg

		// sendToken holds one token. Only the link whose writer has taken it sends
		// messages, so that two links to one peer can't reorder them.
		sendToken chan struct{}

		dialing  bool
		links    int
		accepted *link
	}

	// queuedMsg is a message in a send queue. It expires by the time it was
	// queued at.
	queuedMsg struct {
		msg      order.Msg
		queuedAt time.Time
	}
)

// peer returns the peer with the ID and adds it if it is new. The caller holds
// the lock.
func (n *Node) peer(id order.MemberID) *peer {
	p, ok := n.peers[id]
	if !ok {
		p = &peer{
			id:        id,
			queue:     make(chan queuedMsg, n.limits.queueLength),
			sendToken: make(chan struct{}, 1),
		}
		p.sendToken <- struct{}{}
		n.peers[id] = p
	}
	return p
}

// dialIfNeeded starts to dial a peer that has no link and is not being dialed.
// The caller holds the lock.
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

// dialLoop dials with backoff until a link is open or the send queue is empty.
func (n *Node) dialLoop(p *peer) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = n.limits.firstBackoff
	delays.MaxInterval = n.limits.longestBackoff
	for {
		err := n.dial(p)
		if err == nil {
			return
		}
		n.reg.Count("ferry.dial_failed")
		n.log.Debug().Str("peer", string(p.id)).Err(err).Msg("ferry: dial failed")
		if errors.Is(err, errWrongMember) {
			// A member ID names one run of a process, so no later process has
			// this one and its messages can be dropped.
			n.dropQueued(p, "wrong_member", time.Time{})
		}
		select {
		case <-n.clock.After(delays.NextBackOff()):
		case <-n.ctx.Done():
			n.dropQueued(p, "closed", time.Time{})
		}
		n.dropQueued(p, "expired", n.clock.Now().Add(-n.limits.messageAge))
		if n.endDial(p) {
			return
		}
	}
}

// endDial ends dialing if the send queue is empty, a link is open or the node
// is closed. It reports whether it did.
func (n *Node) endDial(p *peer) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closed && p.links == 0 && len(p.queue) > 0 {
		return false
	}
	p.dialing = false
	n.removeIfUnused(p)
	return true
}

// removeIfUnused removes a peer without links, dialer and queued messages. The
// caller holds the lock.
func (n *Node) removeIfUnused(p *peer) {
	if !p.dialing && p.links == 0 && len(p.queue) == 0 && n.peers[p.id] == p {
		delete(n.peers, p.id)
	}
}

// dropQueued drops the messages queued up to the given time, or all for the
// zero time. It does nothing while a link sends them.
func (n *Node) dropQueued(p *peer, reason string, upTo time.Time) {
	select {
	case <-p.sendToken:
	default:
		return
	}
	defer func() { p.sendToken <- struct{}{} }()
	var kept []queuedMsg
	for count := len(p.queue); count > 0; count-- {
		q := <-p.queue
		if upTo.IsZero() || !q.queuedAt.After(upTo) {
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

// dial connects to the peer and opens a link.
func (n *Node) dial(p *peer) error {
	ctx, cancel := context.WithTimeout(n.ctx, n.limits.handshake)
	defer cancel()
	var conn *batchConn
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			conn = &batchConn{Conn: c, write: n.limits.write, idle: n.limits.idle}
			return conn, nil
		},
	}
	ws, _, err := websocket.Dial(ctx, "ws://"+p.id.Address()+path, &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport},
	})
	if err != nil {
		transport.CloseIdleConnections()
		return err
	}
	if err := n.dialHandshake(ctx, ws, p.id); err != nil {
		ws.CloseNow()
		return err
	}
	n.open(&link{node: n, peer: p, ws: ws, conn: conn, dialed: true})
	return nil
}

// dialHandshake sends a hello message and checks that the answer is that of the
// wanted process.
func (n *Node) dialHandshake(ctx context.Context, ws *websocket.Conn, want order.MemberID) error {
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
