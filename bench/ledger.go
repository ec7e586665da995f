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

// LedgerLine is one measurement of the ledger or of the naive baseline. Its name is a
// value in the JSON output of pumice-bench.
type LedgerLine struct {
	Name                string  `json:"name"`
	Items               int     `json:"items"`
	ItemsPerSecond      float64 `json:"items_per_second"`
	AppendsPer1000Items float64 `json:"appends_per_1000_items"`
	LogBytesPerItem     float64 `json:"log_bytes_per_item"`
}

// Ledger is the result of the ledger experiment.
type Ledger struct {
	Lines []LedgerLine `json:"lines"`
	// Memory for a completed item in the fold and in the naive baseline.
	MemoryBytesPerItem      float64 `json:"memory_bytes_per_item"`
	NaiveMemoryBytesPerItem float64 `json:"naive_memory_bytes_per_item"`
	// Time until a new owner of a partition with a million completed items has read its
	// own takeover record, with replay from the first record and from the newest
	// snapshot.
	ReplayAllSeconds      float64 `json:"replay_all_seconds_per_million"`
	ReplaySnapshotSeconds float64 `json:"replay_snapshot_seconds_per_million"`
}

// Sizes of the ledger experiment. ownerItemRate is the load of one owner when 64
// owners share 3,700 items a second.
const (
	ledgerLatency           = 2 * time.Millisecond // added to each call to the log
	ledgerItems             = 51000                // size of the largest job
	ledgerResult            = 300                  // bytes of text in a result
	ownerItemRate           = 58                   // items a second
	pacedSeconds            = 20
	replayItems             = 1000000
	replayOutcomesPerRecord = 290
)

// RunLedger compares the ledger with a naive baseline that appends one record for each
// item, on logs of the same latency.
func RunLedger(ctx context.Context) (Ledger, error) {
	var out Ledger
	full, err := ledgerRun(ctx, "ledger, as fast as it goes", ledgerItems, 0)
	if err != nil {
		return out, err
	}
	paced, err := ledgerRun(ctx, "ledger, at the letter's rate for one owner", ownerItemRate*pacedSeconds, ownerItemRate)
	if err != nil {
		return out, err
	}
	naive, err := naiveRun(ctx, ledgerItems/20)
	if err != nil {
		return out, err
	}
	out.Lines = []LedgerLine{full, paced, naive}
	out.MemoryBytesPerItem, out.NaiveMemoryBytesPerItem = memoryRun()
	out.ReplayAllSeconds, out.ReplaySnapshotSeconds, err = replayRun(ctx)
	return out, err
}

// instantAgent returns a result for every grant at once or at a fixed rate. It
// implements ledger.AgentStream.
type instantAgent struct {
	up     chan *wire.AgentUpdate
	done   chan struct{}
	once   sync.Once
	rate   float64 // items a second, 0 sets no limit
	result []byte
	// declared is true once the agent has declared the items that it holds, which are
	// none.
	declared bool
}

func newInstantAgent(rate float64) *instantAgent {
	return &instantAgent{up: make(chan *wire.AgentUpdate, 1024), done: make(chan struct{}), rate: rate, result: make([]byte, ledgerResult)}
}

// Send implements ledger.AgentStream.
func (a *instantAgent) Send(m *wire.OwnerUpdate) error {
	up := &wire.AgentUpdate{Models: []string{benchModel}}
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
	if a.rate > 0 {
		want = 1
		time.Sleep(time.Duration(float64(len(up.GetResults())) / a.rate * float64(time.Second)))
	}
	up.Want = &want
	select {
	case a.up <- up:
		return nil
	case <-a.done:
		return ledger.ErrStreamClosed
	}
}

// Recv implements ledger.AgentStream.
func (a *instantAgent) Recv(m *wire.AgentUpdate) error {
	select {
	case up := <-a.up:
		proto.Merge(m, up)
		return nil
	case <-a.done:
		return ledger.ErrStreamClosed
	}
}

// Close implements ledger.AgentStream.
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

func ledgerRun(ctx context.Context, name string, items int, rate float64) (LedgerLine, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	log := standin.NewLog(standin.LogSettings{Latency: ledgerLatency})
	o := ledger.NewOwner(ledger.Config{Node: "bench", Log: log, Partitions: 1, GracePeriod: time.Millisecond}, 0)
	go func() { _ = o.Run(ctx) }()
	for !o.Ready() {
		time.Sleep(time.Millisecond)
	}
	if err := submitJob(ctx, o, items); err != nil {
		return LedgerLine{}, err
	}
	appends, bytes := log.AppendCounts()
	began := time.Now()
	go o.Attach(ctx, "agent", newInstantAgent(rate))
	if err := waitJob(ctx, o); err != nil {
		return LedgerLine{}, err
	}
	took := time.Since(began)
	appends2, bytes2 := log.AppendCounts()
	n := float64(items)
	line := LedgerLine{
		Name: name, Items: items, ItemsPerSecond: n / took.Seconds(),
		AppendsPer1000Items: float64(appends2-appends) / n * 1000,
		LogBytesPerItem:     float64(bytes2-bytes) / n,
	}
	return line, nil
}

const benchChunkLines = 500

func submitJob(ctx context.Context, o *ledger.Owner, items int) error {
	id := foldID(0)
	number := uint32(0)
	for at := 0; at < items; at += benchChunkLines {
		var lines [][]byte
		for n := at; n < min(at+benchChunkLines, items); n++ {
			lines = append(lines, benchLine(n))
		}
		if err := serve(ctx, o, &wire.PeerRequest{Kind: &wire.PeerRequest_PutChunk{PutChunk: &wire.PutChunk{Workspace: "w", File: id, Number: number, Lines: lines}}}); err != nil {
			return err
		}
		number++
	}
	if err := serve(ctx, o, &wire.PeerRequest{Kind: &wire.PeerRequest_SealFile{SealFile: &wire.SealFile{Workspace: "w", File: id, Chunks: number, Lines: uint32(items)}}}); err != nil {
		return err
	}
	return serve(ctx, o, &wire.PeerRequest{Kind: &wire.PeerRequest_CommitJob{CommitJob: &wire.CommitJob{
		Job: id, Workspace: "w", File: id, Model: benchModel, KeepMs: time.Hour.Milliseconds(),
	}}})
}

func serve(ctx context.Context, o *ledger.Owner, req *wire.PeerRequest) error {
	if f := o.Serve(ctx, req).GetFailure(); f != nil {
		return &FailedError{Reason: f.GetCode() + " " + f.GetMessage()}
	}
	return nil
}

// FailedError reports that an experiment could not be completed.
type FailedError struct {
	Reason string
}

// Error implements error.
func (e *FailedError) Error() string {
	return "experiment failed: " + e.Reason
}

func waitJob(ctx context.Context, o *ledger.Owner) error {
	for ctx.Err() == nil {
		reply := o.Serve(ctx, &wire.PeerRequest{Kind: &wire.PeerRequest_GetJob{GetJob: &wire.GetJob{Workspace: "w", Job: foldID(0)}}})
		if reply.GetJob().GetState() == "completed" {
			return nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return ctx.Err()
}

// naiveItem is the state of an item in a ledger that does not use bitmaps.
type naiveItem struct {
	id, state string
	attempts  int
	result    uint64
}

// memoryRun returns the heap bytes per completed item for both kinds of state.
func memoryRun() (fold, naive float64) {
	const jobs = 4
	before := liveHeapBytes()
	f := newFoldRun()
	for n := range jobs {
		f.accept(n)
		f.complete(n)
	}
	fold = (liveHeapBytes() - before) / (jobs * foldItems)
	runtime.KeepAlive(f)
	f = nil
	before = liveHeapBytes()
	state := make(map[string]*naiveItem)
	for n := range jobs * foldItems {
		id := fmt.Sprint("item-", n)
		state[id] = &naiveItem{id: id, state: "succeeded", attempts: 1, result: uint64(n)}
	}
	naive = (liveHeapBytes() - before) / (jobs * foldItems)
	runtime.KeepAlive(state)
	return fold, naive
}

// naiveRun appends one record and keeps one object for each item.
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
	appends, bytes := log.AppendCounts()
	n := float64(items)
	line := LedgerLine{
		Name: "naive: a record for each item", Items: items, ItemsPerSecond: n / took.Seconds(),
		AppendsPer1000Items: float64(appends) / n * 1000, LogBytesPerItem: float64(bytes) / n,
	}
	return line, nil
}

// replayRun fills a partition with a million completed items and returns the takeover
// times in seconds.
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
	for n := range replayItems / chunk {
		put(&wire.Entry{Kind: &wire.Entry_Chunk{Chunk: &wire.PutChunk{Workspace: "w", File: id, Number: uint32(n), Lines: make([][]byte, chunk)}}})
	}
	put(&wire.Entry{Kind: &wire.Entry_Seal{Seal: &wire.SealFile{Workspace: "w", File: id, Chunks: replayItems / chunk, Lines: replayItems}}})
	put(&wire.Entry{Kind: &wire.Entry_Commit{Commit: &wire.CommitJob{Job: id, Workspace: "w", File: id, Model: benchModel, KeepMs: time.Hour.Milliseconds()}}})
	text := make([]byte, ledgerResult)
	for lo := 0; lo < replayItems; lo += replayOutcomesPerRecord {
		hi := min(lo+replayOutcomesPerRecord, replayItems)
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

// takeoverTime returns the median time in seconds until a new owner is ready, of three
// runs. If snapshotEvery is below replayItems, an earlier owner writes a snapshot
// first.
func takeoverTime(ctx context.Context, log infra.Log, snapshotEvery uint64) (float64, error) {
	cfg := ledger.Config{Node: "second", Log: log, Partitions: 1, SnapshotEvery: snapshotEvery, RecordLimit: 4 << 20}
	if snapshotEvery < replayItems {
		if err := writeSnapshot(ctx, cfg); err != nil {
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

func writeSnapshot(ctx context.Context, cfg ledger.Config) error {
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
