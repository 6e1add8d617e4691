package standin

import (
	"container/list"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/prompt"
)

// maxCacheEvents bounds the cache events that an engine keeps.
const maxCacheEvents = 4096

// prefixCache holds prompt-prefix blocks, the least recently used go first.
type prefixCache struct {
	limit  int
	order  *list.List
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
	return &prefixCache{limit: limit, order: list.New(), blocks: map[uint64]*list.Element{}, lag: lag, gap: gap}
}

func (c *prefixCache) size() int { return len(c.blocks) }

// hit returns how many blocks from the start are held.
func (c *prefixCache) hit(blocks []uint64) int {
	for i, block := range blocks {
		element, ok := c.blocks[block]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(blocks)
}

func (c *prefixCache) add(blocks []uint64) {
	for _, block := range blocks {
		if element, ok := c.blocks[block]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		c.publish(api.CacheEventKindAdded, block)
	}
	for len(c.blocks) > c.limit {
		last := c.order.Back()
		block := c.order.Remove(last).(uint64)
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

// since returns the events from a sequence number on that are old enough to show.
func (c *prefixCache) since(seq int64) ([]api.CacheEvent, int64) {
	cut := time.Now().Add(-c.lag)
	events := []api.CacheEvent{}
	next := seq
	for _, timed := range c.events {
		if timed.event.Seq < seq || timed.at.After(cut) {
			continue
		}
		events = append(events, timed.event)
		next = timed.event.Seq + 1
	}
	return events, next
}
