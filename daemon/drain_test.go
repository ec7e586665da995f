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

// withServer runs fn with a server that is to be drained, and returns when it ended.
func withServer(t *testing.T, fn func(t *testing.T, ln *pipeListener, end func(bound time.Duration) error)) {
	synctest.Test(t, func(t *testing.T) {
		ln, d := newPipeListener(), newDrain()
		srv := &http.Server{ConnState: d.note, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(answerTakes):
				_, _ = io.WriteString(w, "whole") // the test reads it
			case <-r.Context().Done():
				t.Error("the caller was taken for one that has gone")
			}
		})}
		served := make(chan error, 1)
		go func() { served <- srv.Serve(ln) }()
		fn(t, ln, func(bound time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), bound)
			defer cancel()
			return d.end(ctx, ln, srv)
		})
		_ = srv.Close() // ends what a test left open
		if err := <-served; !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("the server ended with %v", err)
		}
	})
}

func answerOf(t *testing.T, c net.Conn) string {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("the connection was closed without an answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func ask(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
}

const (
	answerTakes = 700 * time.Millisecond
	request     = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	firstHalf   = "GET / HTTP/1.1\r\nHost: a\r\n"
	secondHalf  = "Connection: close\r\n\r\n"
)

// Symptom: during a planned stop a connection is closed although the whole request
// had arrived on it.
// Sequence: a request reaches a host with little processor time just before it
// stops; its last bytes are read after the server's shutdown began.
// Cause: the library drops what it reads after that, without an answer.
func TestARequestReadDuringTheStopIsAnswered(t *testing.T) {
	withServer(t, func(t *testing.T, ln *pipeListener, end func(time.Duration) error) {
		c := ln.dial()
		if _, err := io.WriteString(c, firstHalf); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- end(5 * time.Second) }()
		time.Sleep(time.Second)
		if _, err := io.WriteString(c, secondHalf); err != nil {
			t.Fatalf("the connection was closed: %v", err)
		}
		if got := answerOf(t, c); got != "whole" {
			t.Fatalf("answered %q", got)
		}
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	})
}

// Symptom: streams are cut off by a planned stop seven seconds after its beginning.
// Sequence: callers hold many idle connections and use one after the other, so
// that at each moment some request is being answered.
// Cause: idle connections were only closed once nothing was being answered.
func TestIdleConnectionsDoNotHoldUpTheStop(t *testing.T) {
	withServer(t, func(t *testing.T, ln *pipeListener, end func(time.Duration) error) {
		const kept, every, bound = 30, 200 * time.Millisecond, 4 * time.Second
		var conns []net.Conn
		for range kept {
			c := ln.dial()
			ask(t, c)
			if got := answerOf(t, c); got != "whole" {
				t.Fatalf("answered %q", got)
			}
			conns = append(conns, c)
		}
		ended := make(chan error, 1)
		go func() { ended <- end(bound) }()
		for _, c := range conns {
			time.Sleep(every)
			if _, err := io.WriteString(c, request); err != nil {
				break // closed while it was idle
			}
			if got := answerOf(t, c); got != "whole" {
				t.Fatalf("answered %q", got)
			}
		}
		if err := <-ended; err != nil {
			t.Fatalf("requests were cut off: %v", err)
		}
	})
}

// A kept connection is closed once it has been idle; a caller that does not end its
// request is waited for a while and not beyond the bound.
func TestADrainEnds(t *testing.T) {
	withServer(t, func(t *testing.T, ln *pipeListener, end func(time.Duration) error) {
		kept := ln.dial()
		ask(t, kept)
		if got := answerOf(t, kept); got != "whole" {
			t.Fatalf("answered %q", got)
		}
		began := time.Now()
		if err := end(5 * time.Second); err != nil || time.Since(began) > time.Second {
			t.Fatalf("%v after %s", err, time.Since(began))
		}
	})
	withServer(t, func(t *testing.T, ln *pipeListener, end func(time.Duration) error) {
		c := ln.dial()
		if _, err := io.WriteString(c, firstHalf); err != nil {
			t.Fatal(err)
		}
		if err := end(newRests / 2); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got %v", err)
		}
	})
	withServer(t, func(t *testing.T, ln *pipeListener, end func(time.Duration) error) {
		c := ln.dial()
		if _, err := io.WriteString(c, firstHalf); err != nil {
			t.Fatal(err)
		}
		if err := end(2 * newRests); err != nil {
			t.Fatal(err)
		}
	})
}
