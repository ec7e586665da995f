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
	// quietLooks is how many looks in a row must find no request. On a host with a
	// seventh of a core, a request that had come 235 ms before was still unread;
	// each look lets what is waiting for the processor run.
	quietLooks = 4
)

// drain ends an HTTP server so that each request that has reached the process is
// answered. The library's own shutdown drops, without an answer, a request whose
// last byte it reads after the shutdown began: a caller sees its connection closed
// although the whole request had arrived. So connections are first waited for
// while the server still answers, and the library only closes idle ones.
type drain struct {
	mu    sync.Mutex
	conns map[net.Conn]http.ConnState
	busy  int // connections that are neither idle nor at their end
}

func newDrain() *drain {
	return &drain{conns: make(map[net.Conn]http.ConnState)}
}

// note takes the state of a connection; it is an http.Server's ConnState.
func (d *drain) note(c net.Conn, next http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if before, known := d.conns[c]; known && pending(before) {
		d.busy--
	}
	if next == http.StateClosed || next == http.StateHijacked {
		delete(d.conns, c)
		return
	}
	d.conns[c] = next
	if pending(next) {
		d.busy++
	}
}

// pending reports whether a request is being read or answered in a state, or may
// be: a new connection is opened for a request.
func pending(s http.ConnState) bool {
	return s == http.StateNew || s == http.StateActive
}

func (d *drain) pendingConns() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.busy
}

// end accepts no more connections, waits until all requests have been answered,
// and closes what is idle then. What is not answered when ctx ends is cut off and
// returned as an error.
func (d *drain) end(ctx context.Context, ln net.Listener, srv *http.Server) error {
	if err := ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	for quiet := 0; quiet < quietLooks; {
		if err := wait.For(ctx, drainLook); err != nil {
			break // the library returns the error, with what is left
		}
		quiet++
		if d.pendingConns() > 0 {
			quiet = 0
		}
	}
	return srv.Shutdown(ctx)
}
