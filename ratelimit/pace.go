package ratelimit

import "time"

// probeInterval is how long a host that holds no grants of an exhausted workspace waits after a
// denial before it asks for grants again. By then no share has refilled completely.
const probeInterval = 600 * time.Millisecond

// grantsToRecover is the number of grants in a row after which a workspace no longer counts as
// exhausted. Single shares have grants left also during a surge.
const grantsToRecover = 8

// pace decides which shares a host asks for grants while a workspace sends many times its limit.
// Asking all shares for each request would cost as many messages as there are shares, and waiting
// longer for each share would refuse requests after the surge has ended. Once all shares have
// denied a request, the host therefore asks one share at a time, in turn, and pauses after a
// denial, until grantsToRecover shares in a row have granted all that it wanted. It is not safe
// for concurrent use.
type pace struct {
	exhausted bool
	grants    int           // shares in a row that granted all that was wanted
	nextShare int           // position in the order of shares
	notBefore time.Duration // no share is asked before that time
	lastUsed  time.Duration
}

// begin returns the position of the only share that may be asked now, or all if any may. It
// returns a wait if no share may be asked yet.
func (p *pace) begin(now time.Duration, shares int) (position int, all bool, wait time.Duration) {
	p.lastUsed = now
	switch {
	case !p.exhausted:
		return 0, true, 0
	case now < p.notBefore:
		return 0, false, p.notBefore - now
	}
	position = p.nextShare % shares
	p.nextShare++
	return position, false, 0
}

// denied records that a share, or all shares, denied a request.
func (p *pace) denied(now time.Duration) {
	p.exhausted, p.grants = true, 0
	p.notBefore = now + probeInterval
}

// granted records that a share granted everything that was wanted.
func (p *pace) granted() {
	p.grants++
	p.exhausted = p.exhausted && p.grants < grantsToRecover
}
