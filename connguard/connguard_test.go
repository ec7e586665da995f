package connguard_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"pumiceford/connguard"
	"pumiceford/intake"
	"pumiceford/logging"
	"pumiceford/metrics"
)

// pipeListener accepts connections in memory.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.done); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// serve starts a server that answers each request with its body, in a bubble.
func serve(t *testing.T, limits intake.Limits) *pipeListener {
	guard := connguard.New(connguard.Config{
		Name: "callers", Limits: limits, BufferBytes: connguard.HTTPBufferBytes, Factor: connguard.HTTPFactor,
		Timeouts: func() intake.Timeouts {
			return intake.Timeouts{Header: 3 * time.Second, Stall: 10 * time.Second, Idle: 10 * time.Second}
		},
		MaxHeaderBytes: func() int { return 16 << 10 },
		Refusal:        func(err error) []byte { return connguard.HTTPRefusal(err, time.Second) },
		Log:            logging.New(logging.Settings{Writer: io.Discard}), Metrics: metrics.New("test"),
	})
	ln := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	srv := &http.Server{ConnContext: connguard.NewContext, Handler: guard.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connguard.FromContext(r.Context())
		body, err := connguard.ReadBody(r.Context(), c, r.Body, r.ContentLength, 1<<20)
		if err == nil {
			err = c.Serve()
		}
		if err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, err.Error())
			return
		}
		_, _ = w.Write(body)
	}))}
	go func() { _ = srv.Serve(guard.Listener(ln)) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln
}

// exchange sends text on a connection and returns the status and body of the response, 0 and "" if
// the connection ends without one.
func exchange(conn net.Conn, text string) (int, string) {
	go func() { _, _ = io.WriteString(conn, text) }()
	return response(conn)
}

func response(conn net.Conn) (int, string) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

var roomy = intake.Limits{Bytes: 4 << 20, Conns: 100, ConnBytes: 8 << 10}

// Guards against requests within the limits that are refused or changed: any framing, several on one
// connection.
func TestSoundRequestsPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := serve(t, roomy)
		conn := ln.dial()
		defer func() { _ = conn.Close() }()
		large := strings.Repeat("b", 200<<10)
		for _, c := range []struct{ text, want string }{
			{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello", "hello"},
			{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", ""},
			{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n32000\r\n" + large + "\r\n0\r\n\r\n", large},
			{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 204800\r\n\r\n" + large, large},
			{"POST / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 15<<10) + "\r\nContent-Length: 1\r\n\r\nz", "z"},
		} {
			if status, body := exchange(conn, c.text); status != 200 || body != c.want {
				t.Fatalf("%.60q: status %d, %d bytes, want 200 with %d", c.text, status, len(body), len(c.want))
			}
		}
	})
}

// Guards against requests that end early without a true response: one that has not run has to say
// so, and the connection ends.
func TestRequestsThatEndEarly(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\n"
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"header over the limit":   {head + strings.Repeat("X: "+strings.Repeat("x", 1000)+"\r\n", 40), http.StatusRequestHeaderFieldsTooLarge},
		"header without end":      {head, http.StatusRequestTimeout},
		"body short of its end":   {head + "Content-Length: 10\r\n\r\nhell", http.StatusServiceUnavailable},
		"chunks without end":      {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhell\r\n", http.StatusServiceUnavailable},
		"body larger than memory": {head + "Content-Length: 1000000\r\n\r\n", http.StatusServiceUnavailable},
		"silent connection":       {"", 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn := serve(t, intake.Limits{Bytes: 1 << 20, Conns: 100, ConnBytes: 8 << 10}).dial()
				defer func() { _ = conn.Close() }()
				if status, body := exchange(conn, c.text); status != c.status {
					t.Errorf("status %d, body %q, want %d", status, body, c.status)
				}
			})
		})
	}
}

// Guards against a client that waits for memory for ever, and against one that waits in vain though
// another's request ends.
func TestWaitForMemory(t *testing.T) {
	const half = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 400000\r\n\r\n"
	body := strings.Repeat("b", 400000)
	synctest.Test(t, func(t *testing.T) {
		ln := serve(t, intake.Limits{Bytes: 1 << 20, Conns: 100, ConnBytes: 8 << 10})
		first, second := ln.dial(), ln.dial()
		defer func() { _, _ = first.Close(), second.Close() }()
		go func() { _, _ = io.WriteString(first, half+body[1:]) }()
		synctest.Wait()
		go func() { _, _ = io.WriteString(second, half+body) }()
		time.Sleep(200 * time.Millisecond)
		if status, got := exchange(first, "b"); status != 200 || len(got) != len(body) {
			t.Errorf("first upload: status %d, %d bytes", status, len(got))
		}
		if status, got := response(second); status != 200 || got != body {
			t.Errorf("upload that waited: status %d, %d bytes", status, len(got))
		}
	})
}

// Guards against a wait that does not end while other connections are busy.
func TestWaitEndsBesideTraffic(t *testing.T) {
	const size = 400000
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	synctest.Test(t, func(t *testing.T) {
		ln := serve(t, intake.Limits{Bytes: 1 << 20, Conns: 100, ConnBytes: 8 << 10})
		steady, waiting, busy := ln.dial(), ln.dial(), ln.dial()
		defer func() { _, _, _ = steady.Close(), waiting.Close(), busy.Close() }()
		go func() {
			_, _ = io.WriteString(steady, head)
			for range size / 20000 {
				_, _ = io.WriteString(steady, strings.Repeat("b", 20000))
				time.Sleep(100 * time.Millisecond)
			}
		}()
		go func() {
			for range 50 {
				if status, _ := exchange(busy, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); status != 200 {
					t.Errorf("small request: status %d", status)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
		time.Sleep(100 * time.Millisecond)
		begun := time.Now()
		if status, _ := exchange(waiting, head); status != http.StatusServiceUnavailable || time.Since(begun) > time.Second {
			t.Errorf("status %d after %s, want a refusal within a second", status, time.Since(begun))
		}
		time.Sleep(3 * time.Second)
	})
}

// Guards against a request that runs, or is refused for good, although its connection was evicted
// between its last byte and its handler.
func TestEvictedRequestsDoNotBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const conns = 16
		guard := connguard.New(connguard.Config{Name: "callers", Limits: intake.Limits{Bytes: 1 << 20, Conns: conns, ConnBytes: 8 << 10}, BufferBytes: 4 << 10, Factor: 1, Metrics: metrics.New("test")})
		ln := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		guarded := guard.Listener(ln)
		var all []*connguard.Conn
		accept := func() {
			go ln.dial()
			c, err := guarded.Accept()
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, c.(*connguard.Conn))
		}
		for range conns - 1 {
			accept()
		}
		time.Sleep(600 * time.Millisecond) // all lag
		accept()
		evicted := 0
		for n, c := range all {
			err := c.BeginRequest(n%2 == 0)
			if err == nil {
				err = c.Serve()
			}
			var ended *connguard.Error
			if errors.As(err, &ended) && !ended.TimedOut() {
				evicted++
			} else if err != nil {
				t.Errorf("request on connection %d: %v", n, err)
			}
			_ = c.Close()
		}
		if evicted == 0 {
			t.Error("no request was refused")
		}
		time.Sleep(time.Minute)
	})
}

// soundRequest draws a request with the given body.
func soundRequest(t *rapid.T, body string) string {
	head := "POST / HTTP/1.1\r\nHost: h\r\n"
	if filler := rapid.IntRange(0, 15<<10).Draw(t, "header"); filler > 0 {
		head += "X: " + strings.Repeat("x", filler) + "\r\n"
	}
	if !rapid.Bool().Draw(t, "chunked") {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	text := head + "Transfer-Encoding: chunked\r\n\r\n"
	for len(body) > 0 {
		n := rapid.IntRange(1, len(body)).Draw(t, "chunk")
		text += fmt.Sprintf("%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return text + "0\r\n\r\n"
}

// Guards against limits that change, refuse or lose sound requests, in whatever pieces they arrive and
// however many there are on a connection.
func TestSoundRequestsPassInAnyPieces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var texts, bodies []string
		for range rapid.IntRange(1, 4).Draw(rt, "requests") {
			body := strings.Repeat(rapid.SampledFrom([]string{"a", "\r\n", "0\r\n\r\n"}).Draw(rt, "content"), rapid.IntRange(0, 40000).Draw(rt, "size"))
			bodies = append(bodies, body)
			texts = append(texts, soundRequest(rt, body))
		}
		piece := rapid.IntRange(700, 70000).Draw(rt, "piece")
		pause := rapid.SampledFrom([]time.Duration{0, time.Millisecond, 20 * time.Millisecond}).Draw(rt, "pause")
		synctest.Test(t, func(t *testing.T) {
			conn := serve(t, roomy).dial()
			defer func() { _ = conn.Close() }()
			var sending sync.WaitGroup
			defer sending.Wait()
			sending.Go(func() {
				for _, text := range texts {
					for len(text) > 0 {
						n := min(piece, len(text))
						if _, err := io.WriteString(conn, text[:n]); err != nil {
							return
						}
						text = text[n:]
						time.Sleep(pause)
					}
				}
			})
			in := bufio.NewReader(conn)
			for n, want := range bodies {
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatalf("response %d: %v", n, err)
				}
				got, err := io.ReadAll(resp.Body)
				if err != nil || resp.StatusCode != http.StatusOK || string(got) != want {
					t.Fatalf("response %d: status %d, %d bytes, error %v, want %d bytes", n, resp.StatusCode, len(got), err, len(want))
				}
			}
		})
	})
}
