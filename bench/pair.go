package bench

import (
	"context"
	"net"
	"time"

	"github.com/google/uuid"

	"pumiceford/admission"
	"pumiceford/agent"
	"pumiceford/engine"
	"pumiceford/entry"
	"pumiceford/infra"
	"pumiceford/ledger"
	"pumiceford/link"
	"pumiceford/oplog"
	"pumiceford/standin"
	"pumiceford/wire"
)

// pair is one entry and one agent connected over loopback.
type pair struct {
	e      *entry.Entry
	cancel context.CancelFunc
}

func newPair(ctx context.Context, eng engine.Engine, seats int) (*pair, error) {
	ctx, cancel := context.WithCancel(ctx)
	log := standin.NewLog(standin.LogSettings{})
	hosts := standin.NewHostList(0)
	agentLn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return nil, err
	}
	entryLn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return nil, err
	}
	inc := oplog.NewIncarnation()
	a := agent.New(ctx, agent.Config{Name: "agent-0", Incarnation: inc, Engine: eng, Admission: admission.Settings{Seats: seats, Harm: 0.1}})
	go func() {
		_ = link.Serve(ctx, agentLn, link.Config{Node: "agent-0", Incarnation: inc, Status: a.Status, Handle: a.Handle})
	}()
	hosts.Put(infra.Host{Name: "agent-0", Role: infra.RoleAgent, Addr: agentLn.Addr().String()})
	hosts.Put(infra.Host{Name: "entry-0", Role: infra.RoleEntry, Addr: entryLn.Addr().String()})
	e := entry.New(entry.Config{Name: "entry-0", Incarnation: oplog.NewIncarnation(), Log: log, HostList: hosts, Ledger: ledger.Config{Partitions: 1}})
	go func() { _ = e.Run(ctx, entryLn) }()
	p := &pair{e: e, cancel: cancel}
	for try := 0; ; try++ {
		err := p.request(ctx, 1)
		if err == nil {
			return p, nil
		}
		if try > 100 {
			cancel()
			return nil, err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// request runs one online request to its end.
func (p *pair) request(ctx context.Context, tokens uint32) error {
	_, err := p.e.Do(ctx, &entry.Request{
		ID: uuid.New(), Workspace: "w", Model: benchModel, Prompt: "prompt", MaxTokens: tokens, Deadline: time.Now().Add(time.Minute),
	}, func(*wire.Piece) error { return nil })
	return err
}
