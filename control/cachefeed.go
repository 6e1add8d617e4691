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
	// idleSkipRounds is the number of polls that skip an engine after a poll without
	// events, so that an idle fleet costs little.
	idleSkipRounds = 9
	// cachePollInterval is the interval between reads of an engine's cache events.
	cachePollInterval = 2 * time.Second
	// maxPrefixBlocks bounds the prefix index of a node, in blocks.
	maxPrefixBlocks = 1 << 17
	// hexBase is the number base of a published block hash.
	hexBase = 16
	// hashBits is the size of a block hash, in bits.
	hashBits = 64
)

// cacheFeed reads the cache events of the engines into the prefix index. Events arrive
// late and with gaps; the usage that answers report corrects the index.
type cacheFeed struct {
	feeds *Feeds
	// nextSeq is the sequence number to read from, by holder.
	nextSeq map[routing.Holder]int64
	// skipsLeft is the number of polls still to skip, by holder.
	skipsLeft map[routing.Holder]int
	mu        sync.Mutex
}

// followCaches reads every engine's cache events until ctx ends.
func (f *Feeds) followCaches(ctx context.Context) {
	feed := &cacheFeed{feeds: f, nextSeq: map[routing.Holder]int64{}, skipsLeft: map[routing.Holder]int{}}
	ticker := time.NewTicker(cachePollInterval)
	defer ticker.Stop()
	for {
		feed.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *cacheFeed) poll(ctx context.Context) {
	fleet := c.feeds.Loop.Snapshot().Fleet
	seen := map[routing.Holder]bool{}
	var group sync.WaitGroup
	for _, upstreams := range fleet.ByService {
		for _, upstream := range upstreams {
			if upstream.Holder == 0 || seen[upstream.Holder] {
				continue
			}
			seen[upstream.Holder] = true
			if c.skip(upstream.Holder) {
				continue
			}
			group.Go(func() { c.read(ctx, fleet.Prefixes, upstream) })
		}
	}
	group.Wait()
	c.forget(seen)
}

// skip reports whether this poll skips an engine, and counts the skip.
func (c *cacheFeed) skip(holder routing.Holder) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.skipsLeft[holder] == 0 {
		return false
	}
	c.skipsLeft[holder]--
	return true
}

func (c *cacheFeed) read(ctx context.Context, prefixes *routing.PrefixIndex, engine *routing.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	page, err := c.feeds.Pool.Get(engine.Address).CacheEvents(ctx, c.nextSeqOf(engine.Holder))
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
	c.nextSeq[engine.Holder] = page.NextSeq
	if len(page.Events) == 0 {
		c.skipsLeft[engine.Holder] = idleSkipRounds
	}
}

func (c *cacheFeed) nextSeqOf(holder routing.Holder) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nextSeq[holder]
}

// forget drops the positions of holders that have left.
func (c *cacheFeed) forget(seen map[routing.Holder]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for holder := range c.nextSeq {
		if !seen[holder] {
			delete(c.nextSeq, holder)
		}
	}
}

// applyCacheEvents applies events to the index. A block that can't be parsed is ignored.
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
