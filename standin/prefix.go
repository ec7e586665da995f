package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// prefixCache is an LRU cache of prompt prefix blocks.
type prefixCache struct {
	limit    int
	lru      *list.List // the front is the most recently used block
	blocks   map[uint64]*list.Element
	onChange func(prefix uint64, stored bool)
}

func newPrefixCache(limit int, onChange func(prefix uint64, stored bool)) *prefixCache {
	return &prefixCache{limit: limit, onChange: onChange, lru: list.New(), blocks: make(map[uint64]*list.Element)}
}

// lookup returns how many leading blocks of the prompt were cached, and then caches
// all of them.
func (c *prefixCache) lookup(model, prompt string) int {
	const blockChars = KVBlockTokens * charsPerToken
	hits := 0
	missed := false
	h := xxhash.Sum64String(model)
	for lo := 0; lo+blockChars <= len(prompt); lo += blockChars {
		h = h*31 + xxhash.Sum64String(prompt[lo:lo+blockChars])
		if el, ok := c.blocks[h]; ok {
			c.lru.MoveToFront(el)
			if !missed {
				hits++
			}
			continue
		}
		missed = true
		c.blocks[h] = c.lru.PushFront(h)
		c.onChange(h, true)
	}
	for c.lru.Len() > c.limit {
		last := c.lru.Back()
		delete(c.blocks, last.Value.(uint64))
		c.onChange(last.Value.(uint64), false)
		c.lru.Remove(last)
	}
	return hits
}
