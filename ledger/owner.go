// Package ledger runs batch partitions on the platform's log: it takes
// partitions over, writes their records in groups, answers callers only after
// read-back, and feeds items to agents. The rules themselves are in package batch.
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

// Config says how partitions are run.
type Config struct {
	Node       string
	Log        infra.Log
	Partitions uint32 // fixed when the streams are created

	// RecordLimit is the largest record that the log takes, default 1 MiB.
	RecordLimit int
	// CommitEvery is the shortest time between two appends that callers wait
	// for, default 20 ms. Records of callers gather meanwhile.
	CommitEvery time.Duration
	// ResultsEvery is how long results gather before they are appended, default
	// 6 s: at the letter's rate of 58 items a second for each of 64 owners that
	// is 350 items an append. Agents keep results meanwhile.
	ResultsEvery time.Duration
	// FinishEvery is the same once a job's last outcome is there, default 100 ms.
	FinishEvery time.Duration
	// ResultsBytes is how many bytes of results are appended without waiting, default 256 KiB.
	ResultsBytes int
	// MaxBuffered bounds the results that are not durable yet. Above it
	// dispatch stops. Default 32 MiB.
	MaxBuffered int
	// Grace is how long a new owner listens for what agents hold before it
	// dispatches, default 1 s.
	Grace time.Duration
	// AgentLostAfter is how long a silent agent keeps its items, default 5 s.
	AgentLostAfter time.Duration
	// InDoubtAfter is how long a new owner waits for word of started
	// non-idempotent items, default 10 s.
	InDoubtAfter time.Duration
	// SnapshotEvery is how many records a snapshot may lie behind, default 2000.
	SnapshotEvery uint64
	// Retention is how long the log keeps records, default 24 h. What is needed
	// is repeated when it is half as old.
	Retention time.Duration
	Limits    batch.Limits

	// Share returns a workspace's weight.
	Share   func(workspace string) float64
	Logger  logging.Logger
	Metrics *metrics.Set
}

// Defaults of Config.
const (
	defaultRecordLimit    = 1 << 20
	defaultCommitEvery    = 20 * time.Millisecond
	defaultResultsEvery   = 6 * time.Second
	defaultFinishEvery    = 100 * time.Millisecond
	defaultResultsBytes   = 256 << 10
	defaultMaxBuffered    = 32 << 20
	defaultGrace          = time.Second
	defaultAgentLostAfter = 5 * time.Second
	defaultInDoubtAfter   = 10 * time.Second
	defaultSnapshotEvery  = 2000
	defaultRetention      = 24 * time.Hour
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.RecordLimit, defaultRecordLimit)
	defaults.Set(&c.CommitEvery, defaultCommitEvery)
	defaults.Set(&c.ResultsEvery, defaultResultsEvery)
	defaults.Set(&c.FinishEvery, defaultFinishEvery)
	defaults.Set(&c.ResultsBytes, defaultResultsBytes)
	defaults.Set(&c.MaxBuffered, defaultMaxBuffered)
	defaults.Set(&c.Grace, defaultGrace)
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

// StreamName is the log stream of a partition.
func StreamName(partition uint32) string {
	return "batch/" + strconv.Itoa(int(partition))
}

// Owner runs one partition while this node owns it.
//
// Lock order: Owner.mu, then feed.mu. The journal stream belongs to the writer
// goroutine alone, which takes Owner.mu while it applies a record.
type Owner struct {
	cfg    Config
	inc    oplog.Incarnation // of this run
	number uint32
	stream *oplog.Stream
	log    logging.Logger
	// mayTake says whether the partition may be taken from its present holder.
	mayTake func(holder string) bool

	mu         sync.Mutex
	part       *batch.Partition
	disp       *batch.Dispatcher
	feeds      map[string]*feed // by agent name
	lost       map[string]time.Time
	cancels    map[batch.JobID]*cancelWait
	results    map[batch.JobID][]*wire.Outcome
	resultRefs map[batch.JobID][]ackRef
	unsettled  map[batch.ItemKey]string // items whose outcome is not durable yet -> agent that holds it
	// incarnations are the agents' last known ones, to notice a restart.
	incarnations map[string]string
	snapAsked    []chan error
	doubtDone    bool // started items of an earlier owner were settled
	buffered     int  // bytes of results that are not durable
	resultsAt    time.Time
	waiting      []*write
	epoch        uint64 // epoch of our takeover, 0 before it
	tookOver     time.Time
	draining     bool
	closed       bool
	snapAt       uint64
	snapTime     time.Time
	followed     time.Time // when the stream was last read to its tail
	followTried  time.Time
	askedFresh   bool      // a caller waits for the stream to be read
	answersFrom  time.Time // end of the lease of the owner before

	chunks *chunkCache
	signal chan struct{}
	done   chan struct{}
}

// NewOwner returns an Owner for a partition. Run takes the partition over.
func NewOwner(cfg Config, number uint32) *Owner {
	cfg = cfg.withDefaults()
	// Each run has an incarnation of its own. A second run in the same process
	// numbers its records from 1 again; under the first run's incarnation every
	// reader would drop them as copies, its takeover included.
	return &Owner{
		cfg:          cfg,
		inc:          oplog.NewIncarnation(),
		number:       number,
		log:          cfg.Logger.Part("ledger"),
		feeds:        make(map[string]*feed),
		lost:         make(map[string]time.Time),
		cancels:      make(map[batch.JobID]*cancelWait),
		results:      make(map[batch.JobID][]*wire.Outcome),
		resultRefs:   make(map[batch.JobID][]ackRef),
		unsettled:    make(map[batch.ItemKey]string),
		incarnations: make(map[string]string),
		chunks:       newChunkCache(cfg.Log, StreamName(number)),
		signal:       make(chan struct{}, 1),
		done:         make(chan struct{}),
	}
}

// Failures of an Owner.
var (
	errSuperseded = errors.New("partition taken over by another owner")
	errReleased   = errors.New("partition released")
	errNotWanted  = errors.New("partition is proposed to another node")
)

// notOwner is what callers get while this node does not own the partition.
func notOwner() *apierr.Error {
	return apierr.New(apierr.CodeNotOwner, "partition is changing hands").After(time.Second)
}

// Run recovers the partition, takes it over and runs it until ctx ends, Release
// is called, or another owner takes it over.
func (o *Owner) Run(ctx context.Context) error {
	defer close(o.done)
	defer o.shut()
	if err := o.recover(ctx); err != nil {
		return err
	}
	if err := o.awaitTurn(ctx); err != nil {
		return err
	}
	if err := o.takeOver(ctx); err != nil {
		return err
	}
	o.log.Info("partition taken over", logging.F("partition", o.number), logging.F("epoch", o.epoch))
	for {
		err := o.turn(ctx)
		if err != nil {
			return err
		}
	}
}

// Done is closed when Run has returned.
func (o *Owner) Done() <-chan struct{} {
	return o.done
}

// shut fails everything that still waits. What was appended may count or not;
// callers ask the next owner.
func (o *Owner) shut() {
	o.mu.Lock()
	waiting := o.waiting
	o.waiting = nil
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
	for _, ev := range o.part.Apply(rec) {
		if o.disp == nil {
			continue
		}
		switch ev.Kind {
		case batch.JobAccepted:
			o.disp.Add(ev.Job)
		case batch.ItemsDone:
			o.disp.Done(ev.Job.ID, ev.Indexes)
		case batch.JobEnded:
			o.disp.Drop(ev.Job.ID)
		}
	}
}

// idleTurn is how long the writer waits when nothing wakes it. Retries that
// fall due, lost agents and snapshots are looked at then.
const idleTurn = 100 * time.Millisecond

// turn waits for something to do and does one round of the writer.
func (o *Owner) turn(ctx context.Context) error {
	timer := time.NewTimer(idleTurn)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	case <-o.signal:
		// Records of other callers gather meanwhile.
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
	return o.follow(ctx)
}

// wake makes the writer take a turn.
func (o *Owner) wake() {
	select {
	case o.signal <- struct{}{}:
	default:
	}
}

// wakeFeeds lets agents that asked have what has come up.
func (o *Owner) wakeFeeds() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.disp.Backlog() == 0 {
		return
	}
	for _, f := range o.feeds {
		if f.want > 0 {
			f.wake()
		}
	}
}
