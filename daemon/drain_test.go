package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// pipeListener accepts connections in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

// withServer runs fn with a server and a function that drains it within a time limit. It
// returns once the server has stopped.
func withServer(t *testing.T, fn func(t *testing.T, ln *pipeListener, drain func(limit time.Duration) error)) {
	synctest.Test(t, func(t *testing.T) {
		ln, d := newPipeListener(), newConnDrainer()
		srv := &http.Server{ConnState: d.trackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(responseDelay):
				_, _ = io.WriteString(w, "whole") // the test reads it
			case <-r.Context().Done():
				t.Error("the request context was cancelled as if the caller had disconnected")
			}
		})}
		served := make(chan error, 1)
		go func() { served <- srv.Serve(ln) }()
		fn(t, ln, func(limit time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			return d.shutdown(ctx, ln, srv)
		})
		_ = srv.Close() // closes connections that a test left open
		if err := <-served; !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("Serve returned %v, want net.ErrClosed or http.ErrServerClosed", err)
		}
	})
}

func readResponse(t *testing.T, c net.Conn) string {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("connection closed without a response: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func sendRequest(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
}

const (
	responseDelay = 700 * time.Millisecond
	request       = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	firstHalf     = "GET / HTTP/1.1\r\nHost: a\r\n"
	secondHalf    = "Connection: close\r\n\r\n"
)

// Guards against a shutdown that closes a connection on which a complete request has
// arrived. On a host with little processor time the last bytes of a request may be read
// after the shutdown began; http.Server.Shutdown drops such a request without a response.
func TestAnswersRequestReadDuringShutdown(t *testing.T) {
	withServer(t, func(t *testing.T, ln *pipeListener, drain func(time.Duration) error) {
		c := ln.dial()
		if _, err := io.WriteString(c, firstHalf); err != nil {
			t.Fatal(err)
		}
		drained := make(chan error, 1)
		go func() { drained <- drain(5 * time.Second) }()
		time.Sleep(time.Second)
		if _, err := io.WriteString(c, secondHalf); err != nil {
			t.Fatalf("connection closed before the request was complete: %v", err)
		}
		if got := readResponse(t, c); got != "whole" {
			t.Fatalf("got response body %q, want \"whole\"", got)
		}
		if err := <-drained; err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a shutdown that reaches its deadline and cuts off streams. Callers hold
// many idle connections and use one after the other, so that some request is always in
// progress. A drain that closes idle connections only when no request is in progress then
// never closes any: streams were cut off 7 s after the shutdown began.
func TestIdleConnectionsDoNotDelayShutdown(t *testing.T) {
	withServer(t, func(t *testing.T, ln *pipeListener, drain func(time.Duration) error) {
		const idleConns, interval, limit = 30, 200 * time.Millisecond, 4 * time.Second
		var conns []net.Conn
		for range idleConns {
			c := ln.dial()
			sendRequest(t, c)
			if got := readResponse(t, c); got != "whole" {
				t.Fatalf("got response body %q, want \"whole\"", got)
			}
			conns = append(conns, c)
		}
		drained := make(chan error, 1)
		go func() { drained <- drain(limit) }()
		for _, c := range conns {
			time.Sleep(interval)
			if _, err := io.WriteString(c, request); err != nil {
				break // closed while it was idle
			}
			if got := readResponse(t, c); got != "whole" {
				t.Fatalf("got response body %q, want \"whole\"", got)
			}
		}
		if err := <-drained; err != nil {
			t.Fatalf("requests were cut off: %v", err)
		}
	})
}

// A keep-alive connection is closed once it has been idle. A connection with an incomplete
// request is closed after newConnGrace; a drain with a shorter limit reports the timeout.
func TestDrainTerminates(t *testing.T) {
	withServer(t, func(t *testing.T, ln *pipeListener, drain func(time.Duration) error) {
		c := ln.dial()
		sendRequest(t, c)
		if got := readResponse(t, c); got != "whole" {
			t.Fatalf("got response body %q, want \"whole\"", got)
		}
		start := time.Now()
		if err := drain(5 * time.Second); err != nil || time.Since(start) > time.Second {
			t.Fatalf("drain returned %v after %s, want nil within 1 s", err, time.Since(start))
		}
	})
	withServer(t, func(t *testing.T, ln *pipeListener, drain func(time.Duration) error) {
		c := ln.dial()
		if _, err := io.WriteString(c, firstHalf); err != nil {
			t.Fatal(err)
		}
		if err := drain(newConnGrace / 2); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("drain returned %v, want a timeout", err)
		}
	})
	withServer(t, func(t *testing.T, ln *pipeListener, drain func(time.Duration) error) {
		c := ln.dial()
		if _, err := io.WriteString(c, firstHalf); err != nil {
			t.Fatal(err)
		}
		if err := drain(2 * newConnGrace); err != nil {
			t.Fatal(err)
		}
	})
}
