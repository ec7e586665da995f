package daemon

import (
	"context"
	stdlog "log"
	"math"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/quarantine"
	"pumiceford/settings"
)

// memoryFraction is the fraction of a process's memory limit that the runtime uses as its
// soft limit.
const memoryFraction = 0.8

// limitMemory makes the garbage collector run before the process reaches the limit at
// which the platform kills it, and whenever the heap has grown by gcPercent. A value of 0
// leaves the runtime's default.
func limitMemory(megabytes, gcPercent int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(megabytes<<20)))
	}
	if gcPercent > 0 {
		debug.SetGCPercent(gcPercent)
	}
}

// MemoryMB returns the memory limit of this process in MiB: the configured one, or the runtime's, or
// half of the host's memory.
func MemoryMB(configured int) int {
	if configured > 0 {
		return configured
	}
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return int(limit >> 20)
	}
	const hostFraction = 0.5
	var host syscall.Sysinfo_t
	if syscall.Sysinfo(&host) != nil {
		return defaultMemory >> 20
	}
	return int(hostFraction*float64(host.Totalram)*float64(host.Unit)) >> 20
}

// LimitMemory sets the runtime's soft limit in a process with the given memory limit in MiB.
func LimitMemory(megabytes int) { limitMemory(megabytes, 0) }

// limitProcs bounds the threads that run at once, because each has caches of its own in the
// runtime. It never raises the runtime's number. A value of 0 sets no bound.
func limitProcs(procs int) {
	if procs > 0 && procs < runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(procs)
	}
}

// redirectStdLog sends what libraries write to the standard log, such as reports of
// unsolicited responses, to log.
func redirectStdLog(log logging.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(stdLogWriter{log})
}

type stdLogWriter struct{ log logging.Logger }

// maxStdLogLineBytes bounds one line, which may quote data that a target sent.
const maxStdLogLineBytes = 120

// Write implements io.Writer.
func (l stdLogWriter) Write(p []byte) (int, error) {
	l.log.Warn("library log line", logging.F("text", string(p[:min(len(p), maxStdLogLineBytes)])))
	return len(p), nil
}

func listenAll(addrs ...string) ([]net.Listener, error) {
	var out []net.Listener
	for _, a := range addrs {
		ln, err := settings.Listen(a)
		if err != nil {
			return nil, err
		}
		out = append(out, ln)
	}
	return out, nil
}

// serve serves on ln until ctx ends. After a graceful shutdown it waits for the end of
// ctx, so that the process stays up until its stop is complete.
func serve(ctx context.Context, s *http.Server, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(ln)
	if ctx.Err() != nil {
		return nil
	}
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-ctx.Done() // a graceful shutdown is in progress
		return nil
	}
	return err
}

// opsHandler serves the metrics of a process and its quarantined requests.
func opsHandler(ms *metrics.Set, tracker *quarantine.Tracker) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(ms.Registry, promhttp.HandlerOpts{}))
	quarantineHandler(mux, tracker)
	return mux
}
