package soak

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echo returns the address of a server that sends back what it gets.
func echo(t *testing.T) string {
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
				// The copy ends with the connection.
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a soak that passes because its proxies impair nothing.
func TestProxyImpairs(t *testing.T) {
	is := is.New(t)
	p, err := newProxy("127.0.0.1:0", echo(t))
	is.NoErr(err)
	defer p.close()
	c, err := net.Dial("tcp", p.address())
	is.NoErr(err)
	defer c.Close()
	ask := func(wait time.Duration) error {
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 1))
		return err
	}
	const soon, late = 100 * time.Millisecond, 2 * time.Second
	var timeout net.Error
	is.NoErr(ask(late))
	for _, cut := range []impairment{{cutForth: true}, {cutBack: true}, {delay: 2 * soon}} {
		p.set(cut)
		is.True(errors.As(ask(soon), &timeout) && timeout.Timeout())
		p.set(impairment{})
		is.NoErr(c.SetReadDeadline(time.Now().Add(late)))
		_, err := c.Read(make([]byte, 1)) // what was cut comes when the cut ends
		is.NoErr(err)
	}
	p.reset()
	is.True(ask(late) != nil)
	p.set(impairment{refuse: true})
	d, err := net.Dial("tcp", p.address())
	if err == nil {
		defer d.Close()
		_, err = d.Read(make([]byte, 1))
	}
	is.True(err != nil)
}
