package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/gateway"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/settings"
	"chervilhollow/sheet"
	"chervilhollow/simulator"
	"chervilhollow/storage"
	"chervilhollow/timers"
	"chervilhollow/transport"
)

type (
	// testCluster is a store and one process that owns all request partitions
	// and responds to submissions.
	testCluster struct {
		t             testing.TB
		storeServer   *httptest.Server
		memoryStore   *storage.Memory
		editor        *sheet.Editor
		placer        *transport.Node
		holdResponses atomic.Bool
		mu            sync.Mutex
		heldResponses map[order.RequestID]func()
	}

	// testGate is a running gate with its addresses.
	testGate struct {
		gate   *gateway.Gate
		caller string
		admin  string
		done   chan error
	}
)

const peerSecret = "0123456789abcdef"

func newTestCluster(t testing.TB) *testCluster {
	is := is.New(t)
	storeServer := simulator.NewStore(timers.New())
	c := &testCluster{t: t, storeServer: httptest.NewServer(storeServer), memoryStore: storeServer.Memory(),
		heldResponses: make(map[order.RequestID]func())}
	t.Cleanup(func() {
		c.storeServer.CloseClientConnections()
		c.storeServer.Close()
	})
	c.editor = sheet.NewEditor(c.memoryStore, timers.New())
	c.editConfig(sheet.SetTeam(sheet.NewTeam("toys", 1, 10)), sheet.AddKey(sheet.NewKey(sheet.HashKey("toys-key"), "toys")))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	id := order.NewMemberID(l.Addr().String())
	c.placer = transport.New(id, order.RolePlacer, "east", peerSecret, timers.New(), gauge.New(zerolog.Nop()), zerolog.Nop())
	c.placer.OnMessage(c.handle)
	go c.placer.Serve(l)
	t.Cleanup(c.placer.Close)
	for n := range order.RequestPartitions {
		key := "partition/" + string(order.RequestPartitionAt(n))
		_, err := c.memoryStore.Swap(context.Background(), key, 0, []byte(fmt.Sprintf(`{"owner":%q,"epoch":1}`, id)), 0)
		is.NoErr(err)
	}
	return c
}

func (c *testCluster) editConfig(edits ...sheet.Edit) {
	c.t.Helper()
	_, err := c.editor.Edit(context.Background(), func(*sheet.Config) ([]sheet.Edit, error) { return edits, nil })
	if err != nil {
		c.t.Fatal(err)
	}
}

// handle responds to each submission with its payload, or delays the response
// until sendHeld is called.
func (c *testCluster) handle(from order.MemberID, m order.Msg) {
	s, ok := m.(order.SubmitMsg)
	if !ok {
		return
	}
	r := s.Request()
	_ = c.placer.Send(from, order.AcceptedMsg{}.WithTeam(r.Team()).WithRequest(r.ID()).WithSequence(s.Sequence()))
	respond := func() {
		_ = c.placer.Send(from, order.AnswerMsg{}.
			WithTeam(r.Team()).WithRequest(r.ID()).WithSequence(s.Sequence()).
			WithFinal(true).WithState(order.RequestDone).
			WithBody(r.Payload()).WithLength(len(r.Payload())).WithChecksum(xxhash.Sum64(r.Payload())))
	}
	if !c.holdResponses.Load() {
		respond()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// The gate resends submissions.
	c.heldResponses[r.ID()] = respond
}

func (c *testCluster) heldCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.heldResponses)
}

func (c *testCluster) sendHeld() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, respond := range c.heldResponses {
		respond()
	}
	clear(c.heldResponses)
}

// freeAddresses returns addresses that differ from each other, which those of
// several calls may not.
func freeAddresses(t testing.TB, count int) []string {
	t.Helper()
	addresses := make([]string, 0, count)
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

func (c *testCluster) startGate(limits ...string) *testGate {
	t := c.t
	t.Helper()
	is := is.New(t)
	limits = append(limits, `"drain_delay": "100ms", "stop_linger": "200ms", "stop_timeout": "20s"`)
	addresses := freeAddresses(t, 3)
	g := &testGate{caller: addresses[0], admin: addresses[1], done: make(chan error, 1)}
	cfg, err := settings.ParseGate("gate.json", []byte(fmt.Sprintf(`{
		"peer_address": %q, "caller_address": %q, "admin_address": %q,
		"failure_domain": "east", "store_url": %q, "host_list_url": %q, "peer_secret": %q,
		"limits": {%s}
	}`, addresses[2], g.caller, g.admin, c.storeServer.URL, c.storeServer.URL, peerSecret, strings.Join(limits, ", "))))
	is.NoErr(err)
	g.gate, err = gateway.NewGate(cfg, timers.New(), zerolog.Nop())
	is.NoErr(err)
	go func() { g.done <- g.gate.Run() }()
	t.Cleanup(func() {
		g.gate.Stop()
		http.DefaultClient.CloseIdleConnections()
	})
	eventually(t, "readiness", func() bool { return g.gate.Ready() == nil })
	return g
}

func (g *testGate) submit(t *testing.T, key, payload string) (int, order.Code, string) {
	t.Helper()
	encoded, _ := json.Marshal([]byte(payload))
	body := fmt.Sprintf(`{"kind":"batch","cores":1,"memory_mb":1,"payload":%s}`, encoded)
	r, err := http.NewRequest(http.MethodPost, "http://"+g.caller+"/v1/requests", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Errorf("call failed: %v", err)
		return 0, order.Internal, ""
	}
	defer response.Body.Close()
	var a struct {
		Code   order.Code `json:"code"`
		Result []byte     `json:"result"`
	}
	if err := json.NewDecoder(response.Body).Decode(&a); err != nil {
		t.Errorf("response incomplete: %v", err)
	}
	return response.StatusCode, a.Code, string(a.Result)
}

func (g *testGate) get(t *testing.T, path string) (int, string) {
	t.Helper()
	response, err := http.Get("http://" + g.admin + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(body))
}

// Guards against a gate whose components do not work together, and against a
// withdrawn key that stays valid.
func TestGate(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	g := c.startGate()
	status, code, result := g.submit(t, "toys-key", "tag")
	is.Equal(status, http.StatusOK)
	is.Equal(code, order.Done)
	is.Equal(result, "tag")
	status, body := g.get(t, "/v1/revision")
	is.Equal(status, http.StatusOK)
	is.Equal(body, `{"revision":1,"store_reachable":true}`)
	c.editConfig(sheet.WithdrawKey(sheet.NewKey(sheet.HashKey("toys-key"), "toys")))
	start := time.Now()
	eventually(t, "refusal of the withdrawn key", func() bool {
		_, code, _ := g.submit(t, "toys-key", "tag")
		return code == order.KeyWithdrawn
	})
	is.True(time.Since(start) < 3*time.Second)
	g.gate.Stop()
	is.NoErr(<-g.done)
}

// Guards against a planned stop that drops open requests, accepts new ones or
// does not report the gate as not ready.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	g := c.startGate()
	c.holdResponses.Store(true)
	const open = 20
	var wg sync.WaitGroup
	for n := range open {
		wg.Go(func() {
			payload := fmt.Sprintf("tag %d", n)
			if _, code, result := g.submit(t, "toys-key", payload); code != order.Done || result != payload {
				t.Errorf("open request got the response %s %q", code, result)
			}
		})
	}
	eventually(t, "open requests", func() bool { return c.heldCount() == open })
	is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	eventually(t, "unreadiness", func() bool { return g.gate.Ready() != nil })
	status, body := g.get(t, "/ready")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, "stopping")
	eventually(t, "refusal after the drain delay", func() bool {
		response, err := http.Get("http://" + g.caller + "/v1/requests/1")
		is.NoErr(err)
		response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
	status, code, _ := g.submit(t, "toys-key", "late")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(code, order.Stopping)
	select {
	case <-g.done:
		t.Fatal("the gate stopped with open requests")
	case <-time.After(300 * time.Millisecond):
	}
	c.sendHeld()
	wg.Wait()
	is.NoErr(<-g.done)
}

// Guards against a planned stop that closes a connection while the header of a
// request arrives.
func TestStopAnswersRequestThatIsArriving(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	g := c.startGate()
	request := "GET /v1/requests/1 HTTP/1.1\r\nHost: gate\r\n\r\n"
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", g.caller)
		is.NoErr(err)
		t.Cleanup(func() { conn.Close() })
		return conn, bufio.NewReader(conn)
	}
	exchange := func(conn net.Conn, reader *bufio.Reader, part string) int {
		_, err := io.WriteString(conn, part)
		is.NoErr(err)
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		defer response.Body.Close()
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode
	}
	idle, idleReader := dial()
	arriving, arrivingReader := dial()
	is.Equal(exchange(idle, idleReader, request), http.StatusUnauthorized)
	is.Equal(exchange(arriving, arrivingReader, request), http.StatusUnauthorized)
	_, err := io.WriteString(arriving, request[:20])
	is.NoErr(err)
	g.gate.Stop()
	_, err = idleReader.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(exchange(arriving, arrivingReader, request[20:]), http.StatusServiceUnavailable)
	is.NoErr(<-g.done)
}

// Guards against a gate that starts although one of its addresses is in use.
func TestAddressInUse(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	addresses := freeAddresses(t, 2)
	cfg, err := settings.ParseGate("gate.json", []byte(fmt.Sprintf(`{
		"peer_address": %q, "caller_address": %q, "admin_address": %q,
		"failure_domain": "east", "store_url": "http://127.0.0.1:1", "host_list_url": "http://127.0.0.1:1",
		"peer_secret": %q
	}`, addresses[0], l.Addr(), addresses[1], peerSecret)))
	is.NoErr(err)
	_, err = gateway.NewGate(cfg, timers.New(), zerolog.Nop())
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "caller_address"))
}
