package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonline/persimmonline/quota"
)

var start = time.Unix(1_700_000_000, 0)

func ledger(nodes int, limit quota.Limit) *quota.Ledger {
	l := quota.NewLedger()
	l.Configure(map[string]quota.Limit{"a": limit}, nodes, 0, start)
	return l
}

func TestBucketRefusesBeyondItsBurstAndSaysWhenToComeBack(t *testing.T) {
	l := ledger(1, quota.Limit{Rate: 100, Burst: 200})
	require.True(t, l.Admit("a", 150, start).Admitted)
	refused := l.Admit("a", 150, start)
	require.False(t, refused.Admitted)
	require.Equal(t, time.Second, refused.RetryAfter)
	require.True(t, l.Admit("a", 150, start.Add(time.Second)).Admitted)
	require.True(t, l.Admit("unlimited", 1e9, start).Admitted)
}

// A node that was frozen receives at once all the usage that others admitted meanwhile. Charging
// that usage would make it refuse the workspace for tens of seconds.
func TestUseOfASilentPeerIsPaidByTheShareThatWasSetAside(t *testing.T) {
	limit := quota.Limit{Rate: 100, Burst: 200}
	resumed := ledger(2, limit)
	resumed.ApplyUpdate(quota.Update{Node: "b", Incarnation: "1", Used: map[string]float64{"a": 0}, Levels: map[string]float64{"a": 200}, SentAt: start}, start)
	require.InDelta(t, 200, resumed.Levels(start)["a"], 1)
	after := start.Add(8 * time.Second)
	resumed.ApplyUpdate(quota.Update{Node: "b", Incarnation: "1", Used: map[string]float64{"a": 700}, Levels: map[string]float64{"a": 180}, SentAt: after}, after)
	require.InDelta(t, 200, resumed.Levels(after)["a"], 1)
	require.True(t, resumed.Admit("a", 150, after).Admitted)
}

// Updates that were sent while a node was frozen queue up in its sockets and are received
// together, not always in order. Only their send times show that they cover several seconds.
func TestNewsThatWaitedForAFrozenNodeIsNotCharged(t *testing.T) {
	resumed := ledger(2, quota.Limit{Rate: 100, Burst: 200})
	levels := map[string]float64{"a": 200}
	apply := func(used float64, sentAfter time.Duration) {
		resumed.ApplyUpdate(quota.Update{Node: "b", Incarnation: "1", Used: map[string]float64{"a": used}, Levels: levels, SentAt: start.Add(sentAfter)}, start.Add(8*time.Second))
	}
	apply(0, 0)
	apply(10, 100*time.Millisecond)
	apply(800, 8*time.Second)
	apply(20, 200*time.Millisecond)
	apply(810, 8100*time.Millisecond)
	require.InDelta(t, 180, resumed.Levels(start.Add(8 * time.Second))["a"], 1, "two updates of 10 units are charged")
}

func TestNodeThatStartsTakesOverTheLevelOfItsPeers(t *testing.T) {
	l := ledger(5, quota.Limit{Rate: 100, Burst: 200})
	l.ApplyUpdate(quota.Update{Node: "b", Incarnation: "1", Used: map[string]float64{"a": 5000}, Levels: map[string]float64{"a": 20}, SentAt: start}, start)
	require.InDelta(t, 20, l.Levels(start)["a"], 0.1)
}

func TestNodeWithoutPeersUsesItsShareOfTheRate(t *testing.T) {
	l := ledger(5, quota.Limit{Rate: 100, Burst: 100})
	require.True(t, l.Admit("a", 20, start).Admitted)
	require.False(t, l.Admit("a", 21, start.Add(time.Second)).Admitted)
	require.True(t, l.Admit("a", 20, start.Add(time.Second)).Admitted)
}

// All nodes together admit no more than the rate, the burst and the excess that the delay of
// the exchange allows.
func TestNodesTogetherStayWithinTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 100 * time.Millisecond
		nodes := rapid.IntRange(1, 7).Draw(t, "nodes")
		limit := quota.Limit{Rate: 1000, Burst: 1000}
		ledgers := make([]*quota.Ledger, nodes)
		for i := range ledgers {
			ledgers[i] = ledger(nodes, limit)
		}
		admitted := 0.0
		now := start
		const seconds = 8
		for range seconds * int(time.Second/step) {
			now = now.Add(step)
			for _, l := range ledgers {
				for range rapid.IntRange(0, 4).Draw(t, "asked") {
					cost := rapid.Float64Range(1, 200).Draw(t, "cost")
					if l.Admit("a", cost, now).Admitted {
						admitted += cost
					}
				}
			}
			for i, from := range ledgers {
				for j, to := range ledgers {
					if i != j {
						used, _ := from.UsageForPeer(fmt.Sprint(j), func(string) bool { return false }, false, now)
						to.ApplyUpdate(quota.Update{Node: fmt.Sprint(i), Incarnation: "1", Used: used, Levels: from.Levels(now), SentAt: now}, now)
					}
				}
			}
		}
		// Each node may admit a full bucket before the first exchange.
		require.LessOrEqual(t, admitted, limit.Rate*seconds+limit.Burst*2+float64(nodes)*limit.Rate*step.Seconds())
	})
}

// A node that starts may receive levels before it has a configuration, and later updates have
// no levels.
func TestLevelsHeardBeforeTheLimitsAreTakenOver(t *testing.T) {
	l := quota.NewLedger()
	l.ApplyUpdate(quota.Update{Node: "b", Incarnation: "b1", Used: map[string]float64{"a": 500}, Levels: map[string]float64{"a": 30}, SentAt: start}, start)
	l.Configure(map[string]quota.Limit{"a": {Rate: 10, Burst: 1000}}, 2, 0, start)
	require.InDelta(t, 30, l.Levels(start)["a"], 0.1)
	l.ApplyUpdate(quota.Update{Node: "b", Incarnation: "b1", Used: map[string]float64{"a": 520}, Levels: nil, SentAt: start.Add(100 * time.Millisecond)}, start.Add(100*time.Millisecond))
	require.InDelta(t, 11, l.Levels(start.Add(100 * time.Millisecond))["a"], 0.5)
}

// A node that has admitted requests before it first receives levels must not charge them
// again: the peer that sent the levels has already charged them.
func TestLevelsHeardLateDoNotChargeTwice(t *testing.T) {
	l := ledger(2, quota.Limit{Rate: 10, Burst: 1000})
	require.True(t, l.Admit("a", 400, start).Admitted)
	l.ApplyUpdate(quota.Update{Node: "b", Incarnation: "b1", Used: map[string]float64{"a": 0}, Levels: map[string]float64{"a": 100}, SentAt: start}, start)
	require.InDelta(t, 100, l.Levels(start)["a"], 0.1)
}

// All nodes of a fleet that had used the burst are killed and restarted, and each knows only
// itself at first. Together they admit only a part of the burst.
func TestNodesThatAllStartAgainDoNotGiveOutTheBurstAgain(t *testing.T) {
	const nodes, burst = 30, 3000.0
	limits := map[string]quota.Limit{"a": {Rate: 1, Burst: burst}}
	total := 0.0
	for range nodes {
		l := quota.NewLedger()
		l.MarkSystemRestart()
		l.Configure(limits, 1, 0, start)
		l.Configure(limits, nodes, 0, start)
		total += l.Levels(start)["a"]
	}
	require.LessOrEqual(t, total, burst/4)
}

func TestRefundOfAPeerIsCredited(t *testing.T) {
	l := ledger(1, quota.Limit{Rate: 10, Burst: 1000})
	l.ApplyUpdate(quota.Update{Node: "b", Incarnation: "b1", Used: map[string]float64{"a": 0}, Levels: nil, SentAt: start}, start)
	l.ApplyUpdate(quota.Update{Node: "b", Incarnation: "b1", Used: map[string]float64{"a": 300}, Levels: nil, SentAt: start.Add(10 * time.Millisecond)}, start)
	l.ApplyUpdate(quota.Update{Node: "b", Incarnation: "b1", Used: map[string]float64{"a": 0}, Levels: nil, SentAt: start.Add(20 * time.Millisecond)}, start)
	require.InDelta(t, 1000, l.Levels(start)["a"], 0.1)
}
