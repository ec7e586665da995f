package link

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"pumiceford/wire"
)

type wireMessage = proto.Message

// session is one yamux session with its heartbeats.
type session struct {
	cfg   Config
	class Class
	addr  string // dialled address, empty on the accepting side
	mux   *yamux.Session
	conn  *muxConn
	wake  chan struct{} // signalled when a stream was opened, so that the next heartbeat is due now
	// waitingSince is, on the dialling side, when the oldest unanswered heartbeat was sent, nil if
	// there is none; on the accepting side, when the last heartbeat arrived. It is compared on the
	// monotonic clock: a step of the host's time of day ends no session.
	waitingSince atomic.Pointer[time.Time]
	closed       atomic.Bool                     // close was called
	lastStatus   atomic.Pointer[wire.NodeStatus] // last status sent
	sinceStatus  atomic.Int32                    // heartbeats sent since then
}

// newSession returns a session on a connection whose hello message has been exchanged. The side
// is yamux.Client or yamux.Server. It closes the connection if it fails.
func newSession(cfg Config, class Class, addr string, conn net.Conn, side func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*session, error) {
	below := newMuxConn(conn)
	mux, err := side(below, yamuxConfig())
	if err != nil {
		below.shutdown()
		return nil, err
	}
	return &session{cfg: cfg, class: class, addr: addr, mux: mux, conn: below, wake: make(chan struct{}, 1)}, nil
}

// close ends the session. Calls that are made on it later fail, those in progress fail soon.
func (s *session) close() {
	s.closed.Store(true)
	s.conn.shutdown()
}

func (s *session) isClosed() bool {
	return s.closed.Load() || s.mux.IsClosed()
}

func (s *session) open(call *wire.Call) (*Stream, error) {
	conn, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	st := newStream(conn)
	if err := st.Send(call); err != nil {
		st.Close()
		return nil, err
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return st, nil
}

// watch closes the session when heartbeats fail for longer than timeout: on the dialling
// side when one is unanswered, on the accepting side when none arrives. It returns at once
// and checks in timers, because a process has many sessions and each goroutine holds a stack.
func (s *session) watch(timeout time.Duration) {
	time.AfterFunc(s.cfg.HeartbeatInterval, func() {
		if s.isClosed() {
			return
		}
		since := s.waitingSince.Load()
		if since != nil && time.Since(*since) > timeout {
			s.close()
			return
		}
		s.watch(timeout)
	})
}

// sendHeartbeats sends heartbeats on a dedicated stream until the session ends.
func (s *session) sendHeartbeats() {
	st, err := s.open(&wire.Call{Kind: &wire.Call_Heartbeat{Heartbeat: &wire.Heartbeat{}}})
	if err != nil {
		s.close()
		return
	}
	defer st.Close()
	go s.readEchoes(st)
	for n := uint64(1); ; n++ {
		now := time.Now()
		s.waitingSince.CompareAndSwap(nil, &now)
		if st.Send(&wire.Heartbeat{Tick: n, Status: s.heartbeatStatus()}) != nil {
			s.close()
			return
		}
		if !s.waitNextHeartbeat() {
			return
		}
	}
}

// waitNextHeartbeat waits until the next heartbeat is due. It reports false when the
// session has ended.
func (s *session) waitNextHeartbeat() bool {
	const heartbeatStreams = 1
	interval := s.cfg.IdleHeartbeatInterval
	if s.mux.NumStreams() > heartbeatStreams {
		interval = s.cfg.HeartbeatInterval
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-s.mux.CloseChan():
			return false
		case <-timer.C:
			return true
		case <-s.wake:
			// The next heartbeat is due at once only if the session was idle and its idle
			// interval is the longer one.
			if interval == s.cfg.IdleHeartbeatInterval && interval > s.cfg.HeartbeatInterval {
				return true
			}
		}
	}
}

// heartbeatsPerStatus is the number of heartbeats after which an unchanged status is sent
// again.
const heartbeatsPerStatus = 5

// heartbeatStatus returns the status to send with the next heartbeat, nil if it is unchanged
// since the last one sent. Only control sessions carry the status, so that each pair of
// nodes transfers it once.
func (s *session) heartbeatStatus() *wire.NodeStatus {
	if s.class != Control {
		return nil
	}
	now := s.cfg.Status()
	if last := s.lastStatus.Load(); last != nil && proto.Equal(last, now) && s.sinceStatus.Add(1) < heartbeatsPerStatus {
		return nil
	}
	s.lastStatus.Store(now)
	s.sinceStatus.Store(0)
	return now
}

// readEchoes receives the echoes of sent heartbeats until the stream ends.
func (s *session) readEchoes(st *Stream) {
	for {
		hb := &wire.Heartbeat{}
		if st.Recv(hb) != nil {
			return
		}
		s.waitingSince.Store(nil)
		s.reportStatus(hb)
	}
}

// reportStatus calls OnStatus with the status of a received heartbeat.
func (s *session) reportStatus(hb *wire.Heartbeat) {
	if hb.GetStatus() != nil {
		s.cfg.OnStatus(s.addr, hb.GetStatus())
		return
	}
	if s.class == Control {
		s.cfg.OnStatus(s.addr, nil)
	}
}

// echoHeartbeats answers the peer's heartbeats until the stream ends.
func (s *session) echoHeartbeats(st *Stream) {
	for {
		hb := &wire.Heartbeat{}
		if st.Recv(hb) != nil {
			return
		}
		now := time.Now()
		s.waitingSince.Store(&now)
		s.reportStatus(hb)
		if st.Send(&wire.Heartbeat{Tick: hb.GetTick(), Status: s.heartbeatStatus()}) != nil {
			return
		}
	}
}

// accept serves the streams that the peer opens until the session ends.
func (s *session) accept(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		conn, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		go s.serve(ctx, conn)
	}
}

func (s *session) serve(ctx context.Context, conn *yamux.Stream) {
	st := newStream(conn)
	defer st.Close()
	st.SetDeadline(time.Now().Add(s.cfg.HeartbeatTimeout))
	call := &wire.Call{}
	if st.Recv(call) != nil {
		return
	}
	st.SetDeadline(time.Time{})
	if call.GetHeartbeat() != nil {
		s.echoHeartbeats(st)
		return
	}
	if s.cfg.Handle != nil {
		s.cfg.Handle(ctx, s.class, call, st)
	}
}

// Serve accepts connections from peers until ctx ends, which closes ln. It returns nil in
// that case, and the error of ln otherwise.
func Serve(ctx context.Context, ln net.Listener, cfg Config) error {
	cfg = cfg.withDefaults()
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		go ServeConn(ctx, conn, cfg)
	}
}

// ServeConn serves one accepted connection until the connection or ctx ends.
func ServeConn(ctx context.Context, conn net.Conn, cfg Config) {
	cfg = cfg.withDefaults()
	conn = secureServer(conn, cfg.TLS)
	class, ok := readHello(conn)
	if !ok {
		_ = conn.Close()
		return
	}
	s, err := newSession(cfg, class, "", conn, yamux.Server)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	defer s.close()
	now := time.Now()
	s.waitingSince.Store(&now)
	s.watch(s.cfg.IdleHeartbeatInterval + s.cfg.HeartbeatTimeout)
	s.accept(ctx)
}
