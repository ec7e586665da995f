package settings

import (
	"crypto/tls"
	"crypto/x509"
	"maps"
	"net"
	"os"
	"slices"

	"pumiceford/infra"
	"pumiceford/logging"
)

func sortedKeys(m map[string]string) []string {
	return slices.Sorted(maps.Keys(m))
}

// TLS names the files for mutual TLS between the processes. All three are required.
type TLS struct {
	Cert string `json:"cert"` // PEM file of this process's certificate
	Key  string `json:"key"`  // PEM file of its private key
	CA   string `json:"ca"`   // PEM file of the authority that signs all certificates
}

func (t *TLS) check() []Problem {
	if t == nil {
		return nil
	}
	var out []Problem
	for _, f := range []struct{ name, value string }{{"tls.cert", t.Cert}, {"tls.key", t.Key}, {"tls.ca", t.CA}} {
		if f.value == "" {
			out = append(out, Problem{f.name, "missing"})
		}
	}
	return out
}

// Config loads the files into a TLS configuration. It returns nil if t is nil.
func (t *TLS) Config() (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, &Error{File: t.Cert, Field: "tls", Problem: err.Error()}
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, &Error{File: t.CA, Field: "tls.ca", Problem: err.Error()}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &Error{File: t.CA, Field: "tls.ca", Problem: "the file has no PEM certificate"}
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		RootCAs:      pool,
		ServerName:   ServerName,
	}, nil
}

// ServerName is the DNS name in the certificates of all processes. Processes connect
// by IP address, and these change too often to appear in certificates.
const ServerName = "pumiceford"

// Log holds the settings of logging.
type Log struct {
	Level  string `json:"level"`  // trace, debug, info, warn or error; default info
	Format string `json:"format"` // console or json; default console
}

func (l Log) check() []Problem {
	var out []Problem
	if !slices.Contains([]string{"", "trace", "debug", "info", "warn", "error"}, l.Level) {
		out = append(out, Problem{"log.level", "expected trace, debug, info, warn or error"})
	}
	if !slices.Contains([]string{"", "console", "json"}, l.Format) {
		out = append(out, Problem{"log.format", "expected console or json"})
	}
	return out
}

// Logger returns a logger with these settings.
func (l Log) Logger() logging.Logger {
	return logging.New(logging.Settings{Level: l.Level, Format: l.Format})
}

// Operator is the operator that exists before any configuration.
type Operator struct {
	Name    string `json:"name"`
	KeyHash string `json:"key_hash"` // hex SHA-256 of the key
}

// Entry holds the settings of pumice-entry.
type Entry struct {
	Name       string `json:"name"`        // as in the platform's host list
	DataCentre string `json:"data_centre"` // of this host
	Callers    string `json:"callers"`     // ip:port for callers
	Operators  string `json:"operators"`   // ip:port for operators and metrics
	Peers      string `json:"peers"`       // ip:port for other entries
	Platform   string `json:"platform"`    // URL of the platform's services
	// Partitions is the number of batch partitions. It cannot change after the
	// streams have been created.
	Partitions uint32   `json:"partitions"`
	Bootstrap  Operator `json:"bootstrap_operator"`
	// StopWithin bounds a planned stop. Requests that run longer are aborted.
	// Default 10m.
	StopWithin Duration `json:"stop_within"`
	// BalancerSees is how long the load balancer takes to detect that the entry is no
	// longer ready. Default 2s.
	BalancerSees Duration `json:"balancer_sees"`
	// CommitEvery is the shortest interval between two appends that callers wait for.
	// Default 20ms.
	CommitEvery Duration `json:"commit_every"`
	// ResultsEvery is how long batch results are collected before they are appended.
	// Results that complete a job wait only 100 ms. Default 6s.
	ResultsEvery Duration `json:"results_every"`
	// Retention is how long the platform's log keeps records. Default 24h.
	Retention Duration `json:"retention"`
	// MemoryMB is the memory limit of the process in MiB. Callers' requests may hold three eighths of
	// it. Default: the limit that the runtime has from GOMEMLIMIT, or half of the host's memory.
	MemoryMB int `json:"memory_mb"`
	// Descriptors is the number of descriptors that this process may open. 0 is the system's limit.
	Descriptors int  `json:"descriptors"`
	TLS         *TLS `json:"tls"`
	Log         Log  `json:"log"`
}

// MaxPartitions is the largest number of batch partitions.
const MaxPartitions = 4096

// Check implements Checker.
func (s *Entry) Check() []Problem {
	out := CheckName("name", s.Name)
	out = append(out, CheckAddr("callers", s.Callers)...)
	out = append(out, CheckAddr("operators", s.Operators)...)
	out = append(out, CheckAddr("peers", s.Peers)...)
	out = append(out, CheckLoopback("peers", s.Peers, s.TLS != nil)...)
	out = append(out, CheckDistinct(map[string]string{"callers": s.Callers, "operators": s.Operators, "peers": s.Peers})...)
	out = append(out, CheckURL("platform", s.Platform)...)
	if s.Partitions == 0 || s.Partitions > MaxPartitions {
		out = append(out, Problem{"partitions", "expected 1 to 4096"})
	}
	if s.Bootstrap.Name == "" || len(s.Bootstrap.KeyHash) != 64 {
		out = append(out, Problem{"bootstrap_operator", "expected a name and the hex SHA-256 of a key"})
	}
	if s.MemoryMB < 0 {
		out = append(out, Problem{"memory_mb", "expected 0 or more"})
	}
	out = append(out, checkDescriptors(s.Descriptors)...)
	out = append(out, s.TLS.check()...)
	return append(out, s.Log.check()...)
}

// Agent holds the settings of pumice-agent.
type Agent struct {
	Name       string            `json:"name"`        // as in the platform's host list
	DataCentre string            `json:"data_centre"` // of this host
	Deployment string            `json:"deployment"`  // whose policy applies to this agent
	Listen     string            `json:"listen"`      // ip:port for entries
	Metrics    string            `json:"metrics"`     // ip:port for /metrics and health
	Platform   string            `json:"platform"`    // URL of the platform's services
	Engine     string            `json:"engine"`      // URL of the model engine, empty if none
	Services   map[string]string `json:"services"`    // URLs of plain services by name
	Seats      int               `json:"seats"`       // sequences that the engine runs in one step
	KVBlocks   int               `json:"kv_blocks"`   // KV blocks of 16 tokens, 0 for no limit
	// Harm is how much longer batch may make an online step, as a fraction, until a
	// policy is in force. Default 0.05.
	Harm float64 `json:"harm"`
	// StopWithin bounds a planned stop. Requests that run longer are aborted.
	// Default 10m.
	StopWithin Duration `json:"stop_within"`
	TLS        *TLS     `json:"tls"`
	Log        Log      `json:"log"`
}

// Check implements Checker.
func (s *Agent) Check() []Problem {
	out := CheckName("name", s.Name)
	out = append(out, CheckAddr("listen", s.Listen)...)
	out = append(out, CheckAddr("metrics", s.Metrics)...)
	out = append(out, CheckLoopback("listen", s.Listen, s.TLS != nil)...)
	out = append(out, CheckDistinct(map[string]string{"listen": s.Listen, "metrics": s.Metrics})...)
	out = append(out, CheckURL("platform", s.Platform)...)
	if s.Engine == "" && len(s.Services) == 0 {
		out = append(out, Problem{"engine", "expected an engine URL or at least one service"})
	}
	if s.Engine != "" {
		out = append(out, CheckURL("engine", s.Engine)...)
	}
	for _, name := range sortedKeys(s.Services) {
		out = append(out, CheckURL("services."+name, s.Services[name])...)
	}
	if s.Seats < 1 {
		out = append(out, Problem{"seats", "expected at least 1"})
	}
	if s.Harm < 0 || s.Harm > 1 {
		out = append(out, Problem{"harm", "expected a share between 0 and 1"})
	}
	out = append(out, s.TLS.check()...)
	return append(out, s.Log.check()...)
}

// Standin holds the settings of pumice-standin, which simulates external systems.
type Standin struct {
	Platform *StandinPlatform `json:"platform"`
	Engines  []StandinEngine  `json:"engines"`
	Services []StandinService `json:"services"`
	Log      Log              `json:"log"`
}

// StandinPlatform configures a simulated platform: the log service, the host list and
// the weight store.
type StandinPlatform struct {
	Listen           string       `json:"listen"`
	AppendsPerSecond float64      `json:"appends_per_second"` // 0 means unlimited
	Retention        Duration     `json:"retention"`          // 0 keeps all records
	Latency          Duration     `json:"latency"`
	HostLag          Duration     `json:"host_lag"`
	Hosts            []infra.Host `json:"hosts"`
	WeightBytes      int64        `json:"weight_bytes"`
	WeightRate       int64        `json:"weight_rate"` // bytes per second
}

// StandinEngine configures one simulated model engine.
type StandinEngine struct {
	Listen     string   `json:"listen"`
	Models     []string `json:"models"`
	Step       Duration `json:"step"`
	MaxRunning int      `json:"max_running"`
	KVBlocks   int      `json:"kv_blocks"`
	CheckFence bool     `json:"check_fence"`
}

// StandinService configures one simulated plain service.
type StandinService struct {
	Listen string   `json:"listen"`
	Delay  Duration `json:"delay"`
}

// Check implements Checker.
func (s *Standin) Check() []Problem {
	var out []Problem
	addrs := make(map[string]string)
	if s.Platform != nil {
		out = append(out, CheckAddr("platform.listen", s.Platform.Listen)...)
		addrs["platform.listen"] = s.Platform.Listen
	}
	for _, e := range s.Engines {
		out = append(out, CheckAddr("engines.listen", e.Listen)...)
	}
	for _, v := range s.Services {
		out = append(out, CheckAddr("services.listen", v.Listen)...)
	}
	if s.Platform == nil && len(s.Engines) == 0 && len(s.Services) == 0 {
		out = append(out, Problem{"", "expected a platform, an engine or a service"})
	}
	return append(append(out, CheckDistinct(addrs)...), s.Log.check()...)
}

// Listen opens a TCP listener. The error names the address.
func Listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &Error{File: addr, Problem: err.Error()}
	}
	return ln, nil
}
