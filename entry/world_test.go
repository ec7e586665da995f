package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pumiceford/admission"
	"pumiceford/agent"
	"pumiceford/batch"
	"pumiceford/config"
	"pumiceford/infra"
	"pumiceford/ledger"
	"pumiceford/link"
	"pumiceford/logging"
	"pumiceford/oplog"
	"pumiceford/standin"
)

// testCluster holds entries and agents in one process on pipes, with faults at the
// interfaces: connections, the log, the host list and the engines. It is driven
// in virtual time.
type testCluster struct {
	ctx    context.Context
	cancel context.CancelFunc
	log    *standin.Log
	hosts  *standin.HostList
	net    *pipeNet

	mu       sync.Mutex
	entries  map[string]*testEntry
	agents   map[string]*testAgent
	engines  map[string]*standin.Engine
	service  *standin.Service
	settings clusterSettings
	wg       sync.WaitGroup
}

type clusterSettings struct {
	entries, agents int
	partitions      uint32
	log             standin.LogSettings
	snapshotEvery   uint64
	hostLag         time.Duration
	retention       time.Duration // as the ledger knows it
}

type testEntry struct {
	*Entry
	cancel context.CancelFunc
	host   *pipeHost
}

type testAgent struct {
	*agent.Agent
	cancel context.CancelFunc
	host   *pipeHost
}

const testModel = "fitting-3b"

// verbose logs what entries do, for looking at one story.
var verbose = false

func testLogger() logging.Logger {
	if !verbose {
		return logging.Logger{}
	}
	return logging.New(logging.Settings{Level: "debug"})
}

func newTestCluster(set clusterSettings) *testCluster {
	ctx, end := context.WithCancel(context.Background())
	w := &testCluster{
		ctx: ctx, cancel: end, settings: set,
		log:     standin.NewLog(set.log),
		hosts:   standin.NewHostList(set.hostLag),
		net:     &pipeNet{hosts: make(map[string]*pipeHost)},
		entries: make(map[string]*testEntry),
		agents:  make(map[string]*testAgent),
		engines: make(map[string]*standin.Engine),
		service: &standin.Service{Delay: 20 * time.Millisecond},
	}
	for n := range set.agents {
		name := agentName(n)
		w.engines[name] = standin.NewEngine(ctx, standin.EngineSettings{Models: []string{testModel}, StepBase: 5 * time.Millisecond, MaxRunning: 4})
		w.startAgent(name)
	}
	for n := range set.entries {
		w.startEntry(entryName(n))
	}
	return w
}

func entryName(n int) string { return fmt.Sprintf("entry-%d", n) }
func agentName(n int) string { return fmt.Sprintf("agent-%d", n) }

func (w *testCluster) linkConfig(h *pipeHost) link.Config {
	return link.Config{
		HeartbeatEvery: 200 * time.Millisecond,
		SilentAfter:    time.Second,
		Dial:           func(ctx context.Context, addr string) (net.Conn, error) { return w.net.dial(ctx, h, addr) },
	}
}

func (w *testCluster) startAgent(name string) {
	ctx, kill := context.WithCancel(w.ctx)
	host := w.net.addHost(name)
	inc := oplog.NewIncarnation()
	a := agent.New(ctx, agent.Config{
		Name: name, DataCentre: "caerdydd-a", Incarnation: inc, Engine: w.engines[name],
		Services:  map[string]agent.Service{"stamps": w.service},
		Admission: admission.Settings{Seats: 4, Harm: 0.1},
	})
	cfg := w.linkConfig(host)
	cfg.Node, cfg.Incarnation, cfg.Status, cfg.Handle = name, inc, a.Status, a.Handle
	w.wg.Go(func() { _ = link.Serve(ctx, host, cfg) })
	w.agents[name] = &testAgent{Agent: a, cancel: kill, host: host}
	w.hosts.Put(infra.Host{Name: name, Role: infra.RoleAgent, Addr: name, DataCentre: "caerdydd-a"})
}

func (w *testCluster) startEntry(name string) {
	ctx, kill := context.WithCancel(w.ctx)
	host := w.net.addHost(name)
	e := New(Config{
		Name: name, DataCentre: "caerdydd-a", Incarnation: oplog.NewIncarnation(),
		Log: &pausableLog{log: w.log, host: host}, HostList: &pausableHostList{list: w.hosts, host: host}, Link: w.linkConfig(host),
		Bootstrap:        config.Operator{Name: "dev", Scope: config.ScopeFleet},
		HostListInterval: 200 * time.Millisecond,
		Logger:           testLogger(),
		Ledger: ledger.Config{
			Partitions: w.settings.partitions, ResultsEvery: 100 * time.Millisecond, SnapshotEvery: w.settings.snapshotEvery, Retention: w.settings.retention,
			Limits: batch.Limits{MaxAttempts: 4, MaxTargetLoss: 2, BackoffBase: 50 * time.Millisecond, BackoffMax: time.Second},
		},
	})
	w.wg.Go(func() { _ = e.Run(ctx, host) })
	w.mu.Lock()
	w.entries[name] = &testEntry{Entry: e, cancel: kill, host: host}
	w.mu.Unlock()
	w.hosts.Put(hostOf(name))
}

// killEntry loses a host at once: its connections end before its code can say
// anything, and the list drops it.
func (w *testCluster) killEntry(name string) {
	w.mu.Lock()
	e := w.entries[name]
	delete(w.entries, name)
	w.mu.Unlock()
	if e == nil {
		return
	}
	w.net.removeHost(name)
	e.cancel()
	w.hosts.Remove(name)
}

func (w *testCluster) killAgent(name string) {
	a := w.agents[name]
	if a == nil {
		return
	}
	delete(w.agents, name)
	w.net.removeHost(name)
	a.cancel()
}

// runningEntry returns a running entry, preferring one.
func (w *testCluster) runningEntry(n int) *testEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.settings.entries {
		if e := w.entries[entryName((n+i)%w.settings.entries)]; e != nil && !e.host.isPaused() {
			return e
		}
	}
	return nil
}

func (w *testCluster) close() {
	w.net.resumeAll()
	w.cancel()
	w.net.closeAll()
	w.wg.Wait()
	// Virtual time stands still once the test function has returned; timers of
	// what is winding down must fire before.
	time.Sleep(time.Minute)
}

// pausableLog stops answering while its host is paused, before and after the call,
// so that an append may take effect while its caller sleeps.
type pausableLog struct {
	log  infra.Log
	host *pipeHost
}

func (g *pausableLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	g.host.waitWhilePaused()
	off, err := g.log.Append(ctx, stream, data)
	g.host.waitWhilePaused()
	return off, err
}

func (g *pausableLog) Read(ctx context.Context, stream string, from uint64, maxBytes int, wait time.Duration) (infra.Page, error) {
	g.host.waitWhilePaused()
	p, err := g.log.Read(ctx, stream, from, maxBytes, wait)
	g.host.waitWhilePaused()
	return p, err
}

// pausableHostList does not answer while its host is paused.
type pausableHostList struct {
	list infra.HostList
	host *pipeHost
}

func (g *pausableHostList) Hosts(ctx context.Context) ([]infra.Host, error) {
	g.host.waitWhilePaused()
	return g.list.Hosts(ctx)
}

// pipeNet connects hosts by pipes.
type pipeNet struct {
	mu    sync.Mutex
	hosts map[string]*pipeHost
}

// pipeHost is a host's listener and the switch of its faults.
type pipeHost struct {
	name string

	mu      sync.Mutex
	conns   map[*pipeConn]struct{}
	accept  chan net.Conn
	closed  chan struct{}
	resumed chan struct{} // closed when not paused
	paused  bool
}

var errPipeDown = errors.New("host is down")

func newPipeHost(name string) *pipeHost {
	running := make(chan struct{})
	close(running)
	return &pipeHost{name: name, conns: make(map[*pipeConn]struct{}), accept: make(chan net.Conn), closed: make(chan struct{}), resumed: running}
}

func (n *pipeNet) addHost(name string) *pipeHost {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := newPipeHost(name)
	n.hosts[name] = h
	return h
}

func (n *pipeNet) removeHost(name string) {
	n.mu.Lock()
	h := n.hosts[name]
	n.mu.Unlock()
	if h != nil {
		n.detach(h)
	}
}

// detach takes a host off the network, unless another of its name took its place.
func (n *pipeNet) detach(h *pipeHost) {
	n.mu.Lock()
	if n.hosts[h.name] == h {
		delete(n.hosts, h.name)
	}
	n.mu.Unlock()
	h.resume()
	h.shutDown()
}

func (n *pipeNet) resumeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.hosts {
		h.resume()
	}
}

func (n *pipeNet) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.hosts {
		h.shutDown()
	}
}

// silenceConns makes the open connections between two hosts silent for good. New
// ones work.
func (n *pipeNet) silenceConns(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h := n.hosts[a]; h != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		for c := range h.conns {
			if c.peer == b {
				c.silenceBothEnds()
			}
		}
	}
}

func (n *pipeNet) dial(ctx context.Context, from *pipeHost, addr string) (net.Conn, error) {
	n.mu.Lock()
	to := n.hosts[addr]
	n.mu.Unlock()
	if to == nil {
		return nil, errPipeDown
	}
	a, b := net.Pipe()
	quiet := make(chan struct{})
	var once sync.Once
	mute := func() { once.Do(func() { close(quiet) }) }
	near := &pipeConn{Conn: a, host: from, peer: addr, silent: quiet, setSilent: mute, closed: make(chan struct{})}
	far := &pipeConn{Conn: b, host: to, peer: from.name, silent: quiet, setSilent: mute, closed: make(chan struct{})}
	select {
	case to.accept <- far:
	case <-to.closed:
		return nil, errPipeDown
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	from.track(near)
	to.track(far)
	return near, nil
}

func (h *pipeHost) track(c *pipeConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.closed:
		_ = c.Close()
		return
	default:
	}
	h.conns[c] = struct{}{}
}

func (h *pipeHost) shutDown() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.closed:
	default:
		close(h.closed)
	}
	for c := range h.conns {
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (h *pipeHost) Accept() (net.Conn, error) {
	select {
	case c := <-h.accept:
		return c, nil
	case <-h.closed:
		return nil, io.EOF
	}
}

// Close implements net.Listener.
func (h *pipeHost) Close() error {
	h.shutDown()
	return nil
}

// Addr implements net.Listener.
func (h *pipeHost) Addr() net.Addr { return &net.UnixAddr{Name: h.name} }

func (h *pipeHost) pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.paused {
		h.paused = true
		h.resumed = make(chan struct{})
	}
}

func (h *pipeHost) resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.paused {
		h.paused = false
		close(h.resumed)
	}
}

func (h *pipeHost) isPaused() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.paused
}

// waitWhilePaused blocks while the host is paused.
func (h *pipeHost) waitWhilePaused() {
	h.mu.Lock()
	p := h.resumed
	h.mu.Unlock()
	<-p
}

// pipeConn is one end of a connection.
type pipeConn struct {
	net.Conn
	host      *pipeHost
	peer      string
	silent    chan struct{} // closed when the connection is silent
	setSilent func()

	once   sync.Once
	closed chan struct{}
}

// waitWhilePaused blocks while the host is paused and the connection is open.
func (c *pipeConn) waitWhilePaused() {
	c.host.mu.Lock()
	p := c.host.resumed
	c.host.mu.Unlock()
	select {
	case <-p:
	case <-c.closed:
	}
}

// Close implements net.Conn.
func (c *pipeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *pipeConn) silenceBothEnds() { c.setSilent() }

// Read implements net.Conn.
func (c *pipeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.waitWhilePaused()
	select {
	case <-c.silent:
		if err == nil {
			return c.Read(p)
		}
	default:
	}
	return n, err
}

// Write implements net.Conn.
func (c *pipeConn) Write(p []byte) (int, error) {
	c.waitWhilePaused()
	select {
	case <-c.silent:
		return len(p), nil
	default:
	}
	return c.Conn.Write(p)
}

func hostOf(name string) infra.Host {
	return infra.Host{Name: name, Role: infra.RoleEntry, Addr: name, DataCentre: "caerdydd-a"}
}

// runInBubble runs f in virtual time. yamux keeps timers in a pool of the whole
// process, and a timer of one bubble must not be used in another: two collections
// empty the pool. Tests in bubbles therefore never run in parallel.
func runInBubble(t *testing.T, f func(*testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}
