package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

type object map[string]any

// Network knows which places cannot reach each other. A place is a zone, or a
// worker's ID for a cut of that worker alone.
type Network struct {
	mu     sync.Mutex
	cuts   []func(a, b string) bool
	healed chan struct{}
	pids   map[int]string
	ttls   map[int64]int64
	conns  map[*conn]bool
	opened []*listener
}

var errCut = errors.New("connection lost in a partition")

func newNetwork() *Network {
	return &Network{healed: make(chan struct{}), pids: make(map[int]string), ttls: make(map[int64]int64), conns: make(map[*conn]bool)}
}

// cut begins a partition: no byte passes between two places for which the
// function is true.
func (n *Network) cut(separated func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = append(n.cuts, separated)
}

// heal ends all partitions. Connections across them are closed, and what was
// sent on them meanwhile is lost.
func (n *Network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = nil
	close(n.healed)
	n.healed = make(chan struct{})
}

// separated reports whether a partition is between the places, and the channel
// that is closed when it ends.
func (n *Network) separated(a, b string) (bool, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.cuts {
		if c(a, b) || c(b, a) {
			return true, n.healed
		}
	}
	return false, nil
}

// reset ends the connections to a place whose process has crashed. The other
// side sees it with the next bytes, and not before the end of a partition.
func (n *Network) reset(place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.to == place {
			n.conns[c] = true
		}
	}
}

// close ends the servers at a place and their connections.
func (n *Network) close(place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.opened {
		if l.place == place {
			l.Listener.Close()
		}
	}
	for c := range n.conns {
		if c.to == place {
			c.Conn.Close()
		}
	}
}

func (n *Network) setTTL(lease, ttl int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ttls[lease] = ttl
}

func (n *Network) ttl(lease int64) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ttls[lease]
}

// addProcess records in which zone a process runs.
func (n *Network) addProcess(pid int, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pids[pid] = zone
}

// zoneOf returns the zone of the process at the other end of an accepted
// connection, or an empty string if none of the started processes has it.
func (n *Network) zoneOf(c net.Conn) string {
	remote, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return ""
	}
	ip := remote.IP.To4()
	address := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], remote.Port)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	inode := ""
	for _, line := range strings.Split(string(table), "\n") {
		if f := strings.Fields(line); len(f) > 9 && f[1] == address {
			inode = "socket:[" + f[9] + "]"
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for pid, zone := range n.pids {
		dir := fmt.Sprintf("/proc/%d/fd", pid)
		entries, _ := os.ReadDir(dir)
		for _, e := range entries {
			if target, err := os.Readlink(dir + "/" + e.Name()); err == nil && target == inode {
				return zone
			}
		}
	}
	return ""
}

// listener accepts connections to a server at a place.
type listener struct {
	net.Listener
	network *Network
	place   string
}

// lookups is how often the process of a connection is looked up: the kernel's
// table is not read in one piece, so that a line may be missed.
const lookups = 5

// Accept implements net.Listener. A connection of an unknown process is closed.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &conn{Conn: c, network: l.network, to: l.place, known: make(chan struct{})}
	l.network.mu.Lock()
	l.network.conns[accepted] = false
	l.network.mu.Unlock()
	go func() {
		defer close(accepted.known)
		for try := 0; accepted.from == "" && try < lookups; try++ {
			accepted.from = l.network.zoneOf(c)
		}
		if accepted.from == "" {
			accepted.Close()
		}
	}()
	return accepted, nil
}

// conn is a connection that a partition can cut.
type conn struct {
	net.Conn
	network *Network
	to      string

	// from is the zone of the process at the other end, once known is closed.
	from  string
	known chan struct{}
}

// pass waits for the end of a partition and then fails, as it does after a
// reset. Otherwise it returns nil.
func (c *conn) pass() error {
	<-c.known
	cut, healed := c.network.separated(c.from, c.to)
	if cut {
		<-healed
	}
	c.network.mu.Lock()
	dead := c.network.conns[c]
	c.network.mu.Unlock()
	if !cut && !dead {
		return nil
	}
	c.Close()
	return errCut
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if cutErr := c.pass(); cutErr != nil {
		return 0, cutErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.pass(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// serve serves HTTP at a place until the process ends.
func (n *Network) serve(address, place string, handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	opened := &listener{l, n, place}
	n.mu.Lock()
	n.opened = append(n.opened, opened)
	n.mu.Unlock()
	go http.Serve(opened, handler)
	return l.Addr().String(), nil
}

// forward forwards connections to a process at a place.
func (n *Network) forward(from, to, place string) error {
	l, err := net.Listen("tcp", from)
	if err != nil {
		return err
	}
	cuttable := &listener{l, n, place}
	go func() {
		for {
			in, err := cuttable.Accept()
			if err != nil {
				return
			}
			go func() {
				defer in.Close()
				out, err := net.DialTimeout("tcp", to, time.Second)
				if err != nil {
					return
				}
				defer out.Close()
				done := make(chan struct{}, 2)
				copyBytes := func(dst io.Writer, src io.Reader) {
					_, _ = io.Copy(dst, src)
					done <- struct{}{}
				}
				go copyBytes(out, in)
				go copyBytes(in, out)
				<-done
			}()
		}
	}()
	return nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
