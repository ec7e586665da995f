// Package netx dials TCP connections that notice a dead other end. A connection
// can go silent for good without a reset while new ones work; only probes of our
// own or a bound on unacknowledged data show it.
package netx

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of a silent connection.
const (
	probeIdle  = time.Second
	probeEvery = 500 * time.Millisecond
	probeCount = 2
	// unackedFor bounds how long sent data may stay unacknowledged. One loss and
	// its repeat take some 400 ms.
	unackedFor = 2 * time.Second
)

// Dialer returns a dialer for connections of a fleet.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount,
		},
		Control: boundUnacked,
	}
}

func boundUnacked(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedFor.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Dial is a DialFunc with the default bound on connecting.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	return Dialer(dialTimeout).DialContext(ctx, "tcp", addr)
}

// dialTimeout bounds connecting: the first packet and one repeat after a second.
const dialTimeout = 1500 * time.Millisecond
