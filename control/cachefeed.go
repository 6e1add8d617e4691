package control

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/routing"
)

const (
	// quietRounds is how many rounds an engine is left alone after one without events,
	// so that an idle fleet costs little.
	quietRounds = 9
	// cachePoll is the time between two reads of an engine's cache events.
	cachePoll = 2 * time.Second
	// maxPrefixBlocks bounds the prefix index of a node, in blocks.
	maxPrefixBlocks = 1 << 17
	// hexBase is the base of a published block hash.
	hexBase = 16
	// hashBits is the size of a block hash.
	hashBits = 64
)

// cacheFeed reads the cache events of the engines into the prefix index. Events come
// late and with gaps; what it misses, answers heal.
type cacheFeed struct {
	feeds *Feeds
	next  map[routing.Holder]int64
	quiet map[routing.Holder]int
	mu    sync.Mutex
}

// followCaches reads every engine's cache events until ctx ends.
func (f *Feeds) followCaches(ctx context.Context) {
	feed := &cacheFeed{feeds: f, next: map[routing.Holder]int64{}, quiet: map[routing.Holder]int{}}
	ticker := time.NewTicker(cachePoll)
	defer ticker.Stop()
	for {
		feed.round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *cacheFeed) round(ctx context.Context) {
	fleet := c.feeds.Loop.Snapshot().Fleet
	seen := map[routing.Holder]bool{}
	var group sync.WaitGroup
	for _, upstreams := range fleet.ByService {
		for _, upstream := range upstreams {
			if upstream.Holder == 0 || seen[upstream.Holder] {
				continue
			}
			seen[upstream.Holder] = true
			if c.isQuiet(upstream.Holder) {
				continue
			}
			group.Go(func() { c.read(ctx, fleet.Prefixes, upstream) })
		}
	}
	group.Wait()
	c.forget(seen)
}

// isQuiet says whether an engine is left alone in this round.
func (c *cacheFeed) isQuiet(holder routing.Holder) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.quiet[holder] == 0 {
		return false
	}
	c.quiet[holder]--
	return true
}

func (c *cacheFeed) read(ctx context.Context, prefixes *routing.PrefixIndex, engine *routing.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	page, err := c.feeds.Pool.Get(engine.Address).CacheEvents(ctx, c.from(engine.Holder))
	if err != nil {
		c.feeds.Loop.state.logger.Debug().Err(err).Str("host", engine.ID).Msg("cache events not read")
		return
	}
	if page.Incarnation != engine.Incarnation {
		return
	}
	applyCacheEvents(prefixes, engine.Holder, page.Events)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next[engine.Holder] = page.NextSeq
	if len(page.Events) == 0 {
		c.quiet[engine.Holder] = quietRounds
	}
}

func (c *cacheFeed) from(holder routing.Holder) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next[holder]
}

// forget drops the positions of holders that are gone.
func (c *cacheFeed) forget(seen map[routing.Holder]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for holder := range c.next {
		if !seen[holder] {
			delete(c.next, holder)
		}
	}
}

// applyCacheEvents takes events into the index. A block that can't be read is left out.
func applyCacheEvents(prefixes *routing.PrefixIndex, holder routing.Holder, events []api.CacheEvent) {
	for _, event := range events {
		block, err := strconv.ParseUint(event.Block, hexBase, hashBits)
		if err != nil {
			continue
		}
		if event.Kind == api.CacheEventKindEvicted {
			prefixes.Evict(holder, block)
			continue
		}
		prefixes.Add(holder, block)
	}
}
