package bench

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceford/batch"
	"pumiceford/infra"
	"pumiceford/oplog"
	"pumiceford/wire"
)

// benchModel is the model that all experiments request.
const benchModel = "bench-1b"

// Sizes of the fold experiment. foldOutcomes is the number of results in a record.
const (
	foldItems      = 50000
	foldOutcomes   = 250
	foldTextBytes  = 300
	foldChunkLines = 500
)

// foldRun folds the records of a batch partition as the partition's owner does.
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
