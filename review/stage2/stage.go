// Command stage2 plays the cases of the second review: it starts the programs of the deploy file
// on loopback addresses before stand-ins of the store and of the targets, and judges what callers
// and targets see.
package main

import (
	"bytes"
	"context"
	_ "embed" // for names.json
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"pumiceford/platform/platformtest"
)

// names are the names of the platform's protocols that the cases use.
var names struct {
	RequestID, Deadline, Wait, Model, Tokens, Prefix, Stamp string
	Settings, Jobs, Ready                                   string
	Append, Read, Newest, Join, Leave, Owners               string
	Routes                                                  map[string]map[string]any
}

//go:embed names.json
var namesFile []byte

// Figures of the small deployment malg-renewals.
const (
	partitions       = 24
	callBytes        = 2097152
	slots            = 8
	heartbeat        = 1200 * time.Millisecond
	contact          = 3 * time.Second
	finish           = 18 * time.Second
	virtualHost      = "hura70.example"
	service          = "kaba98a"
	callersPort      = 8161
	readyPort        = 8167
	peersPort        = 8166
	entryMetricsPort = 9464
	targetPort       = 8165
	agentPort        = 7720
	agentMetricsPort = 9465
	startTimeout     = 25 * time.Second
)

// stage is one deployment under test.
type stage struct {
	began   time.Time
	dir     string // temporary, of settings and logs
	store   *logStore
	entries []*entry
	targets []*worker
	procs   []*process
	seeds   []string
	hosts   int
	stop    chan struct{} // closed at the end

	mu     sync.Mutex
	record *os.File
	// strays are entries of another writer in the registry, by key, written at each heartbeat.
	strays map[string]any
	client *http.Client
}

// process is one program under test.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// entry is an entry process with its addresses.
type entry struct {
	callers, ready string
	name           string
	settings       map[string]any

	mu sync.Mutex
	*process
	startedAt time.Time
	signalled bool      // this program ended it
	touched   time.Time // when this program last signalled it or started it again after that
	ends      int       // by itself
}

// restart starts an entry again, as the platform does. The caller holds e.mu.
func (s *stage) restart(e *entry) error {
	p, err := s.launch("entry", e.name, e.settings)
	if err != nil {
		return err
	}
	e.process, e.signalled, e.startedAt = p, false, time.Now()
	return nil
}

// worker is a stand-in of a target with its registration.
type worker struct {
	*platformtest.Target
	born    int64
	service string

	mu       sync.Mutex
	seq      int
	draining bool
}

func newStage(record string) (*stage, error) {
	if err := json.Unmarshal(namesFile, &names); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "stage2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := &stage{
		began: time.Now(), dir: dir, store: newLogStore(partitions), record: f, stop: make(chan struct{}), strays: make(map[string]any),
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	go s.beat()
	return s, nil
}

// logf writes a line to the record.
func (s *stage) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = s.record.WriteString(line) // a record that cannot be written shows in the missing lines
}

// newHost returns a loopback address of its own for a host.
func (s *stage) newHost() string {
	s.hosts++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, s.hosts)
}

func hostPort(host string, port int) string { return fmt.Sprint(host, ":", port) }

// configure writes the configuration with the named routes.
func (s *stage) configure(routes ...string) error {
	var all, services []any
	listed := make(map[any]bool)
	for _, name := range routes {
		route := names.Routes[name]
		all = append(all, route)
		if serves := route["Service"]; !listed[serves] {
			listed[serves] = true
			services = append(services, map[string]any{"Name": serves, "HealthPath": "/healthz", "MaxConns": 360})
		}
	}
	value, err := json.Marshal(map[string]any{
		"Version": 1, "Routes": all,
		"Services": services,
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	s.store.InMemory.Put(platformtest.ConfigPartition, "config", value)
	return nil
}

// launch starts a program of the deploy file with settings.
func (s *stage) launch(role, name string, settings map[string]any) (*process, error) {
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(s.dir, name+".hujson")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	out, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: exec.Command("target/pumiceford", role), log: out, done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), names.Settings+"="+file)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait() // the exit of a program is judged by what callers see
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.procs = append(s.procs, p)
	return p, nil
}

// addTarget starts a target of the service with its agent.
func (s *stage) addTarget(id string, events int, interval time.Duration) error {
	return s.addTargetOf(service, id, events, interval)
}

// addTargetOf starts a target of the named service with its agent.
func (s *stage) addTargetOf(service, id string, events int, interval time.Duration) error {
	ip := s.newHost()
	tg, err := platformtest.NewTarget(id, hostPort(ip, targetPort), slots, events, interval)
	if err != nil {
		return err
	}
	w := &worker{Target: tg, born: time.Now().UnixMilli(), service: service}
	s.mu.Lock()
	s.targets = append(s.targets, w)
	s.mu.Unlock()
	s.register(w)
	_, err = s.launch("agent", "agent-"+id, map[string]any{
		"name": "agent-" + id, "listen": hostPort(ip, agentPort), "target": tg.Addr(), "metrics": hostPort(ip, agentMetricsPort),
		"plain_peers": true, "stop_within": "8s", "memory_mb": 216, "gc_percent": 50, "max_procs": 2, "log": map[string]any{"level": "info", "format": "json"},
	})
	return err
}

// register writes the registration of a target, with the next sequence number.
func (s *stage) register(w *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	s.putServer(w.ID, w.registration())
}

// registration returns what a target says of itself. The caller holds w.mu.
func (w *worker) registration() map[string]any {
	state := "ready"
	if w.draining {
		state = "draining"
	}
	return map[string]any{
		"Service": w.service, "Addr": w.Addr(), "Zone": "kakkanad-a", "Version": w.Version, "Slots": w.Slots,
		"State": state, "ColdLeft" + "Ms": 0, "Seq": w.seq, "born": w.born,
	}
}

func (s *stage) putServer(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // only plain values are encoded
	}
	s.store.InMemory.Put(platformtest.RegistryPartition, key, data)
}

// beat writes the registrations of all targets and strays at each heartbeat.
func (s *stage) beat() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		ws := append([]*worker(nil), s.targets...)
		strays := make(map[string]any, len(s.strays))
		for k, v := range s.strays {
			strays[k] = v
		}
		s.mu.Unlock()
		for _, w := range ws {
			s.register(w)
		}
		for k, v := range strays {
			s.putServer(k, v)
		}
	}
}

// addEntry starts an entry.
func (s *stage) addEntry(name string) error {
	ip := s.newHost()
	peers := hostPort(ip, peersPort)
	s.seeds = append(s.seeds, peers)
	settings := map[string]any{
		"name": name, "data_centre": "kakkanad-a", "callers": hostPort(ip, callersPort), "ready": hostPort(ip, readyPort), "peers": peers,
		"metrics": hostPort(ip, entryMetricsPort), "agent_port": agentPort, "seeds": s.seeds[:min(len(s.seeds), 3)],
		"store":        map[string]any{"addr": s.store.Addr(), "partitions": partitions, "call_bytes": callBytes},
		"keep_results": "120s", "stop_within": "8s", "memory_mb": 294, "gc_percent": 50,
		"host":        map[string]any{"cpu_share": 0.8, "cores": 1, "link_mbps": 1000},
		"plain_peers": true, "log": map[string]any{"level": "info", "format": "json"},
	}
	p, err := s.launch("entry", name, settings)
	if err != nil {
		return err
	}
	s.entries = append(s.entries, &entry{process: p, name: name, settings: settings, callers: hostPort(ip, callersPort), ready: hostPort(ip, readyPort), startedAt: time.Now()})
	return nil
}

// awaitReady waits until all entries are ready, and then until they are in touch.
func (s *stage) awaitReady() error {
	until := time.Now().Add(startTimeout)
	for _, e := range s.entries {
		for !s.isReady(e) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(contact)
	return nil
}

func (s *stage) isReady(e *entry) bool {
	resp, err := s.client.Get("http://" + e.ready + names.Ready)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // the body is empty
	return resp.StatusCode == http.StatusOK
}

// close ends all processes that were started.
func (s *stage) close() {
	close(s.stop)
	s.mu.Lock()
	procs := s.procs
	s.mu.Unlock()
	for _, p := range procs {
		select {
		case <-p.done:
			s.logf("%s had ended: %s", p.name, p.cmd.ProcessState)
		default:
			_ = p.cmd.Process.Kill() // fails only if it has just ended
			<-p.done
		}
		_ = p.log.Close()
	}
	for _, w := range s.targets {
		w.Close()
	}
	s.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir) // a temporary folder
	}
	_ = s.record.Close()
}

// reply is the answer to a call, or the error in its place.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// call sends one request on a new connection.
func (s *stage) call(addr, method, path, id string, body []byte, header map[string]string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Host = virtualHost
	req.Header.Set(names.RequestID, id)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }() // it was read to its end or is discarded
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, data, err}
}

// job is a submitted batch job.
type job struct {
	id       string
	items    []string
	body     []byte
	accepted time.Time
	results  map[string]string // state by item
	last     time.Time         // when a result was last read
	texts    map[string]string
}

// newJob returns a job of n items.
func newJob(id string, n, itemBytes int) *job {
	j := &job{id: id, results: make(map[string]string), texts: make(map[string]string)}
	type item struct {
		ID      string `json:"Id"`
		Path    string
		Headers map[string]string
		Body    []byte
		Tokens  int
	}
	var all struct{ Items []item }
	for i := range n {
		item := item{ID: fmt.Sprintf("%s%04x", id, i), Path: fmt.Sprintf("/pule252/%d/%s", i, id), Tokens: 940,
			Headers: map[string]string{names.Model: "m", names.Tokens: "540,400", names.Prefix: fmt.Sprintf("9c2e41:300,%s%02x:240", id, i)},
			Body:    bytes.Repeat([]byte{byte(i)}, itemBytes)}
		j.items = append(j.items, item.ID)
		all.Items = append(all.Items, item)
	}
	data, err := json.Marshal(all)
	if err != nil {
		panic(err) // only plain values are encoded
	}
	j.body = data
	return j
}

// submit sends a job to entries in turn until it is accepted, as a client does.
func (s *stage) submit(j *job, at, tries int) bool {
	for try := range tries {
		e := s.entries[(at+try)%len(s.entries)]
		got := s.call(e.callers, http.MethodPost, "/pule252/"+j.id, j.id, j.body, nil)
		s.logf("job %s to %s: status %d, error %v", j.id, e.name, got.status, got.err)
		if got.err == nil && got.status == http.StatusAccepted {
			j.accepted = time.Now()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// read reads the results of a job from its start. It returns the number of its items and the status.
func (s *stage) read(e *entry, j *job) (total, status int) {
	got := s.call(e.callers, http.MethodGet, names.Jobs+j.id+"?After=0", j.id+"-r", nil, nil)
	if got.err != nil || got.status != http.StatusOK {
		return 0, got.status
	}
	var page map[string]json.RawMessage
	if json.Unmarshal(got.body, &page) != nil {
		return 0, -1
	}
	var results []struct {
		ID    string `json:"Id"`
		State string
		Text  string
	}
	_ = json.Unmarshal(page["Total"], &total)     // 0 shows the failure
	_ = json.Unmarshal(page["Results"], &results) // none shows the failure
	for _, r := range results {
		if _, known := j.results[r.ID]; !known {
			j.last = time.Now()
		}
		j.results[r.ID], j.texts[r.ID] = r.State, r.Text
	}
	return total, got.status
}

// runs returns the runs at all targets by request id.
func (s *stage) runs() map[string][]platformtest.Run {
	s.mu.Lock()
	ws := append([]*worker(nil), s.targets...)
	s.mu.Unlock()
	out := make(map[string][]platformtest.Run)
	for _, w := range ws {
		w.mu.Lock()
		runs := w.Runs()
		w.mu.Unlock()
		for _, r := range runs {
			out[r.ID] = append(out[r.ID], r)
		}
	}
	return out
}
