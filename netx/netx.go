// Package netx dials TCP connections that detect an unresponsive peer. A connection can
// stop delivering data for good without a reset while new connections work; only keep-alive
// probes and a limit on unacknowledged data detect that.
package netx

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits after which the kernel closes an unresponsive connection.
const (
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
	// maxUnacked is how long sent data may stay unacknowledged. One packet loss and its
	// retransmission take about 400 ms.
	maxUnacked = 2 * time.Second
)

// Dialer returns a dialer with keep-alive probes and a limit on unacknowledged data. The
// timeout bounds connecting.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT to maxUnacked on a new socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxUnacked.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Dial connects to addr over TCP with the default timeout. It can be used as a
// link.DialFunc.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	return Dialer(dialTimeout).DialContext(ctx, "tcp", addr)
}

// dialTimeout bounds connecting. It leaves time for one retransmission of the first packet,
// which follows after 1 s.
const dialTimeout = 1500 * time.Millisecond

// CloseUnread closes a connection with a reset, which tells the peer that nothing was read.
func CloseUnread(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close() // nothing was written that could be lost
}
