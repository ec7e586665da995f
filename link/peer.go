package link

import (
	"context"
	"time"

	"github.com/hashicorp/yamux"

	"pumiceford/internal/wait"
	"pumiceford/wire"
)

// Peer keeps sessions to one address, one for each class, dialled when first used
// and again after one was lost.
type Peer struct {
	cfg  Config
	addr string
	ctx  context.Context
	stop context.CancelFunc

	slots map[Class]*slot
}

// slot holds one class's session. Its mutex is held while dialling, so that
// many callers share one dial.
type slot struct {
	mu  chan struct{} // a semaphore of one, so that waiting respects a context
	cur *session
}

// NewPeer returns a Peer for addr.
func NewPeer(cfg Config, addr string) *Peer {
	ctx, stop := context.WithCancel(context.Background())
	p := &Peer{cfg: cfg.withDefaults(), addr: addr, ctx: ctx, stop: stop, slots: make(map[Class]*slot)}
	for _, class := range Classes {
		p.slots[class] = &slot{mu: make(chan struct{}, 1)}
	}
	return p
}

// Addr returns the peer's address.
func (p *Peer) Addr() string {
	return p.addr
}

// Open opens a stream of a class and sends call on it.
func (p *Peer) Open(ctx context.Context, class Class, call *wire.Call) (*Stream, error) {
	s, err := p.session(ctx, class)
	if err != nil {
		return nil, &DialError{Addr: p.addr, Cause: err}
	}
	return s.open(call)
}

// Call opens a stream, sends call and waits for one reply.
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

// Keep holds a session of a class open until ctx ends, so that the peer's status
// keeps arriving. It waits pause between dials that fail.
func (p *Peer) Keep(ctx context.Context, class Class, pause time.Duration) {
	for ctx.Err() == nil && p.ctx.Err() == nil {
		s, err := p.session(ctx, class)
		if err != nil {
			p.cfg.OnLost(p.addr)
			_ = wait.For(ctx, pause)
			continue
		}
		select {
		case <-ctx.Done():
		case <-s.mux.CloseChan():
			p.cfg.OnLost(p.addr)
		}
	}
}

func (p *Peer) session(ctx context.Context, class Class) (*session, error) {
	sl := p.slots[class]
	select {
	case sl.mu <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.ctx.Done():
		return nil, ErrClosed
	}
	defer func() { <-sl.mu }()
	if p.ctx.Err() != nil {
		return nil, ErrClosed
	}
	if sl.cur != nil && !sl.cur.mux.IsClosed() {
		return sl.cur, nil
	}
	s, err := p.dial(ctx, class)
	if err != nil {
		return nil, err
	}
	sl.cur = s
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
	mux, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s := newSession(p.cfg, class, p.addr, mux)
	go s.closeWith(p.ctx)
	go s.watch(s.cfg.SilentAfter)
	go s.beat()
	go s.accept(p.ctx)
	return s, nil
}

// Close closes all sessions.
func (p *Peer) Close() {
	p.stop()
}
