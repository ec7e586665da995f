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
	"google.golang.org/protobuf/proto"

	"pumiceford/apierr"
	"pumiceford/batch"
	"pumiceford/journal"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/platform"
	"pumiceford/wire"
)

// Config says how partitions are run.
type Config struct {
	Node       string
	Log        platform.Log
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
	Log2    logging.Logger
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

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (c Config) withDefaults() Config {
	orDefault(&c.RecordLimit, defaultRecordLimit)
	orDefault(&c.CommitEvery, defaultCommitEvery)
	orDefault(&c.ResultsEvery, defaultResultsEvery)
	orDefault(&c.FinishEvery, defaultFinishEvery)
	orDefault(&c.ResultsBytes, defaultResultsBytes)
	orDefault(&c.MaxBuffered, defaultMaxBuffered)
	orDefault(&c.Grace, defaultGrace)
	orDefault(&c.AgentLostAfter, defaultAgentLostAfter)
	orDefault(&c.InDoubtAfter, defaultInDoubtAfter)
	orDefault(&c.SnapshotEvery, defaultSnapshotEvery)
	orDefault(&c.Retention, defaultRetention)
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
	inc    journal.Incarnation // of this run
	number uint32
	stream *journal.Stream
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

// write is a group of entries that someone waits for.
type write struct {
	entries []*wire.Entry
	size    int
	done    chan error
}

// ackRef tells an agent that a result is durable.
type ackRef struct {
	agent string
	ref   *wire.ItemRef
}

// NewOwner returns an Owner for a partition. Run takes the partition over.
func NewOwner(cfg Config, number uint32) *Owner {
	cfg = cfg.withDefaults()
	// Each run has an incarnation of its own. A second run in the same process
	// numbers its records from 1 again; under the first run's incarnation every
	// reader would drop them as copies, its takeover included.
	return &Owner{
		cfg:          cfg,
		inc:          journal.NewIncarnation(),
		number:       number,
		log:          cfg.Log2.Part("ledger"),
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

// recover builds the state from the newest snapshot and the records behind it.
func (o *Owner) recover(ctx context.Context) error {
	for {
		err := o.tryRecover(ctx)
		if err == nil {
			return nil
		}
		var trimmed *platform.TrimmedError
		if !errors.Is(err, platform.ErrUnavailable) && !errors.As(err, &trimmed) && ctx.Err() == nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		pause(ctx, retryPause)
	}
}

const retryPause = 100 * time.Millisecond

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (o *Owner) tryRecover(ctx context.Context) error {
	part, err := LoadPartition(ctx, o.cfg.Log, o.number, o.cfg.SnapshotEvery)
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.part = part
	o.mu.Unlock()
	o.stream = journal.NewStream(o.cfg.Log, StreamName(o.number), o.inc, part.Next(), o.apply)
	return o.stream.Catchup(ctx)
}

// LoadPartition finds the newest snapshot of a partition and returns its state.
// The caller applies the records from Next on.
func LoadPartition(ctx context.Context, log platform.Log, number uint32, snapshotEvery uint64) (*batch.Partition, error) {
	name := StreamName(number)
	page, err := log.Read(ctx, name, 0, 1, 0)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		page = platform.Page{Earliest: trimmed.Earliest, Tail: trimmed.Tail}
	} else if err != nil {
		return nil, err
	}
	// A snapshot lies at most snapshotEvery records and its own parts behind the
	// tail. Look there first and at everything that is kept only after that.
	window := 2*snapshotEvery + 1
	from := page.Earliest
	if page.Tail > window {
		from = max(from, page.Tail-window)
	}
	part, err := findSnapshot(ctx, log, number, from, page.Tail)
	if err == nil && part == nil && from > page.Earliest {
		part, err = findSnapshot(ctx, log, number, page.Earliest, page.Tail)
	}
	if err != nil {
		return nil, err
	}
	if part != nil {
		return part, nil
	}
	if page.Earliest > 0 {
		return nil, &MissingSnapshotError{Partition: number, Earliest: page.Earliest}
	}
	return batch.NewPartition(number), nil
}

// MissingSnapshotError says that the log trimmed records of a partition and no
// snapshot covers them. An operator must look at it; nothing is made up.
type MissingSnapshotError struct {
	Partition uint32
	Earliest  uint64
}

// Error implements error.
func (e *MissingSnapshotError) Error() string {
	return "partition " + strconv.Itoa(int(e.Partition)) + " is trimmed and has no snapshot"
}

const recoverReadBytes = 4 << 20

func findSnapshot(ctx context.Context, log platform.Log, number uint32, from, tail uint64) (*batch.Partition, error) {
	finder := batch.NewFinder()
	for from < tail {
		page, err := log.Read(ctx, StreamName(number), from, recoverReadBytes, 0)
		if err != nil {
			return nil, err
		}
		if len(page.Records) == 0 {
			break
		}
		for _, rec := range page.Records {
			finder.Add(rec)
		}
		from = page.Records[len(page.Records)-1].Offset + 1
	}
	data, _, ok := finder.Snapshot()
	if !ok {
		return nil, nil
	}
	return batch.Restore(number, data)
}

// turnPatience bounds the wait for a present owner to hand over.
const turnPatience = 2 * handOver

// awaitTurn waits until the partition may be taken from its present owner.
func (o *Owner) awaitTurn(ctx context.Context) error {
	until := time.Now().Add(turnPatience)
	for {
		o.mu.Lock()
		holder := o.part.Owner()
		drop := o.draining
		o.mu.Unlock()
		if o.mayTake == nil || o.mayTake(holder) {
			return nil
		}
		if drop || ctx.Err() != nil || time.Now().After(until) {
			return errNotWanted
		}
		pause(ctx, retryPause)
		// While the log is away there is nothing new to learn from it.
		_ = o.stream.Catchup(ctx)
	}
}

// takeOver appends the claim and sees whether it won.
func (o *Owner) takeOver(ctx context.Context) error {
	o.mu.Lock()
	epoch := o.part.Epoch() + 1
	before := o.part.Owner()
	o.mu.Unlock()
	claim := &wire.Entry{Kind: &wire.Entry_Takeover{Takeover: &wire.Takeover{
		Owner:       o.cfg.Node,
		Incarnation: o.inc[:],
	}}}
	if _, err := o.stream.Write(ctx, epoch, []*wire.Entry{claim}); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.part.OwnedBy(o.inc) || o.part.Epoch() != epoch {
		return errSuperseded
	}
	o.epoch = epoch
	o.tookOver = time.Now()
	o.followed = o.tookOver
	if before != "" {
		o.answersFrom = o.tookOver.Add(freshFor)
	}
	o.snapAt = o.part.Next()
	// The first turn writes a snapshot and repeats old records. Nobody did so
	// since the last owner was lost, and records near their end cannot wait for
	// another interval.
	o.snapTime = time.Time{}
	o.disp = batch.NewDispatcher(o.cfg.Limits)
	o.part.Jobs(func(j *batch.Job) bool {
		if j.State() == batch.JobRunning {
			o.disp.Add(j)
		}
		return true
	})
	return nil
}

// owned reports whether this node still owns the partition as far as it has read.
// Owner.mu must be held.
func (o *Owner) owned() bool {
	return o.epoch != 0 && o.part.Epoch() == o.epoch && o.part.OwnedBy(o.inc)
}

// apply folds one record into the partition and the dispatcher.
func (o *Owner) apply(rec platform.Record) {
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
		pause(ctx, o.cfg.CommitEvery)
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

// followEvery is how often an idle owner looks for a takeover by another node.
// Agents refuse a superseded owner's grants meanwhile, by their epoch.
const followEvery = 2 * time.Second

// follow reads the stream now and then, so that a superseded owner notices.
func (o *Owner) follow(ctx context.Context) error {
	o.mu.Lock()
	due := time.Since(o.followTried) >= followEvery || o.askedFresh
	if due {
		o.followTried = time.Now()
		o.askedFresh = false
	}
	drained := o.draining && len(o.waiting) == 0 && len(o.results) == 0
	o.mu.Unlock()
	if drained {
		return o.release(ctx)
	}
	if !due {
		return nil
	}
	began := time.Now()
	err := o.stream.Catchup(ctx)
	if err != nil && !errors.Is(err, platform.ErrUnavailable) {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		o.followed = began
	}
	if !o.owned() {
		return errSuperseded
	}
	return nil
}

// freshFor is how long after reading the stream to its tail an owner answers
// from memory. It is the lease of its answers: an owner that took over from one
// that did not release answers nothing for as long, so that the two never
// contradict each other, also when the first was paused and resumes.
const freshFor = 500 * time.Millisecond

// freshPatience bounds the wait for such a read.
const freshPatience = 2 * time.Second

// freshen waits until the owner has read its stream lately. An owner that was
// paused may be superseded without knowing; its answers would show a job as it
// was before. While the log does not answer there is nothing to wait for, and
// the last known state is what callers get.
func (o *Owner) freshen(ctx context.Context) error {
	until := time.Now().Add(freshPatience)
	for {
		o.mu.Lock()
		now := time.Now()
		fresh := now.Sub(o.followed) <= freshFor && !now.Before(o.answersFrom)
		o.askedFresh = !fresh
		o.mu.Unlock()
		if fresh || (o.stream.Failing() && !now.Before(o.answersFrom)) {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(until) {
			return notOwner()
		}
		o.wake()
		pause(ctx, o.cfg.CommitEvery)
	}
}

// Release hands the partition over on a planned stop: nothing new is granted,
// what was computed is made durable, and the release record lets the next owner
// start at once.
func (o *Owner) Release() {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
}

func (o *Owner) release(ctx context.Context) error {
	entry := &wire.Entry{Kind: &wire.Entry_Release{Release: &wire.Release{Owner: o.cfg.Node}}}
	if _, err := o.stream.Write(ctx, o.epoch, []*wire.Entry{entry}); err != nil {
		return err
	}
	o.log.Info("partition released", logging.F("partition", o.number))
	return errReleased
}

// flush appends what is due as one record.
func (o *Owner) flush(ctx context.Context) error {
	for {
		group := o.gather(time.Now())
		if len(group.entries) == 0 {
			return nil
		}
		o.nameOutcomes(ctx, group)
		_, err := o.stream.Write(ctx, o.epoch, group.entries)
		if err := o.settle(group, err); err != nil {
			return err
		}
	}
}

// group is what one append carries.
type group struct {
	entries []*wire.Entry
	writes  []*write
	acks    []ackRef
	keys    []batch.ItemKey
	bytes   int // of results
}

// envelopeSlack leaves room for the envelope around the entries.
const envelopeSlack = 4 << 10

func (o *Owner) gather(now time.Time) group {
	o.mu.Lock()
	defer o.mu.Unlock()
	var g group
	room := o.cfg.RecordLimit - envelopeSlack
	for len(o.waiting) > 0 && (o.waiting[0].size <= room || len(g.writes) == 0) {
		w := o.waiting[0]
		o.waiting = o.waiting[1:]
		room -= w.size
		g.entries = append(g.entries, w.entries...)
		g.writes = append(g.writes, w)
	}
	age := now.Sub(o.resultsAt)
	due := o.buffered >= o.cfg.ResultsBytes || age >= o.cfg.ResultsEvery || o.draining ||
		(age >= o.cfg.FinishEvery && o.finishesJob())
	// Results ride along with any record that goes out anyway.
	if len(o.results) > 0 && (due || len(g.writes) > 0) {
		o.gatherResults(&g, room, now)
	}
	return g
}

// finishesJob reports whether the buffered outcomes are all that some job lacks.
func (o *Owner) finishesJob() bool {
	for id, outcomes := range o.results {
		if j := o.part.Job(id); j != nil && uint32(len(outcomes)) >= j.Remaining() {
			return true
		}
	}
	return false
}

func (o *Owner) gatherResults(g *group, room int, now time.Time) {
	for job, outcomes := range o.results {
		n, size := fitting(outcomes, room)
		if n == 0 {
			break
		}
		room -= size
		g.bytes += size
		g.entries = append(g.entries, &wire.Entry{Kind: &wire.Entry_Results{Results: &wire.Results{
			Job:        append([]byte(nil), job[:]...),
			Outcomes:   outcomes[:n],
			TimeUnixMs: now.UnixMilli(),
		}}})
		for _, oc := range outcomes[:n] {
			g.keys = append(g.keys, batch.ItemKey{Job: job, Index: oc.GetIndex()})
		}
		refs := o.resultRefs[job]
		g.acks = append(g.acks, refs[:n]...)
		if n == len(outcomes) {
			delete(o.results, job)
			delete(o.resultRefs, job)
			continue
		}
		o.results[job] = outcomes[n:]
		o.resultRefs[job] = refs[n:]
	}
	o.resultsAt = now
}

// nameOutcomes adds the caller's id to outcomes that no agent reported, such as
// those of lost targets. One that cannot be read now stays without; readers look
// into the input file while it is there.
func (o *Owner) nameOutcomes(ctx context.Context, g group) {
	for _, e := range g.entries {
		r := e.GetResults()
		for _, oc := range r.GetOutcomes() {
			if oc.GetCustomId() != "" {
				continue
			}
			if id, ok := jobID(r.GetJob()); ok {
				oc.CustomId = o.customID(ctx, o.job(id), oc.GetIndex())
			}
		}
	}
}

// customID reads an item's id from the input file, empty when it is not there.
func (o *Owner) customID(ctx context.Context, j *batch.Job, index uint32) string {
	if j == nil {
		return ""
	}
	line, err := o.line(ctx, j, index)
	if err != nil {
		return ""
	}
	item, err := batch.ParseItem(line)
	if err != nil {
		return ""
	}
	return item.CustomID
}

// fitting returns how many outcomes fit into room, and their size.
func fitting(outcomes []*wire.Outcome, room int) (n, size int) {
	for _, oc := range outcomes {
		s := outcomeSize(oc)
		if size+s > room {
			break
		}
		size += s
		n++
	}
	return n, size
}

// outcomeOverhead is the encoding around one outcome.
const outcomeOverhead = 8

// outcomeSize bounds the encoded size, with room for a custom_id that is added
// just before the append.
func outcomeSize(oc *wire.Outcome) int {
	size := proto.Size(oc) + outcomeOverhead
	if oc.GetCustomId() == "" {
		size += batch.MaxCustomIDBytes + outcomeOverhead
	}
	return size
}

// settle tells everyone who waited for a group.
func (o *Owner) settle(g group, err error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil && !o.owned() {
		err = errSuperseded
	}
	if err != nil {
		for _, w := range g.writes {
			w.done <- settleFailure(err)
		}
		if errors.Is(err, platform.ErrTooLarge) && len(g.keys) == 0 {
			return nil
		}
		// Outcomes must not be dropped: agents hold them until they are durable,
		// and the next run of the partition gets them again.
		return err
	}
	o.buffered -= g.bytes
	for _, key := range g.keys {
		delete(o.unsettled, key)
	}
	for _, w := range g.writes {
		w.done <- nil
	}
	for _, a := range g.acks {
		if f := o.feeds[a.agent]; f != nil {
			f.durable(a.ref)
		}
	}
	return nil
}

func settleFailure(err error) error {
	if errors.Is(err, platform.ErrTooLarge) {
		return apierr.New(apierr.CodeTooLarge, "record over the log's limit")
	}
	return apierr.Unknown(apierr.CodeNotOwner, "partition changed hands").After(time.Second)
}

// commit queues entries and waits until they were read back, or ctx ends.
func (o *Owner) commit(ctx context.Context, entries ...*wire.Entry) error {
	w := &write{entries: entries, done: make(chan error, 1)}
	for _, e := range entries {
		w.size += proto.Size(e) + outcomeOverhead
	}
	if w.size > o.cfg.RecordLimit-envelopeSlack {
		return apierr.New(apierr.CodeTooLarge, "record of %d bytes is over the log's limit", w.size)
	}
	o.mu.Lock()
	if o.closed || o.draining || !o.owned() {
		o.mu.Unlock()
		return notOwner()
	}
	if o.stream.Failing() {
		o.mu.Unlock()
		return apierr.New(apierr.CodeLogDown, "the platform's log does not answer").After(time.Second)
	}
	o.waiting = append(o.waiting, w)
	o.mu.Unlock()
	o.wake()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return o.withdraw(w)
	}
}

// withdraw gives a write up. One that was not appended yet never will be, so
// that "not run" is true; the outcome of one that is under way is unknown.
func (o *Owner) withdraw(w *write) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, other := range o.waiting {
		if other == w {
			o.waiting = append(o.waiting[:i:i], o.waiting[i+1:]...)
			return apierr.New(apierr.CodeLogDown, "the platform's log does not answer").After(time.Second)
		}
	}
	return apierr.Unknown(apierr.CodeLogDown, "the platform's log does not answer; ask again with the same key").After(time.Second)
}
