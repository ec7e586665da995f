package bench

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"runtime"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"pumiceford/batch"
	"pumiceford/config"
	"pumiceford/entry"
	"pumiceford/infra"
	"pumiceford/ledger"
	"pumiceford/oplog"
	"pumiceford/standin"
	"pumiceford/wire"
)

// foldSlopes measures the fold of a batch partition.
func foldSlopes(context.Context) ([]Slope, error) {
	var pending, done, apply, snap, logged []Point
	for _, jobs := range []int{2, 4, 8, 16} {
		items := float64(jobs * foldItems)
		before := heap()
		f := newFoldRun()
		for n := range jobs {
			f.accept(n)
		}
		pending = append(pending, Point{items, heap() - before})
		var size int
		used := spent(func() {
			for n := range jobs {
				size += f.complete(n)
			}
		})
		apply = append(apply, Point{items, used})
		logged = append(logged, Point{items, float64(size)})
		done = append(done, Point{items, heap() - before})
		bytes := 0
		for _, p := range f.part.Snapshot(1 << 20) {
			bytes += len(p.GetData())
		}
		snap = append(snap, Point{items, float64(bytes)})
		runtime.KeepAlive(f)
	}
	return []Slope{
		Fit("item_memory", "bytes of memory for each pending item", pending),
		Fit("item_done_memory", "bytes of memory for each completed, readable item", done),
		Fit("item_cpu", "core seconds for each item's outcome folded", apply),
		Fit("item_log_bytes", "log bytes for each item's outcome of 300 bytes of text", logged),
		Fit("item_snapshot_bytes", "snapshot bytes for each completed item", snap),
	}, nil
}

// jobSlopes measures what a job itself takes, whatever its items.
func jobSlopes(context.Context) ([]Slope, error) {
	var memory, snap []Point
	for _, jobs := range []int{500, 1000, 2000, 4000} {
		before := heap()
		f := newFoldRun()
		for n := range jobs {
			f.smallJob(n)
		}
		memory = append(memory, Point{float64(jobs), heap() - before})
		bytes := 0
		for _, p := range f.part.Snapshot(1 << 20) {
			bytes += len(p.GetData())
		}
		snap = append(snap, Point{float64(jobs), float64(bytes)})
		runtime.KeepAlive(f)
	}
	return []Slope{
		Fit("job_memory", "bytes of memory for each completed, readable job of one item with its file", memory),
		Fit("job_snapshot_bytes", "snapshot bytes for each such job", snap),
	}, nil
}

func (f *foldRun) smallJob(n int) {
	id := binary.BigEndian.AppendUint64(make([]byte, 8), uint64(n))
	f.apply(&wire.Entry{Kind: &wire.Entry_Chunk{Chunk: &wire.PutChunk{Workspace: "w", File: id, Lines: make([][]byte, 1)}}})
	f.apply(&wire.Entry{Kind: &wire.Entry_Seal{Seal: &wire.SealFile{Workspace: "w", File: id, Chunks: 1, Lines: 1}}})
	f.apply(&wire.Entry{Kind: &wire.Entry_Commit{Commit: &wire.CommitJob{Job: id, File: id, Workspace: "w", Model: "m", KeepMs: time.Hour.Milliseconds()}}})
	f.apply(&wire.Entry{Kind: &wire.Entry_Results{Results: &wire.Results{Job: id, Outcomes: []*wire.Outcome{{Ok: true}}}}})
}

// partitionSlopes measures idle partition owners, without agents, on a log in
// the same process.
func partitionSlopes(ctx context.Context) ([]Slope, error) {
	var used, memory []Point
	for _, n := range []int{16, 32, 64, 128} {
		octx, cancel := context.WithCancel(ctx)
		log := standin.NewLog(standin.LogSettings{})
		before := heap()
		owners := make([]*ledger.Owner, n)
		for p := range owners {
			owners[p] = ledger.NewOwner(ledger.Config{Node: "bench", Log: log, Partitions: uint32(n)}, uint32(p))
			go func() { _ = owners[p].Run(octx) }()
		}
		for _, o := range owners {
			for !o.Ready() && octx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
		}
		memory = append(memory, Point{float64(n), heap() - before})
		share := spent(func() { time.Sleep(idleFor) }) / idleFor.Seconds()
		used = append(used, Point{float64(n), share})
		cancel()
		for _, o := range owners {
			<-o.Done()
		}
	}
	return []Slope{
		Fit("partition_cpu", "core share of an idle partition owner", used),
		Fit("partition_memory", "bytes of memory of an idle partition owner", memory),
	}, ctx.Err()
}

// Sizes of the fold runs.
const (
	foldItems      = 50000
	foldOutcomes   = 250
	foldTextBytes  = 300
	foldChunkLines = 500
)

type foldRun struct {
	part *batch.Partition
	inc  oplog.Incarnation
	seq  uint64
}

func newFoldRun() *foldRun {
	f := &foldRun{part: batch.NewPartition(0), inc: oplog.NewIncarnation()}
	f.apply(&wire.Entry{Kind: &wire.Entry_Takeover{Takeover: &wire.Takeover{Owner: "bench"}}})
	return f
}

func (f *foldRun) apply(e *wire.Entry) int {
	f.seq++
	env := &wire.Envelope{Incarnation: f.inc[:], Seq: f.seq, Epoch: 1, Entries: []*wire.Entry{e}}
	data, err := proto.Marshal(env)
	if err != nil {
		return 0
	}
	f.part.Apply(infra.Record{Offset: f.part.Next(), Time: time.Unix(0, 0), Data: data})
	return len(data)
}

func foldID(n int) []byte {
	return bytes.Repeat([]byte{byte(n + 1)}, 16)
}

func (f *foldRun) accept(n int) {
	id := foldID(n)
	chunks := foldItems / foldChunkLines
	for c := range chunks {
		f.apply(&wire.Entry{Kind: &wire.Entry_Chunk{Chunk: &wire.PutChunk{Workspace: "w", File: id, Number: uint32(c), Lines: make([][]byte, foldChunkLines)}}})
	}
	f.apply(&wire.Entry{Kind: &wire.Entry_Seal{Seal: &wire.SealFile{Workspace: "w", File: id, Chunks: uint32(chunks), Lines: foldItems}}})
	f.apply(&wire.Entry{Kind: &wire.Entry_Commit{Commit: &wire.CommitJob{Job: id, File: id, Workspace: "w", Model: "m", KeepMs: time.Hour.Milliseconds()}}})
}

func (f *foldRun) complete(n int) int {
	text := bytes.Repeat([]byte("x"), foldTextBytes)
	size := 0
	for lo := 0; lo < foldItems; lo += foldOutcomes {
		outcomes := make([]*wire.Outcome, foldOutcomes)
		for i := range outcomes {
			outcomes[i] = &wire.Outcome{Index: uint32(lo + i), Ok: true, Text: text, CompletionTokens: 64}
		}
		size += f.apply(&wire.Entry{Kind: &wire.Entry_Results{Results: &wire.Results{Job: foldID(n), Outcomes: outcomes}}})
	}
	return size
}

// configSlopes measures the configuration's state.
func configSlopes(context.Context) ([]Slope, error) {
	var memory, apply, snap []Point
	for _, n := range []int{4000, 8000, 16000, 32000} {
		before := heap()
		s := config.NewState(config.Operator{Name: "dev", Scope: config.ScopeFleet})
		var seq uint64
		used := spent(func() { seq = addWorkspaces(s, n) })
		memory = append(memory, Point{float64(n), heap() - before})
		apply = append(apply, Point{float64(seq), used})
		data, err := s.Snapshot()
		if err != nil {
			return nil, err
		}
		snap = append(snap, Point{float64(n), float64(len(data))})
		runtime.KeepAlive(s)
	}
	return []Slope{
		Fit("workspace_memory", "bytes of memory for each workspace", memory),
		Fit("config_cpu", "core seconds for each config record folded", apply),
		Fit("workspace_snapshot", "snapshot bytes for each workspace", snap),
	}, nil
}

// addWorkspaces folds plans and confirms that create n workspaces, ten in a
// plan, and returns how many records that were.
func addWorkspaces(s *config.State, n int) uint64 {
	const each = 10
	inc := oplog.NewIncarnation()
	var seq uint64
	put := func(e *wire.Entry) {
		seq++
		data, err := proto.Marshal(&wire.Envelope{Incarnation: inc[:], Seq: seq, Entries: []*wire.Entry{e}})
		if err == nil {
			s.Apply(infra.Record{Offset: s.Next(), Data: data})
		}
	}
	for at := 0; at < n; at += each {
		id := uuid.New()
		var text bytes.Buffer
		for i := range each {
			sep := ","
			if i == 0 {
				sep = "["
			}
			name := fmt.Sprintf("workspace-%05d", at+i)
			fmt.Fprintf(&text, `%s{"kind":"create_workspace","workspace":%q},{"kind":"add_key","workspace":%q,"key_hash":%q}`, sep, name, name, entry.HashKey(name))
		}
		text.WriteString("]")
		put(&wire.Entry{Kind: &wire.Entry_Plan{Plan: &wire.ConfigPlan{Id: id[:], Author: "dev", AuthorScope: config.ScopeFleet, Base: s.Next(), Changes: text.Bytes()}}})
		plan := s.Plan(config.PlanID(id))
		put(&wire.Entry{Kind: &wire.Entry_Confirm{Confirm: &wire.ConfigConfirm{Plan: id[:], Author: "dev", AuthorScope: config.ScopeFleet, Digest: plan.Digest()}}})
	}
	return seq
}
