package link

import (
	"net"
	"sync"
)

// muxConn is the connection below a yamux session. When a session ends, yamux wakes the readers of
// all streams before its receive loop has ended, and they use a whole core until it has. With a
// muxConn the receive loop always ends first.
type muxConn struct {
	net.Conn
	ended chan struct{} // closed once nothing more is read
	end   func()
}

func newMuxConn(conn net.Conn) *muxConn {
	ended := make(chan struct{})
	return &muxConn{Conn: conn, ended: ended, end: sync.OnceFunc(func() { close(ended) })}
}

// Read implements net.Conn. After a failure it closes the connection.
func (c *muxConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.shutdown() // Close would wait for a Write in progress
		c.end()
	}
	return n, err
}

// Write implements net.Conn. After a failure it closes the connection and returns once the receive
// loop has seen that.
func (c *muxConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.shutdown()
		<-c.ended
	}
	return n, err
}

// Close implements net.Conn. The session calls it once it has begun to end.
func (c *muxConn) Close() error {
	c.end()
	return c.Conn.Close()
}

// shutdown ends the session by way of its receive loop.
func (c *muxConn) shutdown() {
	// Close fails only on a connection that is already closed.
	_ = c.Conn.Close()
}
