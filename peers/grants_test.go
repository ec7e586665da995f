package peers_test

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pumiceford/link"
	"pumiceford/peers"
	"pumiceford/ratelimit"
)

// slowGranter is a process that grants whatever it is asked for, after a while.
type slowGranter struct {
	delay time.Duration
}

// Grant implements peers.Granter.
func (g slowGranter) Grant(a ratelimit.Ask) ratelimit.Reply {
	time.Sleep(g.delay)
	return ratelimit.Reply{Outcome: ratelimit.Granted, Granted: a.Want}
}

// askRepeatedly plays questions to a process that takes so long for each, and returns how many
// were answered, and how many sessions and messages they took.
func askRepeatedly(t *testing.T, takes time.Duration, questions int, every time.Duration) (answered, dials, writes int) {
	t.Helper()
	runtime.GC() // as in bubble
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		server := &peers.Server{Granter: slowGranter{takes}}
		var written atomic.Int64
		g := peers.NewGrants(link.Config{Dial: func(context.Context, string) (net.Conn, error) {
			dials++
			near, far := net.Pipe()
			go link.ServeConn(ctx, far, link.Config{Handle: server.Handle})
			return countingConn{near, &written}, nil
		}})
		defer g.Close()
		for i := range questions {
			one, stop := context.WithTimeout(ctx, 80*time.Millisecond)
			r := g.Ask(one, "there", ratelimit.Ask{Limit: ratelimit.Limit{Workspace: "w", Rate: 5}, Want: 1})
			stop()
			if r.Outcome == ratelimit.Granted {
				answered++
			}
			if i == questions-1 {
				// Before the sleep, whose end may coincide with a heartbeat.
				synctest.Wait()
				writes = int(written.Load())
			}
			time.Sleep(every)
		}
	})
	return answered, dials, writes
}

// countingConn counts what is written to a connection.
type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// Guards against a session that is opened anew every few seconds although questions go over
// it all the while.
func TestASessionForGrantsLasts(t *testing.T) {
	const questions = 40
	answered, dials, _ := askRepeatedly(t, 0, questions, 6*time.Second)
	if answered != questions || dials != 1 {
		t.Errorf("%d of %d answered over %d sessions", answered, questions, dials)
	}
}

// Guards against a host that is slow for a moment and then spends all of its time on opening
// sessions, because each late answer has cost it one.
func TestLateAnswersCostFewSessions(t *testing.T) {
	const questions, each = 40, 100 * time.Millisecond
	const most = 1 + questions*each/(1500*time.Millisecond)
	if _, dials, _ := askRepeatedly(t, 150*time.Millisecond, questions, 20*time.Millisecond); dials > int(most) {
		t.Errorf("%d sessions for %d late answers", dials, questions)
	}
}

// Guards against questions that each bring a heartbeat with them.
func TestAQuestionBringsNoHeartbeat(t *testing.T) {
	const questions = 100
	_, _, few := askRepeatedly(t, 0, 1, time.Second)
	_, _, many := askRepeatedly(t, 0, questions, time.Second)
	const perQuestion = 4 + 1 // of the stream: begin, question in two, end; and a heartbeat in two each two seconds
	if each := float64(many-few) / (questions - 1); each > perQuestion {
		t.Errorf("%.1f writes a question", each)
	}
}

// Guards against questions that go unanswered for as long as a connection is silent, where a
// new one works.
func TestASilentSessionForGrantsIsReplaced(t *testing.T) {
	runtime.GC() // as in bubble
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		server := &peers.Server{Granter: slowGranter{}}
		var silent *atomic.Bool // of the newest connection
		g := peers.NewGrants(link.Config{Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			silent = &atomic.Bool{}
			go link.ServeConn(ctx, far, link.Config{Handle: server.Handle})
			return droppingConn{near, silent}, nil
		}})
		defer g.Close()
		ask := func() bool {
			one, stop := context.WithTimeout(ctx, 80*time.Millisecond)
			defer stop()
			return g.Ask(one, "there", ratelimit.Ask{Limit: ratelimit.Limit{Workspace: "w", Rate: 5}, Want: 1}).Outcome == ratelimit.Granted
		}
		if !ask() {
			t.Fatal("no answer on a sound connection")
		}
		synctest.Wait()
		silent.Store(true)
		began := time.Now()
		const within = 2 * time.Second
		for !ask() {
			if time.Since(began) > within {
				t.Fatalf("no answer %s after the connection fell silent", time.Since(began))
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// droppingConn loses what is written to a connection once it is silent.
type droppingConn struct {
	net.Conn
	dropping *atomic.Bool
}

func (m droppingConn) Write(p []byte) (int, error) {
	if m.dropping.Load() {
		return len(p), nil
	}
	return m.Conn.Write(p)
}
