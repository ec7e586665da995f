package settings

import (
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// One error names all problems of a file, so that an operator can correct them at once.
func TestGatewayReportsAllProblems(t *testing.T) {
	good, err := os.ReadFile("../examples/gateway.hujson")
	if err != nil {
		t.Fatal(err)
	}
	bad := strings.NewReplacer(
		`"name": "entry-0"`, `"name": ""`,
		`127.0.0.1:8161`, `127.0.0.1:8167`,
		`127.0.0.1:8166`, `10.0.0.1:8166`,
		`"agent_port": 7720`, `"agent_port": 77200`,
		`"partitions": 24`, `"partitions": 0`,
		`"call_bytes": 2097152`, `"call_bytes": 10`,
		`"120s"`, `"0s"`, `"8s"`, `"1s"`, `"json"`, `"xml"`, `127.0.0.1:8266`, `here`,
	).Replace(string(good))
	err = Parse("x", []byte(bad), &Gateway{})
	if err == nil {
		t.Fatal("invalid gateway settings were accepted")
	}
	for _, want := range []string{"name: missing", "is used by", "without tls only a loopback", "agent_port", "store.partitions", "store.call_bytes", "keep_results", "stop_within", "log.format", `"here" is not`} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error lacks %q: %v", want, err.Error())
		}
	}
	open := strings.Replace(string(good), `127.0.0.1:8166`, `10.0.0.1:8166`, 1)
	open = strings.Replace(open, `"memory_mb"`, `"plain_peers": true, "memory_mb"`, 1)
	if err := Parse("x", []byte(open), &Gateway{}); err != nil {
		t.Errorf("peers without TLS refused despite plain_peers: %v", err)
	}
}

func TestSeatAgentReportsAllProblems(t *testing.T) {
	good, err := os.ReadFile("../examples/seat-agent.hujson")
	if err != nil {
		t.Fatal(err)
	}
	bad := strings.NewReplacer(`127.0.0.1:8165`, `nowhere`, `127.0.0.1:9465`, `127.0.0.1:7720`).Replace(string(good))
	err = Parse("x", []byte(bad), &SeatAgent{})
	for _, want := range []string{`"nowhere" is not`, "is used by"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error lacks %q: %v", want, err)
		}
	}
}

// An agent's address consists of the target's IP address and the agent port.
func TestAgentAddr(t *testing.T) {
	g := Gateway{AgentPort: 7720}
	if got := g.AgentAddr("10.1.2.3:80"); got != "10.1.2.3:7720" {
		t.Errorf("agent address is %q, want \"10.1.2.3:7720\"", got)
	}
	if got := g.AgentAddr("nonsense"); got != "" {
		t.Errorf("agent address for an invalid target is %q, want \"\"", got)
	}
}

// What a host offers is optional. Guards against a wrong value that passes the check, which
// would leave the entry without duties.
func TestGatewayHost(t *testing.T) {
	good, err := os.ReadFile("../examples/gateway.hujson")
	if err != nil {
		t.Fatal(err)
	}
	var set Gateway
	for _, c := range []struct {
		host      string
		processor float64
	}{{`{}`, 0}, {`{"cpu_share": 0.5}`, 0.5}, {`{"cpu_share": 0.5, "cores": 2, "link_mbps": 22}`, 1}} {
		set = Gateway{}
		file := strings.Replace(string(good), `{"cpu_share": 0.8, "cores": 1, "link_mbps": 1000}`, c.host, 1)
		if err := Parse("x", []byte(file), &set); err != nil || set.Host.Processor() != c.processor {
			t.Errorf("host %s: processor %g, error %v, want %g", c.host, set.Host.Processor(), err, c.processor)
		}
	}
	bad := strings.Replace(string(good), `{"cpu_share": 0.8, "cores": 1, "link_mbps": 1000}`, `{"cpu_share": -1, "cores": -1, "link_mbps": -1}`, 1)
	err = Parse("x", []byte(bad), &Gateway{})
	var all Errors
	if !errors.As(err, &all) || len(all) != 3 || all[0].Field != "host.cpu_share" || all[0].Line == 0 {
		t.Errorf("got %v, want a typed problem with its line for each of the three fields", err)
	}
	typed := strings.Replace(string(good), `"cpu_share": 0.8`, `"cpu_share": "half"`, 1)
	var one *Error
	if err := Parse("x", []byte(typed), &Gateway{}); !errors.As(err, &one) || !strings.Contains(one.Field, "cpu_share") {
		t.Errorf("got %v, want a typed problem of cpu_share", err)
	}
}

// Guards against a process that collects garbage all the time, or never, because of a wrong
// setting, and against a deployment that cannot leave the setting out.
func TestGCPercent(t *testing.T) {
	for file, set := range map[string]Checker{"gateway": &Gateway{}, "seat-agent": &SeatAgent{}} {
		good, err := os.ReadFile("../examples/" + file + ".hujson")
		if err != nil {
			t.Fatal(err)
		}
		for percent, valid := range map[string]bool{"0": true, "20": true, "50": true, "400": true, "-1": false, "1": false, "19": false, "401": false} {
			text := strings.Replace(string(good), `"memory_mb"`, `"gc_percent": `+percent+`, "memory_mb"`, 1)
			err := Parse("x", []byte(text), set)
			if valid != (err == nil) || !valid && !strings.Contains(err.Error(), "gc_percent") {
				t.Errorf("%s with gc_percent %s: error %v, want valid %v", file, percent, err, valid)
			}
		}
	}
}

// Guards against an entry that runs one thread only, or fewer than its share of the processor
// keeps busy, and against a bound where the share is unknown.
func TestMaxProcs(t *testing.T) {
	for share, want := range map[float64]int{0: 0, 0.109: 2, 0.8: 2, 2: 2, 2.5: 3} {
		if got := (&Host{CPUShare: share}).MaxProcs(); got != want {
			t.Errorf("share %v: got %d, want %d", share, got, want)
		}
	}
	good, err := os.ReadFile("../examples/seat-agent.hujson")
	if err != nil {
		t.Fatal(err)
	}
	for procs, valid := range map[string]bool{"0": true, "2": true, "-1": false} {
		text := strings.Replace(string(good), `"memory_mb"`, `"max_procs": `+procs+`, "memory_mb"`, 1)
		err := Parse("x", []byte(text), &SeatAgent{})
		if valid != (err == nil) || !valid && !strings.Contains(err.Error(), "max_procs") {
			t.Errorf("max_procs %s: error %v, want valid %v", procs, err, valid)
		}
	}
}
