package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/prompt"
)

func TestCacheOfAVersionOnTrialIsNotCopiedToTheOld(t *testing.T) {
	prefixes := NewPrefixIndex(1 << 16)
	holder, old, fresh := engine("a", prefixes), engine("b", prefixes), engine("c", prefixes)
	holder.Generation, old.Generation, fresh.Generation = NewGeneration, OldGeneration, NewGeneration
	old.FetchRate, fresh.FetchRate = 400_000, 400_000
	blocks := make([]uint64, 200)
	for i := range blocks {
		blocks[i] = uint64(i + 1)
	}
	prefixes.Add(holder.Holder, blocks...)
	request := Request{Service: service, Blocks: blocks, PromptTokens: 201 * prompt.BlockTokens, AnswerTokens: 10, Excluded: map[string]bool{"a": true}}
	for generation, copied := range map[Generation]int{OldGeneration: 0, NewGeneration: 200 * prompt.BlockTokens} {
		request.Generation = generation
		choice, err := PickWith(ContinuousScorers, fleetOf(prefixes, epoch, holder, old, fresh), &request, Weights{Latency: 1}, epoch)
		require.NoError(t, err)
		require.Equal(t, copied, choice.FetchTokens)
	}
}

// Among many upstreams a few of the new generation are found, and no other is picked.
func TestPickKeepsToTheGeneration(t *testing.T) {
	var upstreams []*Upstream
	for i := range 200 {
		upstream := engine(fmt.Sprintf("i-%03d", i), nil)
		upstream.Generation = OldGeneration
		if i%50 == 0 {
			upstream.Generation = NewGeneration
		}
		upstreams = append(upstreams, upstream)
	}
	fleet := fleetOf(nil, epoch, upstreams...)
	for seed := range uint64(50) {
		for _, generation := range []Generation{OldGeneration, NewGeneration} {
			choice := mustPick(t, fleet, Request{AnswerTokens: 10, Generation: generation, Seed: seed}, epoch)
			require.Equal(t, generation, choice.Upstream.Generation)
		}
	}
	require.True(t, fleet.Has(service, NewGeneration))
	_, err := Pick(fleetOf(nil, epoch, upstreams[1:40]...), &Request{Service: service, Generation: NewGeneration}, Weights{}, epoch)
	require.ErrorIs(t, err, ErrNoUpstream)
}
