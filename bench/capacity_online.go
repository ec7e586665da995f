package bench

import (
	"context"
	"net"
	"sync"
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

// instantStep is the time between two tokens.
const instantStep = time.Millisecond

// instantEngine computes nothing, so that what is measured is ours.
type instantEngine struct{}

type instantStream struct {
	left uint32
}

// Generate implements engine.Engine.
func (instantEngine) Generate(_ context.Context, r engine.Request) (engine.Stream, error) {
	return &instantStream{left: r.MaxTokens - r.ResumeFrom}, nil
}

// Load implements engine.Engine.
func (instantEngine) Load(context.Context) (engine.Load, error) { return engine.Load{}, nil }

// Order implements engine.Engine.
func (instantEngine) Order(context.Context, engine.Order) error { return nil }

// Models implements engine.Engine.
func (instantEngine) Models(context.Context) ([]string, error) { return []string{benchModel}, nil }

// Next implements engine.Stream.
func (s *instantStream) Next(context.Context) (engine.Chunk, error) {
	s.left--
	c := engine.Chunk{Text: "token ", Tokens: 1}
	if s.left == 0 {
		c.Finish = "length"
	}
	// A real engine gives one token a step. Without a pause several tokens leave
	// in one write, and a token would look cheaper than it is.
	time.Sleep(instantStep)
	return c, nil
}

// Cancel implements engine.Stream.
func (*instantStream) Cancel() {}

const benchModel = "bench-1b"

// pair is one entry and one agent on loopback.
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
		err := p.ask(ctx, 1)
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

// ask runs one online request.
func (p *pair) ask(ctx context.Context, tokens uint32) error {
	_, err := p.e.Do(ctx, &entry.Request{
		ID: uuid.New(), Workspace: "w", Model: benchModel, Prompt: "prompt", MaxTokens: tokens, Deadline: time.Now().Add(time.Minute),
	}, func(*wire.Piece) error { return nil })
	return err
}

// onlineSlopes measures one entry and one agent together: processor time for
// each request and for each token.
func onlineSlopes(ctx context.Context) ([]Slope, error) {
	p, err := newPair(ctx, instantEngine{}, 64)
	if err != nil {
		return nil, err
	}
	defer p.cancel()
	var requests, tokens []Point
	for _, n := range []int{1000, 2000, 4000, 8000} {
		used := spent(func() { p.many(ctx, n, 1) })
		requests = append(requests, Point{float64(n), used})
	}
	const each = 500
	for _, t := range []uint32{32, 64, 128, 256} {
		used := spent(func() { p.many(ctx, each, t) })
		tokens = append(tokens, Point{float64(each) * float64(t), used})
	}
	return []Slope{
		Fit("request_cpu", "core seconds of entry and agent for each one-token request", requests),
		Fit("token_cpu", "core seconds of entry and agent for each further token", tokens),
	}, nil
}

// many runs n requests, some at a time.
func (p *pair) many(ctx context.Context, n int, tokens uint32) {
	const atOnce = 32
	var wg sync.WaitGroup
	work := make(chan struct{})
	for range atOnce {
		wg.Go(func() {
			for range work {
				// A failed request shows as less work done; the pair is checked first.
				_ = p.ask(ctx, tokens)
			}
		})
	}
	for range n {
		work <- struct{}{}
	}
	close(work)
	wg.Wait()
}
