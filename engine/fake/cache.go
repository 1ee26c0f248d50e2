// SPDX-License-Identifier: MIT

package fake

import (
	"container/list"

	"lynxramp.org/engine"
)

// prefixCache is an LRU cache of prefix blocks.
type prefixCache struct {
	limit    int
	order    *list.List // front is the most recently used; values are uint64
	blocks   map[uint64]*list.Element
	events   []engine.CacheEvent
	sequence uint64
}

func newPrefixCache(limit int) prefixCache {
	return prefixCache{limit: limit, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

func (c *prefixCache) len() int { return len(c.blocks) }

// match returns how many leading blocks are cached.
func (c *prefixCache) match(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.blocks[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// insert makes blocks the most recently used ones, the first of them last, so that the
// end of a prefix is evicted before its beginning.
func (c *prefixCache) insert(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if e, ok := c.blocks[b]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.recordEvent(b, false)
	}
	for len(c.blocks) > c.limit {
		last := c.order.Back()
		b := c.order.Remove(last).(uint64)
		delete(c.blocks, b)
		c.recordEvent(b, true)
	}
}

// maxEvents is how many events are kept when nobody reads them.
const maxEvents = 4096

func (c *prefixCache) recordEvent(block uint64, evicted bool) {
	c.sequence++
	c.events = append(c.events, engine.CacheEvent{Sequence: c.sequence, Block: block, Evicted: evicted})
	if len(c.events) > maxEvents {
		c.events = append(c.events[:0], c.events[len(c.events)/2:]...)
	}
}

func (c *prefixCache) takeEvents() []engine.CacheEvent {
	events := c.events
	c.events = nil
	return events
}
