package modelcheck_test

import (
	"testing"

	_ "github.com/persimmonline/persimmonline/internal/fixedseed"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// explore visits every reachable state and returns the number of states and the first fault.
func explore(g guards, b bounds, limit int) (int, string) {
	seen := map[string]bool{}
	queue := []systemState{{}}
	for len(queue) > 0 && len(seen) < limit {
		s := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, state := range s.next(g, b) {
			if fault := state.fault(); fault != "" {
				return len(seen), fault
			}
			key := state.key()
			if !seen[key] {
				seen[key] = true
				queue = append(queue, state)
			}
		}
	}
	return len(seen), ""
}

func TestClaimsExhaustive(t *testing.T) {
	t.Parallel()
	const limit = 2_000_000
	for _, b := range []bounds{{calls: 1, total: 2, crashes: 2}, {calls: 2, total: 3, crashes: 0}} {
		states, fault := explore(allGuards(), b, limit)
		require.Empty(t, fault)
		require.Less(t, states, limit, "the exploration must be complete")
		t.Logf("%+v: %d states", b, states)
	}
}

func TestClaimMutationsAreCaught(t *testing.T) {
	t.Parallel()
	smallBounds := bounds{calls: 1, total: 2, crashes: 1}
	mutations := []struct {
		name   string
		b      bounds
		mutate func(*guards)
	}{
		{"send before the claim was read", smallBounds, func(g *guards) { g.readBack = false }},
		{"send after the refusal", smallBounds, func(g *guards) { g.abandon = false }},
		{"send twice under a claim", smallBounds, func(g *guards) { g.once = false }},
		{"release after the send", smallBounds, func(g *guards) { g.releaseUnsent = false }},
		{"restart goes on with an old attempt", smallBounds, func(g *guards) { g.incarnation = false }},
		{"release by another attempt", bounds{calls: 2, total: 3}, func(g *guards) { g.ownRelease = false }},
	}
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			g := allGuards()
			m.mutate(&g)
			_, fault := explore(g, m.b, 2_000_000)
			require.NotEmpty(t, fault)
		})
	}
}

func TestClaimsRandomWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := systemState{}
		for range 60 {
			states := s.next(allGuards(), bounds{calls: 3, total: 6, crashes: 3})
			if len(states) == 0 {
				return
			}
			s = states[rapid.IntRange(0, len(states)-1).Draw(t, "step")]
			if fault := s.fault(); fault != "" {
				t.Fatal(fault)
			}
		}
	})
}
