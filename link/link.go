// Package link keeps yamux sessions between our processes and watches that they
// are alive.
//
// A pair of processes keeps one session for each class of traffic, so that a
// large batch result cannot stand before an online token. On every session the
// dialling side sends heartbeats, often while streams are open and seldom
// otherwise, and the other side echoes them with its own status. A session whose
// heartbeat goes unanswered for SilentAfter is closed: a connection can go silent
// for good while new ones work, and TCP alone would notice only after many
// minutes.
package link

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"pumiceford/internal/defaults"
	"pumiceford/oplog"
	"pumiceford/wire"
)

// Class is the kind of traffic on a session.
type Class string

// The classes.
const (
	Online  Class = "online"
	Batch   Class = "batch"
	Control Class = "control"
)

// Classes lists all classes.
var Classes = []Class{Online, Batch, Control}

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Config says how a node keeps its sessions.
type Config struct {
	Node        string
	Incarnation oplog.Incarnation
	TLS         *tls.Config // nil means plain connections, for loopback only
	Dial        DialFunc    // nil means TCP

	// HeartbeatEvery is the interval of heartbeats on a session with open
	// streams, default 500 ms.
	HeartbeatEvery time.Duration
	// IdleEvery is the interval on a session without, default 2 s. Idle sessions
	// are most of the fleet's, and their heartbeats most of what control costs.
	IdleEvery time.Duration
	// SilentAfter is how long a heartbeat may go unanswered before the session
	// is closed, default 2 s.
	SilentAfter time.Duration
	DialTimeout time.Duration // default 2 s

	// Status returns what this node says of itself on heartbeats.
	Status func() *wire.NodeStatus
	// OnStatus receives what a peer says of itself. The address is empty for
	// peers that dialled us.
	// The status is nil when it is the one told before.
	OnStatus func(addr string, st *wire.NodeStatus)
	// OnLost is told the address of a peer that Keep holds a session to and that
	// was lost or cannot be dialled.
	OnLost func(addr string)
	// Handle serves a stream that the peer opened. It may be nil.
	Handle Handler
}

// Handler serves one stream. The stream is closed when it returns.
type Handler func(ctx context.Context, class Class, call *wire.Call, st *Stream)

// Defaults of Config.
const (
	DefaultHeartbeatEvery = 500 * time.Millisecond
	DefaultIdleEvery      = 2 * time.Second
	DefaultSilentAfter    = 2 * time.Second
	DefaultDialTimeout    = 2 * time.Second
	helloTimeout          = 2 * time.Second
)

// DialError says that no session could be opened. Nothing was sent.
type DialError struct {
	Addr  string
	Cause error
}

// Error implements error.
func (e *DialError) Error() string {
	return "no session to " + e.Addr + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error {
	return e.Cause
}

// ErrClosed says that the session or peer was closed.
var ErrClosed = errors.New("link closed")

func (c Config) withDefaults() Config {
	defaults.Set(&c.HeartbeatEvery, DefaultHeartbeatEvery)
	defaults.Set(&c.IdleEvery, DefaultIdleEvery)
	defaults.Set(&c.SilentAfter, DefaultSilentAfter)
	defaults.Set(&c.DialTimeout, DefaultDialTimeout)
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Status == nil {
		c.Status = func() *wire.NodeStatus { return &wire.NodeStatus{} }
	}
	if c.OnLost == nil {
		c.OnLost = func(string) {}
	}
	if c.OnStatus == nil {
		c.OnStatus = func(string, *wire.NodeStatus) {}
	}
	return c
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// Stream is one message stream in a session.
type Stream struct {
	conn *yamux.Stream
	rd   *wire.Reader
}

func newStream(conn *yamux.Stream) *Stream {
	return &Stream{conn: conn, rd: wire.NewReader(conn)}
}

// Send writes one message.
func (s *Stream) Send(m wireMessage) error {
	return wire.Write(s.conn, m)
}

// SendFrames writes several frames at once.
func (s *Stream) SendFrames(frames []*wire.Frame) error {
	return wire.WriteAll(s.conn, frames)
}

// Recv reads the next message into m.
func (s *Stream) Recv(m wireMessage) error {
	return s.rd.Read(m)
}

// SetDeadline bounds all later reads and writes.
func (s *Stream) SetDeadline(t time.Time) {
	// yamux.Stream.SetDeadline never fails.
	_ = s.conn.SetDeadline(t)
}

// closeReadAfter is how soon a Recv returns that is blocked when its stream is
// closed. It is not zero: a deadline in the past makes yamux select on a timer
// that has fired already, and under the race detector that crashed the runtime of
// Go 1.26.8 inside synctest bubbles (a fault in its own bookkeeping of timers).
const closeReadAfter = time.Millisecond

// Close closes both directions. A blocked Recv returns within closeReadAfter.
func (s *Stream) Close() {
	// Past this point nobody reads the stream, so a failed close changes nothing.
	_ = s.conn.Close()
	_ = s.conn.SetReadDeadline(time.Now().Add(closeReadAfter))
}

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // our own heartbeats also carry status
	cfg.LogOutput = io.Discard  // session errors reach us through the streams
	cfg.ConnectionWriteTimeout = 5 * time.Second
	cfg.StreamOpenTimeout = 5 * time.Second
	cfg.StreamCloseTimeout = 10 * time.Second
	return cfg
}
