package routing

import (
	"sync"
)

const (
	// holdersPerBlock bounds the engines that are remembered for one block.
	holdersPerBlock = maxHolders
	// probes bounds the look-ups of one Find.
	probes = 16
	// trustShare is the weight of a new observation of an engine's cache.
	trustShare = 0.2
	// leastTrust keeps an engine whose cache failed the forecast in the running.
	leastTrust = 0.1
)

// Holder names one incarnation of an engine in a prefix index; 0 is none.
type Holder uint32

// PrefixMatch says how much of a prompt a holder has.
type PrefixMatch struct {
	// Holder of the prefix.
	Holder Holder
	// Blocks from the start of the prompt.
	Blocks int
}

// PrefixIndex estimates which engine holds which prompt prefix. It learns from cache
// events, which are late and have gaps, from what this node sent, and from what
// answers report. Memory is bounded by the caches' sizes and a limit over all.
type PrefixIndex struct {
	limit int

	mu     sync.RWMutex
	blocks map[uint64]*blockHolders
	caches map[Holder]*cacheModel
	next   Holder
}

// blockHolders are the engines that hold one block.
type blockHolders struct {
	slots [holdersPerBlock]blockHolder
}

// blockHolder is one engine; seq is its latest use of the block.
type blockHolder struct {
	holder Holder
	seq    uint32
}

// cacheModel imitates an engine's cache: the least recently used blocks go first.
type cacheModel struct {
	key   cacheKey
	size  int
	seq   uint32
	uses  []blockUse
	count int
	trust float64
}

type blockUse struct {
	block uint64
	seq   uint32
}

type cacheKey struct {
	id, incarnation string
}

// NewPrefixIndex returns an empty index that remembers at most limit blocks.
func NewPrefixIndex(limit int) *PrefixIndex {
	return &PrefixIndex{limit: limit, blocks: map[uint64]*blockHolders{}, caches: map[Holder]*cacheModel{}}
}

// AddHolder returns the holder of a new engine incarnation whose cache has a number of
// blocks.
func (p *PrefixIndex) AddHolder(id, incarnation string, blocks int) Holder {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	p.caches[p.next] = &cacheModel{key: cacheKey{id, incarnation}, size: max(1, blocks), trust: 1}
	return p.next
}

// RemoveHolder forgets a holder that is gone.
func (p *PrefixIndex) RemoveHolder(holder Holder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cache := p.caches[holder]
	if cache == nil {
		return
	}
	for _, use := range cache.uses {
		p.remove(holder, use.block, use.seq)
	}
	delete(p.caches, holder)
}

// Blocks returns the number of blocks that are remembered.
func (p *PrefixIndex) Blocks() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.blocks)
}

// Add records that a holder has blocks, by a cache event or because it computes them.
func (p *PrefixIndex) Add(holder Holder, blocks ...uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cache := p.caches[holder]; cache != nil {
		p.add(holder, cache, blocks)
	}
}

// Evict records that a holder has lost a block.
func (p *PrefixIndex) Evict(holder Holder, block uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if entry := p.blocks[block]; entry != nil {
		p.drop(holder, block, entry)
	}
}

// ObserveCacheHit heals the estimate of a holder by an answer: of the prompt's blocks, it
// had cached; expected were forecast. It has all of them now.
func (p *PrefixIndex) ObserveCacheHit(holder Holder, blocks []uint64, cached, expected int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cache := p.caches[holder]
	if cache == nil {
		return
	}
	if expected > 0 {
		share := min(1, float64(cached)/float64(expected))
		cache.trust += trustShare * (share - cache.trust)
		cache.trust = max(leastTrust, cache.trust)
	}
	p.add(holder, cache, blocks)
}

// Find writes the holders of the prompt's prefix into held, and returns how many.
// It looks at a bounded number of the blocks, so that a long prompt costs no more.
func (p *PrefixIndex) Find(blocks []uint64, held *[maxHolders]PrefixMatch) int {
	if len(blocks) == 0 {
		return 0
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	count := p.first(blocks[0], held)
	stride := (len(blocks) + probes - 1) / probes
	reached := 1
	for end := stride; reached < len(blocks); end += stride {
		upTo := min(end, len(blocks))
		entry := p.blocks[blocks[upTo-1]]
		if entry == nil || !extend(entry, held[:count], reached, upTo) {
			break
		}
		reached = upTo
	}
	for i := range held[:count] {
		if cache := p.caches[held[i].Holder]; cache != nil {
			held[i].Blocks = int(float64(held[i].Blocks) * cache.trust)
		}
	}
	return count
}

// first writes the holders of the first block.
func (p *PrefixIndex) first(block uint64, held *[maxHolders]PrefixMatch) int {
	entry := p.blocks[block]
	if entry == nil {
		return 0
	}
	count := 0
	for _, slot := range entry.slots {
		if slot.holder != 0 {
			held[count] = PrefixMatch{Holder: slot.holder, Blocks: 1}
			count++
		}
	}
	return count
}

// extend moves the holders that reach so far, and have the block that ends at upTo,
// on to it. It returns whether there was any.
func extend(entry *blockHolders, held []PrefixMatch, reached, upTo int) bool {
	found := false
	for i := range held {
		if held[i].Blocks == reached && entry.holds(held[i].Holder) {
			held[i].Blocks = upTo
			found = true
		}
	}
	return found
}

// add takes the last block first, so that a prompt's end is forgotten before its start.
func (p *PrefixIndex) add(holder Holder, cache *cacheModel, blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		block := blocks[i]
		entry := p.blocks[block]
		if entry == nil {
			if len(p.blocks) >= p.limit {
				p.evictOldest(holder, cache)
			}
			if len(p.blocks) >= p.limit {
				return
			}
			entry = &blockHolders{}
			p.blocks[block] = entry
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

// evictOldest drops the oldest use of a cache, and its block if it was the last use.
func (p *PrefixIndex) evictOldest(holder Holder, cache *cacheModel) {
	if len(cache.uses) == 0 {
		cache.count = 0
		return
	}
	oldest := cache.uses[0]
	cache.uses = cache.uses[1:]
	if p.remove(holder, oldest.block, oldest.seq) {
		cache.count--
	}
}

// remove drops the holder of a block if seq is its latest use.
func (p *PrefixIndex) remove(holder Holder, block uint64, seq uint32) bool {
	entry := p.blocks[block]
	if entry == nil || !entry.has(holder, seq) {
		return false
	}
	entry.clear(holder)
	if entry.empty() {
		delete(p.blocks, block)
	}
	return true
}

// drop drops the holder of a block whatever its last use.
func (p *PrefixIndex) drop(holder Holder, block uint64, entry *blockHolders) {
	if !entry.clear(holder) {
		return
	}
	if cache := p.caches[holder]; cache != nil {
		cache.count--
	}
	if entry.empty() {
		delete(p.blocks, block)
	}
}

// set records a use and returns whether the holder is new. When all places are
// taken, a further holder is not remembered.
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

func (b *blockHolders) holds(holder Holder) bool {
	for _, slot := range b.slots {
		if slot.holder == holder {
			return true
		}
	}
	return false
}

func (b *blockHolders) has(holder Holder, seq uint32) bool {
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
