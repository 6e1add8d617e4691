package standin

import (
	"container/list"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/prompt"
)

// maxCacheEvents bounds the cache events that an engine retains.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prompt-prefix blocks.
type prefixCache struct {
	limit  int
	lru    *list.List
	blocks map[uint64]*list.Element

	lag    time.Duration
	gap    int
	seq    int64
	events []timedEvent
}

type timedEvent struct {
	at    time.Time
	event api.CacheEvent
}

func newPrefixCache(limit int, lag time.Duration, gap int) *prefixCache {
	return &prefixCache{limit: limit, lru: list.New(), blocks: map[uint64]*list.Element{}, lag: lag, gap: gap}
}

func (c *prefixCache) size() int { return len(c.blocks) }

// hitLength returns the number of leading blocks that are cached.
func (c *prefixCache) hitLength(blocks []uint64) int {
	for i, block := range blocks {
		element, ok := c.blocks[block]
		if !ok {
			return i
		}
		c.lru.MoveToFront(element)
	}
	return len(blocks)
}

func (c *prefixCache) add(blocks []uint64) {
	for _, block := range blocks {
		if element, ok := c.blocks[block]; ok {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.lru.PushFront(block)
		c.publish(api.CacheEventKindAdded, block)
	}
	for len(c.blocks) > c.limit {
		last := c.lru.Back()
		block := c.lru.Remove(last).(uint64)
		delete(c.blocks, block)
		c.publish(api.CacheEventKindEvicted, block)
	}
}

func (c *prefixCache) publish(kind api.CacheEventKind, block uint64) {
	c.seq++
	if c.gap > 0 && c.seq%int64(c.gap) == 0 {
		return
	}
	c.events = append(c.events, timedEvent{time.Now(), api.CacheEvent{Seq: c.seq, Kind: kind, Block: prompt.BlockName(block)}})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// since returns the events from a sequence number on that are older than the lag, and the next
// sequence number.
func (c *prefixCache) since(seq int64) ([]api.CacheEvent, int64) {
	cutoff := time.Now().Add(-c.lag)
	events := []api.CacheEvent{}
	next := seq
	for _, timed := range c.events {
		if timed.event.Seq < seq || timed.at.After(cutoff) {
			continue
		}
		events = append(events, timed.event)
		next = timed.event.Seq + 1
	}
	return events, next
}
