package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"pumiceford/platform/platformtest"
)

// Figures of the case.
const (
	endlessEvents  = 34
	endlessPause   = 10 * time.Millisecond
	memoryMB       = 294 // Limits.MemoryMb of an entry
	memoryInterval = 20 * time.Millisecond
	spoiledOf      = 50                     // garble: x 0.02 of the answers
	sideLinkBytes  = 1000 * 1000 * 1000 / 8 // the entry's link, 1,000 Mbit/s, in bytes a second
	endsEach       = 3                      // times that each of two machines has to end
	endlessFor     = 80 * time.Second
)

// playEndless lets one target in three spoil 2 in 100 of its answers by an event that does not end.
func playEndless(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 2, 2, 8, endlessEvents, endlessPause)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	t, err := newSpoilingTarget(f, rec, trouble)
	if err != nil {
		return false, err
	}
	defer t.close()
	time.Sleep(contact)
	stop := make(chan struct{})
	defer close(stop)
	var served, lost atomic.Int64
	ends := make([]int, len(f.entries))
	for n, e := range f.entries {
		for c := range 12 {
			go func() {
				for k := 0; ; k++ {
					select {
					case <-stop:
						return
					default:
					}
					if oneStream(e.callers, fmt.Sprintf("%04x%04x%08x", n+1, c+1, k+1)) {
						served.Add(1)
					} else {
						lost.Add(1)
						time.Sleep(100 * time.Millisecond)
					}
				}
			}()
		}
	}
	for deadline := time.Now().Add(endlessFor); time.Now().Before(deadline) && (ends[0] < endsEach || ends[1] < endsEach); time.Sleep(memoryInterval) {
		for n, e := range f.entries {
			used := residentMB(e.cmd.Process.Pid)
			if used <= memoryMB {
				continue
			}
			rec.logf("%s uses %d MB of %d: the platform kills it", e.name, used, memoryMB)
			e.kill()
			ends[n]++
			time.Sleep(restartAfter)
			if err := f.restart(e); err != nil {
				return false, err
			}
		}
	}
	rec.logf("streams served %d, not served %d, answers spoiled %d; ends by memory: %v", served.Load(), lost.Load(), t.spoiled.Load(), ends)
	return ends[0] >= endsEach && ends[1] >= endsEach, nil
}

// residentMB returns the resident memory of a process in MB, 0 if it cannot be read.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0]) // 0 if it is not a number
			return kb >> 10
		}
	}
	return 0
}

// oneStream sends one request and reports whether its whole stream came.
func oneStream(addr, id string) bool {
	conn, err := net.DialTimeout("tcp", addr, connectTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	const body = "what does the rule say?"
	_ = conn.SetDeadline(time.Now().Add(budget + time.Second))
	if _, err := fmt.Fprintf(conn, names.StreamRequest, virtualHost, id, budget.Milliseconds(), len(body), body); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && strings.Count(string(data), "\n\n") == endlessEvents
}

// spoilingTarget is a target that spoils some of its answers.
type spoilingTarget struct {
	srv     *http.Server
	agent   *process
	runs    atomic.Int64
	active  atomic.Int64
	spoiled atomic.Int64
}

func newSpoilingTarget(f *fleet, rec *record, trouble bool) (*spoilingTarget, error) {
	ip := f.newIP()
	ln, err := net.Listen("tcp", hostPort(ip, targetPort))
	if err != nil {
		return nil, err
	}
	t := &spoilingTarget{}
	t.srv = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_ = json.NewEncoder(w).Encode(map[string]any{"Stage": "dual", "Queued": 0, "Active": t.active.Load()}) // fails only if the caller has left
			return
		}
		t.active.Add(1)
		defer t.active.Add(-1)
		t.serve(rec, w, r, trouble)
	})}
	go func() { _ = t.srv.Serve(ln) }() // returns after Close
	name := "agent-spoiling"
	t.agent, err = f.start(name, "agent", map[string]any{
		"name": "side-spoiling", "listen": hostPort(ip, agentPort), "target": hostPort(ip, targetPort), "metrics": hostPort(ip, agentMetricsPort),
		"stop_within": "8s", "memory_mb": 216, "gc_percent": 50, "max_procs": 2, "plain_peers": true, "log": map[string]any{"level": "info", "format": "json"},
	})
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(map[string]any{"Service": "svc", "Addr": hostPort(ip, targetPort), "Zone": "z", "Version": platformtest.FirstVersion, "Slots": 8, "State": "ready", "Seq": 1})
	f.store.InMemory.Put(platformtest.RegistryPartition, "i-spoiling", value)
	return t, err
}

func (t *spoilingTarget) close() {
	_ = t.srv.Close()
	t.agent.kill()
}

// serve answers a request by a stream, or by one whose second event does not end.
func (t *spoilingTarget) serve(rec *record, w http.ResponseWriter, r *http.Request, trouble bool) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	w.Header().Set(names.Stamp, "stamp")
	w.Header().Set("Content-Type", "text/event-stream")
	spoil := trouble && t.runs.Add(1)%spoiledOf == 0
	ctl := http.NewResponseController(w)
	for n := 1; n <= endlessEvents; n++ {
		time.Sleep(endlessPause)
		if spoil && n == 2 {
			t.spoiled.Add(1)
			rec.logf("the target spoils its answer to %s", id)
			chunk := []byte(strings.Repeat("x", 1<<20))
			for began, sent := time.Now(), 0; ; sent += len(chunk) {
				time.Sleep(time.Duration(float64(sent)/sideLinkBytes*float64(time.Second)) - time.Since(began))
				if _, err := w.Write(chunk); err != nil {
					return
				}
			}
		}
		if _, err := io.WriteString(w, platformtest.Event(id, n)); err != nil || ctl.Flush() != nil {
			return
		}
	}
}
