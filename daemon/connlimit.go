package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"pumiceford/connlimit"
	"pumiceford/internal/wait"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/netx"
)

// connLimiter closes new connections unread while they are more than the processor bears. It is
// safe for concurrent use; mu is taken last and never held during I/O.
type connLimiter struct {
	processor float64 // offered share of the core; 0 if unknown, which sets no limit
	started   time.Time
	log       logging.Logger
	metrics   *metrics.Set

	mu   sync.Mutex
	gate connlimit.Gate
}

func newConnLimiter(processor float64, log logging.Logger, ms *metrics.Set) *connLimiter {
	return &connLimiter{processor: processor, started: time.Now(), log: log, metrics: ms}
}

// run observes the use of the processor until ctx ends.
func (l *connLimiter) run(ctx context.Context) {
	if l.processor <= 0 {
		return
	}
	u := hostUse{processor: l.processor}
	u.observe(time.Now())
	for wait.For(ctx, connlimit.Interval) == nil {
		use := u.observe(time.Now())
		l.mu.Lock()
		changed := l.gate.Observe(time.Since(l.started), use)
		limit, limited := l.gate.Limit()
		l.mu.Unlock()
		switch {
		case changed && limited:
			l.log.Warn("new connections limited; the processor is used up", logging.F("use", use), logging.F("per_second", limit))
		case changed:
			l.log.Info("new connections no longer limited", logging.F("use", use))
		}
	}
}

func (l *connLimiter) accept() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate.Accept(time.Since(l.started))
}

// handler counts the requests that h has served.
func (l *connLimiter) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.gate.RequestEnded()
		}()
		h.ServeHTTP(w, r)
	})
}

// listener returns a listener that accepts only what the limit allows.
func (l *connLimiter) listener(ln net.Listener) net.Listener {
	return limitedListener{ln, l}
}

type limitedListener struct {
	net.Listener
	limiter *connLimiter
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.limiter.accept() {
			return c, err
		}
		l.limiter.metrics.Count("connection_closed_unread")
		netx.CloseUnread(c) // the caller tries again elsewhere
	}
}
