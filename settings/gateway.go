package settings

import (
	"fmt"
	"math"
	"net/netip"
	"time"
)

// Store holds the connection settings of the shared store.
type Store struct {
	Addr       string `json:"addr"`       // ip:port
	Partitions int    `json:"partitions"` // per topic
	CallBytes  int    `json:"call_bytes"` // largest size of one append
}

func (s *Store) check() []Problem {
	out := CheckAddr("store.addr", s.Addr)
	if s.Partitions <= 0 {
		out = append(out, Problem{"store.partitions", "expected 1 or more"})
	}
	const minCallBytes = 256 << 10 // one record with its framing
	if s.CallBytes < minCallBytes {
		out = append(out, Problem{"store.call_bytes", "expected 262144 or more"})
	}
	return out
}

// RateLimits holds the tolerance of rate limits. In any window, the requests may exceed
// the rate over the window plus the burst by the fraction Excess plus Slack requests.
type RateLimits struct {
	Window Duration `json:"window"` // default 5s
	Excess float64  `json:"excess"` // fraction; default 0
	Slack  float64  `json:"slack"`  // requests; default 0
}

func (r *RateLimits) check() []Problem {
	var out []Problem
	const minWindow, maxWindow = Duration(time.Second), Duration(time.Minute)
	if r.Window != 0 && (r.Window < minWindow || r.Window > maxWindow) {
		out = append(out, Problem{"limits.window", "expected 1s to 1m"})
	}
	if r.Excess < 0 || r.Excess > 1 {
		out = append(out, Problem{"limits.excess", "expected a share between 0 and 1"})
	}
	if r.Slack < 0 {
		out = append(out, Problem{"limits.slack", "expected 0 or more"})
	}
	return out
}

// Host says what the host offers to the entry. A value of 0 is unknown.
type Host struct {
	CPUShare float64 `json:"cpu_share"` // share of a core
	Cores    float64 `json:"cores"`     // speed of that core relative to a usual one; default 1
	LinkMbps float64 `json:"link_mbps"` // of the host's own link
}

func (h *Host) check() []Problem {
	var out []Problem
	for _, f := range []struct {
		name  string
		value float64
	}{{"host.cpu_share", h.CPUShare}, {"host.cores", h.Cores}, {"host.link_mbps", h.LinkMbps}} {
		if f.value < 0 {
			out = append(out, Problem{f.name, "expected 0 or more"})
		}
	}
	return out
}

// Processor returns the processor of the host in usual cores, 0 if it is unknown.
func (h *Host) Processor() float64 {
	if h.Cores == 0 {
		return h.CPUShare
	}
	return h.CPUShare * h.Cores
}

// MaxProcs returns the number of threads that may run at once: the share of a core rounded
// up, at least 2, so that one long computation does not stop the others. It is 0, the
// runtime's default, if the share is unknown.
func (h *Host) MaxProcs() int {
	const minProcs = 2
	if h.CPUShare == 0 {
		return 0
	}
	return max(minProcs, int(math.Ceil(h.CPUShare)))
}

// defaultLimitWindow is the default of RateLimits.Window.
const defaultLimitWindow = Duration(5 * time.Second)

// WindowOrDefault returns the window, or its default if it is not set.
func (r *RateLimits) WindowOrDefault() time.Duration {
	if r.Window == 0 {
		return time.Duration(defaultLimitWindow)
	}
	return time.Duration(r.Window)
}

// Gateway holds the settings of an entry on the users' platform.
type Gateway struct {
	Name       string   `json:"name"`
	DataCentre string   `json:"data_centre"`
	Callers    string   `json:"callers"`    // ip:port for callers
	Ready      string   `json:"ready"`      // ip:port for the load balancer's readiness checks
	Peers      string   `json:"peers"`      // ip:port for other entries
	Metrics    string   `json:"metrics"`    // ip:port for metrics
	Seeds      []string `json:"seeds"`      // ip:port of peers for discovery at start
	AgentPort  int      `json:"agent_port"` // port of the agent on each target's host
	Store      Store    `json:"store"`
	// KeepResults is how long the results of a job stay readable.
	KeepResults Duration `json:"keep_results"`
	// KeyLease bounds how long a key may still be accepted after its revocation. 0 means
	// no bound.
	KeyLease Duration `json:"key_lease"`
	// Limits is the tolerance of the workspaces' rate limits.
	Limits RateLimits `json:"limits"`
	// StopWithin is the time from the platform's stop signal until it kills the process.
	StopWithin Duration `json:"stop_within"`
	MemoryMB   int      `json:"memory_mb"` // memory limit of this process in MiB
	// Descriptors is the number of descriptors that this process may open. 0 is the system's limit.
	// Callers' connections use three quarters of them at most.
	Descriptors int `json:"descriptors"`
	// GCPercent is the growth of the heap since the last collection, in percent, at which
	// the runtime collects garbage. 0 is the runtime's default.
	GCPercent int `json:"gc_percent"`
	// Host decides which duties of the fleet the entry takes, compared to other entries.
	// Without cpu_share it takes all.
	Host Host `json:"host"`
	// PlainPeers allows connections between the processes without TLS on addresses
	// other than loopback, for isolated networks.
	PlainPeers bool `json:"plain_peers"`
	TLS        *TLS `json:"tls"`
	Log        Log  `json:"log"`
}

// Check implements Checker.
func (g *Gateway) Check() []Problem {
	out := CheckName("name", g.Name)
	addrs := map[string]string{"callers": g.Callers, "ready": g.Ready, "peers": g.Peers, "metrics": g.Metrics}
	for _, field := range sortedKeys(addrs) {
		out = append(out, CheckAddr(field, addrs[field])...)
	}
	out = append(out, CheckDistinct(addrs)...)
	for _, s := range g.Seeds {
		out = append(out, CheckAddr("seeds", s)...)
	}
	out = append(out, checkPort("agent_port", g.AgentPort)...)
	out = append(out, g.Limits.check()...)
	out = append(out, g.Host.check()...)
	out = append(out, g.Store.check()...)
	out = append(out, checkGCPercent(g.GCPercent)...)
	out = append(out, checkDescriptors(g.Descriptors)...)
	const minStopWithin = Duration(2 * time.Second) // running streams take about 1 s to end
	if g.StopWithin < minStopWithin {
		out = append(out, Problem{"stop_within", "expected 2s or more"})
	}
	if g.KeepResults <= 0 {
		out = append(out, Problem{"keep_results", "missing"})
	}
	const minKeyLease = Duration(time.Second) // one read of a slow store takes a quarter of it
	if g.KeyLease != 0 && g.KeyLease < minKeyLease {
		out = append(out, Problem{"key_lease", "expected 1s or more, or 0s for no bound"})
	}
	if !g.PlainPeers {
		out = append(out, CheckLoopback("peers", g.Peers, g.TLS != nil)...)
	}
	out = append(out, g.TLS.check()...)
	return append(out, g.Log.check()...)
}

// SeatAgent holds the settings of an agent beside a target on the users' platform.
type SeatAgent struct {
	Name       string   `json:"name"`
	Listen     string   `json:"listen"`  // ip:port for entries
	Target     string   `json:"target"`  // ip:port of the target on this host
	Metrics    string   `json:"metrics"` // ip:port for metrics
	StopWithin Duration `json:"stop_within"`
	MemoryMB   int      `json:"memory_mb"`
	// Descriptors is the number of descriptors that this process may open. 0 is the system's limit.
	Descriptors int `json:"descriptors"`
	GCPercent   int `json:"gc_percent"` // as in Gateway
	// MaxProcs bounds the threads that run at once. 0 is the runtime's default: the
	// processors of the host.
	MaxProcs   int  `json:"max_procs"`
	PlainPeers bool `json:"plain_peers"`
	TLS        *TLS `json:"tls"`
	Log        Log  `json:"log"`
}

// Check implements Checker.
func (a *SeatAgent) Check() []Problem {
	out := CheckName("name", a.Name)
	addrs := map[string]string{"listen": a.Listen, "target": a.Target, "metrics": a.Metrics}
	for _, field := range sortedKeys(addrs) {
		out = append(out, CheckAddr(field, addrs[field])...)
	}
	out = append(out, CheckDistinct(addrs)...)
	out = append(out, checkGCPercent(a.GCPercent)...)
	out = append(out, checkDescriptors(a.Descriptors)...)
	if a.MaxProcs < 0 {
		out = append(out, Problem{"max_procs", "expected 0 or more"})
	}
	if !a.PlainPeers {
		out = append(out, CheckLoopback("listen", a.Listen, a.TLS != nil)...)
	}
	out = append(out, a.TLS.check()...)
	return append(out, a.Log.check()...)
}

// checkGCPercent refuses values below which collections take a large part of the processor.
func checkGCPercent(percent int) []Problem {
	const minPercent, maxPercent = 20, 400
	if percent != 0 && (percent < minPercent || percent > maxPercent) {
		return []Problem{{"gc_percent", fmt.Sprintf("expected %d to %d, or 0 for the runtime's default", minPercent, maxPercent)}}
	}
	return nil
}

// checkDescriptors refuses limits that leave too few for a process's own connections.
func checkDescriptors(n int) []Problem {
	const minDescriptors = 128
	if n != 0 && n < minDescriptors {
		return []Problem{{"descriptors", fmt.Sprintf("expected %d or more, or 0 for the system's limit", minDescriptors)}}
	}
	return nil
}

func checkPort(field string, port int) []Problem {
	if port < 1 || port > 65535 {
		return []Problem{{field, "expected a port number from 1 to 65535"}}
	}
	return nil
}

// AgentAddr returns the address of the agent on a target's host, "" if target is not
// "ip:port".
func (g *Gateway) AgentAddr(target string) string {
	ap, err := netip.ParseAddrPort(target)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(ap.Addr(), uint16(g.AgentPort)).String()
}
