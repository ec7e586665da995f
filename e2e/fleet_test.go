package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"pumiceford/client"
	"pumiceford/config"
	"pumiceford/dev"
	"pumiceford/entry"
	"pumiceford/infra"
)

// binDir is the directory of the built commands.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "pumice-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "pumiceford/cmd/pumice-entry", "pumiceford/cmd/pumice-agent", "pumiceford/cmd/pumice-standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// waitTimeout limits every wait. It is far longer than any step takes, so a slow machine
// does not fail a test.
const waitTimeout = 60 * time.Second

type fleet struct {
	t             *testing.T
	dir           string
	procs         map[string]*exec.Cmd
	logs          map[string]*bytes.Buffer
	settingsFiles map[string]string
	callers       []string
	ops           []string
	engines       []string
	platformAddr  string
}

// loopbackHost returns a loopback address derived from the process ID, so that test runs
// do not share one. Ports are found free before the processes bind them; on a shared
// address another run or a client's local port could take one in between.
func loopbackHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>15&0x7f, pid>>7&0xff, 1+pid&0x7f)
}

// usedAddrs holds the addresses already assigned, since a port can be found free again
// before its process binds it.
var usedAddrs = make(map[string]bool)

func freeAddr(t *testing.T) string {
	t.Helper()
	for {
		ln, err := net.Listen("tcp", loopbackHost()+":0")
		if err != nil {
			t.Fatal(err)
		}
		addr := ln.Addr().String()
		_ = ln.Close()
		if !usedAddrs[addr] {
			usedAddrs[addr] = true
			return addr
		}
	}
}

// newFleet starts the simulated external systems, two entries and three agents, and
// confirms their configuration.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), procs: make(map[string]*exec.Cmd), logs: make(map[string]*bytes.Buffer), settingsFiles: make(map[string]string)}
	t.Cleanup(f.stopAll)
	f.platformAddr = freeAddr(t)
	service := freeAddr(t)
	var hosts []infra.Host
	var engines []map[string]any
	for n := range 3 {
		engineAddr, peer := freeAddr(t), freeAddr(t)
		name := fmt.Sprintf("agent-%d", n)
		f.engines = append(f.engines, "http://"+engineAddr)
		engines = append(engines, map[string]any{"listen": engineAddr, "models": []string{dev.Model}, "step": "3ms", "max_running": 8})
		hosts = append(hosts, infra.Host{Name: name, Role: infra.RoleAgent, Addr: peer, DataCentre: "kakkanad-a"})
		f.write(name, map[string]any{
			"name": name, "data_centre": "kakkanad-a", "deployment": "guild", "listen": peer, "metrics": freeAddr(t),
			"platform": "http://" + f.platformAddr, "engine": "http://" + engineAddr, "seats": 8,
			"services": map[string]string{"stamps": "http://" + service},
		})
	}
	for n := range 2 {
		callers, ops, peer := freeAddr(t), freeAddr(t), freeAddr(t)
		name := fmt.Sprintf("entry-%d", n)
		f.callers = append(f.callers, "http://"+callers)
		f.ops = append(f.ops, "http://"+ops)
		hosts = append(hosts, infra.Host{Name: name, Role: infra.RoleEntry, Addr: peer, DataCentre: "kakkanad-a"})
		f.write(name, map[string]any{
			"name": name, "data_centre": "kakkanad-a", "callers": callers, "operators": ops, "peers": peer,
			"platform": "http://" + f.platformAddr, "partitions": 4, "balancer_sees": "200ms",
			"bootstrap_operator": map[string]string{"name": "dev", "key_hash": entry.HashKey(dev.OperatorKey)},
		})
	}
	f.write("standin", map[string]any{
		"platform": map[string]any{"listen": f.platformAddr, "hosts": hosts},
		"engines":  engines,
		"services": []map[string]any{{"listen": service}},
	})
	f.start("standin", "pumice-standin")
	f.waitFor("platform", func(ctx context.Context) error {
		c, err := client.New("http://"+f.platformAddr, "")
		if err != nil {
			return err
		}
		return c.JSON(ctx, http.MethodGet, "/hosts", nil, nil)
	})
	for n := range 3 {
		f.start(fmt.Sprintf("agent-%d", n), "pumice-agent")
	}
	for n := range 2 {
		f.start(fmt.Sprintf("entry-%d", n), "pumice-entry")
	}
	f.setup()
	return f
}

func (f *fleet) write(name string, v any) {
	f.t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.dir, name+".hujson")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.settingsFiles[name] = path
}

func (f *fleet) start(name, command string) {
	f.t.Helper()
	f.startLimited(name, command, 0)
}

// startLimited starts a process with a limit of descriptors, 0 for the machine's, and with further
// variables in its environment.
func (f *fleet) startLimited(name, command string, descriptors int, env ...string) {
	f.t.Helper()
	program := filepath.Join(binDir, command)
	cmd := exec.Command(program, f.settingsFiles[name])
	if descriptors > 0 {
		// The shell sets the limit and is replaced by the process.
		cmd = exec.Command("sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(descriptors), program, f.settingsFiles[name])
	}
	cmd.Env = append(os.Environ(), env...)
	out := &bytes.Buffer{}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.procs[name] = cmd
	f.logs[name] = out
}

func (f *fleet) signal(name string, sig syscall.Signal) {
	f.t.Helper()
	if err := f.procs[name].Process.Signal(sig); err != nil {
		f.t.Fatalf("send signal to %s: %v", name, err)
	}
}

// kill ends a process with SIGKILL and waits for it.
func (f *fleet) kill(name string) {
	f.t.Helper()
	f.signal(name, syscall.SIGKILL)
	_ = f.procs[name].Wait()
	delete(f.procs, name)
}

func (f *fleet) stopAll() {
	for name, cmd := range f.procs {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if f.t.Failed() {
			f.t.Logf("%s:\n%s", name, f.logs[name])
		}
	}
}

// waitFor repeats try until it succeeds and fails the test after waitTimeout.
func (f *fleet) waitFor(what string, try func(ctx context.Context) error) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var err error
	for ctx.Err() == nil {
		if err = try(ctx); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatalf("timed out waiting for %s: last error %v", what, err)
}

func (f *fleet) caller(n int) *client.Client {
	f.t.Helper()
	c, err := client.New(f.callers[n], dev.WorkspaceKey)
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

func (f *fleet) setup() {
	f.t.Helper()
	ops, err := client.New(f.ops[0], dev.OperatorKey)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	plan, err := dev.PlanAndConfirm(ctx, ops, "test", []config.Intent{
		{Kind: config.SetModel, Model: dev.Model, Version: "v1"},
		{Kind: config.CreateWorkspace, Workspace: dev.Workspace},
		{Kind: config.AddKey, Workspace: dev.Workspace, KeyHash: entry.HashKey(dev.WorkspaceKey)},
	})
	if err != nil || !plan.InForce {
		f.t.Fatalf("configuration plan: error %v, in force %t", err, plan.InForce)
	}
}

// removeHost removes a host from the platform's host list.
func (f *fleet) removeHost(name string) {
	f.t.Helper()
	plat, err := client.New("http://"+f.platformAddr, "")
	if err != nil {
		f.t.Fatal(err)
	}
	if err := plat.JSON(context.Background(), http.MethodDelete, "/hosts/"+name, nil, nil); err != nil {
		f.t.Fatal(err)
	}
}

// runCounts returns how often each request ID was accepted, over all engines.
func (f *fleet) runCounts() map[string]int {
	f.t.Helper()
	all := make(map[string]int)
	for _, url := range f.engines {
		c, err := client.New(url, "")
		if err != nil {
			f.t.Fatal(err)
		}
		var runs map[string]int
		if err := c.JSON(context.Background(), http.MethodGet, "/runs", nil, &runs); err != nil {
			f.t.Fatal(err)
		}
		for id, n := range runs {
			all[id] += n
		}
	}
	return all
}
