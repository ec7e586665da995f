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

// granting is a process that grants whatever it is asked for, after a while.
type granting struct {
	takes time.Duration
}

// Grant implements peers.Granter.
func (g granting) Grant(a ratelimit.Ask) ratelimit.Reply {
	time.Sleep(g.takes)
	return ratelimit.Reply{Outcome: ratelimit.Granted, Granted: a.Want}
}

// asking plays questions to a process that takes so long for each, and returns how many
// were answered, and how many sessions and messages they took.
func asking(t *testing.T, takes time.Duration, questions int, every time.Duration) (answered, dials, writes int) {
	t.Helper()
	runtime.GC() // as in bubble
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		server := &peers.Server{Granter: granting{takes}}
		var written atomic.Int64
		g := peers.NewGrants(link.Config{Dial: func(context.Context, string) (net.Conn, error) {
			dials++
			near, far := net.Pipe()
			go link.ServeConn(ctx, far, link.Config{Handle: server.Handle})
			return counted{near, &written}, nil
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

// counted counts what is written to a connection.
type counted struct {
	net.Conn
	written *atomic.Int64
}

func (c counted) Write(p []byte) (int, error) {
	c.written.Add(1)
	return c.Conn.Write(p)
}

// Guards against a session that is opened anew every few seconds although questions go over
// it all the while.
func TestASessionForGrantsLasts(t *testing.T) {
	const questions = 40
	answered, dials, _ := asking(t, 0, questions, 6*time.Second)
	if answered != questions || dials != 1 {
		t.Errorf("%d of %d answered over %d sessions", answered, questions, dials)
	}
}

// Guards against a host that is slow for a moment and then spends all of its time on opening
// sessions, because each late answer has cost it one.
func TestLateAnswersCostFewSessions(t *testing.T) {
	const questions, each = 40, 100 * time.Millisecond
	const most = 1 + questions*each/(1500*time.Millisecond)
	if _, dials, _ := asking(t, 150*time.Millisecond, questions, 20*time.Millisecond); dials > int(most) {
		t.Errorf("%d sessions for %d late answers", dials, questions)
	}
}

// Guards against questions that each bring a heartbeat with them.
func TestAQuestionBringsNoHeartbeat(t *testing.T) {
	const questions = 100
	_, _, few := asking(t, 0, 1, time.Second)
	_, _, many := asking(t, 0, questions, time.Second)
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
		server := &peers.Server{Granter: granting{}}
		var silent *atomic.Bool // of the newest connection
		g := peers.NewGrants(link.Config{Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			silent = &atomic.Bool{}
			go link.ServeConn(ctx, far, link.Config{Handle: server.Handle})
			return muted{near, silent}, nil
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

// muted loses what is written to a connection once it is silent.
type muted struct {
	net.Conn
	silent *atomic.Bool
}

func (m muted) Write(p []byte) (int, error) {
	if m.silent.Load() {
		return len(p), nil
	}
	return m.Conn.Write(p)
}
