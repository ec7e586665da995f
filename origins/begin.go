package origins

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"pumiceford/internal/wait"
	"pumiceford/logging"
	"pumiceford/quarantine"
	"pumiceford/routing"
	"pumiceford/wire"
)

// RecordOpen records the origins of all open streams. It does not block.
func (d *Directory) RecordOpen() {
	d.mu.Lock()
	streams := slices.Collect(maps.Values(d.open))
	holders := d.holdersLocked()
	d.mu.Unlock()
	if len(streams) > 0 {
		go d.recordAll(holders, streams)
	}
}

// recordAll records the origins of streams.
func (d *Directory) recordAll(holders []string, streams []Stream) {
	calls := make(recordCalls)
	for _, s := range streams {
		for _, addr := range routing.Top(holders, keyScore(s.Key), copies) {
			calls.add(addr, s)
		}
	}
	failed := d.send(calls)
	d.cfg.Log.Info("origins of open streams recorded", logging.F("streams", len(streams)),
		logging.F("agents", len(calls)), logging.F("failed", failed))
}

// correct makes the records of streams ambiguous, at each agent that may be asked. It does not
// block.
func (d *Directory) correct(streams []mistaken) {
	if len(streams) == 0 {
		return
	}
	calls := make(recordCalls)
	for _, m := range streams {
		other := m.stream
		other.Software = m.other
		for _, addr := range m.holders {
			calls.add(addr, m.stream)
			calls.add(addr, other)
		}
		d.cfg.Metrics.Count("origin_corrected")
		d.cfg.Log.Warn("target has started again with other software; origin of a stream is ambiguous", logging.F("request", m.stream.Attempt),
			logging.F("instance", m.stream.Instance), logging.F("version", m.stream.Software.Version), logging.F("registered", m.other.Version))
	}
	go func() {
		if failed := d.send(calls); failed > 0 {
			d.cfg.Log.Warn("ambiguous origins not recorded everywhere", logging.F("agents", len(calls)), logging.F("failed", failed))
		}
	}()
}

// recordCalls are calls that record origins, by address of the target beside the agent.
type recordCalls map[string]*wire.OriginCall

func (c recordCalls) add(addr string, s Stream) {
	if c[addr] == nil {
		c[addr] = &wire.OriginCall{}
	}
	c[addr].Record = append(c[addr].Record, encodeStream(s))
}

// send makes calls to agents at the same time. It returns the number of those that failed.
func (d *Directory) send(calls recordCalls) int64 {
	var all sync.WaitGroup
	var failed atomic.Int64
	for addr, call := range calls {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
			defer cancel()
			if _, err := d.cfg.Agents.Origins(ctx, addr, call); err != nil {
				failed.Add(1)
			}
		})
	}
	all.Wait()
	return failed.Load()
}

func encodeStream(s Stream) *wire.StreamOrigin {
	return &wire.StreamOrigin{
		Key: s.Key[:], Attempt: s.Attempt, Service: s.Software.Service, Version: s.Software.Version,
		WindowMs: uint32(s.Window.Milliseconds()),
	}
}

func keyScore(k quarantine.Key) uint64 {
	return xxhash.Sum64(k[:])
}

// ErrNotRecorded is returned for a stream that must not begin: it has no record, and other entries
// would take it for a stream of another version.
var ErrNotRecorded = errors.New("the origin of the stream cannot be recorded")

// Begin notes the beginning of a stream before its first event is relayed. It waits until a copy
// of its origin is recorded, unless only one version of the service has been registered for the
// stream's window. If no agent records it, the error is ErrNotRecorded while other entries may not
// know of its version; after that the stream may begin and cannot be resumed elsewhere. An attempt
// whose stream must not begin must not begin another one: its record may still arrive.
func (d *Directory) Begin(ctx context.Context, s Stream) error {
	now := d.cfg.Clock()
	at, confirmed := d.cfg.Registry.ConfirmedAt()
	d.mu.Lock()
	d.own.Record(now, s)
	d.open[s.Attempt] = s
	d.unconfirmed = append(d.unconfirmed, begunStream{s, now})
	if len(d.unconfirmed) > maxUnconfirmed {
		d.unconfirmed = d.unconfirmed[1:]
	}
	sole, only := d.history.Sole(now, s.Software.Service, span(s.Window))
	holders := d.holdersLocked()
	d.mu.Unlock()
	if !s.Rerouted && only && sole == s.Software.Version && confirmed && now-at <= freshRegistry {
		return nil
	}
	d.cfg.Metrics.Count("origin_to_record")
	for try := 0; ; try++ {
		if d.record(ctx, holders, s) {
			return nil
		}
		if ctx.Err() != nil {
			return ErrNotRecorded // nobody waits for the stream any more
		}
		if try == 0 {
			// An entry that has just started learns from others how old a version is.
			d.mergeHistories(ctx)
		}
		// Entries that do not know of a new route may take the stream for one of its old service.
		old := d.versionsKnownToAll(s.Software.Service)
		mayBegin := !s.Rerouted && slices.Contains(old, s.Software.Version)
		if mayBegin || d.cfg.Clock()-now > maxRecordTime {
			d.cfg.Metrics.Count("origin_not_recorded")
			d.cfg.Log.Warn("origin of a stream is not recorded", logging.F("request", s.Attempt), logging.F("version", s.Software.Version),
				logging.F("agents", len(holders)), logging.F("known_to_all", old), logging.F("begins", mayBegin))
			if mayBegin {
				return nil
			}
			return ErrNotRecorded
		}
		_ = wait.For(ctx, recordRetryPause)
	}
}

// versionsKnownToAll returns the registered versions of a service that every entry takes into
// account.
func (d *Directory) versionsKnownToAll(service string) []string {
	at, confirmed := d.cfg.Registry.ConfirmedAt()
	now := d.cfg.Clock()
	if !confirmed || now-at > unrecordedAge {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.history.SeenBefore(service, now-knownToAll)
}

// record records the origin of a stream. It returns when a copy is recorded, and reports false
// if there is none within recordWait. The other copy is recorded in the background.
func (d *Directory) record(ctx context.Context, holders []string, s Stream) bool {
	ranked := routing.Top(holders, keyScore(s.Key), askedHolders)
	call := &wire.OriginCall{Record: []*wire.StreamOrigin{encodeStream(s)}}
	done := make(chan bool, len(ranked))
	pending := 0
	send := func(to []string) {
		for _, addr := range to {
			pending++
			go func() {
				ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
				defer cancel()
				_, err := d.cfg.Agents.Origins(ctx, addr, call)
				done <- err == nil
			}()
		}
	}
	first := min(copies, len(ranked))
	send(ranked[:first])
	rest := ranked[first:]
	hedge, limit := time.NewTimer(recordHedge), time.NewTimer(recordWait)
	defer hedge.Stop()
	defer limit.Stop()
	for pending > 0 || len(rest) > 0 {
		if pending == 0 { // all have failed
			send(rest)
			rest = nil
		}
		select {
		case ok := <-done:
			pending--
			if ok {
				return true
			}
		case <-hedge.C:
			send(rest)
			rest = nil
		case <-limit.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// End notes that the response to an attempt has ended.
func (d *Directory) End(attempt string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open, attempt)
}
