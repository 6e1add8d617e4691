package serving

import (
	"sync"

	"github.com/persimmonline/persimmonline/routing"
)

// CacheList holds what an engine that ran before this node knew of it had cached then. The load
// that it answers is the one after a restart: callers return at once, and without it every engine
// would read their prompts again. An engine lists parts of prompts, and only a request tells in
// which order they occur, so that the index learns from the list when a request arrives.
type CacheList struct {
	// Holder is the engine in the index.
	Holder routing.Holder
	// Parts holds the cached tokens by the part's ID.
	Parts map[string]int

	mu      sync.Mutex
	learned map[uint64]bool
}

// learn adds the cached start of a prompt to the index, once for each prefix.
func (l *CacheList) learn(index *routing.PrefixIndex, shared SharedPrefix, parts []PromptPart) {
	cached := 0
	for _, part := range sharedPartsOf(parts) {
		tokens := l.Parts[part.ID]
		cached += min(tokens, part.Tokens)
		if tokens < part.Tokens {
			break
		}
	}
	if cached == 0 || !l.firstUse(shared.Chain) {
		return
	}
	index.Add(l.Holder, SharedPrefix{Chain: shared.Chain, Tokens: cached}.Blocks()...)
}

func (l *CacheList) firstUse(chain uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.learned[chain] {
		return false
	}
	if l.learned == nil {
		l.learned = map[uint64]bool{}
	}
	l.learned[chain] = true
	return true
}
