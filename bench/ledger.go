package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceford/infra"
	"pumiceford/ledger"
	"pumiceford/oplog"
	"pumiceford/standin"
	"pumiceford/wire"
)

// LedgerLine is one measurement of the ledger or of its naive rival.
type LedgerLine struct {
	Name           string  `json:"name"`
	Items          int     `json:"items"`
	ItemsPerSecond float64 `json:"items_per_second"`
	AppendsPer1000 float64 `json:"appends_per_1000_items"`
	LogBytesPer    float64 `json:"log_bytes_per_item"`
}

// Ledger is the outcome of the ledger experiment.
type Ledger struct {
	Lines []LedgerLine `json:"lines"`
	// Memory of a completed item, in the fold and as the naive ledger's objects.
	MemoryPer      float64 `json:"memory_bytes_per_item"`
	NaiveMemoryPer float64 `json:"naive_memory_bytes_per_item"`
	// Replay of a partition with a million completed items, from its first
	// record and from its newest snapshot, until the takeover was read back.
	ReplayAllSeconds      float64 `json:"replay_all_seconds_per_million"`
	ReplaySnapshotSeconds float64 `json:"replay_snapshot_seconds_per_million"`
}

// Sizes of the ledger experiment.
const (
	ledgerLatency   = 2 * time.Millisecond // of each call to the log
	ledgerItems     = 51000                // the largest job
	ledgerResult    = 300                  // bytes of text
	letterRate      = 58                   // items a second for one owner: 3,700 over 64 owners
	letterSeconds   = 20
	replayMillion   = 1000000
	replayPerRecord = 290
)

// RunLedger measures the ledger against a naive one that appends a record for
// each item, on logs of the same latency.
func RunLedger(ctx context.Context) (Ledger, error) {
	var out Ledger
	full, err := ledgerRun(ctx, "ledger, as fast as it goes", ledgerItems, 0)
	if err != nil {
		return out, err
	}
	paced, err := ledgerRun(ctx, "ledger, at the letter's rate for one owner", letterRate*letterSeconds, letterRate)
	if err != nil {
		return out, err
	}
	naive, err := naiveRun(ctx, ledgerItems/20)
	if err != nil {
		return out, err
	}
	out.Lines = []LedgerLine{full, paced, naive}
	out.MemoryPer, out.NaiveMemoryPer = memoryRun()
	out.ReplayAllSeconds, out.ReplaySnapshotSeconds, err = replayRun(ctx)
	return out, err
}

// instantAgent answers every grant at once, or at a fixed rate.
type instantAgent struct {
	up     chan *wire.FeedUp
	done   chan struct{}
	once   sync.Once
	pace   float64 // items a second, 0 for no limit
	result []byte
	// declared says that this agent has told what it holds, which is nothing.
	declared bool
}

func newInstantAgent(pace float64) *instantAgent {
	return &instantAgent{up: make(chan *wire.FeedUp, 1024), done: make(chan struct{}), pace: pace, result: make([]byte, ledgerResult)}
}

// Send implements ledger.Stream.
func (a *instantAgent) Send(m *wire.FeedDown) error {
	up := &wire.FeedUp{Models: []string{benchModel}}
	if !a.declared {
		a.declared = true
		for _, pe := range m.GetEpochs() {
			up.Declared = append(up.Declared, pe.GetPartition())
		}
	}
	for _, g := range m.GetGrants() {
		up.Results = append(up.Results, &wire.ItemResult{Ref: g.GetRef(), CustomId: g.GetCustomId(), Ok: true, Text: a.result, CompletionTokens: 64})
	}
	want := uint32(256)
	if a.pace > 0 {
		want = 1
		time.Sleep(time.Duration(float64(len(up.GetResults())) / a.pace * float64(time.Second)))
	}
	up.Want = &want
	select {
	case a.up <- up:
		return nil
	case <-a.done:
		return ledger.ErrStreamClosed
	}
}

// Recv implements ledger.Stream.
func (a *instantAgent) Recv(m *wire.FeedUp) error {
	select {
	case up := <-a.up:
		proto.Merge(m, up)
		return nil
	case <-a.done:
		return ledger.ErrStreamClosed
	}
}

// Close implements ledger.Stream.
func (a *instantAgent) Close() {
	a.once.Do(func() { close(a.done) })
}

func benchLine(n int) []byte {
	line, err := json.Marshal(map[string]any{
		"custom_id": fmt.Sprint("item-", n),
		"body":      map[string]any{"model": benchModel, "prompt": "a logbook extract", "max_tokens": 64},
	})
	if err != nil {
		return nil
	}
	return line
}

func ledgerRun(ctx context.Context, name string, items int, pace float64) (LedgerLine, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	log := standin.NewLog(standin.LogSettings{Latency: ledgerLatency})
	o := ledger.NewOwner(ledger.Config{Node: "bench", Log: log, Partitions: 1, Grace: time.Millisecond}, 0)
	go func() { _ = o.Run(ctx) }()
	for !o.Ready() {
		time.Sleep(time.Millisecond)
	}
	if err := putJob(ctx, o, items); err != nil {
		return LedgerLine{}, err
	}
	appends, bytes := log.Counts()
	began := time.Now()
	go o.Attach(ctx, "agent", newInstantAgent(pace))
	if err := awaitJob(ctx, o); err != nil {
		return LedgerLine{}, err
	}
	took := time.Since(began)
	appends2, bytes2 := log.Counts()
	n := float64(items)
	line := LedgerLine{
		Name: name, Items: items, ItemsPerSecond: n / took.Seconds(),
		AppendsPer1000: float64(appends2-appends) / n * 1000,
		LogBytesPer:    float64(bytes2-bytes) / n,
	}
	return line, nil
}

const benchChunk = 500

func putJob(ctx context.Context, o *ledger.Owner, items int) error {
	id := foldID(0)
	number := uint32(0)
	for at := 0; at < items; at += benchChunk {
		var lines [][]byte
		for n := at; n < min(at+benchChunk, items); n++ {
			lines = append(lines, benchLine(n))
		}
		if err := ask(ctx, o, &wire.PeerRequest{Kind: &wire.PeerRequest_PutChunk{PutChunk: &wire.PutChunk{Workspace: "w", File: id, Number: number, Lines: lines}}}); err != nil {
			return err
		}
		number++
	}
	if err := ask(ctx, o, &wire.PeerRequest{Kind: &wire.PeerRequest_SealFile{SealFile: &wire.SealFile{Workspace: "w", File: id, Chunks: number, Lines: uint32(items)}}}); err != nil {
		return err
	}
	return ask(ctx, o, &wire.PeerRequest{Kind: &wire.PeerRequest_CommitJob{CommitJob: &wire.CommitJob{
		Job: id, Workspace: "w", File: id, Model: benchModel, KeepMs: time.Hour.Milliseconds(),
	}}})
}

func ask(ctx context.Context, o *ledger.Owner, req *wire.PeerRequest) error {
	if f := o.Serve(ctx, req).GetFailure(); f != nil {
		return &FailedError{What: f.GetCode() + " " + f.GetMessage()}
	}
	return nil
}

// FailedError says that an experiment could not be carried out.
type FailedError struct {
	What string
}

// Error implements error.
func (e *FailedError) Error() string {
	return "experiment failed: " + e.What
}

func awaitJob(ctx context.Context, o *ledger.Owner) error {
	for ctx.Err() == nil {
		reply := o.Serve(ctx, &wire.PeerRequest{Kind: &wire.PeerRequest_GetJob{GetJob: &wire.GetJob{Workspace: "w", Job: foldID(0)}}})
		if reply.GetJob().GetState() == "completed" {
			return nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return ctx.Err()
}

// naiveItem is what a ledger without bitmaps keeps for each item.
type naiveItem struct {
	id, state string
	attempts  int
	result    uint64
}

// memoryRun measures both kinds of state for the same completed items.
func memoryRun() (fold, naive float64) {
	const jobs = 4
	before := heap()
	f := newFoldRun()
	for n := range jobs {
		f.accept(n)
		f.complete(n)
	}
	fold = (heap() - before) / (jobs * foldItems)
	runtime.KeepAlive(f)
	f = nil
	before = heap()
	state := make(map[string]*naiveItem)
	for n := range jobs * foldItems {
		id := fmt.Sprint("item-", n)
		state[id] = &naiveItem{id: id, state: "succeeded", attempts: 1, result: uint64(n)}
	}
	naive = (heap() - before) / (jobs * foldItems)
	runtime.KeepAlive(state)
	return fold, naive
}

// naiveRun appends one record for each item and keeps an object for each.
func naiveRun(ctx context.Context, items int) (LedgerLine, error) {
	log := standin.NewLog(standin.LogSettings{Latency: ledgerLatency})
	state := make(map[string]*naiveItem)
	s := oplog.NewStream(log, "naive", oplog.NewIncarnation(), 0, func(rec infra.Record) {
		env, _, ok := oplog.Decode(rec.Data)
		if !ok {
			return
		}
		id := fmt.Sprint("item-", env.GetEntries()[0].GetResults().GetOutcomes()[0].GetIndex())
		state[id] = &naiveItem{id: id, state: "succeeded", attempts: 1, result: rec.Offset}
	})
	text := make([]byte, ledgerResult)
	began := time.Now()
	for n := range items {
		entry := &wire.Entry{Kind: &wire.Entry_Results{Results: &wire.Results{
			Job: foldID(0), Outcomes: []*wire.Outcome{{Index: uint32(n), Ok: true, Text: text, CompletionTokens: 64}},
		}}}
		if _, err := s.Write(ctx, 1, []*wire.Entry{entry}); err != nil {
			return LedgerLine{}, err
		}
	}
	took := time.Since(began)
	appends, bytes := log.Counts()
	n := float64(items)
	line := LedgerLine{
		Name: "naive: a record for each item", Items: items, ItemsPerSecond: n / took.Seconds(),
		AppendsPer1000: float64(appends) / n * 1000, LogBytesPer: float64(bytes) / n,
	}
	return line, nil
}

// replayRun fills a partition with a million completed items and times takeovers.
func replayRun(ctx context.Context) (all, snapshot float64, err error) {
	log := standin.NewLog(standin.LogSettings{RecordLimit: 4 << 20})
	inc := oplog.NewIncarnation()
	s := oplog.NewStream(log, ledger.StreamName(0), inc, 0, func(infra.Record) {})
	put := func(e *wire.Entry) {
		if err == nil {
			_, err = s.Write(ctx, 1, []*wire.Entry{e})
		}
	}
	put(&wire.Entry{Kind: &wire.Entry_Takeover{Takeover: &wire.Takeover{Owner: "first", Incarnation: inc[:]}}})
	id := foldID(0)
	const chunk = 5000
	for n := range replayMillion / chunk {
		put(&wire.Entry{Kind: &wire.Entry_Chunk{Chunk: &wire.PutChunk{Workspace: "w", File: id, Number: uint32(n), Lines: make([][]byte, chunk)}}})
	}
	put(&wire.Entry{Kind: &wire.Entry_Seal{Seal: &wire.SealFile{Workspace: "w", File: id, Chunks: replayMillion / chunk, Lines: replayMillion}}})
	put(&wire.Entry{Kind: &wire.Entry_Commit{Commit: &wire.CommitJob{Job: id, Workspace: "w", File: id, Model: benchModel, KeepMs: time.Hour.Milliseconds()}}})
	text := make([]byte, ledgerResult)
	for lo := 0; lo < replayMillion; lo += replayPerRecord {
		hi := min(lo+replayPerRecord, replayMillion)
		outcomes := make([]*wire.Outcome, 0, hi-lo)
		for i := lo; i < hi; i++ {
			outcomes = append(outcomes, &wire.Outcome{Index: uint32(i), Ok: true, Text: text})
		}
		put(&wire.Entry{Kind: &wire.Entry_Results{Results: &wire.Results{Job: id, Outcomes: outcomes}}})
	}
	if err != nil {
		return 0, 0, err
	}
	if all, err = takeoverTime(ctx, log, 1<<40); err != nil {
		return 0, 0, err
	}
	if snapshot, err = takeoverTime(ctx, log, 2000); err != nil {
		return 0, 0, err
	}
	return all, snapshot, nil
}

// takeoverTime runs an owner until it is ready. With snapshotEvery below the
// partition's length a first owner leaves a snapshot behind.
func takeoverTime(ctx context.Context, log infra.Log, snapshotEvery uint64) (float64, error) {
	cfg := ledger.Config{Node: "second", Log: log, Partitions: 1, SnapshotEvery: snapshotEvery, RecordLimit: 4 << 20}
	if snapshotEvery < replayMillion {
		if err := leaveSnapshot(ctx, cfg); err != nil {
			return 0, err
		}
	}
	var took []float64
	for range 3 {
		octx, cancel := context.WithCancel(ctx)
		began := time.Now()
		o := ledger.NewOwner(cfg, 0)
		go func() { _ = o.Run(octx) }()
		for !o.Ready() && octx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		took = append(took, time.Since(began).Seconds())
		cancel()
		<-o.Done()
	}
	slices.Sort(took)
	return took[1], ctx.Err()
}

func leaveSnapshot(ctx context.Context, cfg ledger.Config) error {
	octx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := ledger.NewOwner(cfg, 0)
	go func() { _ = o.Run(octx) }()
	for !o.Ready() && octx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if err := o.Snapshot(octx); err != nil {
		return err
	}
	cancel()
	<-o.Done()
	return ctx.Err()
}
