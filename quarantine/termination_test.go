package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/persimmonline/persimmonline/quarantine"
)

// A decision refuses and frees the same traits for ever, and its node answers nothing any more.
func TestDecisionsEnd(t *testing.T) {
	const (
		seeds, nodes, steps, patience = 300, 3, 200, 5 * time.Second
	)
	for seed := range uint64(seeds) {
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			playCrashes(rand.New(rand.NewPCG(seed, 0)), nodes, steps)
		}()
		select {
		case <-ended:
		case <-time.After(patience):
			t.Fatalf("seed %d: no decision after %s", seed, patience)
		}
	}
}

// playCrashes plays crashes, successes and messages in random order at nodes that start with nothing.
func playCrashes(random *rand.Rand, nodes, steps int) {
	var all []*quarantine.Attribution
	var successes []*quarantine.Successes
	for range nodes {
		successes = append(successes, quarantine.NewSuccesses())
		all = append(all, quarantine.NewAttribution(successes[len(successes)-1]))
	}
	now := start
	traits := func() []quarantine.Trait {
		return []quarantine.Trait{request(1000 + random.Uint64N(20)), part(system, 1), part(10+random.Uint64N(3), 2), part(20+random.Uint64N(4), 3)}[:1+random.IntN(4)]
	}
	for range steps {
		now = now.Add(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
		i := random.IntN(nodes)
		switch random.IntN(8) {
		case 0:
			successes[i].Record(traits(), now)
		case 1:
			all[i].Merge(all[(i+1)%nodes].Outgoing(now), now)
		case 2:
			all[i].Tick(now)
		default:
			all[i].RecordCrash(fmt.Sprintf("u%d", random.IntN(steps/4)), traits(), now)
		}
	}
}
