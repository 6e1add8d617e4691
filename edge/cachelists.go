package edge

import (
	"context"
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/fleet"
	"github.com/persimmonline/persimmonline/routing"
	"github.com/persimmonline/persimmonline/serving"
)

const (
	// cacheListRetention is how long a list is used; later its parts were used, and are known, or
	// evicted.
	cacheListRetention = 20 * time.Second
	// minCacheListAge is the age of an engine from which it may have cached something that this node
	// was not told.
	minCacheListAge = 5 * time.Second
	// maxCacheListCalls is the number of engines that a node asks after its start: a list delays the
	// engine, and in a large fleet other nodes ask the others.
	maxCacheListCalls = 32
)

// cacheList is a list and when it arrived.
type cacheList struct {
	*serving.CacheList
	at time.Time
}

// requestCacheList asks an engine that is new to this node what it has cached.
func (c *control) requestCacheList(member *fleet.Upstream, holder routing.Holder) {
	age := c.edge.clock.now().Sub(time.UnixMilli(member.BornMS))
	if c.table.Engine(member.Service) == nil || age < minCacheListAge || c.cacheListCalls >= maxCacheListCalls {
		return
	}
	c.cacheListCalls++
	ctx, id, address := c.edge.ctx, member.ID, member.Address
	go func() {
		parts, err := c.edge.engines.CachedParts(ctx, address)
		if err != nil {
			c.edge.logger.Warn().Err(err).Str("upstream", id).Msg("cached prompt parts not listed")
		}
		c.postCacheList(ctx, holder, parts)
	}()
}

func (c *control) postCacheList(ctx context.Context, holder routing.Holder, parts map[string]int) {
	c.post(ctx, func(now time.Time) {
		c.cacheListCalls--
		if len(parts) > 0 {
			c.cacheLists = append(c.cacheLists, cacheList{&serving.CacheList{Holder: holder, Parts: parts}, now})
			c.publishNow = true
		}
	})
}

// currentCacheLists returns the lists that are still used.
func (c *control) currentCacheLists(now time.Time) []*serving.CacheList {
	c.cacheLists = slices.DeleteFunc(c.cacheLists, func(list cacheList) bool { return now.Sub(list.at) > cacheListRetention })
	lists := make([]*serving.CacheList, len(c.cacheLists))
	for i, list := range c.cacheLists {
		lists[i] = list.CacheList
	}
	return lists
}
