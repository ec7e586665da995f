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

// FetchFunc asks some peer for config records from an offset on.
type FetchFunc func(ctx context.Context, from uint64) (*wire.ConfigRecords, error)

// Follower keeps a State up to date from the log, or from peers while the log
// does not answer. The state only moves to higher offsets.
type Follower struct {
	log      infra.Log
	inc      oplog.Incarnation
	boot     Operator
	logger   logging.Logger
	pollWait time.Duration

	writing chan struct{} // a semaphore of one, taken before mu; its holder waits for the log
	stream  *oplog.Stream

	mu      sync.RWMutex
	state   *State
	synced  bool // the state is known to have reached some verified tail
	recent  []*wire.LogRecord
	changed chan struct{}
	fetch   FetchFunc
}

// recentRecords is how many records a node keeps for its peers.
const recentRecords = 1024

// DefaultPollWait is how long one read waits for a new record at the log.
// A log that hangs is noticed after it and one call's time-out, within the 15 s in
// which a change must be in force.
const DefaultPollWait = 5 * time.Second

// NewFollower returns a Follower. Run starts it.
func NewFollower(log infra.Log, inc oplog.Incarnation, bootstrap Operator, logger logging.Logger) *Follower {
	f := &Follower{
		log:      log,
		inc:      inc,
		boot:     bootstrap,
		logger:   logger.Part("config"),
		state:    NewState(bootstrap),
		changed:  make(chan struct{}),
		writing:  make(chan struct{}, 1),
		pollWait: DefaultPollWait,
	}
	f.stream = oplog.NewStream(log, StreamName, inc, 0, f.apply)
	return f
}

// SetFetch sets how to ask peers.
func (f *Follower) SetFetch(fetch FetchFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetch = fetch
}

// View calls fn with the present state under a read lock. fn must not keep it.
func (f *Follower) View(fn func(*State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn(f.state)
}

// Offset returns the offset that the state has reached.
func (f *Follower) Offset() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.state.Next()
}

// Synced reports whether the node has a configuration and may serve.
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
	if len(f.recent) > recentRecords {
		f.recent = f.recent[len(f.recent)-recentRecords:]
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

// Run follows until ctx ends.
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
			f.askPeers(ctx)
			_ = wait.For(ctx, peerPause)
		}
	}
}

// peerPause is the wait between rounds while the log does not answer.
const peerPause = 500 * time.Millisecond

// poll reads from the log. The read waits without holding the writing semaphore, so that a
// writer does not wait behind it.
func (f *Follower) poll(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, f.pollWait+f.stream.CallTimeout)
	defer cancel()
	page, err := f.log.Read(readCtx, StreamName, f.Offset(), pollBytes, f.pollWait)
	if err != nil {
		return err
	}
	f.writing <- struct{}{}
	defer func() { <-f.writing }()
	for _, rec := range page.Records {
		f.apply(rec)
	}
	if f.Offset() < page.Tail {
		return f.catchup(ctx)
	}
	return nil
}

const pollBytes = 1 << 20

// catchup reads to the tail; the writing semaphore must be held.
func (f *Follower) catchup(ctx context.Context) error {
	f.stream.Skip(f.Offset())
	return f.stream.Catchup(ctx)
}

// askPeers takes records from a peer that is ahead.
func (f *Follower) askPeers(ctx context.Context) {
	f.mu.RLock()
	fetch := f.fetch
	f.mu.RUnlock()
	if fetch == nil {
		return
	}
	from := f.Offset()
	got, err := fetch(ctx, from)
	if err != nil {
		return
	}
	if err := f.takePeer(got); err != nil {
		f.logger.Warn("peer's configuration refused", logging.F("error", err.Error()))
	}
}

// takePeer applies a peer's records, or its snapshot when it is ahead of ours.
func (f *Follower) takePeer(got *wire.ConfigRecords) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(got.GetSnapshot()) > 0 {
		if err := f.installLocked(got.GetSnapshot()); err != nil {
			return err
		}
	}
	for _, r := range got.GetRecords() {
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

// installLocked replaces the state by a snapshot that is ahead of it. One that is
// not is ignored: going back would revert an accepted configuration.
func (f *Follower) installLocked(data []byte) error {
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

// recoverTrimmed starts from the newest snapshot on the log.
func (f *Follower) recoverTrimmed(ctx context.Context, trimmed *infra.TrimmedError) {
	data, err := findSnapshot(ctx, f.log, trimmed)
	if err != nil || data == nil {
		f.askPeers(ctx)
		_ = wait.For(ctx, peerPause)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.installLocked(data); err != nil {
		f.logger.Error("config snapshot is damaged", logging.F("error", err.Error()))
	}
}

// findSnapshot returns the newest complete snapshot that is still kept.
func findSnapshot(ctx context.Context, log infra.Log, trimmed *infra.TrimmedError) ([]byte, error) {
	parts := make(map[uint64][][]byte)
	var best []byte
	for from := trimmed.Earliest; from < trimmed.Tail; {
		page, err := log.Read(ctx, StreamName, from, pollBytes, 0)
		if err != nil {
			return nil, err
		}
		if len(page.Records) == 0 {
			break
		}
		for _, rec := range page.Records {
			if whole := addSnapshotPart(parts, rec); whole != nil {
				best = whole
			}
		}
		from = page.Records[len(page.Records)-1].Offset + 1
	}
	return best, nil
}

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
			var whole []byte
			for _, p := range parts[c.GetNext()] {
				whole = append(whole, p...)
			}
			return whole
		}
	}
	return nil
}

// snapshotPartBytes is the size of one part of a config snapshot.
const snapshotPartBytes = 512 << 10

// WriteSnapshot appends the present state, so that the records before it may be
// trimmed. Any node may do it; two copies do no harm.
func (f *Follower) WriteSnapshot(ctx context.Context) error {
	f.writing <- struct{}{}
	defer func() { <-f.writing }()
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

// write appends one entry and reads it back; the writing semaphore must be held.
func (f *Follower) write(ctx context.Context, entry *wire.Entry) error {
	f.stream.Skip(f.Offset())
	_, err := f.stream.Write(ctx, 0, []*wire.Entry{entry})
	return err
}

// Records answers a peer.
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

// PlanView is a plan as operators see it.
type PlanView struct {
	ID        string   `json:"id"`
	Author    string   `json:"author"`
	Scope     string   `json:"scope"`
	Why       string   `json:"why,omitempty"`
	Base      uint64   `json:"base"`
	Offset    uint64   `json:"offset"`
	Status    Status   `json:"status"`
	Reason    string   `json:"reason,omitempty"`
	Decided   uint64   `json:"decided,omitempty"`
	Changes   []string `json:"changes"`
	Missing   []string `json:"missing_confirms,omitempty"`
	Confirmed []string `json:"confirmed,omitempty"`
	Digest    string   `json:"digest"`
}

func view(s *State, p *Plan) PlanView {
	v := PlanView{
		ID: p.ID.String(), Author: p.Author, Scope: p.Scope, Why: p.Why, Base: p.Base, Offset: p.Offset,
		Status: p.Status, Reason: p.Reason, Decided: p.Decided, Missing: s.Missing(p), Confirmed: p.Confirmed,
	}
	v.Digest = hex.EncodeToString(p.Digest())
	for _, i := range p.Intents {
		v.Changes = append(v.Changes, i.String())
	}
	return v
}

// Propose writes a plan for intents and returns it once it was read back.
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
	f.writing <- struct{}{}
	defer func() { <-f.writing }()
	if err := f.catchup(ctx); err != nil {
		return PlanView{}, logDown(false)
	}
	id := PlanID(oplog.NewIncarnation())
	var base uint64
	f.View(func(s *State) {
		base = s.Next()
		_, err = s.Try(op.Scope, intents)
	})
	if err != nil {
		return PlanView{}, err
	}
	err = f.write(ctx, &wire.Entry{Kind: &wire.Entry_Plan{Plan: &wire.ConfigPlan{
		Id: id[:], Author: op.Name, AuthorScope: op.Scope, Base: base, Changes: raw, Why: why, TimeUnixMs: time.Now().UnixMilli(),
	}}})
	if err != nil {
		return PlanView{}, logDown(true)
	}
	return f.Plan(id)
}

// Plan returns a plan as operators see it.
func (f *Follower) Plan(id PlanID) (PlanView, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	p := f.state.Plan(id)
	if p == nil {
		return PlanView{}, apierr.New(apierr.CodeNotFound, "no such plan")
	}
	return view(f.state, p), nil
}

// History returns the decided plans, newest first.
func (f *Follower) History(limit int) []PlanView {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []PlanView
	for _, p := range f.state.History(limit) {
		out = append(out, view(f.state, p))
	}
	return out
}

// Confirm confirms a plan in the operator's scope. A plan that is decided already
// is returned as it is, so that a resend of a confirm whose answer was lost gets
// the same answer. A plan that lost a race is a conflict.
func (f *Follower) Confirm(ctx context.Context, op Operator, id PlanID, digest string) (PlanView, error) {
	f.writing <- struct{}{}
	defer func() { <-f.writing }()
	if err := f.catchup(ctx); err != nil {
		return PlanView{}, logDown(false)
	}
	before, err := f.Plan(id)
	if err != nil {
		return PlanView{}, err
	}
	if digest != "" && digest != before.Digest {
		return PlanView{}, apierr.New(apierr.CodePlanConflict, "the plan's content is another one")
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
	confirm := oplog.NewIncarnation()
	entry := &wire.Entry{Kind: &wire.Entry_Confirm{Confirm: &wire.ConfigConfirm{
		Id: confirm[:], Plan: id[:], Author: op.Name, AuthorScope: op.Scope, Digest: digest, TimeUnixMs: time.Now().UnixMilli(),
	}}}
	if err := f.write(ctx, entry); err != nil {
		return logDown(true)
	}
	return nil
}

// logDown is what an operator gets while the log does not answer.
func logDown(appended bool) error {
	if appended {
		return apierr.Unknown(apierr.CodeLogDown, "the platform's log does not answer; ask for the plan's status before trying again").After(time.Second)
	}
	return apierr.New(apierr.CodeLogDown, "the platform's log does not answer").After(time.Second)
}
