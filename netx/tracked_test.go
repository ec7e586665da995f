package netx_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/netx"
)

// stubConn is a connection whose peer's data has ended.
type stubConn struct {
	net.Conn
	writeTakes time.Duration
	writeErr   error
}

func (*stubConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *stubConn) Write(p []byte) (int, error) {
	time.Sleep(c.writeTakes)
	return len(p), c.writeErr
}

// Guards against a reset that is reported to a write only and taken for the end of the peer's data by a
// read, and against a write that is merely slow and taken for a reset.
func TestTrackedTellsResetFromEnd(t *testing.T) {
	for name, c := range map[string]struct {
		conn  stubConn
		reset bool
	}{
		"write succeeds":               {stubConn{}, false},
		"write fails before the end":   {stubConn{writeErr: syscall.ECONNRESET}, true},
		"write fails beside the end":   {stubConn{writeErr: syscall.EPIPE, writeTakes: 50 * time.Millisecond}, true},
		"write goes on beside the end": {stubConn{writeErr: syscall.EPIPE, writeTakes: time.Hour}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn := netx.Track(&c.conn)
				go func() { _, _ = conn.Write([]byte("request")) }()
				synctest.Wait()
				defer time.Sleep(2 * time.Hour) // until the write has ended
				if _, err := conn.Read(nil); !errors.Is(err, io.EOF) || conn.WasReset() != c.reset {
					t.Errorf("error %v, reset %t, want EOF and %t", err, conn.WasReset(), c.reset)
				}
			})
		})
	}
}

// Guards against connections to targets that are not tracked.
func TestTrackedDialer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	conn, err := netx.TrackedDialer(time.Second)(context.Background(), "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, ok := conn.(*netx.Tracked); !ok {
		t.Errorf("dialled %T", conn)
	}
}
