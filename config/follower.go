package config

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/apierr"
	"pumiceford/infra"
	"pumiceford/internal/wait"
	"pumiceford/logging"
	"pumiceford/oplog"
	"pumiceford/wire"
)

// FetchFunc fetches config records from a peer, beginning with an offset.
type FetchFunc func(ctx context.Context, from uint64) (*wire.ConfigRecords, error)

// Follower keeps a State up to date from the log, or from peers while the log does not
// answer. The state never goes back to a lower offset.
type Follower struct {
	log       infra.Log
	inc       oplog.Incarnation
	bootstrap Operator
	logger    logging.Logger
	pollWait  time.Duration

	writeSem chan struct{} // binary semaphore, acquired before mu; its holder may wait for the log
	stream   *oplog.Stream

	mu      sync.RWMutex
	state   *State
	synced  bool              // the state has reached the tail of the log once, or came from a peer
	recent  []*wire.LogRecord // the last records, for peers
	changed chan struct{}     // closed and replaced at each change
	fetch   FetchFunc
}

// maxRecentRecords bounds the records that a node keeps for its peers.
const maxRecentRecords = 1024

// DefaultPollWait is how long one read waits at the log for a new record. The follower
// detects a log that hangs after DefaultPollWait and the time-out of one call, which
// together are below the 15 s within which a change must be in force.
const DefaultPollWait = 5 * time.Second

// NewFollower returns a Follower. Run starts it.
func NewFollower(log infra.Log, inc oplog.Incarnation, bootstrap Operator, logger logging.Logger) *Follower {
	f := &Follower{
		log:       log,
		inc:       inc,
		bootstrap: bootstrap,
		logger:    logger.WithPrefix("config"),
		state:     NewState(bootstrap),
		changed:   make(chan struct{}),
		writeSem:  make(chan struct{}, 1),
		pollWait:  DefaultPollWait,
	}
	f.stream = oplog.NewStream(log, StreamName, inc, 0, f.apply)
	return f
}

// SetFetch sets the function that fetches records from peers.
func (f *Follower) SetFetch(fetch FetchFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetch = fetch
}

// View calls fn with the present state under a read lock. fn must not retain it.
func (f *Follower) View(fn func(*State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn(f.state)
}

// Offset returns the offset of the first record that the state has not applied.
func (f *Follower) Offset() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.state.Next()
}

// Synced reports whether the state has reached the tail of the log once or came from a
// peer, so that the node may serve.
func (f *Follower) Synced() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.synced
}

// Changed returns a channel that is closed at the next change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

func (f *Follower) apply(rec infra.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyLocked(rec)
}

func (f *Follower) applyLocked(rec infra.Record) {
	if rec.Offset < f.state.Next() {
		return
	}
	f.state.Apply(rec)
	f.recent = append(f.recent, &wire.LogRecord{Offset: rec.Offset, Data: rec.Data, TimeMs: rec.Time.UnixMilli()})
	if len(f.recent) > maxRecentRecords {
		f.recent = f.recent[len(f.recent)-maxRecentRecords:]
	}
	f.notify()
}

func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) markSynced() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.synced {
		f.synced = true
		f.notify()
	}
}

// Run follows the config stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.poll(ctx)
		var trimmed *infra.TrimmedError
		switch {
		case err == nil:
			f.markSynced()
		case errors.As(err, &trimmed):
			f.recoverTrimmed(ctx, trimmed)
		default:
			f.fetchFromPeers(ctx)
			_ = wait.For(ctx, peerRetryDelay)
		}
	}
}

// peerRetryDelay is the delay between attempts while the log does not answer.
const peerRetryDelay = 500 * time.Millisecond

// poll reads new records from the log. It waits for them without writeSem, so that it
// does not delay writers.
func (f *Follower) poll(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, f.pollWait+f.stream.CallTimeout)
	defer cancel()
	page, err := f.log.Read(readCtx, StreamName, f.Offset(), maxReadBytes, f.pollWait)
	if err != nil {
		return err
	}
	f.writeSem <- struct{}{}
	defer func() { <-f.writeSem }()
	for _, rec := range page.Records {
		f.apply(rec)
	}
	if f.Offset() < page.Tail {
		return f.catchUp(ctx)
	}
	return nil
}

const maxReadBytes = 1 << 20

// catchUp reads to the tail. writeSem must be held.
func (f *Follower) catchUp(ctx context.Context) error {
	f.stream.SeekTo(f.Offset())
	return f.stream.ReadToTail(ctx)
}

// fetchFromPeers fetches and applies the records of a peer that is ahead.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	f.mu.RLock()
	fetch := f.fetch
	f.mu.RUnlock()
	if fetch == nil {
		return
	}
	from := f.Offset()
	reply, err := fetch(ctx, from)
	if err != nil {
		return
	}
	if err := f.applyFromPeer(reply); err != nil {
		f.logger.Warn("configuration from a peer rejected", logging.F("error", err.Error()))
	}
}

// applyFromPeer applies a peer's records, or its snapshot if that is ahead of the state.
func (f *Follower) applyFromPeer(reply *wire.ConfigRecords) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(reply.GetSnapshot()) > 0 {
		if err := f.installSnapshotLocked(reply.GetSnapshot()); err != nil {
			return err
		}
	}
	for _, r := range reply.GetRecords() {
		if r.GetOffset() != f.state.Next() {
			continue
		}
		f.applyLocked(infra.Record{Offset: r.GetOffset(), Data: r.GetData(), Time: time.UnixMilli(r.GetTimeMs())})
	}
	if !f.synced && f.state.Next() > 0 {
		f.synced = true
		f.notify()
	}
	return nil
}

// installSnapshotLocked replaces the state by a snapshot that is ahead of it. It ignores
// other snapshots, since an older one would revert an accepted configuration.
func (f *Follower) installSnapshotLocked(data []byte) error {
	s, err := Restore(data)
	if err != nil {
		return err
	}
	if s.Next() <= f.state.Next() {
		return nil
	}
	f.state = s
	f.recent = nil
	f.notify()
	return nil
}

// recoverTrimmed restores the newest snapshot in the log after the records at the
// follower's offset were trimmed. Without one it asks the peers.
func (f *Follower) recoverTrimmed(ctx context.Context, trimmed *infra.TrimmedError) {
	data, err := findSnapshot(ctx, f.log, trimmed)
	if err != nil || data == nil {
		f.fetchFromPeers(ctx)
		_ = wait.For(ctx, peerRetryDelay)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.installSnapshotLocked(data); err != nil {
		f.logger.Error("config snapshot in the log is corrupt", logging.F("error", err.Error()))
	}
}

// findSnapshot returns the newest complete snapshot in the log, nil if there is none.
func findSnapshot(ctx context.Context, log infra.Log, trimmed *infra.TrimmedError) ([]byte, error) {
	parts := make(map[uint64][][]byte)
	var newest []byte
	for from := trimmed.Earliest; from < trimmed.Tail; {
		page, err := log.Read(ctx, StreamName, from, maxReadBytes, 0)
		if err != nil {
			return nil, err
		}
		if len(page.Records) == 0 {
			break
		}
		for _, rec := range page.Records {
			if snapshot := addSnapshotPart(parts, rec); snapshot != nil {
				newest = snapshot
			}
		}
		from = page.Records[len(page.Records)-1].Offset + 1
	}
	return newest, nil
}

// addSnapshotPart collects the snapshot parts of a record by the snapshot's offset. It
// returns the snapshot that the record completes.
func addSnapshotPart(parts map[uint64][][]byte, rec infra.Record) []byte {
	env, _, ok := oplog.Decode(rec.Data)
	if !ok {
		return nil
	}
	for _, e := range env.GetEntries() {
		c := e.GetConfigSnapshot()
		if c == nil || c.GetPart() != uint32(len(parts[c.GetNext()])) {
			continue
		}
		parts[c.GetNext()] = append(parts[c.GetNext()], c.GetData())
		if uint32(len(parts[c.GetNext()])) == c.GetParts() {
			var snapshot []byte
			for _, p := range parts[c.GetNext()] {
				snapshot = append(snapshot, p...)
			}
			return snapshot
		}
	}
	return nil
}

// snapshotPartBytes is the largest size of one part of a config snapshot.
const snapshotPartBytes = 512 << 10

// WriteSnapshot appends the present state to the log, so that earlier records may be
// trimmed. Any node may call it; duplicate snapshots are harmless.
func (f *Follower) WriteSnapshot(ctx context.Context) error {
	f.writeSem <- struct{}{}
	defer func() { <-f.writeSem }()
	f.mu.RLock()
	next := f.state.Next()
	data, err := f.state.Snapshot()
	f.mu.RUnlock()
	if err != nil {
		return err
	}
	count := (len(data) + snapshotPartBytes - 1) / snapshotPartBytes
	for n := range count {
		lo := n * snapshotPartBytes
		hi := min(lo+snapshotPartBytes, len(data))
		entry := &wire.Entry{Kind: &wire.Entry_ConfigSnapshot{ConfigSnapshot: &wire.ConfigSnapshot{
			Next: next, Part: uint32(n), Parts: uint32(count), Data: data[lo:hi],
		}}}
		if err := f.write(ctx, entry); err != nil {
			return err
		}
	}
	return nil
}

// write appends one entry and reads it back. writeSem must be held.
func (f *Follower) write(ctx context.Context, entry *wire.Entry) error {
	f.stream.SeekTo(f.Offset())
	_, err := f.stream.Write(ctx, 0, []*wire.Entry{entry})
	return err
}

// Records returns the records from an offset on for a peer, or a snapshot if some of
// them are no longer kept.
func (f *Follower) Records(from uint64) *wire.ConfigRecords {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := &wire.ConfigRecords{Next: f.state.Next()}
	if from >= f.state.Next() {
		return out
	}
	if len(f.recent) > 0 && f.recent[0].GetOffset() <= from {
		out.Records = f.recent[from-f.recent[0].GetOffset():]
		return out
	}
	data, err := f.state.Snapshot()
	if err == nil {
		out.Snapshot = data
	}
	return out
}

// PlanView is the form of a plan in operators' responses.
type PlanView struct {
	ID              string   `json:"id"`
	Author          string   `json:"author"`
	Scope           string   `json:"scope"`
	Why             string   `json:"why,omitempty"`
	Base            uint64   `json:"base"`
	Offset          uint64   `json:"offset"`
	Status          Status   `json:"status"`
	Reason          string   `json:"reason,omitempty"`
	Decided         uint64   `json:"decided,omitempty"`
	Changes         []string `json:"changes"`
	MissingConfirms []string `json:"missing_confirms,omitempty"`
	Confirmed       []string `json:"confirmed,omitempty"`
	Digest          string   `json:"digest"`
}

func planView(s *State, p *Plan) PlanView {
	v := PlanView{
		ID: p.ID.String(), Author: p.Author, Scope: p.Scope, Why: p.Why, Base: p.Base, Offset: p.Offset,
		Status: p.Status, Reason: p.Reason, Decided: p.Decided, MissingConfirms: s.MissingConfirms(p), Confirmed: p.Confirmed,
	}
	v.Digest = hex.EncodeToString(p.Digest())
	for _, i := range p.Intents {
		v.Changes = append(v.Changes, i.String())
	}
	return v
}

// Propose appends a plan for intents and returns it after reading it back.
func (f *Follower) Propose(ctx context.Context, op Operator, why string, intents []Intent) (PlanView, error) {
	for _, i := range intents {
		if err := i.Validate(); err != nil {
			return PlanView{}, err
		}
	}
	raw, err := json.Marshal(intents)
	if err != nil {
		return PlanView{}, apierr.New(apierr.CodeBadRequest, "intents: %v", err)
	}
	f.writeSem <- struct{}{}
	defer func() { <-f.writeSem }()
	if err := f.catchUp(ctx); err != nil {
		return PlanView{}, logUnavailable(false)
	}
	id := PlanID(oplog.NewIncarnation())
	var base uint64
	f.View(func(s *State) {
		base = s.Next()
		_, err = s.DryRun(op.Scope, intents)
	})
	if err != nil {
		return PlanView{}, err
	}
	err = f.write(ctx, &wire.Entry{Kind: &wire.Entry_Plan{Plan: &wire.ConfigPlan{
		Id: id[:], Author: op.Name, AuthorScope: op.Scope, Base: base, Changes: raw, Why: why, TimeUnixMs: time.Now().UnixMilli(),
	}}})
	if err != nil {
		return PlanView{}, logUnavailable(true)
	}
	return f.Plan(id)
}

// Plan returns a plan in the form for operators.
func (f *Follower) Plan(id PlanID) (PlanView, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	p := f.state.Plan(id)
	if p == nil {
		return PlanView{}, apierr.New(apierr.CodeNotFound, "no such plan")
	}
	return planView(f.state, p), nil
}

// History returns at most limit decided plans, newest first.
func (f *Follower) History(limit int) []PlanView {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []PlanView
	for _, p := range f.state.History(limit) {
		out = append(out, planView(f.state, p))
	}
	return out
}

// Confirm confirms a plan in the operator's scope. It returns a plan that is already
// decided as it is, so that a retry after a lost response gets the same one. A rejected
// plan is returned with an error of apierr.CodePlanConflict.
func (f *Follower) Confirm(ctx context.Context, op Operator, id PlanID, digest string) (PlanView, error) {
	f.writeSem <- struct{}{}
	defer func() { <-f.writeSem }()
	if err := f.catchUp(ctx); err != nil {
		return PlanView{}, logUnavailable(false)
	}
	before, err := f.Plan(id)
	if err != nil {
		return PlanView{}, err
	}
	if digest != "" && digest != before.Digest {
		return PlanView{}, apierr.New(apierr.CodePlanConflict, "the digest does not match the plan's content")
	}
	if before.Status == Proposed {
		if err := f.writeConfirm(ctx, op, id); err != nil {
			return PlanView{}, err
		}
	}
	after, err := f.Plan(id)
	if err != nil {
		return PlanView{}, err
	}
	if after.Status == Rejected {
		return after, apierr.New(apierr.CodePlanConflict, "%s", after.Reason)
	}
	return after, nil
}

func (f *Follower) writeConfirm(ctx context.Context, op Operator, id PlanID) error {
	var digest []byte
	f.View(func(s *State) { digest = s.Plan(id).Digest() })
	confirmID := oplog.NewIncarnation()
	entry := &wire.Entry{Kind: &wire.Entry_Confirm{Confirm: &wire.ConfigConfirm{
		Id: confirmID[:], Plan: id[:], Author: op.Name, AuthorScope: op.Scope, Digest: digest, TimeUnixMs: time.Now().UnixMilli(),
	}}}
	if err := f.write(ctx, entry); err != nil {
		return logUnavailable(true)
	}
	return nil
}

// logUnavailable returns the error for operators while the log does not answer.
// mayBeAppended means that the outcome of the append is unknown.
func logUnavailable(mayBeAppended bool) error {
	if mayBeAppended {
		return apierr.MaybeExecuted(apierr.CodeLogUnavailable, "the platform's log does not answer; ask for the plan's status before trying again").WithRetryAfter(time.Second)
	}
	return apierr.New(apierr.CodeLogUnavailable, "the platform's log does not answer").WithRetryAfter(time.Second)
}
