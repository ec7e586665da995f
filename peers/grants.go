package peers

import (
	"context"
	"sync"
	"time"

	"pumiceford/link"
	"pumiceford/ratelimit"
	"pumiceford/wire"
)

// Bounds of sessions for grants.
const (
	// grantIdleTimeout is how long a session is kept after its last use.
	grantIdleTimeout = 20 * time.Second
	// grantHeartbeat is the interval of heartbeats on these sessions, idle or not: the longest that
	// the other side waits for. Each question has a bound of its own, so a silent session need
	// not be found sooner.
	grantHeartbeat = link.DefaultIdleEvery
	// unansweredTimeout is how long a session may give no answer before another one is opened. A
	// host that is slow for a moment must not open one for each late answer, which would keep
	// it slow.
	unansweredTimeout = 1500 * time.Millisecond
)

// Grants puts questions about rate limits to other processes over sessions that are kept
// while they are in use. It implements ratelimit.Asker.
type Grants struct {
	cfg link.Config

	mu       sync.Mutex
	sessions map[string]*grantSession
	sweptAt  time.Time
}

type grantSession struct {
	peer     *link.Peer
	lastUsed time.Time
	// silent is when the first question was put that has no answer, of those since the last
	// answer; zero for none.
	unansweredSince time.Time
}

// NewGrants returns Grants.
func NewGrants(cfg link.Config) *Grants {
	cfg.IdleEvery, cfg.HeartbeatEvery = grantHeartbeat, grantHeartbeat
	return &Grants{cfg: cfg, sessions: make(map[string]*grantSession)}
}

// Ask implements ratelimit.Asker.
func (g *Grants) Ask(ctx context.Context, addr string, a ratelimit.Ask) ratelimit.Reply {
	r, err := g.call(ctx, addr, &wire.GrantAsk{
		Workspace: a.Limit.Workspace, Version: a.Limit.Version, Rate: a.Limit.Rate, Burst: a.Limit.Burst,
		Share: uint32(a.Share), Want: uint32(a.Want), Unused: uint32(a.Unused),
	})
	if err != nil {
		return ratelimit.Reply{Outcome: ratelimit.Unanswered}
	}
	out := ratelimit.Reply{Outcome: ratelimit.NotActing, Granted: int(r.GetGranted()), Again: time.Duration(r.GetAgainMs()) * time.Millisecond}
	switch r.GetOutcome() {
	case wire.GrantReply_GRANTED:
		out.Outcome = ratelimit.Granted
	case wire.GrantReply_DENIED:
		out.Outcome = ratelimit.Denied
	case wire.GrantReply_NOT_ACTING:
	}
	return out
}

// Acts asks a process whether it acts for a shard.
func (g *Grants) Acts(ctx context.Context, addr string, shard int) (acts, answered bool) {
	r, err := g.call(ctx, addr, &wire.GrantAsk{Shard: uint32(shard)})
	return err == nil && r.GetOutcome() == wire.GrantReply_GRANTED, err == nil
}

// call puts a question.
func (g *Grants) call(ctx context.Context, addr string, ask *wire.GrantAsk) (*wire.GrantReply, error) {
	asked := time.Now()
	l := g.session(addr)
	r := &wire.GrantReply{}
	err := l.peer.Call(ctx, link.Control, &wire.Call{Kind: &wire.Call_Grant{Grant: ask}}, r)
	g.recordResult(addr, l, asked, err == nil)
	return r, err
}

// recordResult notes whether a question was answered, and closes a session that has given no answer
// for too long.
func (g *Grants) recordResult(addr string, l *grantSession, asked time.Time, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case answered:
		l.unansweredSince = time.Time{}
	case l.unansweredSince.IsZero():
		l.unansweredSince = asked
	case g.sessions[addr] == l && time.Since(l.unansweredSince) >= unansweredTimeout:
		l.peer.Close()
		delete(g.sessions, addr)
	}
}

func (g *Grants) session(addr string) *grantSession {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.sweptAt) > grantIdleTimeout {
		g.sweep(now)
	}
	l := g.sessions[addr]
	if l == nil {
		l = &grantSession{peer: link.NewPeer(g.cfg, addr)}
		g.sessions[addr] = l
	}
	l.lastUsed = now
	return l
}

// sweep closes the sessions that are not used any more. g.mu is held.
func (g *Grants) sweep(now time.Time) {
	g.sweptAt = now
	for addr, l := range g.sessions {
		if now.Sub(l.lastUsed) > grantIdleTimeout {
			l.peer.Close()
			delete(g.sessions, addr)
		}
	}
}

// Close closes all sessions.
func (g *Grants) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for addr, l := range g.sessions {
		l.peer.Close()
		delete(g.sessions, addr)
	}
}

// Granter answers questions about rate limits.
type Granter interface {
	Grant(a ratelimit.Ask) ratelimit.Reply
}

// grant answers a question about a rate limit.
func (s *Server) grant(ask *wire.GrantAsk) *wire.GrantReply {
	if ask.GetWorkspace() == "" {
		if _, ok := s.Acting(int(ask.GetShard())); ok {
			return &wire.GrantReply{Outcome: wire.GrantReply_GRANTED}
		}
		return &wire.GrantReply{Outcome: wire.GrantReply_NOT_ACTING}
	}
	r := s.Granter.Grant(ratelimit.Ask{
		Limit: ratelimit.Limit{Workspace: ask.GetWorkspace(), Version: ask.GetVersion(), Rate: ask.GetRate(), Burst: ask.GetBurst()},
		Share: int(ask.GetShare()), Want: int(ask.GetWant()), Unused: int(ask.GetUnused()),
	})
	out := &wire.GrantReply{Outcome: wire.GrantReply_NOT_ACTING, Granted: uint32(r.Granted), AgainMs: uint32(r.Again.Milliseconds())}
	switch r.Outcome {
	case ratelimit.Granted:
		out.Outcome = wire.GrantReply_GRANTED
	case ratelimit.Denied:
		out.Outcome = wire.GrantReply_DENIED
	case ratelimit.NotActing, ratelimit.Unanswered:
	}
	return out
}
