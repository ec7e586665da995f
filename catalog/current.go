package catalog

import "sync/atomic"

// Current holds the version in force. It only ever moves to a higher one: a
// late record, a stale peer or a restarted follower cannot take it back.
type Current struct {
	cur atomic.Pointer[Catalog]
}

// Get returns the catalog in force, nil while none is known.
func (c *Current) Get() *Catalog {
	return c.cur.Load()
}

// Offer puts a catalog in force when it is newer. It reports whether it did.
func (c *Current) Offer(next *Catalog) bool {
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
