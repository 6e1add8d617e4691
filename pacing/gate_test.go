package pacing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/pacing"
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// An answer without a limit does not lift a limit that was announced while its request was in
// flight.
func TestOlderAnswerDoesNotLiftALimit(t *testing.T) {
	var gate pacing.Gate
	require.True(t, gate.ApplyNotice(pacing.Notice{Limited: true, Rate: 1}, at(1), at(2)))
	require.False(t, gate.ApplyNotice(pacing.Notice{}, at(1.5), at(3)))
	require.True(t, gate.Limit().Limited)
	require.False(t, gate.ApplyNotice(pacing.Notice{Unparsable: true}, at(4), at(4)))
	require.True(t, gate.Limit().Limited, "a limit that can't be parsed does not lift the last one")
	require.True(t, gate.ApplyNotice(pacing.Notice{}, at(5), at(6)))
	require.False(t, gate.Limit().Limited)
}

// countSent returns the number of requests that a gate admits in a time span, of one per 10 ms.
func countSent(gate *pacing.Gate, from, until float64) int {
	sent := 0
	for second := from; second < until; second += 0.01 {
		if gate.Take(at(second)) {
			sent++
		}
	}
	return sent
}

func limitedGate(rate, share float64) *pacing.Gate {
	gate := &pacing.Gate{}
	gate.ApplyNotice(pacing.Notice{Limited: true, Rate: rate}, at(0), at(0))
	gate.SetShare(share, at(0))
	return gate
}

// A node sends no more than its part of a limit, whatever the demand, until the limit is lifted.
func TestGateKeepsToItsShareOfALimit(t *testing.T) {
	gate := limitedGate(4, 0.25)
	require.Equal(t, pacing.Throttled, gate.State(at(0)), "the bucket starts empty")
	require.InDelta(t, 100, countSent(gate, 0, 100), 2)
	require.LessOrEqual(t, countSent(gate, 200, 204), 5, "the burst is bounded")
	require.Equal(t, 0, countSent(limitedGate(4, 0), 0, 10), "a node without a share sends nothing")
	gate.ApplyNotice(pacing.Notice{}, at(300), at(301))
	require.Greater(t, countSent(gate, 301, 302), 90)
}

// An upstream with a limit of 0 is probed at a low rate, so that the end of the limit is detected.
func TestLimitOfZeroIsTriedRarely(t *testing.T) {
	require.InDelta(t, 25, countSent(limitedGate(0, 1), 0, 100), 1)
}

// A limit that another node announces late does not override a newer one.
func TestOlderWordOfALimitDoesNotHold(t *testing.T) {
	gate := limitedGate(1, 1)
	gate.ApplyNotice(pacing.Notice{}, at(5), at(5.1))
	require.False(t, gate.ApplyPeerLimit(pacing.Limit{Limited: true, Rate: 1, At: at(4)}, at(6)))
	require.False(t, gate.Limit().Limited)
	require.True(t, gate.ApplyPeerLimit(pacing.Limit{Limited: true, Rate: 2, At: at(5.5)}, at(6)))
	require.InDelta(t, 2, gate.Limit().Rate, 0)
	_, _, ok := gate.LimitUpdate(at(7))
	require.True(t, ok)
}

// Callers that are refused at the same time are asked to retry at different times.
func TestRefusedCallersReturnOneAfterAnother(t *testing.T) {
	gate := limitedGate(2, 1)
	retryAfter := func(second float64) time.Duration {
		wait, ok := gate.RetryAfter(at(second))
		require.True(t, ok)
		return wait
	}
	require.Equal(t, 500*time.Millisecond, retryAfter(0))
	require.Equal(t, time.Second, retryAfter(0))
	require.Equal(t, 1500*time.Millisecond, retryAfter(0))
	for range 10_000 {
		retryAfter(0)
	}
	require.Equal(t, 10*time.Second, retryAfter(0))
	require.Less(t, retryAfter(12), time.Second, "the effect of a burst of refusals ends after the maximum wait")
}

// A node without a part of a limit does not give callers a retry time that it can't meet.
func TestNodeWithoutAPartPromisesNoTime(t *testing.T) {
	_, ok := limitedGate(2, 0).RetryAfter(at(0))
	require.False(t, ok)
}

// The pause that an upstream asks this node for is not passed on to callers, since another node
// may serve them.
func TestPauseIsNotToldToCallers(t *testing.T) {
	gate := limitedGate(2, 1)
	gate.ApplyNotice(pacing.Notice{Limited: true, Rate: 2, Pause: 4 * time.Second}, at(0), at(1))
	_, ok := gate.RetryAfter(at(2))
	require.False(t, ok)
	_, ok = gate.RetryAfter(at(5))
	require.True(t, ok)
}

// A reserved request is not sent if the upstream has asked for a pause in the meantime.
func TestReservationEndsWithAPause(t *testing.T) {
	gate := limitedGate(1, 1)
	wait, ok := gate.Reserve(at(0), time.Second)
	require.True(t, ok)
	require.True(t, gate.ReservationValid(at(0).Add(wait)))
	_, ok = gate.Reserve(at(1), time.Second)
	require.True(t, ok)
	gate.ApplyNotice(pacing.Notice{Limited: true, Rate: 1, Pause: 4 * time.Second}, at(1), at(1.5))
	require.False(t, gate.ReservationValid(at(2)))
}

// The shares of all nodes add up to the limit, and the sum of their bursts stays within the
// platform's tolerance, at any fleet size.
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
	gate := limitedGate(1e6, 1)
	now := at(1)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if gate.State(now) == pacing.Available {
			gate.Take(now)
		}
	}
}

// A leaving upstream gets only requests that no other can take, and none after the grace period.
func TestLeavingUpstreamIsTheLastResort(t *testing.T) {
	var gate pacing.Gate
	require.True(t, gate.ApplyNotice(pacing.Notice{Leaving: true}, at(0), at(1)))
	require.False(t, gate.ApplyNotice(pacing.Notice{Leaving: true}, at(1), at(2)))
	require.Equal(t, pacing.LastResort, gate.State(at(1.5)))
	require.Equal(t, pacing.Departed, gate.State(at(2)))
	require.False(t, gate.Take(at(2)))
	gate.ApplyNotice(pacing.Notice{Limited: true, Rate: 10}, at(2), at(2))
	gate.ApplyNotice(pacing.Notice{}, at(3), at(4))
	require.Equal(t, pacing.Departed, gate.State(at(4)), "a later answer without the notice does not reinstate it")
}

// A pause is not shortened by a later answer.
func TestPauseHoldsToItsEnd(t *testing.T) {
	var gate pacing.Gate
	require.True(t, gate.ApplyNotice(pacing.Notice{Pause: 4 * time.Second}, at(0), at(1)))
	require.False(t, gate.ApplyNotice(pacing.Notice{Pause: time.Second}, at(1), at(2)))
	gate.ApplyNotice(pacing.Notice{}, at(1), at(2))
	require.Equal(t, 0, countSent(&gate, 2, 4.9))
	require.Equal(t, time.Second, gate.Wait(at(4)))
	require.Equal(t, pacing.Available, gate.State(at(5)))
	require.True(t, gate.ApplyNotice(pacing.Notice{Pause: time.Second}, at(5), at(6)), "a new pause after the end of the last one is a change")
}

// Reserved requests are sent in order at the rate of the limit, and none waits longer than its
// maximum.
func TestReservationsAreKeptInOrder(t *testing.T) {
	gate := limitedGate(4, 1)
	for _, want := range []time.Duration{250, 500, 750, 1000} {
		wait, ok := gate.Reserve(at(0), time.Second)
		require.True(t, ok)
		require.Equal(t, want*time.Millisecond, wait)
	}
	_, ok := gate.Reserve(at(0), time.Second)
	require.False(t, ok)
	require.False(t, gate.Take(at(0.9)), "reserved tokens are not available to other requests")
	gate.Refund()
	require.Equal(t, 2, countSent(gate, 1, 1.5))
}
