package origins

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/quarantine"
	"pumiceford/targets"
	"pumiceford/wire"
)

// Query asks for the origin of a stream that a caller takes up.
type Query struct {
	Key          quarantine.Key
	FirstAttempt string // ID of the attempt that brought the first event; "" if it is not known
	// Service is the service of the first attempt; "" if that is not known, so that only a
	// record tells the origin.
	Service string
	Window  time.Duration
}

// Basis is what the origin of a stream is known from.
type Basis string

// The bases.
const (
	FromOwn        Basis = "own"       // this entry began the stream
	FromRecord     Basis = "recorded"  // an agent has a record of it
	FromRegistry   Basis = "registry"  // no other version was registered since it can have begun
	FromNoRecord   Basis = "no_record" // it has no record, so it began before a second version appeared
	UnknownNoReply Basis = "no_reply"  // no agent answered
	UnknownOrigin  Basis = "unknown"   // it has no record and may have begun at several versions
	UnknownMany    Basis = "ambiguous" // the records that match differ
)

// UnknownError is returned for a stream whose origin is not known.
type UnknownError struct {
	Basis Basis
}

// Error implements error.
func (e *UnknownError) Error() string {
	return "the software that began the stream is not known: " + string(e.Basis)
}

// RetryAfter returns how long the caller should wait before it tries again, 0 if that is no use.
func (e *UnknownError) RetryAfter() time.Duration {
	if e.Basis == UnknownNoReply {
		return retryUnreachable
	}
	return 0
}

// Resolve returns the software that began a stream. The error is an *UnknownError.
func (d *Directory) Resolve(ctx context.Context, q Query) (targets.Software, Basis, error) {
	d.mu.Lock()
	found, result := d.own.Find(d.cfg.Clock(), q.Key, q.FirstAttempt)
	d.mu.Unlock()
	if q.FirstAttempt != "" && result == Recorded {
		return found, FromOwn, nil
	}
	fromRegistry := make(chan registered, 1)
	go func() { fromRegistry <- d.onlyRegistered(ctx, q) }()
	found, result, answered := d.ask(ctx, q)
	switch {
	case result == Recorded:
		return found, FromRecord, nil
	case result == Ambiguous:
		return targets.Software{}, UnknownMany, &UnknownError{UnknownMany}
	case !answered:
		return targets.Software{}, UnknownNoReply, &UnknownError{UnknownNoReply}
	}
	only := <-fromRegistry
	if only.basis == UnknownOrigin {
		return targets.Software{}, UnknownOrigin, &UnknownError{UnknownOrigin}
	}
	return targets.Software{Service: q.Service, Version: only.version}, only.basis, nil
}

// registered is the version at which a stream without a record began.
type registered struct {
	version string
	basis   Basis // UnknownOrigin if there may be several
}

// onlyRegistered returns the only version at which a stream without a record can have begun,
// according to a read of the registry.
func (d *Directory) onlyRegistered(ctx context.Context, q Query) registered {
	if d.registered(q).basis == UnknownOrigin {
		return registered{basis: UnknownOrigin}
	}
	// The stream began before now, so at a version that is registered by now.
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if d.cfg.Registry.Confirm(ctx, 0) != nil {
		return registered{basis: UnknownOrigin}
	}
	return d.registered(q)
}

// registered is like onlyRegistered, without a read of the registry.
func (d *Directory) registered(q Query) registered {
	now := d.cfg.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if version, ok := d.history.Sole(now, q.Service, span(q.Window)); ok {
		return registered{version, FromRegistry}
	}
	if version, ok := d.history.SoleBefore(now, q.Service, span(q.Window), recentVersion); ok {
		return registered{version, FromNoRecord}
	}
	return registered{basis: UnknownOrigin}
}

// answer is the reply of one agent.
type answer struct {
	software targets.Software
	result   Result
	ok       bool
}

// ask asks the agents that may have a record of the stream, and this entry's own records. It
// reports whether any agent answered.
func (d *Directory) ask(ctx context.Context, q Query) (found targets.Software, result Result, answered bool) {
	d.mu.Lock()
	now := d.cfg.Clock()
	found, result = d.own.Find(now, q.Key, q.FirstAttempt)
	at := d.holdersSinceLocked(now, q.Key, q.Window)
	d.mu.Unlock()
	if result == Ambiguous {
		return found, result, true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	call := &wire.OriginCall{Key: q.Key[:], Attempt: q.FirstAttempt}
	answers := make(chan answer, len(at))
	for _, addr := range at {
		go func() {
			reply, err := d.cfg.Agents.Origins(ctx, addr, call)
			answers <- answer{
				software: targets.Software{Service: reply.GetService(), Version: reply.GetVersion()},
				result:   resultOf(reply), ok: err == nil,
			}
		}()
	}
	for range at {
		a := <-answers
		answered = answered || a.ok
		if !a.ok || a.result == NotRecorded {
			continue
		}
		if a.result == Ambiguous || result == Recorded && a.software != found {
			return targets.Software{}, Ambiguous, true
		}
		found, result = a.software, Recorded
		if q.FirstAttempt != "" {
			return found, result, true
		}
	}
	return found, result, answered
}

// ErrAmbiguous is returned for a stream that may have begun at other software than believed.
var ErrAmbiguous = errors.New("the stream may have begun at other software")

// CheckRest reads the registry before the rest of a stream is relayed from a target that was
// sent the request at most age ago. The error is ErrAmbiguous if the attempt began the stream at
// a target that has turned out to have other software. An entry that has just lost the registry
// relies on what it knew.
func (d *Directory) CheckRest(ctx context.Context, key quarantine.Key, attempt string, age time.Duration) error {
	if at, ok := d.cfg.Registry.ConfirmedAt(); ok && d.cfg.Clock()-at <= freshRegistry {
		ctx, cancel := context.WithTimeout(ctx, checkTimeout)
		defer cancel()
		if err := d.cfg.Registry.Confirm(ctx, age); err != nil {
			d.cfg.Metrics.Count("rest_not_confirmed")
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, result := d.own.Find(d.cfg.Clock(), key, attempt); result == Ambiguous {
		return ErrAmbiguous
	}
	return nil
}

func resultOf(r *wire.OriginReply) Result {
	switch r.GetOutcome() {
	case wire.OriginReply_RECORDED:
		return Recorded
	case wire.OriginReply_AMBIGUOUS:
		return Ambiguous
	}
	return NotRecorded
}
