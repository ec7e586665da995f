package link

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"pumiceford/wire"
)

type wireMessage = proto.Message

// session is one yamux session with its heartbeat.
type session struct {
	cfg   Config
	class Class
	addr  string // dialled address, empty on the accepting side
	mux   *yamux.Session
	heard atomic.Int64 // unix nanoseconds of the last heartbeat
}

func newSession(cfg Config, class Class, addr string, mux *yamux.Session) *session {
	s := &session{cfg: cfg, class: class, addr: addr, mux: mux}
	s.heard.Store(time.Now().UnixNano())
	return s
}

func (s *session) close() {
	// Close only fails when the session is closed already.
	_ = s.mux.Close()
}

// closeWith closes the session when ctx ends.
func (s *session) closeWith(ctx context.Context) {
	select {
	case <-ctx.Done():
		s.close()
	case <-s.mux.CloseChan():
	}
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
	return st, nil
}

// watch closes the session when heartbeats stay away.
func (s *session) watch() {
	tick := time.NewTicker(s.cfg.HeartbeatEvery)
	defer tick.Stop()
	for {
		select {
		case <-s.mux.CloseChan():
			return
		case <-tick.C:
		}
		silent := time.Since(time.Unix(0, s.heard.Load()))
		if silent > s.cfg.SilentAfter {
			s.close()
			return
		}
	}
}

// beat sends heartbeats on a stream of their own until the session ends.
func (s *session) beat() {
	st, err := s.open(&wire.Call{Kind: &wire.Call_Heartbeat{Heartbeat: &wire.Heartbeat{}}})
	if err != nil {
		s.close()
		return
	}
	defer st.Close()
	go s.readBeats(st)
	tick := time.NewTicker(s.cfg.HeartbeatEvery)
	defer tick.Stop()
	for n := uint64(1); ; n++ {
		if st.Send(&wire.Heartbeat{Tick: n, Status: s.beatStatus()}) != nil {
			s.close()
			return
		}
		select {
		case <-s.mux.CloseChan():
			return
		case <-tick.C:
		}
	}
}

// beatStatus returns the status to send. Only control sessions carry it, so
// that its bytes are paid once for each pair of nodes.
func (s *session) beatStatus() *wire.NodeStatus {
	if s.class != Control {
		return nil
	}
	return s.cfg.Status()
}

func (s *session) readBeats(st *Stream) {
	for {
		hb := &wire.Heartbeat{}
		if st.Recv(hb) != nil {
			return
		}
		s.noteBeat(hb)
	}
}

func (s *session) noteBeat(hb *wire.Heartbeat) {
	s.heard.Store(time.Now().UnixNano())
	if hb.GetStatus() != nil {
		s.cfg.OnStatus(s.addr, hb.GetStatus())
	}
}

// echo answers the peer's heartbeats.
func (s *session) echo(st *Stream) {
	for {
		hb := &wire.Heartbeat{}
		if st.Recv(hb) != nil {
			return
		}
		s.noteBeat(hb)
		if st.Send(&wire.Heartbeat{Tick: hb.GetTick(), Status: s.beatStatus()}) != nil {
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
	st.SetDeadline(time.Now().Add(s.cfg.SilentAfter))
	call := &wire.Call{}
	if st.Recv(call) != nil {
		return
	}
	st.SetDeadline(time.Time{})
	if call.GetHeartbeat() != nil {
		s.echo(st)
		return
	}
	if s.cfg.Handle != nil {
		s.cfg.Handle(ctx, s.class, call, st)
	}
}

// Serve accepts connections from peers until ln is closed or ctx ends.
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

// ServeConn serves one accepted connection until it ends.
func ServeConn(ctx context.Context, conn net.Conn, cfg Config) {
	cfg = cfg.withDefaults()
	conn = secureServer(conn, cfg.TLS)
	class, ok := readHello(conn)
	if !ok {
		_ = conn.Close()
		return
	}
	mux, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	s := newSession(cfg, class, "", mux)
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	defer s.close()
	go s.watch()
	s.accept(ctx)
}
