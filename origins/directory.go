package origins

import (
	"context"
	"slices"
	"sync"
	"time"

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
	// recordWait bounds one try to record an origin. If there is no copy after recordHedge, two more
	// agents get one.
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
	// checkTimeout bounds the read of the registry that precedes the rest of a stream.
	checkTimeout = 150 * time.Millisecond
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
	// maxUnconfirmed bounds the streams that are remembered because the registry has not confirmed
	// their software.
	maxUnconfirmed = 1 << 14
	// registrationLag is how much later than its process a target's registration may appear.
	registrationLag = time.Second
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
	// IsConfigured reports whether a service is configured; nil if all are. Other targets have no
	// agent that holds origins.
	IsConfigured func(service string) bool
	Clock        func() time.Duration // monotonic, includes the time for which the host is suspended
	Log          logging.Logger
	Metrics      *metrics.Set
}

// Directory knows the origins of streams that began at this entry or another one. It is safe for
// concurrent use; no call is made under mu.
type Directory struct {
	cfg Config

	mu      sync.Mutex
	history *History
	own     *Table            // streams that began at this entry
	open    map[string]Stream // those of them that have not ended, by attempt
	// unconfirmed are those that began when the registry had not yet confirmed the software of
	// their targets, oldest first.
	unconfirmed []begunStream
	holders     []holderSet   // oldest first, the last one is in use
	lastAt      time.Duration // the last confirmation seen
}

// begunStream is a stream and the time at which it began.
type begunStream struct {
	Stream
	at time.Duration
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
	if cfg.IsConfigured == nil {
		cfg.IsConfigured = func(string) bool { return true }
	}
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
	n := 0
	for n < len(d.unconfirmed) && d.unconfirmed[n].at < at-registrationLag {
		n++
	}
	d.unconfirmed = d.unconfirmed[n:]
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
	d.history.Saw(d.absentAtLocked(now), now, all)
	mistaken := d.mistakenLocked(now, all)
	d.mu.Unlock()
	d.correct(mistaken)
}

// mistaken is a stream whose target was registered with other software after the stream began,
// and may have run it already. The record of it is made ambiguous.
type mistaken struct {
	stream  Stream
	other   targets.Software
	holders []string
}

// mistakenLocked returns and forgets the unconfirmed streams whose targets are registered with
// other software. The caller holds d.mu.
func (d *Directory) mistakenLocked(now time.Duration, all []targets.Instance) (out []mistaken) {
	if len(d.unconfirmed) == 0 {
		return nil
	}
	registered := make(map[string][]targets.Software)
	for _, in := range all {
		registered[in.ID] = append(registered[in.ID], in.Software())
	}
	d.unconfirmed = slices.DeleteFunc(d.unconfirmed, func(s begunStream) bool {
		for _, other := range registered[s.Instance] {
			if other == s.Software {
				continue
			}
			out = append(out, mistaken{s.Stream, other, d.holdersSinceLocked(now, s.Key, s.Window)})
			s.Software = other
			d.own.Record(now, s.Stream)
			delete(d.open, s.Attempt) // not recorded once more
			return true
		}
		return false
	})
	return out
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
		if !in.Draining && !in.Superseded && d.cfg.IsConfigured(in.Service) {
			addrs = append(addrs, in.Addr)
		}
	}
	slices.Sort(addrs)
	addrs = slices.Compact(addrs)
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
	mistaken := d.mistakenLocked(now, all)
	d.mu.Unlock()
	d.correct(mistaken)
	for _, service := range changed {
		d.cfg.Log.Info("software versions of a service changed", logging.F("service", service), logging.F("versions", versions[service]))
	}
	if len(exposed) > 0 {
		go d.recordAll(holders, exposed)
	}
}
