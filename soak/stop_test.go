package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that SIGHUP ends, with its open calls, while it
// stops.
func TestHangupWhileStopping(t *testing.T) {
	is := is.New(t)
	program, err := buildHost(t.TempDir())
	is.NoErr(err)
	subnet := fmt.Sprintf("127.%d.%d", 100+os.Getpid()%100, lastSubnet.Add(1))
	c, err := newCluster(t.TempDir(), program, subnet, 1, 1)
	t.Cleanup(c.close)
	is.NoErr(err)
	h := c.hosts[0]
	request := "GET /proofs/ HTTP/1.1\r\nHost: a\r\n\r\n"
	is.NoErr(h.signal(syscall.SIGTERM))
	var arriving net.Conn
	for {
		// A header must arrive within 3 s, which the drain delay nearly takes.
		next, err := net.Dial("tcp", h.callerProxy.target)
		if err != nil {
			break
		}
		t.Cleanup(func() { next.Close() })
		_, err = io.WriteString(next, request[:20])
		is.NoErr(err)
		arriving = next
		time.Sleep(50 * time.Millisecond)
	}
	is.True(arriving != nil)
	is.NoErr(h.signal(syscall.SIGHUP))
	_, err = io.Copy(arriving, strings.NewReader(request[20:]))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(arriving), nil)
	is.NoErr(err)
	response.Body.Close()
	ended := make(chan error, 1)
	go func() { ended <- h.awaitExit(stopTimeout) }()
	for {
		select {
		case err := <-ended:
			is.NoErr(err)
			return
		case <-time.After(time.Millisecond):
			// It fails once the process has ended.
			_ = h.signal(syscall.SIGHUP)
		}
	}
}
