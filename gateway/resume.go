package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/balance"
	"pumiceford/catalog"
	"pumiceford/logging"
	"pumiceford/origins"
)

// timeoutsPerWindow is how many times the timeout of its route a stream may be taken up after it
// began: the caller's attempts share one timeout, and clocks and pauses add to it.
const timeoutsPerWindow = 3

// takeUpWindow returns how long after its beginning a stream of a route may be taken up.
func takeUpWindow(r *catalog.Route) time.Duration {
	return max(timeoutsPerWindow*r.Timeout, origins.MinWindow)
}

// resolveOrigin finds the software that began the stream whose rest the caller wants, and binds
// the request to it. It reports false when it has ended the request instead.
func (s *requestState) resolveOrigin() bool {
	if s.req.ResumeAfter == 0 || s.g.origins == nil {
		return true
	}
	if !s.maySend() {
		return false
	}
	began := time.Now()
	software, basis, err := s.g.origins.Resolve(s.ctx, origins.Query{
		Key: s.req.Key, FirstAttempt: s.req.FirstAttempt, Service: s.serviceOfFirstAttempt(), Window: takeUpWindow(s.route),
	})
	s.g.log.Info("stream taken up", logging.F("request", s.req.ID), logging.F("first_attempt", s.req.FirstAttempt), logging.F("resume_after", s.req.ResumeAfter),
		logging.F("service", software.Service), logging.F("version", software.Version), logging.F("known_from", basis),
		logging.F("took_ms", time.Since(began).Milliseconds()))
	s.g.metrics.Count("taken_up_" + string(basis))
	var unknown *origins.UnknownError
	switch {
	case errors.As(err, &unknown):
		s.fail(OriginUnknown, unknown.RetryAfter())
		return false
	case !s.route.HasService(software.Service):
		s.fail(VersionGone, 0)
		return false
	}
	s.service, s.continues = software.Service, &software
	return true
}

// rerouted reports whether the services of the route changed in the time in which a stream that
// may be taken up has begun.
func (s *requestState) rerouted() bool {
	return s.g.view.SharesChangedWithin(time.Now(), s.route.ID(), takeUpWindow(s.route))
}

// serviceOfFirstAttempt returns the service to which the route sent the attempt that began the
// stream, "" if the route may have sent it to another one.
func (s *requestState) serviceOfFirstAttempt() string {
	if s.req.FirstAttempt == "" && len(s.route.Shares) > 1 || s.rerouted() {
		return ""
	}
	return s.route.Service(s.req.FirstAttempt)
}

// beginStream binds the request to the software of the target that sends the first event, and
// notes the origin of a stream that the caller may take up. The error is origins.ErrNotRecorded if
// the stream must not begin, or one of checkRest.
func (s *requestState) beginStream(c balance.Choice) error {
	if err := s.checkRest(c); err != nil {
		return err
	}
	software := c.Instance.Software()
	if s.g.origins != nil && s.route.Kind == catalog.Streaming && s.route.Resumable {
		err := s.g.origins.Begin(s.ctx, origins.Stream{
			Key: s.req.Key, Attempt: s.req.ID, Instance: c.Instance.ID, Software: software,
			Window: takeUpWindow(s.route), Rerouted: s.rerouted(),
		})
		if err != nil {
			return err
		}
	}
	s.continues = &software
	return nil
}

// errOtherSoftware reports a target that has started again with other software.
var errOtherSoftware = errors.New("the target has started again with other software")

// checkRest checks that a target which sends the rest of a stream has the software that began
// it. The errors are errOtherSoftware and origins.ErrAmbiguous.
func (s *requestState) checkRest(c balance.Choice) error {
	if s.continues == nil || s.g.origins == nil {
		return nil
	}
	ambiguous := s.g.origins.CheckRest(s.ctx, s.req.Key, s.req.ID, time.Since(s.sentAt))
	replaced := false
	s.g.view.WithTable(func(t *balance.Table) { replaced = t.HasOtherSoftware(c.Instance.ID, *s.continues) })
	if replaced {
		return errOtherSoftware
	}
	return ambiguous
}

// handleRejectedStream decides what to do when a stream must not be relayed from its target.
func (s *requestState) handleRejectedStream(c balance.Choice, err error) step {
	switch {
	case errors.Is(err, errOtherSoftware):
		return s.continueElsewhere(c.Instance, err, VersionGone)
	case errors.Is(err, origins.ErrAmbiguous):
		s.fail(OriginUnknown, 0)
	default:
		s.fail(NotRecorded, 0)
	}
	return finished
}
