package catalog

import "crypto/sha256"

// KeyDigest is the SHA-256 digest of a caller's key. The keys themselves are not stored.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// Workspace is a group of callers that share keys, a priority and a rate limit.
type Workspace struct {
	Name string
	Keys []KeyDigest
	// Priority overrides the priority of the routes that its callers use, unless it is nil.
	Priority *int
	// Rate is the limit in requests per second over all hosts, or 0 for no limit.
	Rate float64
	// Burst is the number of requests above Rate that are allowed at once after a time
	// of low load.
	Burst float64
}

// Rank returns the rank of work on a route for a workspace: 0 is the most urgent. Both may be
// nil if they are unknown.
func Rank(r *Route, w *Workspace) int {
	switch {
	case w != nil && w.Priority != nil:
		return *w.Priority
	case r != nil:
		return r.Priority
	}
	return 0
}

// Weight returns the share of the slots that a workspace is due relative to others: its rate,
// which is what it was sold. Workspaces without a rate, and callers without a workspace (nil),
// have the mean of all rates, 1 if there are none. It may be called on a nil Catalog.
func (c *Catalog) Weight(w *Workspace) float64 {
	switch {
	case w != nil && w.RateLimited():
		return w.Rate
	case c != nil && c.meanRate > 0:
		return c.meanRate
	}
	return 1
}

// RateLimited reports whether the workspace has a rate limit.
func (w *Workspace) RateLimited() bool {
	return w.Rate > 0
}

// WithWorkspaces adds workspaces to the catalog and returns it. From then on requests need
// a key. It must be called before the catalog is put in force.
func (c *Catalog) WithWorkspaces(all []Workspace) *Catalog {
	c.byKey = make(map[KeyDigest]*Workspace)
	c.workspaces = make(map[string]*Workspace, len(all))
	limited, sum := 0, 0.0
	for i := range all {
		if all[i].RateLimited() {
			limited++
			sum += all[i].Rate
		}
		c.workspaces[all[i].Name] = &all[i]
		for _, k := range all[i].Keys {
			c.byKey[k] = &all[i]
		}
	}
	c.rateLimited = limited > 0
	c.meanRate = sum / max(float64(limited), 1)
	return c
}

// RequiresKey reports whether requests need a key, except on public routes.
func (c *Catalog) RequiresKey() bool {
	return c.byKey != nil
}

// RateLimited reports whether any workspace has a rate limit.
func (c *Catalog) RateLimited() bool {
	return c.rateLimited
}

// WorkspaceByKey returns the workspace that a key belongs to, or nil if there is none.
func (c *Catalog) WorkspaceByKey(key KeyDigest) *Workspace {
	return c.byKey[key]
}

// Workspace returns a workspace by name, or nil if there is none.
func (c *Catalog) Workspace(name string) *Workspace {
	return c.workspaces[name]
}

// AcceptsPublicJobs reports whether a host accepts jobs from callers without a key.
func (c *Catalog) AcceptsPublicJobs(host string) bool {
	rs := c.routes(host)
	for i := range rs {
		if rs[i].Public && rs[i].Kind == Batch {
			return true
		}
	}
	return false
}
