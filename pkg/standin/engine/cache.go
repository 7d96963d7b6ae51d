package engine

import (
	"container/list"
	"hash/fnv"
	"io"
	"strings"

	peer "github.com/fescuehub/fescuehub/pkg/peer/engine"
)

// prefixCache simulates a cache of prompt prefixes with LRU eviction. Callers must hold the lock of
// the engine.
type prefixCache struct {
	limit  int
	order  *list.List
	items  map[uint64]*list.Element
	events []peer.CacheEvent
	next   int64
}

const maxKeptEvents = 4096

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), items: make(map[uint64]*list.Element)}
}

// access records a use of the prefix and reports whether it was cached. A prefix that was not cached
// is stored and may evict the least recently used one.
func (c *prefixCache) access(prefix uint64, dropEvents bool) bool {
	if item, ok := c.items[prefix]; ok {
		c.order.MoveToFront(item)
		return true
	}
	c.items[prefix] = c.order.PushFront(prefix)
	c.record(prefix, true, dropEvents)
	if c.order.Len() > c.limit {
		oldest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.items, oldest)
		c.record(oldest, false, dropEvents)
	}
	return false
}

func (c *prefixCache) record(prefix uint64, stored, dropEvents bool) {
	c.next++
	if dropEvents && c.next%2 == 0 {
		return
	}
	if len(c.events) >= maxKeptEvents {
		c.events = append(c.events[:0], c.events[maxKeptEvents/2:]...)
	}
	c.events = append(c.events, peer.CacheEvent{Seq: c.next, Prefix: prefix, Stored: stored})
}

func (c *prefixCache) eventsFrom(from int64) peer.CacheEvents {
	out := peer.CacheEvents{Next: c.next + 1}
	for _, ev := range c.events {
		if ev.Seq >= from {
			out.Events = append(out.Events, ev)
		}
	}
	return out
}

func prefixOf(prompt string) uint64 {
	words := strings.Fields(prompt)
	h := fnv.New64a()
	_, _ = io.WriteString(h, strings.Join(words[:min(len(words), prefixWords)], " "))
	return h.Sum64()
}

func countWords(prompt string) int {
	return len(strings.Fields(prompt))
}
