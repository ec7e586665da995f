// Package connguard applies the decisions of package intake to the connections of a server: it
// accepts them, counts what is read from them, and closes those that have to make room for others.
package connguard

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/intake"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/netx"
)

// Intervals and timeouts.
const (
	expireInterval = time.Second
	// waitInterval is the time between two checks while any request waits.
	waitInterval = 100 * time.Millisecond
	logInterval  = time.Second
	// acceptPause is the pause after an accept that failed for lack of descriptors.
	acceptPause    = 20 * time.Millisecond
	refusalTimeout = time.Second
	// lingerTimeout and lingerBytes bound what is read after a refusal. The system would reset a
	// connection that is closed with unread bytes, and its client could not read the refusal.
	lingerTimeout = 200 * time.Millisecond
	lingerBytes   = 256 << 10
)

// Config holds the settings of a Guard.
type Config struct {
	Name   string // of the listener, in metrics and logs
	Limits intake.Limits
	// Timeouts returns the timeouts in force; nil for none.
	Timeouts func() intake.Timeouts
	// BufferBytes is how much of a request a connection holds within Limits.ConnBytes, and Factor how
	// many bytes the server holds for each byte that it reads beyond before a handler has the request.
	BufferBytes int64
	Factor      int64
	// MaxHeaderBytes returns the largest header; nil or 0 for the server's own limit.
	MaxHeaderBytes func() int
	// Refusal returns the response to a request that ends before it reaches a handler.
	Refusal func(error) []byte
	Log     logging.Logger
	Metrics *metrics.Set
}

// Errors of requests that are refused. None of these requests has been passed on.
var (
	ErrHeaderTooLarge = errors.New("header exceeds the limit")
	ErrBodyTooLarge   = errors.New("body exceeds the limit")
)

// Error reports that a request was refused or its connection evicted.
type Error struct{ Reason intake.Reason }

// Error implements error.
func (e *Error) Error() string { return "request ended: " + string(e.Reason) }

// TimedOut reports whether the client has used up its time, rather than others the memory.
func (e *Error) TimedOut() bool {
	return e.Reason != intake.NoMemory && e.Reason != intake.MadeRoom
}

// Guard guards the connections of one listener. It is safe for concurrent use.
type Guard struct {
	cfg     Config
	started time.Time

	mu       sync.Mutex // never held during I/O
	pool     *intake.Pool
	conns    map[intake.ID]*Conn
	lastID   intake.ID
	timer    *time.Timer   // nil before the first connection
	due      time.Duration // of the timer; 0 while it is not set
	events   map[string]int
	loggedAt time.Duration
}

// New returns a Guard without connections.
func New(cfg Config) *Guard {
	return &Guard{cfg: cfg, started: time.Now(), pool: intake.New(cfg.Limits), conns: make(map[intake.ID]*Conn), events: make(map[string]int)}
}

func (g *Guard) now() time.Duration { return time.Since(g.started) }

// locked calls f with the pool and then carries out its decisions.
func (g *Guard) locked(f func(p *intake.Pool, now time.Duration)) {
	g.mu.Lock()
	now := g.now()
	f(g.pool, now)
	decisions := g.pool.TakeDecisions()
	concerned := make([]*Conn, len(decisions))
	for n, d := range decisions {
		concerned[n] = g.conns[d.ID]
		if !d.Granted {
			g.events[string(d.Reason)]++
		}
	}
	g.arm(now)
	g.mu.Unlock()
	for n, d := range decisions {
		if c := concerned[n]; c != nil {
			c.carryOut(d)
		}
	}
}

// arm sets the timer for the next check, unless it is due sooner or no connection is open. g.mu is
// held.
func (g *Guard) arm(now time.Duration) {
	interval := expireInterval
	if g.pool.IsWaiting() {
		interval = waitInterval
	}
	if len(g.conns) == 0 || g.due != 0 && g.due <= now+interval {
		return
	}
	g.due = now + interval
	if g.timer == nil {
		g.timer = time.AfterFunc(interval, g.expire)
		return
	}
	g.timer.Reset(interval)
}

func (g *Guard) expire() {
	var timeouts intake.Timeouts
	if g.cfg.Timeouts != nil {
		timeouts = g.cfg.Timeouts()
	}
	g.locked(func(p *intake.Pool, now time.Duration) {
		p.SetTimeouts(timeouts)
		p.Expire(now)
		g.due = 0
	})
	g.report()
}

// report writes what has happened since the last line, and updates the metrics.
func (g *Guard) report() {
	g.mu.Lock()
	bytes, conns := g.pool.Usage()
	events := g.events
	quiet := len(events) == 0 || g.now()-g.loggedAt < logInterval
	if !quiet {
		g.events, g.loggedAt = make(map[string]int), g.now()
	}
	g.mu.Unlock()
	g.cfg.Metrics.SetGauge(g.cfg.Name+"_held_bytes", float64(bytes))
	g.cfg.Metrics.SetGauge(g.cfg.Name+"_connections", float64(conns))
	if quiet {
		return
	}
	fields := []logging.Field{
		logging.F("listener", g.cfg.Name), logging.F("held_bytes", bytes), logging.F("of_bytes", g.cfg.Limits.Bytes),
		logging.F("connections", conns), logging.F("of_connections", g.cfg.Limits.Conns),
	}
	for why, n := range events {
		fields = append(fields, logging.F(why, n))
	}
	g.cfg.Log.Warn("connections closed or requests refused to stay within limits", fields...)
}

// count counts an event for the metrics and the next log line.
func (g *Guard) count(what string) {
	g.cfg.Metrics.Count(g.cfg.Name + "_" + what)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.events[what]++
}

// Listener returns a listener whose connections are guarded.
func (g *Guard) Listener(ln net.Listener) net.Listener { return guardedListener{ln, g} }

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l guardedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if isShortage(err) {
			l.guard.count("accept_failed")
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		if c := l.guard.open(raw); c != nil {
			return c, nil
		}
		l.guard.count("connection_refused")
		netx.CloseUnread(raw) // the client tries again elsewhere
	}
}

// isShortage reports whether an accept failed for lack of descriptors or memory, which may be
// there again soon, or because the client had left. The listener works on.
func isShortage(err error) bool {
	return errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED)
}

// open returns a guarded connection, nil if there is no room for it.
func (g *Guard) open(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, guard: g, answer: make(chan error, 1)}
	c.allowed.Store(g.cfg.BufferBytes)
	ok := false
	g.locked(func(p *intake.Pool, now time.Duration) {
		g.lastID++
		c.id = g.lastID
		if ok = p.Open(now, c.id); ok {
			g.conns[c.id] = c
		}
	})
	if !ok {
		return nil
	}
	return c
}

// Conn is a guarded connection. A nil Conn has no limits.
type Conn struct {
	net.Conn
	guard *Guard
	id    intake.ID

	handling atomic.Bool  // a handler has the request
	read     atomic.Int64 // bytes of the request before a handler had it
	allowed  atomic.Int64 // bytes of it for which memory is reserved
	unread   atomic.Bool  // the last request's body was not read to its end
	evicted  atomic.Pointer[Error]
	answer   chan error // to a reservation that waits
	closed   atomic.Bool
}

type contextKey struct{}

// NewContext returns a context from which FromContext returns the guarded connection c. It is an
// http.Server's ConnContext.
func NewContext(ctx context.Context, c net.Conn) context.Context {
	if guarded, ok := c.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, guarded)
	}
	return ctx
}

// FromContext returns the guarded connection of a request, nil if it has none.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// pastTime is a read deadline that ends all reads.
var pastTime = time.Unix(1, 0)

// carryOut carries out a decision of the pool: it answers a reservation that waits, or wakes the
// connection's reader to end it.
func (c *Conn) carryOut(d intake.Decision) {
	var err error
	if !d.Granted {
		c.guard.cfg.Metrics.Count(c.guard.cfg.Name + "_" + string(d.Reason))
		err = &Error{d.Reason}
	}
	if d.Evicted {
		c.evicted.CompareAndSwap(nil, &Error{d.Reason})
		_ = c.Conn.SetReadDeadline(pastTime) // fails only on a closed connection
	}
	select {
	case c.answer <- err:
	default: // nobody waits
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.evicted.Load() != nil {
		err = c.Conn.SetReadDeadline(pastTime)
	}
	return err
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// CloseWrite ends the sending half of the connection.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Read implements net.Conn. Before a handler has the request, it reserves the memory for what the
// server reads.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.handling.Load() {
		var err error
		if p, err = c.admit(p); err != nil {
			return 0, c.refuse(err)
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		if !c.handling.Load() {
			c.read.Add(int64(n))
		}
		c.guard.locked(func(p *intake.Pool, now time.Duration) { p.Received(now, c.id, n) })
	}
	if err != nil {
		if evicted := c.evicted.Load(); evicted != nil && n == 0 {
			return 0, c.refuse(evicted)
		}
	}
	return n, err
}

// admit returns the part of p into which the next bytes of a request may be read. It is called by the
// connection's only reader.
func (c *Conn) admit(p []byte) ([]byte, error) {
	read, allowed := c.read.Load(), c.allowed.Load()
	if limit := c.guard.maxHeaderBytes(); limit > 0 && !c.unread.Load() && read > limit+c.guard.cfg.BufferBytes {
		return nil, ErrHeaderTooLarge
	}
	if allowed == read {
		more := c.guard.cfg.BufferBytes
		if err := c.Reserve(context.Background(), more*c.guard.cfg.Factor); err != nil {
			return nil, err
		}
		allowed += more
		c.allowed.Store(allowed)
	}
	return p[:min(int64(len(p)), allowed-read)], nil
}

func (g *Guard) maxHeaderBytes() int64 {
	if g.cfg.MaxHeaderBytes == nil {
		return 0
	}
	return int64(g.cfg.MaxHeaderBytes())
}

// refuse ends a connection before its request has reached a handler. The client of a request that
// has begun gets a response.
func (c *Conn) refuse(err error) error {
	if c.handling.Load() {
		return err
	}
	if errors.Is(err, ErrHeaderTooLarge) {
		c.guard.count("header_too_large")
	}
	if c.read.Load() == 0 || c.unread.Load() || c.guard.cfg.Refusal == nil {
		return io.EOF
	}
	if c.SetWriteDeadline(time.Now().Add(refusalTimeout)) != nil {
		return io.EOF
	}
	if _, werr := c.Write(c.guard.cfg.Refusal(err)); werr != nil {
		return io.EOF
	}
	if c.CloseWrite() == nil && c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // only so that the refusal arrives
	}
	return io.EOF
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.guard.locked(func(p *intake.Pool, now time.Duration) {
			p.Close(now, c.id)
			delete(c.guard.conns, c.id)
		})
		select {
		case c.answer <- net.ErrClosed:
		default: // nobody waits
		}
	}
	return c.Conn.Close()
}

// Reserve reserves n bytes for the request. It waits until they are free, and returns an *Error if
// they do not become free in time.
func (c *Conn) Reserve(ctx context.Context, n int64) error {
	if c == nil || n == 0 {
		return nil
	}
	outcome := intake.Refused
	c.dropAnswer()
	c.guard.locked(func(p *intake.Pool, now time.Duration) { outcome = p.Reserve(now, c.id, n) })
	switch outcome {
	case intake.Granted:
		return nil
	case intake.TooLarge:
		c.guard.count("too_large")
		return ErrBodyTooLarge
	case intake.Refused:
		if evicted := c.evicted.Load(); evicted != nil {
			return evicted
		}
		c.guard.count(string(intake.NoMemory))
		return &Error{intake.NoMemory}
	}
	select {
	case err := <-c.answer:
		return err
	case <-ctx.Done():
		c.guard.locked(func(p *intake.Pool, now time.Duration) { p.CancelWait(now, c.id) })
		return ctx.Err()
	}
}

// TryReserve is Reserve without a wait. It reports whether the memory is reserved.
func (c *Conn) TryReserve(n int64) bool {
	if c == nil {
		return true
	}
	outcome := intake.Refused
	c.guard.locked(func(p *intake.Pool, now time.Duration) {
		if outcome = p.Reserve(now, c.id, n); outcome == intake.Waiting {
			p.CancelWait(now, c.id)
		}
	})
	return outcome == intake.Granted
}

// dropAnswer drops the answer to a reservation whose wait had ended otherwise.
func (c *Conn) dropAnswer() {
	select {
	case err := <-c.answer:
		_ = err // it concerned an earlier reservation
	default:
	}
}

// release gives n reserved bytes back.
func (c *Conn) release(n int64) {
	if c != nil {
		c.guard.locked(func(p *intake.Pool, now time.Duration) { p.Release(now, c.id, n) })
	}
}

// BeginRequest records that a handler has a request, whose body is still to be read if hasBody is
// set. If it returns an error, the connection was evicted before, and the request must not run.
func (c *Conn) BeginRequest(hasBody bool) error {
	if c == nil {
		return nil
	}
	c.handling.Store(true)
	if !hasBody {
		return c.Serve()
	}
	c.guard.locked(func(p *intake.Pool, now time.Duration) { p.HeaderEnded(now, c.id, 0) })
	return nil
}

// SetBodyDeadline sets the time by which the body has to be complete.
func (c *Conn) SetBodyDeadline(at time.Time) {
	if c != nil {
		c.guard.locked(func(p *intake.Pool, now time.Duration) { p.HeaderEnded(now, c.id, now+time.Until(at)) })
	}
}

// Serve records that a request has been received, so that its connection is not evicted until it
// ends. It returns an *Error if the connection was evicted before.
func (c *Conn) Serve() error {
	if c == nil {
		return nil
	}
	ok := false
	c.guard.locked(func(p *intake.Pool, now time.Duration) { ok = p.Serve(now, c.id) })
	if ok {
		return nil
	}
	if evicted := c.evicted.Load(); evicted != nil {
		return evicted
	}
	return &Error{intake.MadeRoom} // another goroutine is about to carry it out
}

// EndRequest records the end of a request. A server may go on reading the body if the handler has
// not read it to its end.
func (c *Conn) EndRequest(bodyRead bool) {
	if c == nil {
		return
	}
	c.unread.Store(!bodyRead)
	c.read.Store(0)
	c.allowed.Store(c.guard.cfg.BufferBytes)
	c.guard.locked(func(p *intake.Pool, now time.Duration) { p.Finish(now, c.id) })
	c.handling.Store(false)
}
