package transport

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/http"

	"github.com/coder/websocket"

	"chervilhollow/order"
)

const (
	maxHeaderBytes = 8 << 10

	// maxHelloBytes limits, in bytes, how much this process reads from one that
	// has not sent the peer secret yet.
	maxHelloBytes = 4 << 10
)

func (n *Node) server() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, n.accept)
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: n.limits.handshake,
		IdleTimeout:       n.limits.idle,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withConn,
	}
}

func (n *Node) accept(w http.ResponseWriter, r *http.Request) {
	conn := connOf(r)
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		n.reg.Count("ferry.refused.upgrade")
		return
	}
	// Closing the server doesn't wait for hijacked connections, so the
	// handshake runs on a goroutine that Close of the node waits for.
	if !n.start(func() { n.acceptHandshake(ws, conn) }) {
		ws.CloseNow()
	}
}

// acceptHandshake checks the hello message of a dialing peer, answers it and
// opens the link.
func (n *Node) acceptHandshake(ws *websocket.Conn, conn *batchConn) {
	ctx, cancel := context.WithTimeout(n.ctx, n.limits.handshake)
	defer cancel()
	hello, err := n.readHello(ctx, ws)
	if err == nil {
		err = n.sendHello(ctx, ws)
	}
	if err != nil {
		n.reg.Count("ferry.refused." + refusalReason(err))
		n.log.Warn().Str("address", conn.RemoteAddr().String()).Err(err).Msg("ferry: link refused")
		ws.CloseNow()
		return
	}
	n.open(&link{node: n, peer: &peer{id: hello.Member()}, ws: ws, conn: conn})
}

// refusalReason returns the name of the reason in the metrics.
func refusalReason(err error) string {
	switch {
	case errors.Is(err, errSecret):
		return "secret"
	case errors.Is(err, errVersion):
		return "version"
	}
	return "hello"
}

func (n *Node) sendHello(ctx context.Context, ws *websocket.Conn) error {
	data, err := order.Encode(order.HelloMsg{}.
		WithMember(n.self).
		WithRole(n.role).
		WithDomain(n.domain).
		WithSecret(n.secret).
		WithVersion(protocolVersion))
	if err != nil {
		return err
	}
	return ws.Write(ctx, websocket.MessageBinary, data)
}

// readHello returns the first message of a link, or an error if it is not a
// valid hello message.
func (n *Node) readHello(ctx context.Context, ws *websocket.Conn) (order.HelloMsg, error) {
	ws.SetReadLimit(maxHelloBytes)
	_, r, err := ws.Reader(ctx)
	if err != nil {
		return order.HelloMsg{}, err
	}
	var buffer bytes.Buffer
	if _, err := buffer.ReadFrom(r); err != nil {
		return order.HelloMsg{}, err
	}
	m, err := order.Decode(buffer.Bytes())
	if err != nil {
		return order.HelloMsg{}, err
	}
	hello, ok := m.(order.HelloMsg)
	if !ok {
		return order.HelloMsg{}, errNoHello
	}
	return hello, n.checkHello(hello)
}

func (n *Node) checkHello(hello order.HelloMsg) error {
	secret := sha256.Sum256([]byte(hello.Secret()))
	switch {
	case subtle.ConstantTimeCompare(secret[:], n.secretHash[:]) != 1:
		return errSecret
	case hello.Version() != protocolVersion:
		return errVersion
	case hello.Member() == "":
		return errNoHello
	}
	return nil
}
