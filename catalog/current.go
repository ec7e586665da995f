package catalog

import "sync/atomic"

// Current holds the catalog version in force. The version only increases: a late record, a
// stale peer or a restarted follower cannot set an older one. It is safe for concurrent
// use.
type Current struct {
	cur atomic.Pointer[Catalog]
}

// Get returns the catalog in force, or nil if there is none yet.
func (c *Current) Get() *Catalog {
	return c.cur.Load()
}

// SetIfNewer puts a catalog in force if its version is higher. It reports whether it did.
func (c *Current) SetIfNewer(next *Catalog) bool {
	for {
		old := c.cur.Load()
		if old != nil && next.Version <= old.Version {
			return false
		}
		if c.cur.CompareAndSwap(old, next) {
			return true
		}
	}
}
