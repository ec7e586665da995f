package daemon

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"syscall"
	"time"

	"pumiceford/connguard"
	"pumiceford/intake"
	"pumiceford/logging"
	"pumiceford/metrics"
)

// Bounds of connections.
const (
	// headerTimeout, idleTimeout and maxHeaderBytes bound a connection whatever operators
	// set. They exceed the limits in the catalog.
	headerTimeout  = 15 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 256 << 10
	// timeoutMargin is added to the timeouts in the catalog, for the time that bytes are on their way
	// and that this process takes to read them.
	timeoutMargin = 2 * time.Second
	// defaultMemory is the memory in bytes of a process without a limit.
	defaultMemory = 512 << 20
	// maxDescriptors bounds the descriptors that are used where the system's limit is higher.
	maxDescriptors = 1 << 16
	// refusalRetryAfter is the retry-after of a request that ends before it reaches a handler.
	refusalRetryAfter = 500 * time.Millisecond
)

// httpServer returns a server with the connection bounds of this package. The server's own log
// is discarded: it concerns single connections, whose failures are also returned as errors.
func httpServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
}

// DescriptorLimit returns the number of descriptors that this process may open. A configured value
// of 0 sets no other bound than the system's.
func DescriptorLimit(configured int) int {
	limit := maxDescriptors
	var system syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system) == nil {
		limit = int(min(system.Cur, uint64(limit)))
	}
	if configured > 0 {
		limit = min(limit, configured)
	}
	return limit
}

// newCallerGuard returns the guard of the callers' connections.
func (n *entryNode) newCallerGuard() *connguard.Guard {
	memory := int64(n.set.MemoryMB) << 20
	if memory <= 0 {
		memory = defaultMemory
	}
	limits := connguard.HTTPLimits(memory, DescriptorLimit(n.set.Descriptors))
	n.log.Info("callers' connections are limited", logging.F("bytes", limits.Bytes), logging.F("connections", limits.Conns))
	return connguard.New(connguard.Config{
		Name: "callers", Limits: limits, BufferBytes: connguard.HTTPBufferBytes, Factor: connguard.HTTPFactor,
		Timeouts: n.callerTimeouts, MaxHeaderBytes: func() int { return n.limits().HeaderBytes }, Refusal: refusal,
		Log: n.log.WithPrefix("front"), Metrics: n.metrics,
	})
}

// callerTimeouts returns the timeouts of the catalog in force.
func (n *entryNode) callerTimeouts() intake.Timeouts {
	bound := func(configured, otherwise time.Duration) time.Duration {
		if configured <= 0 {
			return otherwise
		}
		return min(configured+timeoutMargin, otherwise)
	}
	l := n.limits()
	return intake.Timeouts{Header: bound(l.HeaderTimeout, headerTimeout), Stall: bound(l.IdleTimeout, idleTimeout), Idle: bound(l.IdleTimeout, idleTimeout)}
}

func refusal(err error) []byte { return connguard.HTTPRefusal(err, refusalRetryAfter) }

// serveOps serves readiness checks or metrics until ctx ends.
func serveOps(ctx context.Context, name string, h http.Handler, ln net.Listener, descriptors int, log logging.Logger, ms *metrics.Set) error {
	guard := connguard.New(connguard.Config{
		Name: name, Limits: connguard.OpsLimits(DescriptorLimit(descriptors)), BufferBytes: connguard.HTTPBufferBytes, Factor: connguard.HTTPFactor,
		Timeouts: func() intake.Timeouts {
			return intake.Timeouts{Header: headerTimeout, Stall: headerTimeout, Idle: idleTimeout}
		},
		Refusal: refusal, Log: log, Metrics: ms,
	})
	srv := httpServer(guard.Handler(h))
	srv.ConnContext = connguard.NewContext
	return serve(ctx, srv, guard.Listener(ln))
}
