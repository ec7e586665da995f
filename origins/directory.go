package origins

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"pumiceford/internal/wait"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/quarantine"
	"pumiceford/routing"
	"pumiceford/targets"
	"pumiceford/wire"
)

// Bounds and timeouts of a Directory.
const (
	// maxHolders bounds the agents that hold origins, and with them the sessions of an entry.
	// All entries choose the same ones.
	maxHolders = 32
	// copies is the number of agents at which an origin is recorded.
	copies = 2
	// askedHolders is the number of current holders asked for an origin. Entries learn of targets
	// that join and leave at different times, so the holders with the copies may rank lower here.
	askedHolders = 4
	// maxAsked bounds the holders asked, with those that ranked higher before targets joined.
	maxAsked = 10
	// maxHolderSets bounds the earlier sets of holders that are remembered.
	maxHolderSets = 64
	// recordWait bounds how long the first event of a stream waits for a copy. If there is none
	// after recordHedge, two more agents get one.
	recordWait  = 80 * time.Millisecond
	recordHedge = 30 * time.Millisecond
	// maxRecordTime is how long recording is repeated for a stream that must not begin without a
	// record, with recordRetryPause between two tries. Agents that restart are back by then.
	maxRecordTime    = 2 * time.Second
	recordRetryPause = 50 * time.Millisecond
	// recordTimeout bounds recording at one agent, and askTimeout asking one.
	recordTimeout = 500 * time.Millisecond
	askTimeout    = 200 * time.Millisecond
	// confirmTimeout bounds the read of the registry that precedes a resumption.
	confirmTimeout = 600 * time.Millisecond
	// freshRegistry is the age of the registry's last confirmation up to which an entry relies
	// on it when it records no origin.
	freshRegistry = 1500 * time.Millisecond
	// recentVersion is how long after a second version appeared a stream without a record is
	// taken to have begun before. It exceeds freshRegistry by the time in which entries
	// record the streams that they have open then.
	recentVersion = 5 * time.Second
	// maxGap is the time between two confirmations of the registry after which it may have been
	// read anew, without what came and went meanwhile.
	maxGap = 10 * time.Second
	// unrecordedAge is the age of the last confirmation up to which an entry that reaches no agent
	// begins streams without a record: others then still take their versions into account.
	unrecordedAge = 30 * time.Second
	// knownToAll is how long after a version appeared no entry takes it for recent any more.
	knownToAll = recentVersion + 2*time.Second
	// retryUnreachable is the retry-after when no agent answered: another entry may reach one.
	retryUnreachable = 100 * time.Millisecond
	// observeInterval is the interval of checks on the registry's confirmations, and
	// historyInterval that of requests for the history of other entries.
	observeInterval = 100 * time.Millisecond
	historyInterval = time.Second
	historyTimeout  = 400 * time.Millisecond
)

// MinWindow is the shortest window of a stream.
const MinWindow = 15 * time.Second

// span returns how far back the versions matter that were registered: a stream that is taken up
// now began within the window, at a version that was registered up to unrecordedAge earlier.
func span(window time.Duration) time.Duration {
	return window + unrecordedAge
}

// Registry provides the confirmations of the registry of targets.
type Registry interface {
	// ConfirmedAt returns the time, by Config.Clock, at which the registry was last known
	// completely. It reports false if it never was.
	ConfirmedAt() (time.Duration, bool)
	// Confirm ensures that the last confirmation is at most maxAge ago.
	Confirm(ctx context.Context, maxAge time.Duration) error
}

// Agents calls the agents beside targets.
type Agents interface {
	// Origins makes a call to the agent beside the target at addr.
	Origins(ctx context.Context, addr string, call *wire.OriginCall) (*wire.OriginReply, error)
}

// Entries asks other entries for their histories.
type Entries interface {
	// VersionHistories returns the histories of a few other entries, as far as they answer.
	VersionHistories(ctx context.Context) []*wire.VersionHistory
}

// Config holds the dependencies of a Directory.
type Config struct {
	Registry Registry
	Agents   Agents
	Entries  Entries
	Clock    func() time.Duration // monotonic, includes the time for which the host is suspended
	Log      logging.Logger
	Metrics  *metrics.Set
}

// Directory knows the origins of streams that began at this entry or another one. It is safe for
// concurrent use; no call is made under mu.
type Directory struct {
	cfg Config

	mu      sync.Mutex
	history *History
	own     *Table            // streams that began at this entry
	open    map[string]Stream // those of them that have not ended, by attempt
	holders []holderSet       // oldest first, the last one is in use
	lastAt  time.Duration     // the last confirmation seen
}

// holderSet is a set of agents that hold origins, in use from a time on.
type holderSet struct {
	from  time.Duration
	addrs []string // of the targets beside the agents
}

// holdersLocked returns the set of holders in use. The caller holds d.mu.
func (d *Directory) holdersLocked() []string {
	if len(d.holders) == 0 {
		return nil
	}
	return d.holders[len(d.holders)-1].addrs
}

// setHoldersLocked puts a set of holders in use. The caller holds d.mu.
func (d *Directory) setHoldersLocked(now time.Duration, addrs []string) {
	if slices.Equal(addrs, d.holdersLocked()) {
		return
	}
	d.holders = append(d.holders, holderSet{from: now, addrs: addrs})
	for len(d.holders) > maxHolderSets || len(d.holders) > 1 && now-d.holders[1].from > maxWindow {
		d.holders = d.holders[1:]
	}
}

// holdersSinceLocked returns the holders that may have a record of a stream that began in the
// window before now. The caller holds d.mu.
func (d *Directory) holdersSinceLocked(now time.Duration, key quarantine.Key, window time.Duration) []string {
	score := keyScore(key)
	out := routing.Top(d.holdersLocked(), score, askedHolders)
	for i := len(d.holders) - 2; i >= 0 && d.holders[i+1].from >= now-window; i-- {
		for _, addr := range routing.Top(d.holders[i].addrs, score, copies) {
			if len(out) < maxAsked && !slices.Contains(out, addr) {
				out = append(out, addr)
			}
		}
	}
	return out
}

// NewDirectory returns a Directory.
func NewDirectory(cfg Config) *Directory {
	return &Directory{cfg: cfg, history: NewHistory(), own: NewTable(), open: make(map[string]Stream)}
}

// Run keeps the history complete until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	var asked time.Duration
	for wait.For(ctx, observeInterval) == nil {
		now := d.cfg.Clock()
		if d.observeConfirmation(now) && now-asked >= historyInterval {
			asked = now
			d.mergeHistories(ctx)
		}
	}
}

// observeConfirmation follows the confirmations of the registry. It reports whether the history
// does not yet cover the shortest window.
func (d *Directory) observeConfirmation(now time.Duration) (incomplete bool) {
	at, ok := d.cfg.Registry.ConfirmedAt()
	if !ok {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	since, known := d.history.Since()
	if !known || at-d.lastAt > maxGap {
		since = at
		d.history.CompleteSince(at)
	}
	d.lastAt = at
	return now-since < span(MinWindow)
}

// mergeHistories extends the history by those of other entries.
func (d *Directory) mergeHistories(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	for _, h := range d.cfg.Entries.VersionHistories(ctx) {
		if !h.GetKnown() {
			continue
		}
		now := d.cfg.Clock()
		var all []Presence
		for _, p := range h.GetPresences() {
			all = append(all, Presence{
				Software: targets.Software{Service: p.GetService(), Version: p.GetVersion()},
				First:    millis(p.GetFirstMs()), Seen: millis(p.GetSeenMs()), Last: millis(p.GetLastMs()),
			})
		}
		d.mu.Lock()
		merged := d.history.Merge(now, now-millis(h.GetCompleteMs()), now-millis(h.GetConfirmedMs()), all)
		d.mu.Unlock()
		if merged {
			d.cfg.Log.Info("history of software versions learned from another entry", logging.F("back_ms", h.GetCompleteMs()), logging.F("versions", len(all)))
		}
	}
}

func millis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// History returns the history for other entries. It reads the registry first, so that the history
// reaches the beginning of that of an entry that has just started.
func (d *Directory) History(ctx context.Context) *wire.VersionHistory {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout/2)
	defer cancel()
	// Without a read the history is told as it was confirmed last.
	_ = d.cfg.Registry.Confirm(ctx, 0)
	at, ok := d.cfg.Registry.ConfirmedAt()
	now := d.cfg.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	since, known := d.history.Since()
	out := &wire.VersionHistory{Known: ok && known}
	if !out.Known {
		return out
	}
	out.CompleteMs = uint32(min(now-since, maxWindow).Milliseconds())
	out.ConfirmedMs = uint32((now - at + time.Millisecond).Milliseconds())
	for _, p := range d.history.Export(now) {
		out.Presences = append(out.Presences, &wire.VersionPresence{
			Service: p.Software.Service, Version: p.Software.Version,
			FirstMs: uint32(p.First.Milliseconds()), SeenMs: uint32(p.Seen.Milliseconds()), LastMs: uint32(p.Last.Milliseconds()),
		})
	}
	return out
}

// SawRegistrations notes instances whose registrations were read. Some of them may have ended
// since, so that SetTargets is not told of them.
func (d *Directory) SawRegistrations(all []targets.Instance) {
	now := d.cfg.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.Saw(d.absentAtLocked(now), now, all)
}

// absentAtLocked returns the latest time at which a version that is read now for the first time
// is known to have been absent from the registry. The caller holds d.mu.
func (d *Directory) absentAtLocked(now time.Duration) time.Duration {
	if _, known := d.history.Since(); known {
		return d.lastAt
	}
	return now
}

// SetTargets sets the registered instances. When a second version of a service appears, the
// origins of its open streams are recorded.
func (d *Directory) SetTargets(all []targets.Instance) {
	var addrs []string
	for _, in := range all {
		if !in.Draining && !in.Superseded && !slices.Contains(addrs, in.Addr) {
			addrs = append(addrs, in.Addr)
		}
	}
	now := d.cfg.Clock()
	d.mu.Lock()
	changed := d.history.Observe(d.absentAtLocked(now), now, all)
	d.setHoldersLocked(now, routing.Top(addrs, 0, maxHolders))
	var exposed []Stream
	versions := make(map[string][]string)
	for _, service := range changed {
		versions[service] = d.history.Versions(service, now)
		if len(versions[service]) < 2 {
			continue
		}
		for _, s := range d.open {
			if s.Software.Service == service {
				exposed = append(exposed, s)
			}
		}
	}
	holders := d.holdersLocked()
	d.mu.Unlock()
	for _, service := range changed {
		d.cfg.Log.Info("software versions of a service changed", logging.F("service", service), logging.F("versions", versions[service]))
	}
	if len(exposed) > 0 {
		go d.recordAll(holders, exposed)
	}
}

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

// recordAll records the origins of streams, in one call to each agent.
func (d *Directory) recordAll(holders []string, streams []Stream) {
	calls := make(map[string]*wire.OriginCall)
	for _, s := range streams {
		for _, addr := range routing.Top(holders, keyScore(s.Key), copies) {
			if calls[addr] == nil {
				calls[addr] = &wire.OriginCall{}
			}
			calls[addr].Record = append(calls[addr].Record, encodeStream(s))
		}
	}
	var all sync.WaitGroup
	for addr, call := range calls {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
			defer cancel()
			if _, err := d.cfg.Agents.Origins(ctx, addr, call); err != nil {
				d.cfg.Metrics.Count("origin_not_recorded")
			}
		})
	}
	all.Wait()
	d.cfg.Log.Info("origins of open streams recorded", logging.F("streams", len(streams)), logging.F("agents", len(calls)))
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

func resultOf(r *wire.OriginReply) Result {
	switch r.GetOutcome() {
	case wire.OriginReply_RECORDED:
		return Recorded
	case wire.OriginReply_AMBIGUOUS:
		return Ambiguous
	}
	return NotRecorded
}

// Holder holds the origins of streams for entries. It is safe for concurrent use.
type Holder struct {
	clock   func() time.Duration
	metrics *metrics.Set

	mu    sync.Mutex
	table *Table
}

// NewHolder returns a Holder.
func NewHolder(clock func() time.Duration, ms *metrics.Set) *Holder {
	return &Holder{clock: clock, metrics: ms, table: NewTable()}
}

// Serve records and looks up the origins of a call.
func (h *Holder) Serve(call *wire.OriginCall) *wire.OriginReply {
	now := h.clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range call.GetRecord() {
		if key, ok := decodeKey(s.GetKey()); ok {
			h.table.Record(now, Stream{
				Key: key, Attempt: s.GetAttempt(), Software: targets.Software{Service: s.GetService(), Version: s.GetVersion()},
				Window: min(millis(s.GetWindowMs()), maxWindow),
			})
		}
	}
	h.metrics.SetGauge("origins_held", float64(h.table.Len()))
	key, ok := decodeKey(call.GetKey())
	if !ok {
		return &wire.OriginReply{}
	}
	software, result := h.table.Find(now, key, call.GetAttempt())
	switch result {
	case Recorded:
		return &wire.OriginReply{Outcome: wire.OriginReply_RECORDED, Service: software.Service, Version: software.Version}
	case Ambiguous:
		return &wire.OriginReply{Outcome: wire.OriginReply_AMBIGUOUS}
	case NotRecorded:
	}
	return &wire.OriginReply{Outcome: wire.OriginReply_NOT_RECORDED}
}

func decodeKey(b []byte) (quarantine.Key, bool) {
	var k quarantine.Key
	if len(b) != len(k) {
		return k, false
	}
	copy(k[:], b)
	return k, true
}
