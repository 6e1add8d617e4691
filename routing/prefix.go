package routing

import (
	"sync"
)

const (
	// holdersPerBlock bounds the engines that are indexed for one block.
	holdersPerBlock = maxHolders
	// maxProbes bounds the number of blocks that one Find looks up.
	maxProbes = 16
	// trustSmoothing is the weight of a new observation in the trust of a cache model.
	trustSmoothing = 0.2
	// minTrust is the lower bound of the trust, so that an engine whose cache missed the
	// forecast still gets requests and can regain trust.
	minTrust = 0.1
)

// Holder identifies one incarnation of an engine in a prefix index; 0 is none.
type Holder uint32

// PrefixMatch is the length of the prompt prefix that a holder has cached.
type PrefixMatch struct {
	// Holder of the prefix.
	Holder Holder
	// Blocks is the number of blocks from the start of the prompt.
	Blocks int
}

// PrefixIndex estimates which engine has cached which prompt prefix. It learns from cache
// events, which are late and have gaps, from the requests that this node sent, and from
// the cache hits that answers report. Memory is bounded by the sizes of the caches and by
// a limit on the total number of blocks.
type PrefixIndex struct {
	maxBlocks int

	mu             sync.RWMutex
	holdersByBlock map[uint64]*blockHolders
	cacheByHolder  map[Holder]*cacheModel
	lastHolder     Holder
}

// blockHolders are the engines that have cached one block.
type blockHolders struct {
	slots [holdersPerBlock]blockHolder
}

// blockHolder is one engine; seq is the sequence number of its latest use of the block.
type blockHolder struct {
	holder Holder
	seq    uint32
}

// cacheModel simulates the LRU cache of an engine. It has count of at most size blocks; uses
// are ordered from the oldest.
type cacheModel struct {
	key   cacheKey
	size  int
	seq   uint32
	uses  []blockUse
	count int
	// trust is the moving average of the ratio of actual to forecast hits; matches are
	// shortened by it.
	trust float64
}

type blockUse struct {
	block uint64
	seq   uint32
}

type cacheKey struct {
	id, incarnation string
}

// NewPrefixIndex returns an empty index of at most limit blocks.
func NewPrefixIndex(limit int) *PrefixIndex {
	return &PrefixIndex{maxBlocks: limit, holdersByBlock: map[uint64]*blockHolders{}, cacheByHolder: map[Holder]*cacheModel{}}
}

// AddHolder registers a new engine incarnation whose cache has room for a number of blocks.
func (p *PrefixIndex) AddHolder(id, incarnation string, blocks int) Holder {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastHolder++
	p.cacheByHolder[p.lastHolder] = &cacheModel{key: cacheKey{id, incarnation}, size: max(1, blocks), trust: 1}
	return p.lastHolder
}

// RemoveHolder removes a holder and its blocks.
func (p *PrefixIndex) RemoveHolder(holder Holder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cache := p.cacheByHolder[holder]
	if cache == nil {
		return
	}
	for _, use := range cache.uses {
		p.removeLatestUse(holder, use.block, use.seq)
	}
	delete(p.cacheByHolder, holder)
}

// Blocks returns the number of blocks in the index.
func (p *PrefixIndex) Blocks() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.holdersByBlock)
}

// Add records that a holder has cached blocks, because of a cache event or because it
// computes them.
func (p *PrefixIndex) Add(holder Holder, blocks ...uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cache := p.cacheByHolder[holder]; cache != nil {
		p.add(holder, cache, blocks)
	}
}

// Evict records that a holder has evicted a block.
func (p *PrefixIndex) Evict(holder Holder, block uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if entry := p.holdersByBlock[block]; entry != nil {
		p.removeHolderOfBlock(holder, block, entry)
	}
}

// ObserveCacheHit corrects the model of a holder's cache with the hit that an answer reported:
// cached is what the holder had of the prompt's blocks, expected what was forecast. The
// holder has all of the blocks afterwards.
func (p *PrefixIndex) ObserveCacheHit(holder Holder, blocks []uint64, cached, expected int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cache := p.cacheByHolder[holder]
	if cache == nil {
		return
	}
	if expected > 0 {
		share := min(1, float64(cached)/float64(expected))
		cache.trust += trustSmoothing * (share - cache.trust)
		cache.trust = max(minTrust, cache.trust)
	}
	p.add(holder, cache, blocks)
}

// Find writes the holders of the prompt's prefix into matches and returns their number.
// It looks up a bounded number of blocks, whatever the length of the prompt.
func (p *PrefixIndex) Find(blocks []uint64, matches *[maxHolders]PrefixMatch) int {
	if len(blocks) == 0 {
		return 0
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	count := p.matchFirstBlock(blocks[0], matches)
	stride := (len(blocks) + maxProbes - 1) / maxProbes
	reached := 1
	for end := stride; reached < len(blocks); end += stride {
		upTo := min(end, len(blocks))
		entry := p.holdersByBlock[blocks[upTo-1]]
		if entry == nil || !extendMatches(entry, matches[:count], reached, upTo) {
			break
		}
		reached = upTo
	}
	for i := range matches[:count] {
		if cache := p.cacheByHolder[matches[i].Holder]; cache != nil {
			matches[i].Blocks = int(float64(matches[i].Blocks) * cache.trust)
		}
	}
	return count
}

// matchFirstBlock writes the holders of the first block.
func (p *PrefixIndex) matchFirstBlock(block uint64, matches *[maxHolders]PrefixMatch) int {
	entry := p.holdersByBlock[block]
	if entry == nil {
		return 0
	}
	count := 0
	for _, slot := range entry.slots {
		if slot.holder != 0 {
			matches[count] = PrefixMatch{Holder: slot.holder, Blocks: 1}
			count++
		}
	}
	return count
}

// extendMatches extends the matches of length reached whose holder has the block that
// ends at upTo. It reports whether there was any.
func extendMatches(entry *blockHolders, matches []PrefixMatch, reached, upTo int) bool {
	found := false
	for i := range matches {
		if matches[i].Blocks == reached && entry.contains(matches[i].Holder) {
			matches[i].Blocks = upTo
			found = true
		}
	}
	return found
}

// add records the last block first, so that the end of a prompt is evicted before its start.
func (p *PrefixIndex) add(holder Holder, cache *cacheModel, blocks []uint64) {
	blocks = blocks[:min(len(blocks), cache.size)] // The rest would evict the start.
	for i := len(blocks) - 1; i >= 0; i-- {
		block := blocks[i]
		entry := p.holdersByBlock[block]
		if entry == nil {
			if len(p.holdersByBlock) >= p.maxBlocks {
				p.evictOldest(holder, cache)
			}
			if len(p.holdersByBlock) >= p.maxBlocks {
				return
			}
			entry = &blockHolders{}
			p.holdersByBlock[block] = entry
		}
		cache.seq++
		if entry.set(holder, cache.seq) {
			cache.count++
		}
		cache.uses = append(cache.uses, blockUse{block, cache.seq})
		for cache.count > cache.size || len(cache.uses) > 2*cache.size {
			p.evictOldest(holder, cache)
		}
	}
}

// evictOldest removes the oldest use in a cache, and its block if the block has no later use.
func (p *PrefixIndex) evictOldest(holder Holder, cache *cacheModel) {
	if len(cache.uses) == 0 {
		cache.count = 0
		return
	}
	oldest := cache.uses[0]
	cache.uses = cache.uses[1:]
	if p.removeLatestUse(holder, oldest.block, oldest.seq) {
		cache.count--
	}
}

// removeLatestUse removes the holder of a block if seq is its latest use.
func (p *PrefixIndex) removeLatestUse(holder Holder, block uint64, seq uint32) bool {
	entry := p.holdersByBlock[block]
	if entry == nil || !entry.hasLatestUse(holder, seq) {
		return false
	}
	entry.clear(holder)
	if entry.empty() {
		delete(p.holdersByBlock, block)
	}
	return true
}

// removeHolderOfBlock removes the holder of a block regardless of its latest use.
func (p *PrefixIndex) removeHolderOfBlock(holder Holder, block uint64, entry *blockHolders) {
	if !entry.clear(holder) {
		return
	}
	if cache := p.cacheByHolder[holder]; cache != nil {
		cache.count--
	}
	if entry.empty() {
		delete(p.holdersByBlock, block)
	}
}

// set records a use and reports whether the holder is new. When all slots are taken, a
// new holder is not recorded.
func (b *blockHolders) set(holder Holder, seq uint32) bool {
	free := -1
	for i := range b.slots {
		if b.slots[i].holder == holder {
			b.slots[i].seq = seq
			return false
		}
		if b.slots[i].holder == 0 && free < 0 {
			free = i
		}
	}
	if free < 0 {
		return false
	}
	b.slots[free] = blockHolder{holder, seq}
	return true
}

func (b *blockHolders) contains(holder Holder) bool {
	for _, slot := range b.slots {
		if slot.holder == holder {
			return true
		}
	}
	return false
}

func (b *blockHolders) hasLatestUse(holder Holder, seq uint32) bool {
	for _, slot := range b.slots {
		if slot.holder == holder {
			return slot.seq == seq
		}
	}
	return false
}

func (b *blockHolders) clear(holder Holder) bool {
	for i := range b.slots {
		if b.slots[i].holder == holder {
			b.slots[i] = blockHolder{}
			return true
		}
	}
	return false
}

func (b *blockHolders) empty() bool {
	for _, slot := range b.slots {
		if slot.holder != 0 {
			return false
		}
	}
	return true
}
