package edge

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonline/persimmonline/internal/netopt"
	"github.com/persimmonline/persimmonline/retry"
)

const (
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
	retryBurst  = 56.0
	// exchangeEvery is the number of steps for each exchange of messages.
	exchangeEvery = 5
	// faultEvery is the number of steps for each draw of a fault.
	faultEvery = 8
	noFault    = -1
)

// retryLoad simulates callers whose requests all fail, so that each node takes every retry it may.
type retryLoad struct {
	*mesh
	budgets map[string]*retry.WindowBudget
	// heldUntil is when a node's link to the upstreams heals; zero if it is not cut.
	heldUntil map[string]time.Time
	// requests and arrivals count, by exchange, the requests and the retries that reach an upstream.
	requests, arrivals map[int64]int
}

func newRetryLoad(m *mesh) *retryLoad {
	return &retryLoad{
		mesh: m, budgets: map[string]*retry.WindowBudget{}, heldUntil: map[string]time.Time{},
		requests: map[int64]int{}, arrivals: map[int64]int{},
	}
}

func (l *retryLoad) step(at time.Time) int64 { return at.UnixNano() / int64(exchangeInterval) }

// restart replaces a node's process; what it sent is still on its way.
func (l *retryLoad) restart(name string, introduced []string) {
	c := l.nodes[name]
	l.kill(c)
	delete(l.budgets, name)
	l.startAlone(name, c.edge.settings.DataCentre)
	for _, other := range introduced {
		l.introduce(name, other)
	}
}

// offer has a node admit requests and retry each of them as often as its budget grants it.
func (l *retryLoad) offer(name string, requests int) {
	budget := l.budgets[name]
	if budget == nil {
		budget = retry.NewWindowBudget(retryRatio, retryWindow)
		l.budgets[name] = budget
	}
	burst := l.nodes[name].retryBurst(l.now)
	for range requests {
		budget.RecordRequest(l.now)
		l.requests[l.step(l.now)]++
		for budget.TakeRetry(l.now, burst) {
			l.arrivals[l.step(l.arrival(name))]++
		}
	}
}

// arrival returns when bytes that a node sends now arrive: held bytes arrive when the link heals; they
// are lost if they are not acknowledged in time.
func (l *retryLoad) arrival(name string) time.Time {
	healed := l.heldUntil[name]
	if healed.Before(l.now) {
		return l.now
	}
	if healed.Sub(l.now) > netopt.UnackedTimeout {
		return time.Time{}
	}
	return healed
}

// requireBudgetHeld checks every window by the rule that operators state for all nodes.
func (l *retryLoad) requireBudgetHeld(t require.TestingT, from time.Time) {
	window := int64(retryWindow / exchangeInterval)
	sum := func(counts map[int64]int, last int64) (total int) {
		for step := last - window + 1; step <= last; step++ {
			total += counts[step]
		}
		return total
	}
	for last := l.step(from); last <= l.step(l.now)+window; last++ {
		requests := max(sum(l.requests, last), sum(l.requests, last-window/2), sum(l.requests, last-window))
		require.LessOrEqual(t, float64(sum(l.arrivals, last)), retryRatio*float64(requests)+retryBurst,
			"retries in the %s that end %s after the start, for %d requests", retryWindow, time.Duration(last-l.step(from))*exchangeInterval, requests)
	}
}

// The retries of all nodes exceed the budget while nodes restart, find each other slowly and lose each
// other, and while links to upstreams are cut and heal.
func TestRetriesOfAllNodesExceedTheBudget(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{5, 5, 5, 8}).Draw(t, "nodes")
		l := newRetryLoad(newMesh(t, size, 4))
		began := l.now
		names := slices.Sorted(maps.Keys(l.nodes))
		rate := rapid.IntRange(1, 3).Draw(t, "requests")
		side := map[string]bool{}
		l.isCut = func(a, b string) bool { return side[a] != side[b] }
		for step := range 250 {
			fault := noFault
			if step%faultEvery == 0 {
				fault = rapid.IntRange(0, 9).Draw(t, "fault")
			}
			switch fault {
			case 0:
				for _, name := range names {
					l.restart(name, nil)
				}
			case 1:
				name := rapid.SampledFrom(names).Draw(t, "restarted")
				l.restart(name, names)
			case 2:
				held := time.Duration(rapid.IntRange(1, 50).Draw(t, "held")) * exchangeInterval
				for _, name := range names {
					l.heldUntil[name] = l.now.Add(held)
				}
			case 3:
				for _, name := range names {
					side[name] = rapid.Bool().Draw(t, "side")
				}
			case 4:
				clear(side)
			default:
			}
			if step%3 == 0 {
				a, b := rapid.SampledFrom(names).Draw(t, "a"), rapid.SampledFrom(names).Draw(t, "b")
				if !l.isCut(a, b) {
					l.introduce(a, b)
				}
			}
			for i, name := range names {
				if (step+i)%rate == 0 {
					l.offer(name, 1)
				}
			}
			if step%exchangeEvery == 0 {
				l.run(1)
			} else {
				l.now = l.now.Add(exchangeInterval)
			}
		}
		l.requireBudgetHeld(t, began)
	})
}
