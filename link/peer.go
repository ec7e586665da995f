package link

import (
	"context"
	"time"

	"github.com/hashicorp/yamux"

	"pumiceford/internal/wait"
	"pumiceford/wire"
)

// Peer maintains one session for each class to one address. A session is dialled on first
// use and redialled when it is used after it was lost.
type Peer struct {
	cfg  Config
	addr string
	ctx  context.Context
	stop context.CancelFunc

	sessions map[Class]*sessionSlot
}

// sessionSlot holds the session of one class. Its semaphore is held while dialling, so that
// concurrent callers share one dial.
type sessionSlot struct {
	sem     chan struct{} // capacity 1; a channel, so that waiting ends with a context
	current *session
}

// NewPeer returns a Peer for addr. It does not dial.
func NewPeer(cfg Config, addr string) *Peer {
	ctx, stop := context.WithCancel(context.Background())
	p := &Peer{cfg: cfg.withDefaults(), addr: addr, ctx: ctx, stop: stop, sessions: make(map[Class]*sessionSlot)}
	for _, class := range Classes {
		p.sessions[class] = &sessionSlot{sem: make(chan struct{}, 1)}
	}
	return p
}

// Addr returns the address that the peer dials.
func (p *Peer) Addr() string {
	return p.addr
}

// Open opens a stream of a class and sends call on it. It returns a *DialError if there is
// no session and none can be opened.
func (p *Peer) Open(ctx context.Context, class Class, call *wire.Call) (*Stream, error) {
	s, err := p.session(ctx, class)
	if err != nil {
		return nil, &DialError{Addr: p.addr, Cause: err}
	}
	return s.open(call)
}

// Call opens a stream, sends call and waits for one reply, or until ctx ends.
func (p *Peer) Call(ctx context.Context, class Class, call *wire.Call, reply wireMessage) error {
	st, err := p.Open(ctx, class, call)
	if err != nil {
		return err
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, st.Close)
	defer stop()
	return st.Recv(reply)
}

// KeepConnected holds a session of a class open until ctx ends, so that the peer's status keeps
// arriving. It waits for pause after a failed dial.
func (p *Peer) KeepConnected(ctx context.Context, class Class, pause time.Duration) {
	for ctx.Err() == nil && p.ctx.Err() == nil {
		s, err := p.session(ctx, class)
		if err != nil {
			p.cfg.OnDisconnect(p.addr)
			_ = wait.For(ctx, pause)
			continue
		}
		select {
		case <-ctx.Done():
		case <-s.mux.CloseChan():
			p.cfg.OnDisconnect(p.addr)
		}
	}
}

func (p *Peer) session(ctx context.Context, class Class) (*session, error) {
	sl := p.sessions[class]
	select {
	case sl.sem <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.ctx.Done():
		return nil, ErrClosed
	}
	defer func() { <-sl.sem }()
	if p.ctx.Err() != nil {
		return nil, ErrClosed
	}
	if sl.current != nil && !sl.current.isClosed() {
		return sl.current, nil
	}
	s, err := p.dial(ctx, class)
	if err != nil {
		return nil, err
	}
	sl.current = s
	return s, nil
}

func (p *Peer) dial(ctx context.Context, class Class) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	conn, err := p.cfg.Dial(ctx, p.addr)
	if err != nil {
		return nil, err
	}
	conn = secureClient(conn, p.cfg.TLS)
	_ = conn.SetWriteDeadline(time.Now().Add(p.cfg.DialTimeout))
	if err := writeHello(conn, p.cfg, class); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetWriteDeadline(time.Time{})
	s, err := newSession(p.cfg, class, p.addr, conn, yamux.Client)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(p.ctx, s.close)
	s.watch(s.cfg.HeartbeatTimeout)
	go func() {
		defer stop()
		s.sendHeartbeats()
	}()
	return s, nil
}

// Close closes all sessions. Later calls fail with ErrClosed.
func (p *Peer) Close() {
	p.stop()
}
