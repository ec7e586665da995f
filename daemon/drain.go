package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/internal/wait"
)

// Intervals of a connection drain.
const (
	// drainPollInterval is the delay between two checks of the open connections.
	drainPollInterval = 50 * time.Millisecond
	// idleGrace is how long a connection has to be idle before it is closed. On the
	// smallest hosts a request that has arrived stays unread for longer than one poll
	// interval; several polls give its reader time to be scheduled.
	idleGrace = 200 * time.Millisecond
	// newConnGrace is how long a new connection may take to complete its first request
	// header: callers open connections in order to send a request.
	newConnGrace = 2 * time.Second
)

// connDrainer shuts an HTTP server down so that each request that has reached the
// process is answered. http.Server.Shutdown drops a request whose last byte it reads
// after the shutdown began: the caller sees its connection closed without a response
// although the complete request had arrived. connDrainer therefore closes each
// connection once it is idle, while the server still serves, and calls Shutdown last.
type connDrainer struct {
	mu    sync.Mutex // never held during I/O
	conns map[net.Conn]*trackedConn
}

// trackedConn is one open connection.
type trackedConn struct {
	state   http.ConnState
	since   time.Time
	expired bool // the read deadline has been set to end reads at once
}

func newConnDrainer() *connDrainer {
	return &connDrainer{conns: make(map[net.Conn]*trackedConn)}
}

// trackState records the state of a connection. It is the http.Server's ConnState hook.
func (d *connDrainer) trackState(c net.Conn, next http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if next == http.StateClosed || next == http.StateHijacked {
		delete(d.conns, c)
		return
	}
	s := d.conns[c]
	if s == nil {
		s = &trackedConn{}
		d.conns[c] = s
	}
	if s.expired {
		// A request was read just before the deadline. It is answered; with the deadline
		// left in place the server would treat its caller as disconnected.
		_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	s.state, s.since, s.expired = next, time.Now(), false
}

// expireIdle ends the connections that are idle or that have not sent a request within
// newConnGrace. It returns the number of open connections.
func (d *connDrainer) expireIdle(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c, s := range d.conns {
		idle := s.state == http.StateIdle && now.Sub(s.since) >= idleGrace
		unused := s.state == http.StateNew && now.Sub(s.since) >= newConnGrace
		if idle || unused {
			// The server closes the connection when its read ends. Closing it here could
			// cut off a request that is being read at this moment.
			s.expired = true
			_ = c.SetReadDeadline(now) // fails only on a closed connection
		}
	}
	return len(d.conns)
}

// shutdown stops accepting connections and closes each open one once it is idle.
// Requests that are unanswered when ctx ends are cut off, and an error is returned.
func (d *connDrainer) shutdown(ctx context.Context, ln net.Listener, srv *http.Server) error {
	if err := ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	for d.expireIdle(time.Now()) > 0 {
		if err := wait.For(ctx, drainPollInterval); err != nil {
			break // Shutdown returns the error if connections are left
		}
	}
	return srv.Shutdown(ctx)
}
