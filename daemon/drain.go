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

// Times of a drain.
const (
	// drainLook is left between looks at the open connections.
	drainLook = 50 * time.Millisecond
	// idleRests is how long a connection has to be idle before it is closed. On the
	// smallest hosts a request that has come stays unread for longer; some looks let what
	// is waiting for the processor run.
	idleRests = 200 * time.Millisecond
	// newRests is how long a new connection may take to the end of its first header:
	// callers open them for a request.
	newRests = 2 * time.Second
)

// drain ends an HTTP server so that each request that has reached the process is
// answered. The library's own shutdown drops, without an answer, a request whose
// last byte it reads after the shutdown began: a caller sees its connection closed
// although the whole request had arrived. So connections end here while the server
// still answers, each when it is idle, and the library only has to stop.
type drain struct {
	mu    sync.Mutex // held for memory only
	conns map[net.Conn]*drained
}

// drained is one open connection.
type drained struct {
	state   http.ConnState
	since   time.Time
	expired bool // its reads end at once
}

func newDrain() *drain {
	return &drain{conns: make(map[net.Conn]*drained)}
}

// note takes the state of a connection; it is an http.Server's ConnState.
func (d *drain) note(c net.Conn, next http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if next == http.StateClosed || next == http.StateHijacked {
		delete(d.conns, c)
		return
	}
	s := d.conns[c]
	if s == nil {
		s = &drained{}
		d.conns[c] = s
	}
	if s.expired {
		// A request was read just before: it is answered, and its caller must not be
		// taken for one that has gone.
		_ = c.SetReadDeadline(time.Time{}) // fails only when it is closed
	}
	s.state, s.since, s.expired = next, time.Now(), false
}

// expire ends the connections on which nothing is read, answered or awaited, and
// returns how many are left.
func (d *drain) expire(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c, s := range d.conns {
		idle := s.state == http.StateIdle && now.Sub(s.since) >= idleRests
		unused := s.state == http.StateNew && now.Sub(s.since) >= newRests
		if idle || unused {
			// The server closes it when its read ends. To close it here could cut off a
			// request that was read this very moment.
			s.expired = true
			_ = c.SetReadDeadline(now) // fails only when it is closed
		}
	}
	return len(d.conns)
}

// end accepts no more connections and ends each that is open once it is idle.
// What is not answered when ctx ends is cut off and returned as an error.
func (d *drain) end(ctx context.Context, ln net.Listener, srv *http.Server) error {
	if err := ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	for d.expire(time.Now()) > 0 {
		if err := wait.For(ctx, drainLook); err != nil {
			break // the library returns the error, with what is left
		}
	}
	return srv.Shutdown(ctx)
}
