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

// RateLimited reports whether the workspace has a rate limit.
func (w *Workspace) RateLimited() bool {
	return w.Rate > 0
}

// WithWorkspaces adds workspaces to the catalog and returns it. From then on requests need
// a key. It must be called before the catalog is put in force.
func (c *Catalog) WithWorkspaces(all []Workspace) *Catalog {
	c.byKey = make(map[KeyDigest]*Workspace)
	c.workspaces = make(map[string]*Workspace, len(all))
	for i := range all {
		c.rateLimited = c.rateLimited || all[i].RateLimited()
		c.workspaces[all[i].Name] = &all[i]
		for _, k := range all[i].Keys {
			c.byKey[k] = &all[i]
		}
	}
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
