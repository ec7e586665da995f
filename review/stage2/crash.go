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
)

// Load and times of handOverCrash.
const (
	crashJobs     = 144
	crashItems    = 200 // the most items of a job
	crashClients  = 4   // that submit jobs
	keptPerEntry  = 6   // kept connections of online callers
	rollTime      = 72 * time.Second
	rollGap       = 2000 * time.Millisecond // from when an entry is ready again
	restartDelay  = 300 * time.Millisecond
	rolled        = 6 // entries that are restarted in turn; the others are never signalled
	maxUnanswered = 3
)

// keptCall is one request on a kept connection that got no answer.
type keptCall struct {
	id    string
	entry int
	at    time.Time
}

// handOverCrash restarts six entries in turn by SIGTERM, one at a time, while jobs wait. The
// other two run undisturbed. Each entry that is in touch counts.
func handOverCrash(s *stage, trouble bool) (int, error) {
	if err := s.configure("plain", "batch"); err != nil {
		return failed, err
	}
	for n := range 9 {
		if err := s.addTarget(fmt.Sprintf("i-%08x", 0x7f3a91c2+n*0x01234567), 1, 250*time.Millisecond); err != nil {
			return failed, err
		}
	}
	for n := range 8 {
		if err := s.addEntry(fmt.Sprintf("edge-kakkanad-%d", n+1)); err != nil {
			return failed, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return failed, err
	}
	var submitting sync.WaitGroup
	for c := range crashClients {
		submitting.Go(func() {
			for i := c; i < crashJobs; i += crashClients {
				s.submit(newJob(fmt.Sprintf("7c41e09b%04x", i*2654435761>>7&0xffff), crashItems, 300), i, 6)
			}
		})
	}
	submitting.Wait()
	stop := make(chan struct{})
	var running sync.WaitGroup
	var mu sync.Mutex
	var unanswered []keptCall
	answered := 0
	for n := range s.entries {
		for c := range keptPerEntry {
			running.Go(func() {
				ok, bad := s.callKept(n, c, stop)
				mu.Lock()
				defer mu.Unlock()
				answered += ok
				unanswered = append(unanswered, bad...)
			})
		}
	}
	running.Go(func() { s.watchEnds(stop) })
	for end, n := time.Now().Add(rollTime), 0; time.Now().Before(end); n++ {
		if trouble {
			if err := s.roll(s.entries[n%rolled]); err != nil {
				return failed, err
			}
		}
		time.Sleep(rollGap)
	}
	close(stop)
	running.Wait()
	return judgeCrash(s, answered, unanswered), nil
}

// roll restarts an entry by SIGTERM, unless it is being started, and waits until it is ready.
func (s *stage) roll(e *entry) error {
	e.mu.Lock()
	if e.signalled || time.Since(e.startedAt) < contact {
		e.mu.Unlock()
		return nil
	}
	e.signalled, e.touched = true, time.Now()
	_ = e.cmd.Process.Signal(syscall.SIGTERM) // fails only if it has just ended
	done := e.done
	e.mu.Unlock()
	s.logf("SIGTERM to %s", e.name)
	<-done
	time.Sleep(restartDelay)
	e.mu.Lock()
	err := s.restart(e)
	e.touched = time.Now()
	e.mu.Unlock()
	if err != nil {
		return err
	}
	for until := time.Now().Add(startTimeout); !s.isReady(e); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			return fmt.Errorf("%s is not ready", e.name)
		}
	}
	return nil
}

// inTouch reports whether neither a signal nor a start after one has disturbed the entry for
// ContactMs. An entry that ended by itself counts as running.
func (e *entry) inTouch() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.signalled && time.Since(e.touched) > contact
}

// watchEnds counts the entries that end by themselves and starts them again, as the platform does.
func (s *stage) watchEnds(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, e := range s.entries {
			e.mu.Lock()
			select {
			case <-e.done:
				if !e.signalled {
					e.ends++
					s.logf("%s ended by itself: %s, %.1f s after its start", e.name, e.cmd.ProcessState, time.Since(e.startedAt).Seconds())
					time.Sleep(restartDelay)
					if err := s.restart(e); err != nil {
						s.logf("%s not restarted: %v", e.name, err)
					}
				}
			default:
			}
			e.mu.Unlock()
		}
	}
}

// callKept sends requests on one kept connection to entry n, one after the other, and opens another
// connection when it is closed. It returns the number of answers, and the requests on a used
// connection that was closed without one.
func (s *stage) callKept(n, c int, stop chan struct{}) (answered int, unanswered []keptCall) {
	e := s.entries[n]
	var conn net.Conn
	var in *bufio.Reader
	used := false
	for k := 0; ; k++ {
		select {
		case <-stop:
			if conn != nil {
				_ = conn.Close() // nothing waits on it
			}
			return answered, unanswered
		default:
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", e.callers, time.Second); err != nil {
				conn = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
			in, used = bufio.NewReader(conn), false
		}
		id := fmt.Sprintf("%02x%02x%06x", n, c, k)
		sent := time.Now()
		_ = conn.SetDeadline(sent.Add(6 * time.Second)) // a connection that fails shows next
		_, err := fmt.Fprintf(conn, "POST /kalo370/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 5000\r\n%s: 450,34\r\nContent-Length: 1\r\n\r\nb", virtualHost, names.RequestID, id, names.Deadline, names.Tokens)
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(in, nil)
		}
		if err != nil {
			if used && e.inTouch() {
				unanswered = append(unanswered, keptCall{id, n, time.Now()})
			}
			s.logf("%s to %s, sent %.0f ms ago on a connection used before %v: no answer, %v", id, e.name, float64(time.Since(sent).Milliseconds()), used, err)
			_ = conn.Close() // it has failed
			conn = nil
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close() // it was read to its end
		if err != nil || resp.Close {
			_ = conn.Close() // it ends here
			conn = nil
		}
		if resp.StatusCode == http.StatusOK && strings.Contains(string(body), id) {
			answered++
		} else {
			time.Sleep(50 * time.Millisecond) // refused
		}
		used = true
	}
}

// judgeCrash judges the rule LOST: a machine in touch passes a request from a kept connection on to
// a sound target and closes that connection without an answer, more than three times.
func judgeCrash(s *stage, answered int, unanswered []keptCall) int {
	runs := s.runs()
	lost := make(map[int]int)
	for _, u := range unanswered {
		if len(runs[u.id]) > 0 {
			lost[u.entry]++
		}
	}
	ends, code := 0, held
	for n, e := range s.entries {
		ends += e.ends
		if e.ends > 0 || lost[n] > 0 {
			s.logf("%s ended by itself %d times; %d requests that a target ran got no answer", e.name, e.ends, lost[n])
		}
		if lost[n] > maxUnanswered {
			code = broken
		}
	}
	s.logf("%d ends of entries by themselves; %d requests answered on kept connections, %d not", ends, answered, len(unanswered))
	return code
}
