package bench

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"pumiceford/admission"
	"pumiceford/agent"
	"pumiceford/batch"
	"pumiceford/config"
	"pumiceford/engine"
	"pumiceford/entry"
	"pumiceford/httpx"
	"pumiceford/journal"
	"pumiceford/ledger"
	"pumiceford/link"
	"pumiceford/platform"
	"pumiceford/platform/platformhttp"
	"pumiceford/standin"
	"pumiceford/wire"
)

// Capacity holds the slopes that the capacity page is worked out from.
type Capacity struct {
	Machine string  `json:"machine"`
	Slopes  []Slope `json:"slopes"`
}

// RunCapacity measures all slopes. It takes about a minute.
func RunCapacity(ctx context.Context) (Capacity, error) {
	c := Capacity{Machine: fmt.Sprintf("%s, %d cores, %s", runtime.GOARCH, runtime.NumCPU(), runtime.Version())}
	for _, part := range []func(context.Context) ([]Slope, error){
		sessionSlopes, pollSlopes, foldSlopes, jobSlopes, partitionSlopes, configSlopes, onlineSlopes,
	} {
		s, err := part(ctx)
		if err != nil {
			return c, err
		}
		c.Slopes = append(c.Slopes, s...)
	}
	return c, nil
}

// countingConn counts the bytes that pass it. Connections between peers are
// wrapped at both ends, so each byte counts twice there.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, bytes: l.bytes}, nil
}

// idleFor is how long idle sessions are watched for one point.
const idleFor = 4 * time.Second

// sessionSlopes measures control sessions without streams: bytes that one end
// writes a second while its status stands still and while it changes all the
// time, and one end's share of processor time and memory.
func sessionSlopes(ctx context.Context) ([]Slope, error) {
	var still, busy, used, memory []Point
	for _, n := range []int{16, 32, 64, 128} {
		x := float64(n)
		quiet, err := idleSessions(ctx, n, false)
		if err != nil {
			return nil, err
		}
		changing, err := idleSessions(ctx, n, true)
		if err != nil {
			return nil, err
		}
		still = append(still, Point{x, quiet.bytes})
		busy = append(busy, Point{x, changing.bytes})
		used = append(used, Point{x, changing.cpu})
		memory = append(memory, Point{x, quiet.memory})
	}
	return []Slope{
		Fit("session_bytes", "bytes/s written by one end of a control session, status unchanged", still),
		Fit("session_busy_bytes", "bytes/s written by one end of a control session, status changing", busy),
		Fit("session_cpu", "core share of one end of a control session, status changing", used),
		Fit("session_memory", "bytes of memory at one end of a control session", memory),
	}, nil
}

// idleCost is what one end of all sessions spent.
type idleCost struct {
	bytes, cpu, memory float64
}

func idleSessions(ctx context.Context, n int, changing bool) (idleCost, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := heap()
	var count atomic.Int64
	var calls atomic.Uint32
	status := func() *wire.NodeStatus {
		st := &wire.NodeStatus{Node: "agent-0123", Incarnation: make([]byte, 16), DataCentre: "kakkanad-a", Models: []string{benchModel}, Seats: 64}
		if changing {
			st.OnlineRunning = calls.Add(1)
		}
		return st
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return idleCost{}, err
	}
	cfg := link.Config{Node: "entry-0123", Status: status}
	go func() { _ = link.Serve(ctx, countingListener{ln, &count}, cfg) }()
	peers := make([]*link.Peer, n)
	for i := range peers {
		peers[i] = link.NewPeer(cfg, ln.Addr().String())
		go peers[i].Keep(ctx, link.Control, time.Second)
	}
	time.Sleep(time.Second)
	// What passes the accepting side is what both ends write.
	const ends = 2
	out := idleCost{memory: (heap() - before) / ends}
	count.Store(0)
	used := spent(func() { time.Sleep(idleFor) })
	for _, p := range peers {
		p.Close()
	}
	out.bytes = float64(count.Load()) / idleFor.Seconds() / ends
	out.cpu = used / idleFor.Seconds() / ends
	return out, nil
}

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
	inc  journal.Incarnation
	seq  uint64
}

func newFoldRun() *foldRun {
	f := &foldRun{part: batch.NewPartition(0), inc: journal.NewIncarnation()}
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
	f.part.Apply(platform.Record{Offset: f.part.Next(), Time: time.Unix(0, 0), Data: data})
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
	inc := journal.NewIncarnation()
	var seq uint64
	put := func(e *wire.Entry) {
		seq++
		data, err := proto.Marshal(&wire.Envelope{Incarnation: inc[:], Seq: seq, Entries: []*wire.Entry{e}})
		if err == nil {
			s.Apply(platform.Record{Offset: s.Next(), Data: data})
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

// pollSlopes measures what a node's polls of the platform cost over HTTP while
// nothing changes: bytes in both directions and processor time of both ends.
func pollSlopes(ctx context.Context) ([]Slope, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var count atomic.Int64
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	list := standin.NewHostList(0, fleetHosts()...)
	h := httpx.NewServer(countingListener{ln, &count}, standin.MaxBody)
	standin.RoutePlatform(h, standin.NewLog(standin.LogSettings{}), list, &standin.Weights{})
	go func() { _ = httpx.Serve(ctx, h) }()
	cl, err := platformhttp.New("http://" + ln.Addr().String())
	if err != nil {
		return nil, err
	}
	poll := func() error {
		_, err := cl.Read(ctx, config.StreamName, 0, 1<<20, 0)
		return err
	}
	hosts := func() error {
		_, err := cl.Hosts(ctx)
		return err
	}
	if err := hosts(); err != nil {
		return nil, err
	}
	logBytes, logCPU, err := pollPoints(&count, poll)
	if err != nil {
		return nil, err
	}
	hostBytes, hostCPU, err := pollPoints(&count, hosts)
	if err != nil {
		return nil, err
	}
	return []Slope{
		Fit("log_poll_bytes", "bytes in both directions for each idle read of the log", logBytes),
		Fit("log_poll_cpu", "core seconds of both ends for each idle read of the log", logCPU),
		Fit("hosts_poll_bytes", "bytes in both directions for each read of an unchanged host list", hostBytes),
		Fit("hosts_poll_cpu", "core seconds of both ends for each read of an unchanged host list", hostCPU),
	}, nil
}

// fleetHosts is a host list of the letter's size.
func fleetHosts() []platform.Host {
	var out []platform.Host
	for n := range LetterEntries + LetterAgents {
		role := platform.RoleAgent
		if n < LetterEntries {
			role = platform.RoleEntry
		}
		out = append(out, platform.Host{Name: fmt.Sprintf("%s-%04d", role, n), Role: role, Addr: fmt.Sprintf("10.0.%d.%d:9000", n/250, n%250), DataCentre: "kakkanad-a"})
	}
	return out
}

func pollPoints(count *atomic.Int64, poll func() error) (bytes, used []Point, err error) {
	for _, n := range []int{200, 400, 800, 1600} {
		count.Store(0)
		took := spent(func() {
			for range n {
				if err == nil {
					err = poll()
				}
			}
		})
		bytes = append(bytes, Point{float64(n), float64(count.Load())})
		used = append(used, Point{float64(n), took})
	}
	return bytes, used, err
}

// instantEngine gives every token at once, so that what is measured is ours.
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
	// A real engine gives one token a step; yielding keeps each in a frame of
	// its own.
	runtime.Gosched()
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
	inc := journal.NewIncarnation()
	a := agent.New(ctx, agent.Config{Name: "agent-0", Incarnation: inc, Engine: eng, Admission: admission.Settings{Seats: seats, Harm: 0.1}})
	go func() {
		_ = link.Serve(ctx, agentLn, link.Config{Node: "agent-0", Incarnation: inc, Status: a.Status, Handle: a.Handle})
	}()
	hosts.Put(platform.Host{Name: "agent-0", Role: platform.RoleAgent, Addr: agentLn.Addr().String()})
	hosts.Put(platform.Host{Name: "entry-0", Role: platform.RoleEntry, Addr: entryLn.Addr().String()})
	e := entry.New(entry.Config{Name: "entry-0", Incarnation: journal.NewIncarnation(), Log: log, HostList: hosts, Ledger: ledger.Config{Partitions: 1}})
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
