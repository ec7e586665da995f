package ratelimit

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pumiceford/internal/wait"
)

// Time-outs and bounds of a Limiter.
const (
	// grantTimeout is the time-out of a grant request. Later replies are ignored.
	grantTimeout = 80 * time.Millisecond
	// hedgeDelay is how long a request waits for one share before it tries the next one as
	// well. The reply for the first share is kept for later requests.
	hedgeDelay = 25 * time.Millisecond
	// admitTimeout is the maximum time for which a request is held for admission.
	admitTimeout = 190 * time.Millisecond
	// unansweredBackOff is how long a process that did not reply receives no grant requests.
	unansweredBackOff = 250 * time.Millisecond
	// suspectPeriod is how long a process that did not reply is tried after the others.
	suspectPeriod = 3 * time.Second
	// noGrantRetryAfter is the retry-after time while no granter can be reached.
	noGrantRetryAfter = 300 * time.Millisecond
	// ownerPollInterval is how often a process that has just started looks for granters.
	ownerPollInterval = 10 * time.Millisecond
	// demandWindow is the time over which demand is averaged.
	demandWindow = 2 * time.Second
	// maxPrefetch is the maximum number of grants requested in advance.
	maxPrefetch = 64
	// shareIdleTimeout is how long the state of a share is kept after its last request.
	shareIdleTimeout = 30 * time.Second
)

// OverLimitError reports that a workspace has used up its rate limit.
type OverLimitError struct {
	Workspace  string
	RetryAfter time.Duration // minimum wait before the next try
}

// Error implements error.
func (e *OverLimitError) Error() string {
	return "workspace " + e.Workspace + " is over its rate limit"
}

// NoGrantError reports that some granters of a workspace did not reply or are not known,
// and that the others had no grants left.
type NoGrantError struct {
	Workspace  string
	Denied     int // shares without grants left
	Unanswered int // shares whose granter did not reply
	NotActing  int // shares for which no process is known to act
}

// Error implements error.
func (e *NoGrantError) Error() string {
	return fmt.Sprintf("workspace %s got no grant: %d shares used up, %d without reply, %d without granter", e.Workspace, e.Denied, e.Unanswered, e.NotActing)
}

// RetryAfter returns the minimum wait before the next try.
func (e *NoGrantError) RetryAfter() time.Duration { return noGrantRetryAfter }

// GrantClient sends grant requests to other processes.
type GrantClient interface {
	// RequestGrants returns the outcome Unanswered if the process at addr does not reply
	// before ctx ends.
	RequestGrants(ctx context.Context, addr string, req GrantRequest) GrantReply
}

// LimiterConfig configures a Limiter.
type LimiterConfig struct {
	Self        string // address of this process as a granter
	Tolerance   Tolerance
	Shards      int
	Owner       func(shard int) string // address of a shard's acting process, "" if unknown
	Granter     *Granter               // granter of this process
	GrantClient GrantClient
	Clock       func() time.Duration // monotonic; includes the time in which the host is suspended
}

// Limiter admits the requests that arrive at this process within the limits of their
// workspaces. It is safe for concurrent use.
type Limiter struct {
	cfg        LimiterConfig
	ownerKnown atomic.Bool // at least one shard has a known owner

	mu           sync.Mutex
	shares       map[shareKey]*localShare
	unansweredAt map[string]time.Duration // time of the last unanswered request, by address
	paces        map[string]*pace         // by workspace
	lastSweep    time.Duration
}

// localShare is the state that this process keeps of one share.
type localShare struct {
	shard       int
	grants      int           // unspent grants
	expiresAt   time.Duration // when the unspent grants expire
	unused      int           // expired grants that are still to be returned to the granter
	deniedUntil time.Duration // the share has no grants left until then
	requesting  bool          // requestGrants runs for this share
	waiters     []*waiter
	demand      float64 // requests per second, averaged over demandWindow
	lastRequest time.Duration
}

// waiter is a request that waits for the reply to a grant request.
type waiter struct {
	reply     chan GrantReply // receives at most one reply
	abandoned bool            // the request no longer waits; guarded by Limiter.mu
}

// NewLimiter returns a Limiter that holds no grants.
func NewLimiter(cfg LimiterConfig) *Limiter {
	return &Limiter{cfg: cfg, shares: make(map[shareKey]*localShare), unansweredAt: make(map[string]time.Duration), paces: make(map[string]*pace)}
}

// Admit admits one request and waits up to admitTimeout for a grant. Its errors are
// *OverLimitError and *NoGrantError; in both cases the request must not run.
func (l *Limiter) Admit(ctx context.Context, limit Limit) error {
	plan := NewPlan(limit, l.cfg.Tolerance, l.cfg.Shards)
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	l.awaitAnyOwner(ctx)
	noGrant := &NoGrantError{Workspace: limit.Workspace}
	retryAfter := maxRetryAfter
	order, wait := l.requestOrder(limit.Workspace, plan)
	if wait > 0 {
		return &OverLimitError{Workspace: limit.Workspace, RetryAfter: wait}
	}
	for _, s := range order {
		if s.Reserve && noGrant.Unanswered+noGrant.NotActing == 0 {
			l.recordDenial(limit.Workspace)
			return &OverLimitError{Workspace: limit.Workspace, RetryAfter: retryAfter}
		}
		r := l.take(ctx, limit, s, plan.GrantTTL)
		switch r.Outcome {
		case Granted:
			return nil
		case Denied:
			retryAfter = min(retryAfter, r.RetryAfter)
			noGrant.Denied++
		case NotActing:
			noGrant.NotActing++
		case Unanswered:
			noGrant.Unanswered++
		}
	}
	return noGrant
}

// requestOrder returns the shares in the order in which they are tried. Shares of processes
// that recently failed to reply come after the others: a request that tries two of them
// first would use up admitTimeout. For an exhausted workspace it returns a share that holds
// unspent grants or, if there is none, the one to ask, each with the reserve, or a wait.
func (l *Limiter) requestOrder(workspace string, p Plan) (order []Share, wait time.Duration) {
	ordered := p.Order(l.cfg.Self)
	primary, reserve := ordered[:len(ordered)-1], ordered[len(ordered)-1]
	now := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range primary {
		if ls := l.shares[shareKey{workspace, s.Index}]; ls != nil && ls.grants > 0 && now < ls.expiresAt {
			return []Share{s, reserve}, 0
		}
	}
	position, all, wait := l.pace(workspace).begin(now, len(primary))
	if wait > 0 {
		return nil, wait
	}
	if !all {
		turn := slices.Concat(primary[position:], primary[:position])
		s := turn[max(slices.IndexFunc(turn, func(s Share) bool { return l.suspectRank(s, now) == 0 }), 0)]
		// The pace bounds the messages, so an earlier denial need not hold.
		l.localShare(shareKey{workspace, s.Index}).deniedUntil = 0
		return []Share{s, reserve}, 0
	}
	if len(l.unansweredAt) > 0 {
		slices.SortStableFunc(primary, func(a, b Share) int {
			return cmp.Compare(l.suspectRank(a, now), l.suspectRank(b, now))
		})
	}
	return ordered, 0
}

// pace returns the pace of a workspace and creates it if it is missing. The caller holds l.mu.
func (l *Limiter) pace(workspace string) *pace {
	p := l.paces[workspace]
	if p == nil {
		p = &pace{}
		l.paces[workspace] = p
	}
	return p
}

// recordDenial records that all shares that were asked for a workspace denied a request.
func (l *Limiter) recordDenial(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pace(workspace).denied(l.cfg.Clock())
}

// suspectRank returns 1 for a share whose process failed to reply within the last
// suspectPeriod, and 0 otherwise. The caller holds l.mu.
func (l *Limiter) suspectRank(s Share, now time.Duration) int {
	if at, ok := l.unansweredAt[l.cfg.Owner(s.Shard)]; ok && now-at < suspectPeriod {
		return 1
	}
	return 0
}

// awaitAnyOwner waits until at least one shard has a known owner or ctx ends. Only a process
// that has just started knows no owner.
func (l *Limiter) awaitAnyOwner(ctx context.Context) {
	for !l.ownerKnown.Load() {
		for n := range l.cfg.Shards {
			if l.cfg.Owner(n) != "" {
				l.ownerKnown.Store(true)
				return
			}
		}
		if wait.For(ctx, ownerPollInterval) != nil {
			return
		}
	}
}

// take spends a grant of a share and requests one if this process holds none. Requests that
// arrive while a grant request is in flight share the next one.
func (l *Limiter) take(ctx context.Context, limit Limit, s Share, ttl time.Duration) GrantReply {
	now := l.cfg.Clock()
	l.mu.Lock()
	l.sweep(now)
	ls := l.localShare(shareKey{limit.Workspace, s.Index})
	ls.shard = s.Shard
	ls.recordRequest(now)
	if r, ok := ls.tryLocal(now); ok {
		l.mu.Unlock()
		return r
	}
	owner := l.cfg.Owner(s.Shard)
	if owner == "" {
		l.mu.Unlock()
		return GrantReply{Outcome: NotActing}
	}
	if at, ok := l.unansweredAt[owner]; ok && now-at < unansweredBackOff {
		l.mu.Unlock()
		return GrantReply{Outcome: Unanswered}
	}
	w := &waiter{reply: make(chan GrantReply, 1)}
	ls.waiters = append(ls.waiters, w)
	if !ls.requesting {
		ls.requesting = true
		go l.requestGrants(ls, limit, s, ttl)
	}
	l.mu.Unlock()
	return l.awaitReply(ctx, w)
}

// awaitReply waits for a reply for up to hedgeDelay.
func (l *Limiter) awaitReply(ctx context.Context, w *waiter) GrantReply {
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	select {
	case r := <-w.reply:
		return r
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case r := <-w.reply: // the reply arrived together with the time-out
		return r
	default:
		w.abandoned = true
		return GrantReply{Outcome: Unanswered}
	}
}

// localShare returns the state of a share and creates it if it is missing. The caller holds
// l.mu.
func (l *Limiter) localShare(k shareKey) *localShare {
	ls := l.shares[k]
	if ls == nil {
		ls = &localShare{}
		l.shares[k] = ls
	}
	return ls
}

// recordRequest adds a request to the average demand. The caller holds Limiter.mu.
func (ls *localShare) recordRequest(now time.Duration) {
	ls.demand = ls.demand*ls.demandDecay(now) + 1/demandWindow.Seconds()
	ls.lastRequest = now
}

// demandDecay returns the fraction of the last recorded demand that still counts. The caller
// holds Limiter.mu.
func (ls *localShare) demandDecay(now time.Duration) float64 {
	return max(0, 1-float64(now-ls.lastRequest)/float64(demandWindow))
}

// tryLocal returns a reply from the local state. It returns false if the granter has to be
// asked. The caller holds Limiter.mu.
func (ls *localShare) tryLocal(now time.Duration) (GrantReply, bool) {
	if now >= ls.expiresAt {
		ls.unused += ls.grants
		ls.grants = 0
	}
	switch {
	case ls.grants > 0:
		ls.grants--
		return GrantReply{Outcome: Granted, Granted: 1}, true
	case now < ls.deniedUntil:
		return GrantReply{Outcome: Denied, RetryAfter: ls.deniedUntil - now}, true
	}
	return GrantReply{}, false
}

// requestGrants sends grant requests for a share until no request waits for it. It looks up
// the owner for each grant request, because the owner may change in between.
func (l *Limiter) requestGrants(ls *localShare, limit Limit, s Share, ttl time.Duration) {
	for {
		owner := l.cfg.Owner(s.Shard)
		requestedAt := l.cfg.Clock()
		l.mu.Lock()
		waiters := ls.waiters
		ls.waiters = nil
		if len(waiters) == 0 {
			ls.requesting = false
			l.mu.Unlock()
			return
		}
		prefetch := min(int(ls.demand*ttl.Seconds()), maxPrefetch)
		req := GrantRequest{Limit: limit, Share: s.Index, Want: len(waiters) + prefetch, Unused: ls.unused}
		ls.unused = 0
		l.mu.Unlock()
		r := l.sendRequest(owner, req, requestedAt)
		l.mu.Lock()
		ls.applyReply(r, replyToWaiters(waiters, r), requestedAt, ttl)
		if r.Outcome == Granted && r.Granted >= req.Want {
			l.pace(limit.Workspace).granted()
		}
		if r.Outcome == Unanswered {
			l.unansweredAt[owner] = l.cfg.Clock()
		}
		l.mu.Unlock()
	}
}

// sendRequest sends a grant request to the owner of a share. A reply that arrives too late
// counts as Unanswered, because its grants may have been issued long before.
func (l *Limiter) sendRequest(owner string, req GrantRequest, requestedAt time.Duration) GrantReply {
	if owner == l.cfg.Self {
		return l.cfg.Granter.Grant(req)
	}
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	r := l.cfg.GrantClient.RequestGrants(ctx, owner, req)
	if l.cfg.Clock()-requestedAt > 2*grantTimeout {
		return GrantReply{Outcome: Unanswered}
	}
	return r
}

// applyReply stores the rest of a reply from which the waiting requests took spent grants.
// The caller holds Limiter.mu.
func (ls *localShare) applyReply(r GrantReply, spent int, requestedAt, ttl time.Duration) {
	switch r.Outcome {
	case Granted:
		ls.unused += ls.grants // from an earlier reply, which expire sooner
		ls.grants, ls.expiresAt = max(r.Granted-spent, 0), requestedAt+ttl
	case Denied:
		ls.deniedUntil = requestedAt + r.RetryAfter
	case NotActing, Unanswered:
	}
}

// replyToWaiters replies to the requests that still wait and returns the number of grants
// that they took. If there are fewer grants than requests, the rest are denied. The caller
// holds Limiter.mu.
func replyToWaiters(waiters []*waiter, r GrantReply) (spent int) {
	for _, w := range waiters {
		if w.abandoned {
			continue
		}
		reply := r
		switch {
		case r.Outcome != Granted:
		case spent < r.Granted:
			spent++
		default:
			reply = GrantReply{Outcome: Denied, RetryAfter: minRetryAfter}
		}
		w.reply <- reply
	}
	return spent
}

// sweep removes idle shares and expired records of unanswered requests. The caller holds
// l.mu.
func (l *Limiter) sweep(now time.Duration) {
	if now-l.lastSweep < shareIdleTimeout {
		return
	}
	l.lastSweep = now
	for k, ls := range l.shares {
		if now-ls.lastRequest > shareIdleTimeout && !ls.requesting {
			delete(l.shares, k)
		}
	}
	for ws, p := range l.paces {
		if now-p.lastUsed > shareIdleTimeout {
			delete(l.paces, ws)
		}
	}
	for addr, at := range l.unansweredAt {
		if now-at >= suspectPeriod {
			delete(l.unansweredAt, addr)
		}
	}
}

// Demand is the request rate of a rate-limited workspace at this process.
type Demand struct {
	Workspace string  `json:"workspace"`
	PerSecond float64 `json:"per_second"`
	// Granters are the addresses of the processes that act for the shares in use, "" for
	// a shard without known owner.
	Granters []string `json:"granters"`
}

// Demands returns the demand of the workspaces that recently sent requests to this process,
// sorted by workspace.
func (l *Limiter) Demands() []Demand {
	now := l.cfg.Clock()
	l.mu.Lock()
	perSecond := make(map[string]float64)
	shards := make(map[string][]int)
	for k, ls := range l.shares {
		perSecond[k.workspace] = max(perSecond[k.workspace], ls.demand*ls.demandDecay(now))
		shards[k.workspace] = append(shards[k.workspace], ls.shard)
	}
	l.mu.Unlock()
	out := []Demand{}
	for _, ws := range slices.Sorted(maps.Keys(perSecond)) {
		d := Demand{Workspace: ws, PerSecond: perSecond[ws]}
		for _, shard := range slices.Sorted(slices.Values(shards[ws])) {
			d.Granters = append(d.Granters, l.cfg.Owner(shard))
		}
		out = append(out, d)
	}
	return out
}
