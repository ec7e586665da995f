package netx

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Tracked is a connection that tells whether its peer has ended it or reset it. The system reports a
// reset to one call only: if that is a write, reads see the end of the peer's data, as if it were
// complete.
type Tracked struct {
	net.Conn
	writing     chan struct{} // capacity 1; held during a write
	writeFailed atomic.Bool
	reset       atomic.Bool
}

// writeEndTimeout bounds the wait for a write in progress at the end of the peer's data. It ends at once
// on a connection that was reset.
const writeEndTimeout = 100 * time.Millisecond

// TrackedDialer returns a function that dials like Dialer and returns a *Tracked.
func TrackedDialer(timeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := Dialer(timeout)
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return Track(conn), nil
	}
}

// Track returns conn as a Tracked, which replaces it.
func Track(conn net.Conn) *Tracked {
	return &Tracked{Conn: conn, writing: make(chan struct{}, 1)}
}

// Write implements net.Conn.
func (c *Tracked) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// Read implements net.Conn.
func (c *Tracked) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		c.awaitWrite()
		c.reset.Store(c.writeFailed.Load())
	}
	return n, err
}

// awaitWrite waits for the end of a write in progress.
func (c *Tracked) awaitWrite() {
	timeout := time.NewTimer(writeEndTimeout)
	defer timeout.Stop()
	select {
	case c.writing <- struct{}{}:
		<-c.writing
	case <-timeout.C: // the peer still takes data
	}
}

// WasReset reports whether the connection was reset when a read returned io.EOF.
func (c *Tracked) WasReset() bool { return c.reset.Load() }
