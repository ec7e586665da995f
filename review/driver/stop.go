package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"pumiceford/platform/platformtest"
)

// Figures of the case: each client sends two requests on one connection, the second one when
// the first is answered. All are within the client's time budget and the route's TimeoutMs.
const (
	stopClients    = 4
	stopEvents     = 34
	stopPause      = 118 * time.Millisecond
	budget         = 5 * time.Second
	beforeTerm     = 300 * time.Millisecond // from the first request to SIGTERM
	excusedBefore  = 3 * time.Second        // after SIGTERM: requests sent later are not excused
	termCounts     = graceS + time.Second   // after SIGTERM: until then it is planned work
	connectTimeout = time.Second
)

// answer is how one request ended for its client.
type answer struct {
	id       string
	sent     time.Time
	ended    time.Time
	status   int
	closing  bool // the response said that the connection closes
	complete bool
	err      error
}

// playStop sends an entry SIGTERM while clients have streams on kept connections.
func playStop(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 2, 4, 8, stopEvents, stopPause)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	e := f.entries[0]
	var clients sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for c := range stopClients {
		clients.Go(func() {
			for _, a := range sendTwo(rec, e.callers, c) {
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	time.Sleep(beforeTerm)
	term := time.Now()
	if trouble {
		rec.logf("SIGTERM to %s", e.name)
		e.signal(syscall.SIGTERM)
		go func() {
			time.Sleep(graceS)
			select {
			case <-e.done:
			default:
				rec.logf("GraceS is over: SIGKILL to %s", e.name)
				e.signal(syscall.SIGKILL)
			}
		}()
		go func() {
			<-e.done
			rec.logf("%s has exited, %.3f s after SIGTERM", e.name, time.Since(term).Seconds())
		}()
	}
	clients.Wait()
	time.Sleep(time.Second)
	reached := make(map[string]bool)
	for _, r := range f.runs() {
		reached[r.ID] = true
		rec.logf("target ran %s: begun at %.3f s, %d of %d events sent", r.ID, r.Started.Sub(rec.began).Seconds(), r.EventsSent, stopEvents)
	}
	lost := 0
	for _, a := range answers {
		after := a.sent.Sub(term)
		if a.complete || !reached[a.id] || a.ended.Sub(a.sent) >= budget || a.ended.Sub(term) > termCounts {
			continue
		}
		if after <= excusedBefore {
			rec.logf("%s: not judged, sent %.3f s after SIGTERM", a.id, after.Seconds())
			continue
		}
		lost++
		rec.logf("LOST: %s was sent %.3f s after SIGTERM, passed on to a target, and its connection ended without a complete answer after %.3f s of its %s",
			a.id, after.Seconds(), a.ended.Sub(a.sent).Seconds(), budget)
	}
	return lost > 0, nil
}

// sendTwo sends two requests on one connection, the second one as soon as the first is answered.
func sendTwo(rec *record, addr string, client int) (out []answer) {
	conn, err := net.DialTimeout("tcp", addr, connectTimeout)
	if err != nil {
		rec.logf("client %d: no connection: %v", client, err)
		return nil
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for n := range 2 {
		a := send(rec, conn, in, fmt.Sprintf("%08x%08x", client+1, n+1))
		out = append(out, a)
		if !a.complete || a.closing {
			break
		}
	}
	return out
}

// send sends one request and reads its answer.
func send(rec *record, conn net.Conn, in *bufio.Reader, id string) answer {
	const body = "what does the rule say?"
	a := answer{id: id, sent: time.Now()}
	rec.logf("client sends %s", id)
	_, a.err = fmt.Fprintf(conn, names.StreamRequest, virtualHost, id, budget.Milliseconds(), len(body), body)
	var data []byte
	if a.err == nil {
		_ = conn.SetReadDeadline(a.sent.Add(budget + time.Second)) // fails only on a closed connection
		var resp *http.Response
		if resp, a.err = http.ReadResponse(in, nil); a.err == nil {
			a.status, a.closing = resp.StatusCode, resp.Close
			data, a.err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
	}
	a.ended = time.Now()
	a.complete = a.err == nil && (a.status != http.StatusOK || string(data) == wholeStream(id))
	rec.logf("client: %s ends after %.3f s: status %d, %d events, complete %t, Connection: close %t, error %v",
		id, a.ended.Sub(a.sent).Seconds(), a.status, strings.Count(string(data), "\n\n"), a.complete, a.closing, a.err)
	return a
}

// wholeStream returns the body of a complete stream.
func wholeStream(id string) string {
	var b strings.Builder
	for n := range stopEvents {
		b.WriteString(platformtest.Event(id, n+1))
	}
	return b.String()
}
