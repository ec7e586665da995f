// Package ledger runs batch partitions on the platform's log. It takes
// partitions over, appends their records in groups, replies to callers only after
// reading their records back, and grants items to agents. Package batch defines
// the state of a partition and how records change it.
package ledger

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/apierr"
	"pumiceford/batch"
	"pumiceford/infra"
	"pumiceford/internal/defaults"
	"pumiceford/internal/wait"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/oplog"
	"pumiceford/wire"
)

// Config configures a Manager and its owners.
type Config struct {
	Node       string
	Log        infra.Log
	Partitions uint32 // fixed when the streams are created

	// RecordLimit is the largest record in bytes that the log accepts, default
	// 1 MiB.
	RecordLimit int
	// CommitEvery is the shortest time between two appends that callers wait
	// for, default 20 ms. Entries of several callers share one append.
	CommitEvery time.Duration
	// ResultsEvery is how long results are buffered before they are appended,
	// default 6 s. With 64 owners at 58 items a second each, one append holds
	// about 350 items. Agents keep results until they are durable.
	ResultsEvery time.Duration
	// FinishDelay replaces ResultsEvery when the buffered results complete a
	// job, default 100 ms.
	FinishDelay time.Duration
	// ResultsBytes is the size of the buffered results in bytes at which they
	// are appended at once, default 256 KiB.
	ResultsBytes int
	// MaxBufferedBytes is the size in bytes of results that are not durable yet at
	// which dispatch stops, default 32 MiB.
	MaxBufferedBytes int
	// GracePeriod is how long a new owner waits for agents to report what they
	// hold before it grants items, default 1 s.
	GracePeriod time.Duration
	// AgentLostAfter is how long a disconnected agent keeps its items, default
	// 5 s.
	AgentLostAfter time.Duration
	// InDoubtAfter is how long a new owner waits for agents to report started
	// non-idempotent items before it records them as failed, default 10 s.
	InDoubtAfter time.Duration
	// SnapshotEvery is the number of records after which a new snapshot is
	// written, default 2000.
	SnapshotEvery uint64
	// Retention is how long the log keeps records, default 24 h. Records that
	// are still needed are appended again when they are half as old.
	Retention time.Duration
	Limits    batch.Limits

	// Share returns a workspace's weight. All weights are 1 if it is nil.
	Share   func(workspace string) float64
	Logger  logging.Logger
	Metrics *metrics.Set
}

// Defaults of Config.
const (
	defaultRecordLimit      = 1 << 20
	defaultCommitEvery      = 20 * time.Millisecond
	defaultResultsEvery     = 6 * time.Second
	defaultFinishDelay      = 100 * time.Millisecond
	defaultResultsBytes     = 256 << 10
	defaultMaxBufferedBytes = 32 << 20
	defaultGracePeriod      = time.Second
	defaultAgentLostAfter   = 5 * time.Second
	defaultInDoubtAfter     = 10 * time.Second
	defaultSnapshotEvery    = 2000
	defaultRetention        = 24 * time.Hour
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.RecordLimit, defaultRecordLimit)
	defaults.Set(&c.CommitEvery, defaultCommitEvery)
	defaults.Set(&c.ResultsEvery, defaultResultsEvery)
	defaults.Set(&c.FinishDelay, defaultFinishDelay)
	defaults.Set(&c.ResultsBytes, defaultResultsBytes)
	defaults.Set(&c.MaxBufferedBytes, defaultMaxBufferedBytes)
	defaults.Set(&c.GracePeriod, defaultGracePeriod)
	defaults.Set(&c.AgentLostAfter, defaultAgentLostAfter)
	defaults.Set(&c.InDoubtAfter, defaultInDoubtAfter)
	defaults.Set(&c.SnapshotEvery, defaultSnapshotEvery)
	defaults.Set(&c.Retention, defaultRetention)
	if c.Limits == (batch.Limits{}) {
		c.Limits = batch.DefaultLimits()
	}
	if c.Share == nil {
		c.Share = func(string) float64 { return 1 }
	}
	if c.Metrics == nil {
		c.Metrics = metrics.New(c.Node)
	}
	return c
}

// StreamName returns the name of a partition's log stream.
func StreamName(partition uint32) string {
	return "batch/" + strconv.Itoa(int(partition))
}

// Owner runs one partition while this node owns it.
//
// Lock order: Owner.mu, then feed.mu. Only the goroutine of Run reads and writes
// the log stream. It takes Owner.mu while it applies a record.
type Owner struct {
	cfg    Config
	inc    oplog.Incarnation // of this run
	number uint32
	stream *oplog.Stream
	log    logging.Logger
	// mayTakeOver reports whether the partition may be taken over from its
	// current holder. If it is nil, it always may.
	mayTakeOver func(holder string) bool

	mu              sync.Mutex
	partition       *batch.Partition
	dispatcher      *batch.Dispatcher
	feeds           map[string]*feed     // by agent name
	disconnectedAt  map[string]time.Time // by agent name, until the agent is lost
	cancels         map[batch.JobID]*cancelWait
	results         map[batch.JobID][]*wire.Outcome // not appended yet
	resultAcks      map[batch.JobID][]resultAck     // parallel to results
	pendingOutcomes map[batch.ItemKey]string        // agent that holds each non-durable outcome
	// incarnations holds the last known incarnation of each agent, to detect a
	// restart.
	incarnations     map[string]string
	snapshotRequests []chan error
	inDoubtResolved  bool      // failInDoubt has run
	bufferedBytes    int       // size of results that are not durable
	resultsSince     time.Time // first result buffered or results last collected
	queuedWrites     []*pendingWrite
	epoch            uint64 // epoch of this owner's takeover, 0 before it
	takenOverAt      time.Time
	draining         bool
	closed           bool
	snapshotOffset   uint64 // stream offset at the takeover or the last snapshot
	snapshotTime     time.Time
	caughtUpAt       time.Time // start of the last successful read to the tail
	followedAt       time.Time // last attempt to read to the tail
	catchupRequested bool      // a caller waits for the stream to be read
	readsAllowedAt   time.Time // end of the previous owner's read lease

	chunks *chunkCache
	wakeup chan struct{}
	done   chan struct{}
}

// NewOwner returns an Owner for a partition. It owns nothing until Run has taken
// the partition over.
func NewOwner(cfg Config, number uint32) *Owner {
	cfg = cfg.withDefaults()
	// Each Owner has an incarnation of its own. It numbers its records from 1, so
	// with the incarnation of an earlier Owner in the same process readers would
	// drop them, the takeover included, as duplicates.
	return &Owner{
		cfg:             cfg,
		inc:             oplog.NewIncarnation(),
		number:          number,
		log:             cfg.Logger.WithPrefix("ledger"),
		feeds:           make(map[string]*feed),
		disconnectedAt:  make(map[string]time.Time),
		cancels:         make(map[batch.JobID]*cancelWait),
		results:         make(map[batch.JobID][]*wire.Outcome),
		resultAcks:      make(map[batch.JobID][]resultAck),
		pendingOutcomes: make(map[batch.ItemKey]string),
		incarnations:    make(map[string]string),
		chunks:          newChunkCache(cfg.Log, StreamName(number)),
		wakeup:          make(chan struct{}, 1),
		done:            make(chan struct{}),
	}
}

// Errors with which Run returns.
var (
	errSuperseded  = errors.New("partition taken over by another owner")
	errReleased    = errors.New("partition released")
	errNotProposed = errors.New("partition is proposed to another node")
)

// notOwner returns the error for callers while this node does not own the
// partition.
func notOwner() *apierr.Error {
	return apierr.New(apierr.CodeNotOwner, "partition is changing hands").WithRetryAfter(time.Second)
}

// Run recovers the partition, takes it over and runs it until ctx ends, a release
// is complete, or another owner takes it over.
func (o *Owner) Run(ctx context.Context) error {
	defer close(o.done)
	defer o.shutDown()
	if err := o.recover(ctx); err != nil {
		return err
	}
	if err := o.awaitHandover(ctx); err != nil {
		return err
	}
	if err := o.takeOver(ctx); err != nil {
		return err
	}
	o.log.Info("partition taken over", logging.F("partition", o.number), logging.F("epoch", o.epoch))
	for {
		err := o.runOnce(ctx)
		if err != nil {
			return err
		}
	}
}

// Done returns a channel that is closed when Run returns.
func (o *Owner) Done() <-chan struct{} {
	return o.done
}

// shutDown fails all queued writes and closes all feeds. Queued writes were not
// appended, so callers can repeat them at the next owner. For a write that was
// being appended, completeGroup reports an unknown outcome.
func (o *Owner) shutDown() {
	o.mu.Lock()
	waiting := o.queuedWrites
	o.queuedWrites = nil
	o.closed = true
	feeds := o.feeds
	o.feeds = make(map[string]*feed)
	o.mu.Unlock()
	for _, w := range waiting {
		w.done <- notOwner()
	}
	for _, f := range feeds {
		f.close()
	}
}

// apply folds one record into the partition and the dispatcher.
func (o *Owner) apply(rec infra.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, ev := range o.partition.Apply(rec) {
		if o.dispatcher == nil {
			continue
		}
		switch ev.Kind {
		case batch.JobAccepted:
			o.dispatcher.Add(ev.Job)
		case batch.ItemsDone:
			o.dispatcher.Done(ev.Job.ID, ev.Indexes)
		case batch.JobEnded:
			o.dispatcher.Drop(ev.Job.ID)
		}
	}
}

// idleInterval is how often the writer runs when nothing wakes it. It then
// handles due retries, lost agents and snapshots.
const idleInterval = 100 * time.Millisecond

// runOnce waits for a wake-up or idleInterval and then runs one round of the
// writer.
func (o *Owner) runOnce(ctx context.Context) error {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	case <-o.wakeup:
		// Wait for entries of other callers, which then share the append.
		_ = wait.For(ctx, o.cfg.CommitEvery)
	}
	o.expireAgents(time.Now())
	if err := o.flush(ctx); err != nil {
		return err
	}
	if err := o.maintain(ctx); err != nil {
		return err
	}
	o.wakeFeeds()
	return o.followStream(ctx)
}

// wake makes the writer run its next round.
func (o *Owner) wake() {
	select {
	case o.wakeup <- struct{}{}:
	default:
	}
}

// wakeFeeds wakes the feeds of agents that want items, if items are waiting.
func (o *Owner) wakeFeeds() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.dispatcher.Backlog() == 0 {
		return
	}
	for _, f := range o.feeds {
		if f.want > 0 {
			f.wake()
		}
	}
}
