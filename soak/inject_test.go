package soak

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startEcho starts an echo server and returns its address.
func startEcho(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				// The error only says how the connection ended.
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a soak test that passes only because its proxies inject no
// faults. Each kind of impairment must show on an echo connection.
func TestProxyImpairs(t *testing.T) {
	is := is.New(t)
	p, err := newProxy("127.0.0.1:0", startEcho(t))
	is.NoErr(err)
	defer p.close()
	c, err := net.Dial("tcp", p.address())
	is.NoErr(err)
	defer c.Close()
	roundTrip := func(wait time.Duration) error {
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 1))
		return err
	}
	const shortWait, longWait = 100 * time.Millisecond, 2 * time.Second
	var timeout net.Error
	is.NoErr(roundTrip(longWait))
	for _, fault := range []impairment{{cutToServer: true}, {cutToClient: true}, {delay: 2 * shortWait}} {
		p.setImpairment(fault)
		is.True(errors.As(roundTrip(shortWait), &timeout) && timeout.Timeout())
		p.setImpairment(impairment{})
		is.NoErr(c.SetReadDeadline(time.Now().Add(longWait)))
		_, err := c.Read(make([]byte, 1)) // delayed bytes arrive after the impairment ends
		is.NoErr(err)
	}
	p.reset()
	is.True(roundTrip(longWait) != nil)
	p.setImpairment(impairment{refuse: true})
	d, err := net.Dial("tcp", p.address())
	if err == nil {
		defer d.Close()
		_, err = d.Read(make([]byte, 1))
	}
	is.True(err != nil)
	p.setImpairment(impairment{})
	p.closeListener()
	_, err = net.Dial("tcp", p.address())
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	is.NoErr(p.reopenListener())
	c, err = net.Dial("tcp", p.address())
	is.NoErr(err)
	defer c.Close()
	is.NoErr(roundTrip(longWait))
}
