// Package catalog holds the versioned configuration of routes, services and workspaces. It
// does no I/O.
package catalog

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind says whether and how requests of a route may be repeated.
type Kind int

// Kinds of routes.
const (
	Idempotent    Kind = iota // requests may be executed more than once
	NonIdempotent             // each request is executed at most once
	Streaming                 // responses are streams of events; see Route.Resumable
	Batch                     // jobs of many requests that run later
)

// Share is the part of a route's requests that a service gets.
type Share struct {
	Service string
	Weight  int
}

// Route maps a host and path prefix to the services for its requests.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string // begins and ends with a slash
	Kind             Kind
	Shares           []Share       // at least one
	Timeout          time.Duration // longest time that a caller waits
	FirstEventWithin time.Duration // objective for a response or the first event of a stream
	EventGapWithin   time.Duration // objective for the time between events
	Priority         int           // 0 is the most urgent
	Attempts         int           // maximum number of targets that run a request
	Resumable        bool          // a stream may continue at another target
	DueWithin        time.Duration // batch: time from a job's arrival until its results are due
	GiveUpAfter      time.Duration // batch: time from a job's arrival until its items may be given up
	Public           bool          // requests need no key
}

// Retryable reports whether a request may be executed more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Batch || (r.Kind == Streaming && r.Resumable)
}

// Service returns the service for a request. The same request ID always gets the same
// service; over many IDs the services get requests in proportion to their shares.
func (r *Route) Service(id string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return r.Shares[0].Service
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // Write of a hash never fails
	at := int(h.Sum32() % uint32(total))
	for _, s := range r.Shares {
		if at -= max(s.Weight, 0); at < 0 {
			return s.Service
		}
	}
	return r.Shares[0].Service
}

// HasService reports whether the route may send requests to a service.
func (r *Route) HasService(name string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == name })
}

// RouteID identifies a route by the requests that it matches.
type RouteID struct {
	Host, PathPrefix string
}

// ID returns the identity of the route.
func (r *Route) ID() RouteID {
	return RouteID{r.Host, r.PathPrefix}
}

// ChangedShares returns the routes of c with requests that another catalog sends to other
// services, or in other proportions.
func (c *Catalog) ChangedShares(before *Catalog) (out []RouteID) {
	for _, rs := range c.hosts {
		for i := range rs {
			if old := before.Match(rs[i].Host, rs[i].PathPrefix); old != nil && !slices.Equal(old.Shares, rs[i].Shares) {
				out = append(out, rs[i].ID())
			}
		}
	}
	// The requests of a route that is gone match a shorter prefix.
	for _, rs := range before.hosts {
		for i := range rs {
			if now := c.Match(rs[i].Host, rs[i].PathPrefix); now != nil && !slices.Equal(now.Shares, rs[i].Shares) && !slices.Contains(out, now.ID()) {
				out = append(out, now.ID())
			}
		}
	}
	return out
}

// Service is a set of targets that run the same program.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int // maximum number of connections to a target from all callers together
	// ReservationTTL is how long a target holds a reserved slot; 0 if slots cannot be
	// reserved.
	ReservationTTL time.Duration
}

// Limits bounds the size and the timing of requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version  int64
	Limits   Limits
	Services map[string]Service
	hosts    map[string][]Route // by host in lower case, longest prefix first
	names    map[string]bool    // of the services and of those that routes name

	byKey       map[KeyDigest]*Workspace // nil if requests need no key
	workspaces  map[string]*Workspace    // by name
	rateLimited bool                     // a workspace has a rate limit
	meanRate    float64                  // mean rate of the workspaces with a limit; 0 if there are none
}

// New returns a Catalog without workspaces.
func New(version int64, limits Limits, services []Service, routes []Route) *Catalog {
	c := &Catalog{Version: version, Limits: limits, Services: make(map[string]Service), hosts: make(map[string][]Route), names: make(map[string]bool)}
	for _, s := range services {
		c.Services[s.Name] = s
		c.names[s.Name] = true
	}
	for _, r := range routes {
		for _, s := range r.Shares {
			c.names[s.Service] = true
		}
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, rs := range c.hosts {
		slices.SortStableFunc(rs, func(a, b Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return c
}

// HasService reports whether a service is configured.
func (c *Catalog) HasService(name string) bool {
	return c.names[name]
}

// HasSameServices reports whether another catalog has the same services.
func (c *Catalog) HasSameServices(other *Catalog) bool {
	return maps.Equal(c.names, other.names)
}

// Match returns the route of a host with the longest prefix of path, or nil if there is
// none.
func (c *Catalog) Match(host, path string) *Route {
	rs := c.routes(host)
	for i := range rs {
		if strings.HasPrefix(path, rs[i].PathPrefix) {
			return &rs[i]
		}
	}
	return nil
}

// routes returns the routes of a host, given with or without a port.
func (c *Catalog) routes(host string) []Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return c.hosts[strings.ToLower(host)]
}
