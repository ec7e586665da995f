// Package link maintains yamux sessions between the processes of a fleet and monitors
// them with heartbeats.
//
// A pair of processes has one session for each class of traffic, so that a large batch
// result does not delay an online token. On every session the dialling side sends
// heartbeats, at a shorter interval while streams are open, and the accepting side echoes
// them with its own status. A session whose heartbeat is not echoed within
// Config.HeartbeatTimeout is closed: a connection can stop delivering data for good while new
// connections work, and TCP alone would detect that only after many minutes.
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

// The traffic classes.
const (
	Online  Class = "online"
	Batch   Class = "batch"
	Control Class = "control"
)

// Classes lists all classes.
var Classes = []Class{Online, Batch, Control}

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Config configures the sessions of a node.
type Config struct {
	Node        string
	Incarnation oplog.Incarnation
	TLS         *tls.Config // nil means connections without TLS, for loopback only
	Dial        DialFunc    // nil means TCP

	// HeartbeatInterval is the time between heartbeats on a session with open streams,
	// default 500 ms.
	HeartbeatInterval time.Duration
	// IdleHeartbeatInterval is the time between heartbeats on a session without open streams,
	// default 2 s. Most sessions of a fleet are idle, and their heartbeats are most
	// of the control traffic.
	IdleHeartbeatInterval time.Duration
	// HeartbeatTimeout is how long a heartbeat may go unanswered before the session
	// is closed, default 2 s.
	HeartbeatTimeout time.Duration
	DialTimeout      time.Duration // default 2 s

	// Status returns the status of this node, which heartbeats on control sessions carry.
	Status func() *wire.NodeStatus
	// OnStatus is called with the status of a peer at each heartbeat on a control
	// session; a nil status means unchanged. The address is empty for a peer that
	// dialled this node.
	OnStatus func(addr string, st *wire.NodeStatus)
	// OnDisconnect is called with the address of a peer whose session, held open by
	// Peer.KeepConnected, was lost or cannot be dialled.
	OnDisconnect func(addr string)
	// Handle serves a stream that the peer opened. If it is nil, the stream is closed.
	Handle Handler
}

// Handler serves one stream. The stream is closed when it returns.
type Handler func(ctx context.Context, class Class, call *wire.Call, st *Stream)

// Default values of Config, and the time within which the hello message has to arrive.
const (
	DefaultHeartbeatInterval     = 500 * time.Millisecond
	DefaultIdleHeartbeatInterval = 2 * time.Second
	DefaultHeartbeatTimeout      = 2 * time.Second
	DefaultDialTimeout           = 2 * time.Second
	helloTimeout                 = 2 * time.Second
)

// DialError reports that no session could be opened. The call was not sent.
type DialError struct {
	Addr  string
	Cause error
}

// Error implements error.
func (e *DialError) Error() string {
	return "cannot open a session to " + e.Addr + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error {
	return e.Cause
}

// ErrClosed is returned for calls on a Peer that was closed.
var ErrClosed = errors.New("link closed")

func (c Config) withDefaults() Config {
	defaults.Set(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	defaults.Set(&c.IdleHeartbeatInterval, DefaultIdleHeartbeatInterval)
	defaults.Set(&c.HeartbeatTimeout, DefaultHeartbeatTimeout)
	defaults.Set(&c.DialTimeout, DefaultDialTimeout)
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Status == nil {
		c.Status = func() *wire.NodeStatus { return &wire.NodeStatus{} }
	}
	if c.OnDisconnect == nil {
		c.OnDisconnect = func(string) {}
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

// Stream is one message stream within a session.
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

// SetDeadline sets the deadline of all later reads and writes; the zero time removes it.
func (s *Stream) SetDeadline(t time.Time) {
	// yamux.Stream.SetDeadline never fails.
	_ = s.conn.SetDeadline(t)
}

// closeReadDelay is the time within which a blocked Recv returns after its stream was
// closed. It is not zero: with a deadline in the past, yamux selects on a timer that has
// already fired, which under the race detector crashes the runtime of Go 1.26.8 in
// synctest bubbles (a fault in the runtime's bookkeeping of timers).
const closeReadDelay = time.Millisecond

// Close closes both directions. A blocked Recv returns within closeReadDelay.
func (s *Stream) Close() {
	// The stream is not used after this, so a failed close has no effect.
	_ = s.conn.Close()
	_ = s.conn.SetReadDeadline(time.Now().Add(closeReadDelay))
}

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // replaced by heartbeats, which also carry status
	cfg.LogOutput = io.Discard  // session errors are returned by the streams
	cfg.ConnectionWriteTimeout = 5 * time.Second
	cfg.StreamOpenTimeout = 5 * time.Second
	cfg.StreamCloseTimeout = 10 * time.Second
	return cfg
}
