// Package routing chooses the agent for an online request. It does no I/O and reads
// no clock: callers pass in the agents' reports, the request and the time.
//
// Among the agents that serve a model it prefers the one that rendezvous hashing
// selects for the prompt's prefix, so that prompts with the same prefix reach the
// same prefix cache, unless that agent is loaded well above the others.
package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pumiceford/internal/defaults"
)

// Settings configures a Router. Zero fields take their defaults.
type Settings struct {
	DataCentre string // data centre of this entry; no default
	// ReportTTL is how long an agent's report stays valid without a heartbeat,
	// default 6 s: three heartbeats of an idle session.
	ReportTTL time.Duration
	// LoadFactor limits prefix affinity: an agent with more than this times the
	// mean load is skipped, default 1.25.
	LoadFactor float64
	// EjectAfter is the number of consecutive failures that ejects an agent,
	// default 3.
	EjectAfter int
	// BaseEjectionTime is how long the first ejection lasts, default 1 s. It
	// doubles with each further ejection.
	BaseEjectionTime time.Duration
	// MaxEjectedFraction is the largest fraction of the agents that may be ejected
	// at the same time, default 1/3.
	MaxEjectedFraction float64
	// SpilloverThreshold is the fraction of local seats in use from which agents in
	// other data centres are used as well, default 0.8.
	SpilloverThreshold float64
}

func (s Settings) withDefaults() Settings {
	defaults.Set(&s.ReportTTL, 6*time.Second)
	defaults.Set(&s.LoadFactor, 1.25)
	defaults.Set(&s.EjectAfter, 3)
	defaults.Set(&s.BaseEjectionTime, time.Second)
	defaults.Set(&s.MaxEjectedFraction, 1.0/3)
	defaults.Set(&s.SpilloverThreshold, 0.8)
	return s
}

// Report is the state that an agent reports of itself.
type Report struct {
	Incarnation string
	DataCentre  string
	Models      []string
	Services    []string
	Seats       int
	Running     int
	Queued      int
	Leaving     bool
}

// Agent is the state that the router keeps of one agent.
type Agent struct {
	Name             string
	Addr             string
	Report           Report
	reportedAt       time.Time // last report or heartbeat; zero if unreachable
	InFlight         int       // requests that this entry has in flight at the agent
	inFlightAtReport int       // InFlight when the last report arrived
	failures         int       // consecutive, since the last ejection
	ejections        int       // consecutive, since the last success
	ejectedUntil     time.Time
	drained          bool
}

// load estimates the requests at the agent: its last report, corrected by the
// requests that this entry started or completed since.
func (a *Agent) load() float64 {
	reported := a.Report.Running + a.Report.Queued + a.InFlight - a.inFlightAtReport
	return float64(max(reported, a.InFlight))
}

// relativeLoad returns the load per seat.
func (a *Agent) relativeLoad() float64 {
	return a.load() / float64(max(a.Report.Seats, 1))
}

// Router holds the known agents. It is not safe for concurrent use.
type Router struct {
	settings Settings
	agents   map[string]*Agent
}

// New returns a Router without agents.
func New(settings Settings) *Router {
	return &Router{settings: settings.withDefaults(), agents: make(map[string]*Agent)}
}

// Add adds an agent, or updates the address of a known one.
func (r *Router) Add(name, addr string) {
	if a := r.agents[name]; a != nil {
		a.Addr = addr
		return
	}
	r.agents[name] = &Agent{Name: name, Addr: addr}
}

// Remove removes an agent.
func (r *Router) Remove(name string) {
	delete(r.agents, name)
}

// SetDrained sets whether an agent is drained, as an operator or the host list
// requests. A drained agent gets no new requests.
func (r *Router) SetDrained(name string, drained bool) {
	if a := r.agents[name]; a != nil {
		a.drained = drained
	}
}

// UpdateReport stores an agent's report. A report from a new incarnation ends an ejection,
// because the failures were those of the previous process.
func (r *Router) UpdateReport(now time.Time, name string, rep Report) {
	a := r.agents[name]
	if a == nil {
		return
	}
	if a.Report.Incarnation != rep.Incarnation {
		a.failures = 0
		a.ejectedUntil = time.Time{}
	}
	a.Report = rep
	a.reportedAt = now
	a.inFlightAtReport = a.InFlight
}

// RenewReport extends the validity of an agent's last report. It has no effect on an agent that
// has not reported since it became unreachable.
func (r *Router) RenewReport(now time.Time, name string) {
	if a := r.agents[name]; a != nil && !a.reportedAt.IsZero() {
		a.reportedAt = now
	}
}

// MarkUnreachable marks an agent as unreachable. The agent gets no requests until it
// reports again.
func (r *Router) MarkUnreachable(name string) {
	if a := r.agents[name]; a != nil {
		a.reportedAt = time.Time{}
	}
}

// RequestStarted counts a request that is sent to an agent.
func (r *Router) RequestStarted(name string) {
	if a := r.agents[name]; a != nil {
		a.InFlight++
	}
}

// RequestEnded counts a request that ended at an agent. fault is set if the agent
// failed it. EjectAfter consecutive failures eject the agent, within MaxEjectedFraction.
func (r *Router) RequestEnded(now time.Time, name string, fault bool) {
	a := r.agents[name]
	if a == nil {
		return
	}
	a.InFlight--
	if !fault {
		a.failures = 0
		a.ejections = 0
		return
	}
	a.failures++
	if a.failures >= r.settings.EjectAfter && r.canEject(now) {
		a.failures = 0
		a.ejections++
		a.ejectedUntil = now.Add(r.settings.BaseEjectionTime << min(a.ejections-1, maxEjectShift))
	}
}

// maxEjectShift limits an ejection to 32 times BaseEjectionTime.
const maxEjectShift = 5

// canEject reports whether one more ejection stays within MaxEjectedFraction, so that
// one bad request that fails on every agent cannot eject the whole fleet.
func (r *Router) canEject(now time.Time) bool {
	out := 0
	for _, a := range r.agents {
		if now.Before(a.ejectedUntil) {
			out++
		}
	}
	return float64(out+1) <= r.settings.MaxEjectedFraction*float64(len(r.agents))
}

// Query describes what a request needs. Service takes precedence over Model.
type Query struct {
	Model   string
	Service string
	Prefix  uint64          // result of PrefixKey, 0 for none
	Exclude map[string]bool // names of agents that were tried already
}

// Choice is the selected agent, with the incarnation that the request is meant for.
type Choice struct {
	Name        string
	Addr        string
	Incarnation string
}

// Pick selects an agent. It reports false if no agent can serve the request now.
func (r *Router) Pick(now time.Time, q Query) (Choice, bool) {
	all := r.candidates(now, q)
	if len(all) == 0 {
		return Choice{}, false
	}
	all = r.preferLocal(all)
	a := r.byAffinity(all, q.Prefix)
	return Choice{Name: a.Name, Addr: a.Addr, Incarnation: a.Report.Incarnation}, true
}

func (r *Router) candidates(now time.Time, q Query) []*Agent {
	var out []*Agent
	for _, a := range r.agents {
		if r.usable(now, a, q) {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(x, y *Agent) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	return out
}

func (r *Router) usable(now time.Time, a *Agent, q Query) bool {
	if a.drained || a.Report.Leaving || q.Exclude[a.Name] || now.Before(a.ejectedUntil) {
		return false
	}
	if a.reportedAt.IsZero() || now.Sub(a.reportedAt) > r.settings.ReportTTL {
		return false
	}
	if q.Service != "" {
		return slices.Contains(a.Report.Services, q.Service)
	}
	return slices.Contains(a.Report.Models, q.Model)
}

// preferLocal returns the agents of this entry's data centre while less than
// SpilloverThreshold of their seats are in use, and all agents otherwise.
func (r *Router) preferLocal(all []*Agent) []*Agent {
	var local []*Agent
	used, seats := 0.0, 0
	for _, a := range all {
		if a.Report.DataCentre == r.settings.DataCentre {
			local = append(local, a)
			used += a.load()
			seats += a.Report.Seats
		}
	}
	if len(local) == 0 || used >= r.settings.SpilloverThreshold*float64(seats) {
		return all
	}
	return local
}

// byAffinity returns the agent with the highest Score for the prefix among those
// whose relative load is at most LoadFactor times the mean. Without a prefix it
// returns the agent with the lowest relative load.
func (r *Router) byAffinity(all []*Agent, prefix uint64) *Agent {
	mean := 0.0
	for _, a := range all {
		mean += a.relativeLoad()
	}
	mean /= float64(len(all))
	var best *Agent
	var bestScore uint64
	for _, a := range all {
		if prefix == 0 {
			if best == nil || a.relativeLoad() < best.relativeLoad() {
				best = a
			}
			continue
		}
		// One request above LoadFactor times the mean is always allowed. Otherwise affinity
		// would have no effect in a fleet that is almost idle.
		bound := r.settings.LoadFactor*mean + 1/float64(max(a.Report.Seats, 1))
		if a.relativeLoad() > bound {
			continue
		}
		if score := Score(a.Name, prefix); best == nil || score > bestScore {
			best, bestScore = a, score
		}
	}
	if best == nil {
		return all[0]
	}
	return best
}

// Score returns the rendezvous hashing weight of a node for a key.
func Score(node string, key uint64) uint64 {
	h := xxhash.Sum64String(node) ^ key*0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return h
}

// Top returns the n nodes with the highest Score for a key, highest first. Adding or
// removing a node leaves the order of the others unchanged.
func Top(nodes []string, key uint64, n int) []string {
	out := slices.Clone(nodes)
	slices.SortFunc(out, func(a, b string) int {
		sa, sb := Score(a, key), Score(b, key)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		case a < b:
			return -1
		}
		return 1
	})
	return out[:min(n, len(out))]
}

// Best returns the node with the highest Score for a key, or an empty string if nodes
// is empty.
func Best(nodes []string, key uint64) string {
	best, score := "", uint64(0)
	for _, n := range nodes {
		if s := Score(n, key); best == "" || s > score || (s == score && n < best) {
			best, score = n, s
		}
	}
	return best
}

// PrefixBytes is how many bytes of a prompt determine its affinity.
const PrefixBytes = 256

// PrefixKey hashes the model and the first PrefixBytes of the prompt. It never
// returns 0, which stands for no prefix in a Query.
func PrefixKey(model, prompt string) uint64 {
	if len(prompt) > PrefixBytes {
		prompt = prompt[:PrefixBytes]
	}
	h := xxhash.Sum64String(model + "\x00" + prompt)
	if h == 0 {
		h = 1
	}
	return h
}

// Agents returns copies of all agents, sorted by name, for display to operators.
func (r *Router) Agents() []Agent {
	var out []Agent
	for _, a := range r.agents {
		out = append(out, *a)
	}
	slices.SortFunc(out, func(x, y Agent) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	return out
}

// Get returns the named agent, nil if it is unknown.
func (r *Router) Get(name string) *Agent {
	return r.agents[name]
}
