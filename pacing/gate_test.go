package pacing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/pacing"
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// An answer that was under way when the upstream named its limit does not lift it.
func TestOlderAnswerDoesNotLiftALimit(t *testing.T) {
	var gate pacing.Gate
	require.True(t, gate.ApplyNotice(pacing.Notice{Limited: true, Rate: 1}, at(1), at(2)))
	require.False(t, gate.ApplyNotice(pacing.Notice{}, at(1.5), at(3)))
	require.True(t, gate.Limit().Limited)
	require.False(t, gate.ApplyNotice(pacing.Notice{Unparsable: true}, at(4), at(4)))
	require.True(t, gate.Limit().Limited, "a limit that can't be read does not lift the last one")
	require.True(t, gate.ApplyNotice(pacing.Notice{}, at(5), at(6)))
	require.False(t, gate.Limit().Limited)
}

// sends returns the number of requests that get through a gate in a span in which many are asked for.
func sends(gate *pacing.Gate, from, until float64) int {
	sent := 0
	for second := from; second < until; second += 0.01 {
		if gate.Take(at(second)) {
			sent++
		}
	}
	return sent
}

func limited(rate, share float64) *pacing.Gate {
	gate := &pacing.Gate{}
	gate.ApplyNotice(pacing.Notice{Limited: true, Rate: rate}, at(0), at(0))
	gate.SetShare(share, at(0))
	return gate
}

// A node sends its part of a limit, whatever is asked for, and more once the limit is over.
func TestGateKeepsToItsShareOfALimit(t *testing.T) {
	gate := limited(4, 0.25)
	require.Equal(t, pacing.Throttled, gate.State(at(0)), "nothing is saved yet")
	require.InDelta(t, 100, sends(gate, 0, 100), 2)
	require.LessOrEqual(t, sends(gate, 200, 204), 5, "what is saved is bounded")
	require.Equal(t, 0, sends(limited(4, 0), 0, 10), "it has no part")
	gate.ApplyNotice(pacing.Notice{}, at(300), at(301))
	require.Greater(t, sends(gate, 301, 302), 90)
}

// A limit of 0 is tried rarely, so that its end is noticed.
func TestLimitOfZeroIsTriedRarely(t *testing.T) {
	require.InDelta(t, 25, sends(limited(0, 1), 0, 100), 1)
}

// Word of a limit that comes late does not undo what was heard since.
func TestOlderWordOfALimitDoesNotHold(t *testing.T) {
	gate := limited(1, 1)
	gate.ApplyNotice(pacing.Notice{}, at(5), at(5.1))
	require.False(t, gate.ApplyPeerLimit(pacing.Limit{Limited: true, Rate: 1, At: at(4)}, at(6)))
	require.False(t, gate.Limit().Limited)
	require.True(t, gate.ApplyPeerLimit(pacing.Limit{Limited: true, Rate: 2, At: at(5.5)}, at(6)))
	require.InDelta(t, 2, gate.Limit().Rate, 0)
	_, _, tell := gate.LimitUpdate(at(7))
	require.True(t, tell)
}

// Callers that are refused together do not return together.
func TestRefusedCallersReturnOneAfterAnother(t *testing.T) {
	gate := limited(2, 1)
	comesBack := func(second float64) time.Duration {
		wait, ok := gate.RetryAfter(at(second))
		require.True(t, ok)
		return wait
	}
	require.Equal(t, 500*time.Millisecond, comesBack(0))
	require.Equal(t, time.Second, comesBack(0))
	require.Equal(t, 1500*time.Millisecond, comesBack(0))
	for range 10_000 {
		comesBack(0)
	}
	require.Equal(t, 10*time.Second, comesBack(0))
	require.Less(t, comesBack(12), time.Second, "a burst of refusals is not remembered for longer")
}

// A node without a part of a limit does not promise what it can't keep.
func TestNodeWithoutAPartPromisesNoTime(t *testing.T) {
	_, ok := limited(2, 0).RetryAfter(at(0))
	require.False(t, ok)
}

// The time for which an upstream wants no requests of this node is not passed on to callers, whom
// another node may serve.
func TestPauseIsNotToldToCallers(t *testing.T) {
	gate := limited(2, 1)
	gate.ApplyNotice(pacing.Notice{Limited: true, Rate: 2, Pause: 4 * time.Second}, at(0), at(1))
	_, ok := gate.RetryAfter(at(2))
	require.False(t, ok)
	_, ok = gate.RetryAfter(at(5))
	require.True(t, ok)
}

// A request that waits for its turn is not sent if the upstream has asked for a pause meanwhile.
func TestReservationEndsWithAPause(t *testing.T) {
	gate := limited(1, 1)
	wait, ok := gate.Reserve(at(0), time.Second)
	require.True(t, ok)
	require.True(t, gate.ReservationValid(at(0).Add(wait)))
	_, ok = gate.Reserve(at(1), time.Second)
	require.True(t, ok)
	gate.ApplyNotice(pacing.Notice{Limited: true, Rate: 1, Pause: 4 * time.Second}, at(1), at(1.5))
	require.False(t, gate.ReservationValid(at(2)))
}

// All nodes together are dealt the whole limit and no more, and what they may send at once stays
// within the bound, at any size of fleet.
func TestSharesOfALimitAddUp(t *testing.T) {
	for _, nodes := range []int{1, 5, 12, 40, 118, 1100} {
		var names []uint64
		for i := range nodes {
			names = append(names, uint64(i+1)*0x9e3779b97f4a7c15)
		}
		for _, rate := range []float64{0, 0.5, 1, 4, 40, 5000} {
			for upstream := range uint64(20) {
				total, holders := 0.0, 0
				for i, self := range names {
					others := append(append([]uint64{}, names[:i]...), names[i+1:]...)
					if share := pacing.Share(rate, upstream*0x12345678abcdef, self, others); share > 0 {
						total += share
						holders++
					}
				}
				require.InDelta(t, 1, total, 1e-9, "%d nodes, limit %v", nodes, rate)
				// The platform allows 1.5 times the limit and 5 requests in 4 s.
				require.LessOrEqual(t, 4*max(rate, 0.25)+max(rate, float64(holders)), 6*rate+5)
			}
		}
	}
}

func BenchmarkUnrestrictedGate(b *testing.B) {
	gate, now := &pacing.Gate{}, time.Now()
	b.ReportAllocs()
	for b.Loop() {
		if gate.State(now) == pacing.Available {
			gate.Take(now)
		}
	}
}

func BenchmarkLimitedGate(b *testing.B) {
	gate := limited(1e6, 1)
	now := at(1)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if gate.State(now) == pacing.Available {
			gate.Take(now)
		}
	}
}

// An upstream that says that it leaves gets only what no other can take, and then nothing.
func TestLeavingUpstreamIsTheLastResort(t *testing.T) {
	var gate pacing.Gate
	require.True(t, gate.ApplyNotice(pacing.Notice{Leaving: true}, at(0), at(1)))
	require.False(t, gate.ApplyNotice(pacing.Notice{Leaving: true}, at(1), at(2)))
	require.Equal(t, pacing.LastResort, gate.State(at(1.5)))
	require.Equal(t, pacing.Departed, gate.State(at(2)))
	require.False(t, gate.Take(at(2)))
	gate.ApplyNotice(pacing.Notice{Limited: true, Rate: 10}, at(2), at(2))
	gate.ApplyNotice(pacing.Notice{}, at(3), at(4))
	require.Equal(t, pacing.Departed, gate.State(at(4)), "a later answer that does not say so does not bring it back")
}

// The time for which an upstream wants no requests is not shortened by a later answer.
func TestPauseHoldsToItsEnd(t *testing.T) {
	var gate pacing.Gate
	require.True(t, gate.ApplyNotice(pacing.Notice{Pause: 4 * time.Second}, at(0), at(1)))
	require.False(t, gate.ApplyNotice(pacing.Notice{Pause: time.Second}, at(1), at(2)))
	gate.ApplyNotice(pacing.Notice{}, at(1), at(2))
	require.Equal(t, 0, sends(&gate, 2, 4.9))
	require.Equal(t, time.Second, gate.Wait(at(4)))
	require.Equal(t, pacing.Available, gate.State(at(5)))
	require.True(t, gate.ApplyNotice(pacing.Notice{Pause: time.Second}, at(5), at(6)), "it is news again")
}

// Requests that wait for an upstream are sent in their order, as the limit allows, and none waits
// longer than it may.
func TestReservationsAreKeptInOrder(t *testing.T) {
	gate := limited(4, 1)
	for _, want := range []time.Duration{250, 500, 750, 1000} {
		wait, ok := gate.Reserve(at(0), time.Second)
		require.True(t, ok)
		require.Equal(t, want*time.Millisecond, wait)
	}
	_, ok := gate.Reserve(at(0), time.Second)
	require.False(t, ok)
	require.False(t, gate.Take(at(0.9)), "what is reserved is not taken by others")
	gate.Refund()
	require.Equal(t, 2, sends(gate, 1, 1.5))
}
