package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// prefixCache keeps blocks of prompt prefixes, least recently used out first.
type prefixCache struct {
	limit int
	order *list.List // front is the most recent
	items map[uint64]*list.Element
	note  func(prefix uint64, stored bool)
}

func newPrefixCache(limit int, note func(prefix uint64, stored bool)) *prefixCache {
	return &prefixCache{limit: limit, note: note, order: list.New(), items: make(map[uint64]*list.Element)}
}

// touch returns how many leading blocks of the prompt were cached, and caches all.
func (c *prefixCache) touch(model, prompt string) int {
	const blockChars = KVBlockTokens * charsPerToken
	hits := 0
	missed := false
	h := xxhash.Sum64String(model)
	for lo := 0; lo+blockChars <= len(prompt); lo += blockChars {
		h = h*31 + xxhash.Sum64String(prompt[lo:lo+blockChars])
		if el, ok := c.items[h]; ok {
			c.order.MoveToFront(el)
			if !missed {
				hits++
			}
			continue
		}
		missed = true
		c.items[h] = c.order.PushFront(h)
		c.note(h, true)
	}
	for c.order.Len() > c.limit {
		last := c.order.Back()
		delete(c.items, last.Value.(uint64))
		c.note(last.Value.(uint64), false)
		c.order.Remove(last)
	}
	return hits
}
