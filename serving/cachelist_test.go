package serving

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/routing"
)

// After a restart of all nodes callers return at once. Their prompts go to the engines that have
// the shared parts cached, as these engines list them.
func TestPromptsFindTheirPartsAfterARestart(t *testing.T) {
	index := routing.NewPrefixIndex(1 << 16)
	whole, first, other := index.AddHolder("whole", "1", 1024), index.AddHolder("first", "1", 1024), index.AddHolder("other", "1", 1024)
	lists := []*CacheList{
		{Holder: whole, Parts: map[string]int{"guide": 4096, "subject": 2048}},
		{Holder: first, Parts: map[string]int{"guide": 4096, "subject": 512}},
		{Holder: other, Parts: map[string]int{"subject": 2048, "own": 1024}},
	}
	parts := []PromptPart{{ID: "guide", Tokens: 4096}, {ID: "subject", Tokens: 2048}, {ID: "own", Tokens: 1024}}
	shared := sharedPrefix(parts)
	for _, list := range lists {
		list.learn(index, shared, parts)
	}
	require.Equal(t, map[routing.Holder]int{whole: 12, first: 9}, holdersOf(index, shared), "a part counts if all parts before it are cached")
}

// An engine that has evicted a prefix since it listed it does not get it back with each request.
func TestCacheListIsLearnedOnce(t *testing.T) {
	index := routing.NewPrefixIndex(1 << 16)
	holder := index.AddHolder("a", "1", 1024)
	list := &CacheList{Holder: holder, Parts: map[string]int{"guide": 512}}
	parts := []PromptPart{{ID: "guide", Tokens: 512}, {ID: "own", Tokens: 512}}
	shared := sharedPrefix(parts)
	list.learn(index, shared, parts)
	require.NotEmpty(t, holdersOf(index, shared))
	index.Evict(holder, shared.Blocks()[0])
	list.learn(index, shared, parts)
	require.Empty(t, holdersOf(index, shared))
}

// holdersOf returns the blocks of a prefix that each engine has cached.
func holdersOf(index *routing.PrefixIndex, shared SharedPrefix) map[routing.Holder]int {
	var matches [8]routing.PrefixMatch
	holders := map[routing.Holder]int{}
	for _, match := range matches[:index.Find(shared.Blocks(), &matches)] {
		holders[match.Holder] = match.Blocks
	}
	return holders
}
