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

// drained runs fn with a server that is to be drained, and returns when it ended.
func drained(t *testing.T, fn func(t *testing.T, ln *pipeListener, end func(bound time.Duration) error)) {
	synctest.Test(t, func(t *testing.T) {
		ln, d := newPipeListener(), newDrain()
		srv := &http.Server{ConnState: d.note, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "whole") // the test reads it
		})}
		served := make(chan error, 1)
		go func() { served <- srv.Serve(ln) }()
		fn(t, ln, func(bound time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), bound)
			defer cancel()
			return d.end(ctx, ln, srv)
		})
		_ = srv.Close() // ends what a test left open
		<-served
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

const (
	firstHalf  = "GET / HTTP/1.1\r\nHost: a\r\n"
	secondHalf = "Connection: close\r\n\r\n"
)

// Symptom: during a planned stop a connection is closed although the whole request
// had arrived on it.
// Sequence: a request reaches a host with little processor time just before it
// stops; its last bytes are read after the server's shutdown began.
// Cause: the library drops what it reads after that, without an answer.
func TestARequestReadDuringTheStopIsAnswered(t *testing.T) {
	drained(t, func(t *testing.T, ln *pipeListener, end func(time.Duration) error) {
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

// A kept connection is served until it has been quiet, and closed then; a caller
// that never ends its request is not waited for beyond the bound.
func TestADrainEnds(t *testing.T) {
	drained(t, func(t *testing.T, ln *pipeListener, end func(time.Duration) error) {
		kept, began := ln.dial(), time.Now()
		if _, err := io.WriteString(kept, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if got := answerOf(t, kept); got != "whole" {
			t.Fatalf("answered %q", got)
		}
		if err := end(5 * time.Second); err != nil || time.Since(began) > time.Second {
			t.Fatalf("%v after %s", err, time.Since(began))
		}
	})
	drained(t, func(t *testing.T, ln *pipeListener, end func(time.Duration) error) {
		c := ln.dial()
		if _, err := io.WriteString(c, firstHalf); err != nil {
			t.Fatal(err)
		}
		if err := end(2 * time.Second); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got %v", err)
		}
	})
}
