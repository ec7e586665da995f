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

// testCluster runs entries and agents in one process, connected by in-memory
// pipes and in virtual time. It can inject faults into connections, the log, the
// host list and the engines.
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
	retention       time.Duration // retention of the log according to the ledger's settings
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

// verbose enables debug logs of the entries, for debugging a single scenario.
var verbose = false

func testLogger() logging.Logger {
	if !verbose {
		return logging.Logger{}
	}
	return logging.New(logging.Settings{Level: "debug"})
}

func newTestCluster(settings clusterSettings) *testCluster {
	ctx, cancel := context.WithCancel(context.Background())
	tc := &testCluster{
		ctx: ctx, cancel: cancel, settings: settings,
		log:     standin.NewLog(settings.log),
		hosts:   standin.NewHostList(settings.hostLag),
		net:     &pipeNet{hosts: make(map[string]*pipeHost)},
		entries: make(map[string]*testEntry),
		agents:  make(map[string]*testAgent),
		engines: make(map[string]*standin.Engine),
		service: &standin.Service{Delay: 20 * time.Millisecond},
	}
	for n := range settings.agents {
		name := agentName(n)
		tc.engines[name] = standin.NewEngine(ctx, standin.EngineSettings{Models: []string{testModel}, StepBase: 5 * time.Millisecond, MaxRunning: 4})
		tc.startAgent(name)
	}
	for n := range settings.entries {
		tc.startEntry(entryName(n))
	}
	return tc
}

func entryName(n int) string { return fmt.Sprintf("entry-%d", n) }
func agentName(n int) string { return fmt.Sprintf("agent-%d", n) }

func (tc *testCluster) linkConfig(h *pipeHost) link.Config {
	return link.Config{
		HeartbeatInterval: 200 * time.Millisecond,
		HeartbeatTimeout:  time.Second,
		Dial:              func(ctx context.Context, addr string) (net.Conn, error) { return tc.net.dial(ctx, h, addr) },
	}
}

func (tc *testCluster) startAgent(name string) {
	ctx, cancel := context.WithCancel(tc.ctx)
	host := tc.net.addHost(name)
	inc := oplog.NewIncarnation()
	a := agent.New(ctx, agent.Config{
		Name: name, DataCentre: "caerdydd-a", Incarnation: inc, Engine: tc.engines[name],
		Services:  map[string]agent.Service{"stamps": tc.service},
		Admission: admission.Settings{Seats: 4, Harm: 0.1},
	})
	cfg := tc.linkConfig(host)
	cfg.Node, cfg.Incarnation, cfg.Status, cfg.Handle = name, inc, a.Status, a.Handle
	tc.wg.Go(func() { _ = link.Serve(ctx, host, cfg) })
	tc.agents[name] = &testAgent{Agent: a, cancel: cancel, host: host}
	tc.hosts.Put(infra.Host{Name: name, Role: infra.RoleAgent, Addr: name, DataCentre: "caerdydd-a"})
}

func (tc *testCluster) startEntry(name string) {
	ctx, cancel := context.WithCancel(tc.ctx)
	host := tc.net.addHost(name)
	e := New(Config{
		Name: name, DataCentre: "caerdydd-a", Incarnation: oplog.NewIncarnation(),
		Log: &pausableLog{log: tc.log, host: host}, HostList: &pausableHostList{list: tc.hosts, host: host}, Link: tc.linkConfig(host),
		Bootstrap:        config.Operator{Name: "dev", Scope: config.ScopeFleet},
		HostListInterval: 200 * time.Millisecond,
		Logger:           testLogger(),
		Ledger: ledger.Config{
			Partitions: tc.settings.partitions, ResultsEvery: 100 * time.Millisecond, SnapshotEvery: tc.settings.snapshotEvery, Retention: tc.settings.retention,
			Limits: batch.Limits{MaxAttempts: 4, MaxTargetLosses: 2, BackoffBase: 50 * time.Millisecond, BackoffMax: time.Second},
		},
	})
	tc.wg.Go(func() { _ = e.Run(ctx, host) })
	tc.mu.Lock()
	tc.entries[name] = &testEntry{Entry: e, cancel: cancel, host: host}
	tc.mu.Unlock()
	tc.hosts.Put(hostOf(name))
}

// killEntry simulates the sudden loss of a host: its connections are closed
// before the entry is stopped, so that it cannot send anything more, and it
// leaves the host list.
func (tc *testCluster) killEntry(name string) {
	tc.mu.Lock()
	e := tc.entries[name]
	delete(tc.entries, name)
	tc.mu.Unlock()
	if e == nil {
		return
	}
	tc.net.removeHost(name)
	e.cancel()
	tc.hosts.Remove(name)
}

func (tc *testCluster) killAgent(name string) {
	a := tc.agents[name]
	if a == nil {
		return
	}
	delete(tc.agents, name)
	tc.net.removeHost(name)
	a.cancel()
}

// runningEntry returns entry n, or the next one that is running and not paused. It
// returns nil if there is none.
func (tc *testCluster) runningEntry(n int) *testEntry {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for i := range tc.settings.entries {
		if e := tc.entries[entryName((n+i)%tc.settings.entries)]; e != nil && !e.host.isPaused() {
			return e
		}
	}
	return nil
}

func (tc *testCluster) close() {
	tc.net.resumeAll()
	tc.cancel()
	tc.net.closeAll()
	tc.wg.Wait()
	// Virtual time stops when the test function returns. The timers of goroutines
	// that are still shutting down must fire before that.
	time.Sleep(time.Minute)
}

// pausableLog blocks while its host is paused, both before and after each call,
// so that an append can take effect while its caller is paused.
type pausableLog struct {
	log  infra.Log
	host *pipeHost
}

func (l *pausableLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	l.host.waitWhilePaused()
	off, err := l.log.Append(ctx, stream, data)
	l.host.waitWhilePaused()
	return off, err
}

func (l *pausableLog) Read(ctx context.Context, stream string, from uint64, maxBytes int, wait time.Duration) (infra.Page, error) {
	l.host.waitWhilePaused()
	p, err := l.log.Read(ctx, stream, from, maxBytes, wait)
	l.host.waitWhilePaused()
	return p, err
}

// pausableHostList blocks while its host is paused.
type pausableHostList struct {
	list infra.HostList
	host *pipeHost
}

func (l *pausableHostList) Hosts(ctx context.Context) ([]infra.Host, error) {
	l.host.waitWhilePaused()
	return l.list.Hosts(ctx)
}

// pipeNet is a network that connects hosts by in-memory pipes.
type pipeNet struct {
	mu    sync.Mutex
	hosts map[string]*pipeHost
}

// pipeHost is the listener of a host. It can pause the host.
type pipeHost struct {
	name string

	mu      sync.Mutex
	conns   map[*pipeConn]struct{}
	accept  chan net.Conn
	closed  chan struct{}
	resumed chan struct{} // closed while the host is not paused
	paused  bool
}

var errPipeDown = errors.New("host is down")

func newPipeHost(name string) *pipeHost {
	resumed := make(chan struct{})
	close(resumed)
	return &pipeHost{name: name, conns: make(map[*pipeConn]struct{}), accept: make(chan net.Conn), closed: make(chan struct{}), resumed: resumed}
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

// detach removes a host from the network and closes its connections. A newer host
// with the same name stays.
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

// silenceConns makes the open connections between hosts a and b discard all data
// from now on, without closing them. New connections work.
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
	silent := make(chan struct{})
	var once sync.Once
	setSilent := func() { once.Do(func() { close(silent) }) }
	near := &pipeConn{Conn: a, host: from, peer: addr, silent: silent, setSilent: setSilent, closed: make(chan struct{})}
	far := &pipeConn{Conn: b, host: to, peer: from.name, silent: silent, setSilent: setSilent, closed: make(chan struct{})}
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
	resumed := h.resumed
	h.mu.Unlock()
	<-resumed
}

// pipeConn is one end of a connection.
type pipeConn struct {
	net.Conn
	host      *pipeHost
	peer      string
	silent    chan struct{} // closed once the connection discards all data
	setSilent func()

	once   sync.Once
	closed chan struct{}
}

// waitWhilePaused blocks while the host is paused and the connection is open.
func (c *pipeConn) waitWhilePaused() {
	c.host.mu.Lock()
	resumed := c.host.resumed
	c.host.mu.Unlock()
	select {
	case <-resumed:
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

// runInBubble runs f in a synctest bubble, in virtual time. yamux keeps timers in
// a process-wide sync.Pool, and a timer of one bubble must not be used in
// another. Two garbage collections empty the pool. For the same reason, tests in
// bubbles never run in parallel.
func runInBubble(t *testing.T, f func(*testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}
