package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceford/standin"
	"pumiceford/wire"
)

// fakeAgent completes every grant immediately. Its results have no custom_id, so
// that the owner has to add it.
type fakeAgent struct {
	updates  chan *wire.AgentUpdate
	done     chan struct{}
	once     sync.Once
	declared bool
}

func newFakeAgent() *fakeAgent {
	return &fakeAgent{updates: make(chan *wire.AgentUpdate, 1024), done: make(chan struct{})}
}

func (a *fakeAgent) Send(m *wire.OwnerUpdate) error {
	update := &wire.AgentUpdate{Models: []string{"m"}, Want: proto.Uint32(256)}
	if !a.declared {
		a.declared = true
		update.Declared = []uint32{0}
	}
	for _, g := range m.GetGrants() {
		update.Results = append(update.Results, &wire.ItemResult{Ref: g.GetRef(), Ok: true, Text: []byte("short")})
	}
	select {
	case a.updates <- update:
		return nil
	case <-a.done:
		return ErrStreamClosed
	}
}

func (a *fakeAgent) Recv(m *wire.AgentUpdate) error {
	select {
	case update := <-a.updates:
		proto.Merge(m, update)
		return nil
	case <-a.done:
		return ErrStreamClosed
	}
}

func (a *fakeAgent) Close() { a.once.Do(func() { close(a.done) }) }

// Guards against a job that never completes although all its items have run. This
// happens when the size of a full results record is counted before the owner adds
// the custom_ids: the log rejects the record as too large, and the owner drops
// its outcomes.
func TestResultsAtRecordLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		const items = 2000
		log := standin.NewLog(standin.LogSettings{RecordLimit: 32 << 10, Latency: 50 * time.Millisecond})
		o := NewOwner(Config{Node: "n", Log: log, Partitions: 1, RecordLimit: 32 << 10}, 0)
		go func() { _ = o.Run(ctx) }()
		for !o.Ready() {
			time.Sleep(10 * time.Millisecond)
		}
		job := make([]byte, 16)
		send := func(req *wire.PeerRequest) {
			if f := o.Serve(ctx, req).GetFailure(); f != nil {
				t.Fatal(f)
			}
		}
		const perChunk = 100
		for n := range items / perChunk {
			var lines [][]byte
			for i := range perChunk {
				line, err := json.Marshal(map[string]any{"custom_id": fmt.Sprint("item-", n*perChunk+i), "body": map[string]any{"model": "m", "prompt": "p"}})
				if err != nil {
					t.Fatal(err)
				}
				lines = append(lines, line)
			}
			send(&wire.PeerRequest{Kind: &wire.PeerRequest_PutChunk{PutChunk: &wire.PutChunk{Workspace: "w", File: job, Number: uint32(n), Lines: lines}}})
		}
		send(&wire.PeerRequest{Kind: &wire.PeerRequest_SealFile{SealFile: &wire.SealFile{Workspace: "w", File: job, Chunks: items / perChunk, Lines: items}}})
		send(&wire.PeerRequest{Kind: &wire.PeerRequest_CommitJob{CommitJob: &wire.CommitJob{Job: job, Workspace: "w", File: job, Model: "m"}}})
		go o.Attach(ctx, "agent", newFakeAgent())
		time.Sleep(time.Minute)
		info := o.Serve(ctx, &wire.PeerRequest{Kind: &wire.PeerRequest_GetJob{GetJob: &wire.GetJob{Workspace: "w", Job: job}}}).GetJob()
		if info.GetSucceeded() != items {
			t.Fatalf("%d of %d items succeeded, job state %s", info.GetSucceeded(), items, info.GetState())
		}
		page := o.Serve(ctx, &wire.PeerRequest{Kind: &wire.PeerRequest_ReadResults{ReadResults: &wire.ReadResults{Workspace: "w", Job: job, From: 1500, Limit: 10}}}).GetResults()
		if len(page.GetLines()) != 10 || page.GetLines()[3].GetCustomId() != "item-1503" {
			t.Fatalf("got page %v, want 10 lines with custom_id item-1503 in the fourth", page)
		}
	})
}
