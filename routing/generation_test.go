package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

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
