package transport

import (
	"bytes"
	"context"
	"errors"
	"net"
	"time"

	"github.com/coder/websocket"

	"chervilhollow/order"
)

// link is one open connection to a peer.
type link struct {
	node   *Node
	peer   *peer
	ws     *websocket.Conn
	conn   *batchConn
	dialed bool
	done   chan struct{}
}

// maxReusedBuffer is the size of the largest read buffer, in bytes, that a link
// reuses for the next frame.
const maxReusedBuffer = 64 << 10

// open registers the link and starts its reader and writer.
func (n *Node) open(l *link) {
	l.done = make(chan struct{})
	l.ws.SetReadLimit(int64(n.limits.maxFrame))
	l.conn.active.Store(true)
	replaced, ok := n.register(l)
	if !ok {
		l.ws.CloseNow()
		return
	}
	if replaced != nil {
		replaced.ws.CloseNow()
	}
	n.reg.Count("ferry.links_opened")
	go l.read()
	go l.write()
}

// register adds the link to its peer and reports the first link of a peer to
// the handler. A peer that dials again has lost its earlier link, so the new
// accepted link replaces that one.
func (n *Node) register(l *link) (replaced *link, ok bool) {
	n.notices.Lock()
	defer n.notices.Unlock()
	replaced, first, ok := n.addLink(l)
	if first {
		n.notifyLink(l.peer.id, true)
	}
	return replaced, ok
}

func (n *Node) addLink(l *link) (replaced *link, first, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, false, false
	}
	if l.dialed {
		l.peer.dialing = false
	} else {
		l.peer = n.peer(l.peer.id)
		replaced, l.peer.accepted = l.peer.accepted, l
	}
	l.peer.links++
	n.links[l] = struct{}{}
	n.wg.Add(2)
	return replaced, l.peer.links == 1, true
}

// unregister removes a link that has ended, and reports the last link of a peer
// to the handler.
func (n *Node) unregister(l *link) {
	n.notices.Lock()
	defer n.notices.Unlock()
	if n.removeLink(l) {
		n.notifyLink(l.peer.id, false)
	}
}

// removeLink removes a link and reports whether it was the peer's last one. If
// messages still wait for the peer, it is dialed again.
func (n *Node) removeLink(l *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := l.peer
	p.links--
	delete(n.links, l)
	if p.accepted == l {
		p.accepted = nil
	}
	last := p.links == 0
	if last && len(p.queue) > 0 && !n.closed {
		n.dialIfNeeded(p)
	}
	n.removeIfUnused(p)
	return last
}

// notifyLink calls the link handler.
func (n *Node) notifyLink(peer order.MemberID, up bool) {
	n.mu.Lock()
	handler := n.onLink
	n.mu.Unlock()
	if handler != nil {
		handler(peer, up)
	}
}

func (l *link) read() {
	defer l.node.wg.Done()
	defer l.node.unregister(l)
	defer close(l.done)
	defer l.ws.CloseNow()
	var buffer bytes.Buffer
	for {
		m, err := l.readMsg(&buffer)
		if err != nil {
			l.node.linkEnded(l.peer.id, err)
			return
		}
		if m != nil {
			l.node.deliver(l.peer.id, m)
		}
	}
}

// readMsg returns the next message, or nil for a keep-alive frame, for a message
// that only a newer version can decode, and for one with an invalid body.
func (l *link) readMsg(buffer *bytes.Buffer) (order.Msg, error) {
	kind, r, err := l.ws.Reader(context.Background())
	if err != nil {
		return nil, err
	}
	if kind != websocket.MessageBinary {
		return nil, errNotBinary
	}
	if buffer.Cap() > maxReusedBuffer {
		*buffer = bytes.Buffer{}
	}
	buffer.Reset()
	if _, err := buffer.ReadFrom(r); err != nil {
		return nil, err
	}
	if buffer.Len() == 0 {
		return nil, nil
	}
	m, err := order.Decode(buffer.Bytes())
	var unknown *order.UnknownMessageError
	var invalid *order.InvalidMessageError
	switch {
	case errors.As(err, &unknown):
		l.node.reg.Count("ferry.dropped.unknown_message")
		return nil, nil
	case errors.As(err, &invalid):
		l.node.reg.Count("ferry.dropped.invalid_message")
		l.node.log.Warn().Err(err).Str("peer", string(l.peer.id)).Msg("ferry: message dropped")
		return nil, nil
	case err != nil:
		l.node.reg.Count("ferry.refused.garbage")
	}
	return m, err
}

// linkEnded counts and logs why a link ended.
func (n *Node) linkEnded(peer order.MemberID, err error) {
	reason := "closed"
	var timeout net.Error
	switch {
	case n.ctx.Err() != nil:
	case errors.Is(err, websocket.ErrMessageTooBig):
		reason = "oversized"
	case errors.As(err, &timeout) && timeout.Timeout():
		reason = "idle"
	}
	n.reg.Count("ferry.link_ended." + reason)
	n.log.Debug().Str("peer", string(peer)).Err(err).Msg("ferry: link ended")
}

// write sends the queued messages and the keep-alive frames until the link
// ends.
func (l *link) write() {
	defer l.node.wg.Done()
	defer l.ws.CloseNow()
	ticks := l.node.clock.Subscribe(l.node.limits.idle / keepAlivesPerIdle)
	defer ticks.Close()
	if !l.awaitSendToken(ticks.C()) {
		return
	}
	defer func() { l.peer.sendToken <- struct{}{} }()
	for {
		select {
		case q := <-l.peer.queue:
			if err := l.writeBatch(q); err != nil {
				l.node.reg.Count("ferry.write_failed")
				return
			}
		case <-ticks.C():
			if l.keepAlive() != nil {
				return
			}
		case <-l.done:
			return
		case <-l.node.ctx.Done():
			l.drain()
			return
		}
	}
}

// awaitSendToken sends only keep-alive frames until the link gets the peer's
// send token. It reports false if the link ends before.
func (l *link) awaitSendToken(ticks <-chan time.Time) bool {
	for {
		select {
		case <-l.peer.sendToken:
			return true
		case <-ticks:
			if l.keepAlive() != nil {
				return false
			}
		case <-l.done:
			return false
		case <-l.node.ctx.Done():
			// A link that opened just before Close still writes the queue.
			select {
			case <-l.peer.sendToken:
				return true
			default:
				return false
			}
		}
	}
}

func (l *link) keepAlive() error {
	return l.ws.Write(context.Background(), websocket.MessageBinary, nil)
}

// drain writes all queued messages, for Close.
func (l *link) drain() {
	for {
		select {
		case q := <-l.peer.queue:
			if l.writeBatch(q) != nil {
				return
			}
		default:
			return
		}
	}
}

// writeBatch writes the message and those queued after it in one flush, up to
// the batch limit.
func (l *link) writeBatch(q queuedMsg) error {
	l.conn.cork()
	count, sent, err := 0, 0, error(nil)
	oldest := l.node.clock.Now().Add(-l.node.limits.messageAge)
batch:
	for {
		var written bool
		if written, err = l.writeMsg(q, oldest); err != nil {
			sent++
			break
		}
		if written {
			sent++
		}
		if count++; count == l.node.limits.maxBatch {
			break
		}
		select {
		case q = <-l.peer.queue:
		default:
			break batch
		}
	}
	if flushErr := l.conn.flush(); err == nil {
		err = flushErr
	}
	if err != nil {
		l.node.reg.Add("ferry.dropped.link_lost", int64(sent))
		return err
	}
	l.node.reg.Add("ferry.sent", int64(sent))
	return nil
}

// writeMsg writes one message. It reports false if the message was dropped
// because it had expired, can't be encoded or is too large.
func (l *link) writeMsg(q queuedMsg, oldest time.Time) (bool, error) {
	if q.queuedAt.Before(oldest) {
		l.node.reg.Count("ferry.dropped.expired")
		return false, nil
	}
	data, err := order.Encode(q.msg)
	if err != nil {
		l.node.reg.Count("ferry.dropped.encode")
		l.node.log.Error().Err(err).Msg("ferry: message cannot be encoded")
		return false, nil
	}
	if len(data) > l.node.limits.maxFrame {
		l.node.reg.Count("ferry.dropped.oversized")
		l.node.log.Error().Int("bytes", len(data)).Str("peer", string(l.peer.id)).
			Msgf("ferry: %T exceeds the frame limit", q.msg)
		return false, nil
	}
	if err := l.ws.Write(context.Background(), websocket.MessageBinary, data); err != nil {
		return false, err
	}
	return true, nil
}
