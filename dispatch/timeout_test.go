package dispatch

import (
	"net"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against connections on which the kernel still transmits a start after
// the standby's promise to the owner has expired.
func TestConnectionsHaveUserTimeout(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	conn, err := newDialer().Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	value := 0
	is.NoErr(raw.Control(func(fd uintptr) {
		value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	is.NoErr(err)
	is.Equal(value, 500)
}
