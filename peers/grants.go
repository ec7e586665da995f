package peers

import (
	"context"
	"sync"
	"time"

	"pumiceford/link"
	"pumiceford/ratelimit"
	"pumiceford/wire"
)

// Timeouts and intervals of sessions for grants.
const (
	// grantIdleTimeout is how long a session is kept after its last use.
	grantIdleTimeout = 20 * time.Second
	// grantHeartbeat is the heartbeat interval of these sessions, whether idle or in use. It is
	// the longest interval that the other side accepts. Each request has its own timeout, so
	// an unresponsive session need not be detected sooner.
	grantHeartbeat = link.DefaultIdleHeartbeatInterval
	// unansweredTimeout is how long a session may leave requests unanswered before it is
	// replaced. Replacing it after each late reply would keep a temporarily slow host
	// slow, since it would spend its time on opening sessions.
	unansweredTimeout = 1500 * time.Millisecond
)

// GrantClient requests rate-limit grants from other processes. It keeps one session per
// process open while the session is in use. It implements ratelimit.GrantClient and is safe
// for concurrent use.
type GrantClient struct {
	cfg link.Config

	mu       sync.Mutex
	sessions map[string]*grantSession
	sweptAt  time.Time
}

// grantSession is a session with one process.
type grantSession struct {
	peer     *link.Peer
	lastUsed time.Time
	// unansweredSince is the start of the first unanswered request after the last reply, zero
	// if there is none.
	unansweredSince time.Time
}

// NewGrantClient returns a client without open sessions. It overrides the heartbeat
// intervals of cfg.
func NewGrantClient(cfg link.Config) *GrantClient {
	cfg.IdleHeartbeatInterval, cfg.HeartbeatInterval = grantHeartbeat, grantHeartbeat
	return &GrantClient{cfg: cfg, sessions: make(map[string]*grantSession)}
}

// RequestGrants implements ratelimit.GrantClient.
func (g *GrantClient) RequestGrants(ctx context.Context, addr string, req ratelimit.GrantRequest) ratelimit.GrantReply {
	r, err := g.call(ctx, addr, &wire.GrantRequest{
		Workspace: req.Limit.Workspace, Version: req.Limit.Version, Rate: req.Limit.Rate, Burst: req.Limit.Burst,
		Share: uint32(req.Share), Want: uint32(req.Want), Unused: uint32(req.Unused),
	})
	if err != nil {
		return ratelimit.GrantReply{Outcome: ratelimit.Unanswered}
	}
	out := ratelimit.GrantReply{Outcome: ratelimit.NotActing, Granted: int(r.GetGranted()), RetryAfter: time.Duration(r.GetAgainMs()) * time.Millisecond}
	switch r.GetOutcome() {
	case wire.GrantReply_GRANTED:
		out.Outcome = ratelimit.Granted
	case wire.GrantReply_DENIED:
		out.Outcome = ratelimit.Denied
	case wire.GrantReply_NOT_ACTING:
	}
	return out
}

// Acts asks the process at addr whether it acts for a shard. answered is false when the
// process does not reply.
func (g *GrantClient) Acts(ctx context.Context, addr string, shard int) (acts, answered bool) {
	r, err := g.call(ctx, addr, &wire.GrantRequest{Shard: uint32(shard)})
	return err == nil && r.GetOutcome() == wire.GrantReply_GRANTED, err == nil
}

// call sends one request over the session with addr.
func (g *GrantClient) call(ctx context.Context, addr string, req *wire.GrantRequest) (*wire.GrantReply, error) {
	start := time.Now()
	s := g.session(addr)
	r := &wire.GrantReply{}
	err := s.peer.Call(ctx, link.Control, &wire.Call{Kind: &wire.Call_Grant{Grant: req}}, r)
	g.recordResult(addr, s, start, err == nil)
	return r, err
}

// recordResult records whether a request was answered, and closes a session that has left
// requests unanswered for unansweredTimeout.
func (g *GrantClient) recordResult(addr string, s *grantSession, start time.Time, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case answered:
		s.unansweredSince = time.Time{}
	case s.unansweredSince.IsZero():
		s.unansweredSince = start
	case g.sessions[addr] == s && time.Since(s.unansweredSince) >= unansweredTimeout:
		s.peer.Close()
		delete(g.sessions, addr)
	}
}

// session returns the session with addr, creating it when there is none.
func (g *GrantClient) session(addr string) *grantSession {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.sweptAt) > grantIdleTimeout {
		g.sweep(now)
	}
	s := g.sessions[addr]
	if s == nil {
		s = &grantSession{peer: link.NewPeer(g.cfg, addr)}
		g.sessions[addr] = s
	}
	s.lastUsed = now
	return s
}

// sweep closes the sessions that have been idle for grantIdleTimeout. g.mu is held.
func (g *GrantClient) sweep(now time.Time) {
	g.sweptAt = now
	for addr, s := range g.sessions {
		if now.Sub(s.lastUsed) > grantIdleTimeout {
			s.peer.Close()
			delete(g.sessions, addr)
		}
	}
}

// Close closes all sessions.
func (g *GrantClient) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for addr, s := range g.sessions {
		s.peer.Close()
		delete(g.sessions, addr)
	}
}

// Granter decides on requests for rate-limit grants.
type Granter interface {
	Grant(req ratelimit.GrantRequest) ratelimit.GrantReply
}

// grant replies to a request for a rate-limit grant or, if it names no workspace, a query
// whether this process acts for a shard.
func (s *Server) grant(req *wire.GrantRequest) *wire.GrantReply {
	if req.GetWorkspace() == "" {
		if _, ok := s.ActingSince(int(req.GetShard())); ok {
			return &wire.GrantReply{Outcome: wire.GrantReply_GRANTED}
		}
		return &wire.GrantReply{Outcome: wire.GrantReply_NOT_ACTING}
	}
	r := s.Granter.Grant(ratelimit.GrantRequest{
		Limit: ratelimit.Limit{Workspace: req.GetWorkspace(), Version: req.GetVersion(), Rate: req.GetRate(), Burst: req.GetBurst()},
		Share: int(req.GetShare()), Want: int(req.GetWant()), Unused: int(req.GetUnused()),
	})
	out := &wire.GrantReply{Outcome: wire.GrantReply_NOT_ACTING, Granted: uint32(r.Granted), AgainMs: uint32(r.RetryAfter.Milliseconds())}
	switch r.Outcome {
	case ratelimit.Granted:
		out.Outcome = wire.GrantReply_GRANTED
	case ratelimit.Denied:
		out.Outcome = wire.GrantReply_DENIED
	case ratelimit.NotActing, ratelimit.Unanswered:
	}
	return out
}
