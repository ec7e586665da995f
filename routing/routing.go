// Package routing chooses the agent for an online request. It is pure: views of
// agents, the time and the request come in, a choice comes out.
//
// Among the agents that serve a model it prefers the one that rendezvous hashing
// names for the prompt's prefix, so that prompts with the same prefix meet the
// same prefix cache, unless that agent is loaded well above the others.
package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pumiceford/internal/defaults"
)

// Settings shape a Router.
type Settings struct {
	DataCentre string // of this entry
	// StatusFor is how long an agent's word counts, default 6 s: three
	// heartbeats of an idle session.
	StatusFor time.Duration
	// LoadFactor bounds prefix affinity: an agent loaded more than this times
	// the mean is passed over, default 1.25.
	LoadFactor float64
	// EjectAfter is how many failures in a row eject an agent, default 3.
	EjectAfter int
	// EjectFor is how long the first ejection lasts, default 1 s; it doubles.
	EjectFor time.Duration
	// EjectShare bounds the part of agents ejected at a time, default 1/3.
	EjectShare float64
	// SpillAt is the part of the local seats in use above which other data
	// centres are used as well, default 0.8.
	SpillAt float64
}

func (s Settings) withDefaults() Settings {
	defaults.Set(&s.StatusFor, 6*time.Second)
	defaults.Set(&s.LoadFactor, 1.25)
	defaults.Set(&s.EjectAfter, 3)
	defaults.Set(&s.EjectFor, time.Second)
	defaults.Set(&s.EjectShare, 1.0/3)
	defaults.Set(&s.SpillAt, 0.8)
	return s
}

// Report is what an agent said of itself.
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

// Agent is the router's view of one agent.
type Agent struct {
	Name        string
	Addr        string
	Report      Report
	heard       time.Time
	Outstanding int // own requests there
	atReport    int // own requests there when the last report came
	failures    int
	ejections   int
	ejectedTil  time.Time
	drained     bool
}

// load estimates the requests at the agent: its lagging report corrected by what
// this entry sent or saw end since.
func (a *Agent) load() float64 {
	reported := a.Report.Running + a.Report.Queued + a.Outstanding - a.atReport
	return float64(max(reported, a.Outstanding))
}

func (a *Agent) relativeLoad() float64 {
	return a.load() / float64(max(a.Report.Seats, 1))
}

// Router holds the views. It is not safe for concurrent use.
type Router struct {
	set    Settings
	agents map[string]*Agent
}

// New returns an empty Router.
func New(set Settings) *Router {
	return &Router{set: set.withDefaults(), agents: make(map[string]*Agent)}
}

// Add adds an agent or changes its address.
func (r *Router) Add(name, addr string) {
	if a := r.agents[name]; a != nil {
		a.Addr = addr
		return
	}
	r.agents[name] = &Agent{Name: name, Addr: addr}
}

// Remove drops an agent.
func (r *Router) Remove(name string) {
	delete(r.agents, name)
}

// SetDrained marks an agent that operators or the host list want to leave.
func (r *Router) SetDrained(name string, drained bool) {
	if a := r.agents[name]; a != nil {
		a.drained = drained
	}
}

// Note takes an agent's report.
func (r *Router) Note(now time.Time, name string, rep Report) {
	a := r.agents[name]
	if a == nil {
		return
	}
	if a.Report.Incarnation != rep.Incarnation {
		a.failures = 0
		a.ejectedTil = time.Time{}
	}
	a.Report = rep
	a.heard = now
	a.atReport = a.Outstanding
}

// Alive notes that an agent's last report still stands.
func (r *Router) Alive(now time.Time, name string) {
	if a := r.agents[name]; a != nil && !a.heard.IsZero() {
		a.heard = now
	}
}

// Lost notes that an agent cannot be reached. It gets nothing before it reports
// again.
func (r *Router) Lost(name string) {
	if a := r.agents[name]; a != nil {
		a.heard = time.Time{}
	}
}

// Began counts a request sent to an agent.
func (r *Router) Began(name string) {
	if a := r.agents[name]; a != nil {
		a.Outstanding++
	}
}

// Ended counts a request that ended there, and whether the agent was at fault.
func (r *Router) Ended(now time.Time, name string, fault bool) {
	a := r.agents[name]
	if a == nil {
		return
	}
	a.Outstanding--
	if !fault {
		a.failures = 0
		a.ejections = 0
		return
	}
	a.failures++
	if a.failures >= r.set.EjectAfter && r.mayEject(now) {
		a.failures = 0
		a.ejections++
		a.ejectedTil = now.Add(r.set.EjectFor << min(a.ejections-1, maxEjectShift))
	}
}

// maxEjectShift bounds the doubling of ejections.
const maxEjectShift = 5

// mayEject keeps ejections within EjectShare, so that one bad request that fails
// everywhere cannot eject the fleet.
func (r *Router) mayEject(now time.Time) bool {
	out := 0
	for _, a := range r.agents {
		if now.Before(a.ejectedTil) {
			out++
		}
	}
	return float64(out+1) <= r.set.EjectShare*float64(len(r.agents))
}

// Query is what a request needs.
type Query struct {
	Model   string
	Service string
	Prefix  uint64          // hash of the prompt's first blocks, 0 for none
	Exclude map[string]bool // agents tried already
}

// Choice is the chosen agent with the incarnation that the request is meant for.
type Choice struct {
	Name        string
	Addr        string
	Incarnation string
}

// Pick chooses an agent. It reports false when none serves the request now.
func (r *Router) Pick(now time.Time, q Query) (Choice, bool) {
	all := r.candidates(now, q)
	if len(all) == 0 {
		return Choice{}, false
	}
	all = r.near(all)
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
	if a.drained || a.Report.Leaving || q.Exclude[a.Name] || now.Before(a.ejectedTil) {
		return false
	}
	if a.heard.IsZero() || now.Sub(a.heard) > r.set.StatusFor {
		return false
	}
	if q.Service != "" {
		return slices.Contains(a.Report.Services, q.Service)
	}
	return slices.Contains(a.Report.Models, q.Model)
}

// near keeps the agents of this entry's data centre while they have room.
func (r *Router) near(all []*Agent) []*Agent {
	var local []*Agent
	used, seats := 0.0, 0
	for _, a := range all {
		if a.Report.DataCentre == r.set.DataCentre {
			local = append(local, a)
			used += a.load()
			seats += a.Report.Seats
		}
	}
	if len(local) == 0 || used >= r.set.SpillAt*float64(seats) {
		return all
	}
	return local
}

// byAffinity returns the agent that rendezvous hashing prefers for the prefix
// among those whose load is within LoadFactor of the mean. Without a prefix it
// returns the least loaded.
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
		// One request more than the mean is always allowed, or an idle fleet
		// would know no affinity.
		bound := r.set.LoadFactor*mean + 1/float64(max(a.Report.Seats, 1))
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

// Score is the rendezvous weight of a node for a key.
func Score(node string, key uint64) uint64 {
	h := xxhash.Sum64String(node) ^ key*0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return h
}

// Top returns the n nodes of highest Score for a key, best first. Adding or
// removing a node changes little for the others.
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

// Best returns the node of highest Score for a key, empty when there is none.
func Best(nodes []string, key uint64) string {
	best, score := "", uint64(0)
	for _, n := range nodes {
		if s := Score(n, key); best == "" || s > score || (s == score && n < best) {
			best, score = n, s
		}
	}
	return best
}

// PrefixBytes is how much of a prompt decides its affinity.
const PrefixBytes = 256

// PrefixKey hashes the start of a prompt.
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

// Views returns the agents for operators, by name.
func (r *Router) Views() []Agent {
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

// Get returns an agent's view, nil when unknown.
func (r *Router) Get(name string) *Agent {
	return r.agents[name]
}
