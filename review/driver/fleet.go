package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/platform/platformtest"
)

// Figures of the site malg-renewals.
const (
	partitions = 24
	graceS     = 8 * time.Second
	contact    = 3 * time.Second
	finishS    = 18 * time.Second
	heartbeat  = 1200 * time.Millisecond
)

// Ports of the processes, the same on each host. Each host has a loopback address of its own.
const (
	callersPort      = 8161
	peersPort        = 8166
	readyPort        = 8167
	targetPort       = 8165
	entryMetricsPort = 9464
	agentPort        = 7720
	agentMetricsPort = 9465
)

// virtualHost is the host of all routes.
const virtualHost = "shop.example"

// process is one process of the program under test.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has exited
}

// entry is an entry process with its addresses and settings.
type entry struct {
	*process
	callers, ready string
	settings       map[string]any
}

// targetHost is the host of one target with its agent.
type targetHost struct {
	ip    string
	agent *process
	boots int

	mu     sync.Mutex
	target *platformtest.Target // nil while it is down
	ids    []string             // of all its boots
	ended  []platformtest.Run   // runs of earlier boots
}

// storeLatency is the time of an answer of the platform's store.
const storeLatency = 4 * time.Millisecond

// slowStore is the platform's store with storeLatency.
type slowStore struct {
	*platformtest.Store
	front *httptest.Server
}

func newSlowStore() *slowStore {
	s := &slowStore{Store: platformtest.NewStore(partitions)}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: s.Store.Addr()})
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) {
		panic(http.ErrAbortHandler) // a call without an answer stays without one
	}
	s.front = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		proxy.ServeHTTP(w, r)
	}))
	return s
}

// Addr returns the address of the store as host:port.
func (s *slowStore) Addr() string { return s.front.Listener.Addr().String() }

// Close stops the store.
func (s *slowStore) Close() {
	s.front.CloseClientConnections()
	s.Store.Close()
	s.front.Close()
}

// fleet is a store, targets with agents, and entries on loopback addresses.
type fleet struct {
	dir     string // of settings files and logs
	store   *slowStore
	hosts   []*targetHost
	entries []*entry
	stop    chan struct{}
	events  int           // of each stream
	pause   time.Duration // between two events
	slots   int
	nextIP  int
	record  *record
}

// newFleet starts a fleet and waits until its entries are ready.
func newFleet(rec *record, entries, targets, slots, events int, pause time.Duration) (*fleet, error) {
	dir, err := os.MkdirTemp("", "pumiceford-review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: newSlowStore(), stop: make(chan struct{}), events: events, pause: pause, slots: slots, record: rec}
	f.configure()
	for range targets {
		if err := f.addTarget(); err != nil {
			return f, err
		}
	}
	var ips []string
	for range entries {
		ips = append(ips, f.newIP())
	}
	for n := range entries {
		if err := f.addEntry(n, ips); err != nil {
			return f, err
		}
	}
	go f.sendHeartbeats()
	for _, e := range f.entries {
		if err := e.awaitReady(); err != nil {
			return f, err
		}
	}
	time.Sleep(contact) // all processes are in touch from here on
	return f, nil
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	close(f.stop)
	for _, e := range f.entries {
		e.kill()
	}
	for _, h := range f.hosts {
		h.agent.kill()
		h.crash()
	}
	f.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir) // a temporary directory
	}
}

// configure writes the configuration.
func (f *fleet) configure() {
	f.store.InMemory.Put(platformtest.ConfigPartition, "config", configRecord)
}

// newIP returns a loopback address that no other host of this driver has.
func (f *fleet) newIP() string {
	f.nextIP++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, f.nextIP)
}

func hostPort(ip string, port int) string { return fmt.Sprint(ip, ":", port) }

func (f *fleet) addTarget() error {
	h := &targetHost{ip: f.newIP()}
	f.hosts = append(f.hosts, h)
	if err := f.boot(h); err != nil {
		return err
	}
	var err error
	h.agent, err = f.start(fmt.Sprint("agent-", len(f.hosts)), "agent", map[string]any{
		"name": fmt.Sprint("side-", len(f.hosts)), "listen": hostPort(h.ip, agentPort), "target": hostPort(h.ip, targetPort),
		"metrics": hostPort(h.ip, agentMetricsPort), "stop_within": "8s", "memory_mb": 216, "gc_percent": 50, "max_procs": 2, "plain_peers": true,
		"log": map[string]any{"level": "info", "format": "json"},
	})
	return err
}

// boot starts the target of a host under a new id.
func (f *fleet) boot(h *targetHost) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.boots++
	id := fmt.Sprintf("i-%s-%d", h.ip, h.boots)
	t, err := platformtest.NewTarget(id, hostPort(h.ip, targetPort), f.slots, f.events, f.pause)
	if err != nil {
		return err
	}
	h.target, h.ids = t, append(h.ids, id)
	t.Register(f.store.Store, "svc", "ready", h.boots)
	return nil
}

// crash ends the target of a host at once. Its registration stays until it lapses.
func (h *targetHost) crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.target == nil {
		return
	}
	h.target.Close()
	h.ended = append(h.ended, h.target.Runs()...)
	h.target = nil
}

// runs returns all runs at the targets so far.
func (f *fleet) runs() (out []platformtest.Run) {
	for _, h := range f.hosts {
		h.mu.Lock()
		out = append(out, h.ended...)
		if h.target != nil {
			out = append(out, h.target.Runs()...)
		}
		h.mu.Unlock()
	}
	return out
}

// sendHeartbeats renews the registrations of the targets.
func (f *fleet) sendHeartbeats() {
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(heartbeat):
		}
		for _, h := range f.hosts {
			h.mu.Lock()
			if h.target != nil {
				h.target.Register(f.store.Store, "svc", "ready", h.boots)
			}
			h.mu.Unlock()
		}
	}
}

// maxSeeds is the number of entries that each one is told at its start.
const maxSeeds = 3

// addEntry starts entry n with the settings of the template of the deploy file. The entries have
// the given addresses.
func (f *fleet) addEntry(n int, ips []string) error {
	ip := ips[n]
	seeds := make([]string, 0, len(ips))
	for _, other := range ips[:min(len(ips), maxSeeds)] {
		seeds = append(seeds, hostPort(other, peersPort))
	}
	e := &entry{callers: hostPort(ip, callersPort), ready: hostPort(ip, readyPort)}
	e.settings = map[string]any{
		"name": fmt.Sprint("edge-", n+1), "data_centre": "z", "callers": e.callers, "ready": e.ready, "peers": hostPort(ip, peersPort),
		"metrics": hostPort(ip, entryMetricsPort), "seeds": seeds, "agent_port": agentPort,
		"store":        map[string]any{"addr": f.store.Addr(), "partitions": partitions, "call_bytes": 2 << 20},
		"keep_results": "120s", "stop_within": "8s", "memory_mb": 294, "gc_percent": 50,
		"host": map[string]any{"cpu_share": 0.8, "cores": 1, "link_mbps": 1000.0}, "plain_peers": true,
		"log": map[string]any{"level": "info", "format": "json"},
	}
	var err error
	e.process, err = f.start(fmt.Sprint("entry-", n+1), "entry", e.settings)
	f.entries = append(f.entries, e)
	return err
}

// restart starts an entry again that has ended.
func (f *fleet) restart(e *entry) error {
	p, err := f.start(e.name, "entry", e.settings)
	e.process = p
	return err
}

// start starts a process of the program under test with a settings file.
func (f *fleet) start(name, role string, settings map[string]any) (*process, error) {
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(f.dir, name+".hujson")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: exec.Command("target/pumiceford", role), done: make(chan struct{})}
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, names.SettingsVariable + "=" + file}
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait() // the exit status does not matter
		_ = logFile.Close()
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // fails only if the process has exited

func (p *process) kill() {
	if p == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.done
}

// errNotReady reports an entry that does not become ready.
var errNotReady = errors.New("entry does not become ready")

func (e *entry) awaitReady() error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + e.ready + names.ReadyPath)
		if err != nil {
			continue
		}
		_ = resp.Body.Close() // the body is empty
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNotReady
}
