package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/access"
	"pumiceford/logging"
	"pumiceford/ratelimit"
)

// overLimitJitter bounds the random delay that is added to the retry-after of callers over a
// limit, so that they do not all return at once.
const overLimitJitter = 500 * time.Millisecond

// RefuseForStop returns the refusal of a call that may last longer than this process, which is being
// stopped, and logs it.
func (g *Gateway) RefuseForStop(id string) Refusal {
	if g.recordRefusal("", Stopping) {
		g.log.Info("request refused", logging.F("request", id), logging.F("outcome", Stopping))
	}
	return Refusal{Reason: Stopping, NotRun: true, RetryAfter: retryAfterStopping}
}

// retryAfterUpload is the retry-after while callers' requests hold too much memory: most of it is
// free again after that time.
const retryAfterUpload = 500 * time.Millisecond

// RefuseUpload returns the refusal of a request that was not received in full, because its caller
// took too long or because there is no memory for it, and logs it.
func (g *Gateway) RefuseUpload(id string, timedOut bool, cause error) Refusal {
	r := Refusal{Reason: CallersMemory, NotRun: true, RetryAfter: retryAfterUpload}
	if timedOut {
		r = Refusal{Reason: UploadTimeout, NotRun: true}
	}
	if g.recordRefusal("", r.Reason) {
		g.log.Info("request refused", logging.F("request", id), logging.F("outcome", r.Reason), logging.F("error", cause.Error()))
	}
	return r
}

// Deny returns the refusal of a request whose sender is unknown or may not send it now,
// and logs the reason. It reveals nothing about the sender's key.
func (g *Gateway) Deny(id string, err error) Refusal {
	r := Refusal{Reason: NotReady, NotRun: true, RetryAfter: retryAfterUnavailable}
	var stale *access.StaleError
	var over *ratelimit.OverLimitError
	var ungranted *ratelimit.NoGrantError
	workspace := ""
	switch {
	case errors.As(err, &stale):
		r.Reason, r.RetryAfter = StaleConfiguration, stale.RetryAfter()
	case errors.Is(err, access.ErrUnknownKey):
		r.Reason, r.RetryAfter = UnknownKey, 0
	case errors.As(err, &over):
		workspace = over.Workspace
		r.Reason, r.RetryAfter = OverLimit, over.RetryAfter+rand.N(overLimitJitter)
	case errors.As(err, &ungranted):
		workspace = ungranted.Workspace
		r.Reason, r.RetryAfter = LimitUnknown, ungranted.RetryAfter()
	}
	if g.recordRefusal(workspace, r.Reason) {
		g.log.Info("request refused", logging.F("request", id), logging.F("outcome", r.Reason),
			logging.F("error", err.Error()), logging.F("catalog", g.view.CatalogVersion()))
	}
	return r
}
