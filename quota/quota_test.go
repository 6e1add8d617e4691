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

// treeOf returns the ledger of a root with levels of its own and that of a child that reports to it.
func treeOf(limit quota.Limit) (root, child *quota.Ledger) {
	root, child = ledger(2, limit), ledger(2, limit)
	root.AdoptLevels(map[string]float64{"a": limit.Burst}, start)
	child.SetParent("root", start)
	return root, child
}

// exchange sends the child's report to the root and the grant back.
func exchange(t require.TestingT, root, child *quota.Ledger, now time.Time) {
	root.ApplyReport(report(t, child, now), nil, now)
	grant, ok := root.GrantFor("child", now)
	require.True(t, ok)
	child.ApplyGrant(grant, now)
}

func report(t require.TestingT, child *quota.Ledger, now time.Time) quota.Report {
	sent, ok := child.Report(now)
	require.True(t, ok)
	sent.Node = "child"
	return sent
}

// A parent that was frozen receives at once all the usage that a child admitted meanwhile. Charging
// that usage would make it refuse the workspace for tens of seconds.
func TestUseOfASilentPeerIsPaidByTheShareThatWasSetAside(t *testing.T) {
	root, child := treeOf(quota.Limit{Rate: 100, Burst: 200})
	exchange(t, root, child, start)
	require.InDelta(t, 200, root.Levels(start)["a"], 1)
	after := start.Add(8 * time.Second)
	sent := report(t, child, start)
	sent.Used, sent.SentAt = map[string]float64{"a": 700}, after
	root.ApplyReport(sent, nil, after)
	require.InDelta(t, 200, root.Levels(after)["a"], 1)
	require.True(t, root.Admit("a", 150, after).Admitted)
}

// Reports that were sent while a node was frozen queue up in its sockets and are received
// together, not always in order. Only their send times show that they cover several seconds.
func TestNewsThatWaitedForAFrozenNodeIsNotCharged(t *testing.T) {
	root, child := treeOf(quota.Limit{Rate: 100, Burst: 200})
	exchange(t, root, child, start)
	session := report(t, child, start)
	apply := func(used float64, sentAfter time.Duration) {
		sent := session
		sent.Used, sent.SentAt = map[string]float64{"a": used}, start.Add(sentAfter)
		root.ApplyReport(sent, nil, start.Add(8*time.Second))
	}
	apply(10, 100*time.Millisecond)
	apply(800, 8*time.Second)
	apply(20, 200*time.Millisecond)
	apply(810, 8100*time.Millisecond)
	require.InDelta(t, 180, root.Levels(start.Add(8 * time.Second))["a"], 1, "two reports of 10 units are charged")
}

// A report that is repeated, lost or overtaken leaves the same levels as one that arrives once.
func TestReportsCanBeLostAndRepeated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := quota.Limit{Rate: 1e-6, Burst: 1e9}
		root, child := treeOf(limit)
		used, now := 0.0, start
		var sent []quota.Report
		for range rapid.IntRange(1, 9).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			cost := rapid.Float64Range(1, 100).Draw(t, "cost")
			require.True(t, child.Admit("a", cost, now).Admitted)
			used += cost
			sent = append(sent, report(t, child, now))
			for range rapid.IntRange(0, 3).Draw(t, "arrivals") {
				root.ApplyReport(rapid.SampledFrom(sent).Draw(t, "report"), nil, now)
			}
		}
		exchange(t, root, child, now.Add(time.Millisecond))
		require.InDelta(t, 1e9-used, root.Levels(now)["a"], 1e-3)
		require.InDelta(t, 1e9-used, child.Levels(now)["a"], 1e-3)
	})
}

// A node that changes its parent to and fro tells each of them only what no parent was told.
func TestUseIsToldToOneParent(t *testing.T) {
	root, child := treeOf(quota.Limit{Rate: 1e-6, Burst: 1e6})
	other := ledger(2, quota.Limit{Rate: 1e-6, Burst: 1e6})
	other.AdoptLevels(map[string]float64{"a": 1e6}, start)
	for i := range 10 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		parents := map[string]*quota.Ledger{"root": root, "other": other}
		parent := []string{"root", "other"}[i%2]
		child.SetParent(parent, now)
		require.True(t, child.Admit("a", 100, now).Admitted)
		exchange(t, parents[parent], child, now)
	}
	charged := 2e6 - root.Levels(start)["a"] - other.Levels(start)["a"]
	require.InDelta(t, 1000, charged, 1e-3)
}

// The parent of a node restarts and has not counted the report that named its former incarnation.
func TestReportThatAnotherIncarnationIgnoredIsToldAgain(t *testing.T) {
	_, child := treeOf(quota.Limit{Rate: 1e-6, Burst: 1e6})
	require.True(t, child.Admit("a", 100, start).Admitted)
	_ = report(t, child, start)
	child.ReportIgnored()
	child.SetParent("root, restarted", start)
	require.InDelta(t, 100, report(t, child, start).Used["a"], 1e-9)
}

func TestNodeThatStartsTakesOverTheLevelOfItsPeers(t *testing.T) {
	l := ledger(5, quota.Limit{Rate: 100, Burst: 200})
	require.True(t, l.AdoptLevels(map[string]float64{"a": 20}, start))
	require.InDelta(t, 20, l.Levels(start)["a"], 0.1)
	require.False(t, l.AdoptLevels(map[string]float64{"a": 200}, start))
	require.InDelta(t, 20, l.Levels(start)["a"], 0.1)
}

// A root that has just started and knows no levels gives no grants, which would be a part of the
// burst only.
func TestRootThatHasJustStartedGrantsNothing(t *testing.T) {
	root, child := ledger(2, quota.Limit{Rate: 100, Burst: 200}), ledger(2, quota.Limit{Rate: 100, Burst: 200})
	child.SetParent("root", start)
	root.ApplyReport(report(t, child, start), nil, start)
	_, ok := root.GrantFor("child", start)
	require.False(t, ok)
	now := start.Add(100 * time.Millisecond)
	root.ApplyReport(report(t, child, now), map[string]float64{"a": 150}, now)
	grant, ok := root.GrantFor("child", now)
	require.True(t, ok)
	require.InDelta(t, 150, grant.Credit["a"], 0.1, "the grant leaves what the child knows")
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
			if i > 0 {
				ledgers[i].SetParent("root", start)
			}
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
			for i, from := range ledgers[1:] {
				sent, ok := from.Report(now)
				require.True(t, ok)
				sent.Node = fmt.Sprint(i)
				ledgers[0].ApplyReport(sent, nil, now)
				if grant, ok := ledgers[0].GrantFor(sent.Node, now); ok {
					from.ApplyGrant(grant, now)
				}
			}
		}
		// Each node may admit a full bucket before the first exchange.
		require.LessOrEqual(t, admitted, limit.Rate*seconds+limit.Burst*2+float64(nodes)*limit.Rate*step.Seconds())
	})
}

// A node that starts may receive levels before it has a configuration, and later messages have
// no levels.
func TestLevelsHeardBeforeTheLimitsAreTakenOver(t *testing.T) {
	l := quota.NewLedger()
	l.AdoptLevels(map[string]float64{"a": 30}, start)
	l.Configure(map[string]quota.Limit{"a": {Rate: 10, Burst: 1000}}, 2, 0, start)
	require.InDelta(t, 30, l.Levels(start)["a"], 0.1)
}

// A node that has admitted requests before it first receives levels must not charge them
// again: the parent that grants has already charged them.
func TestLevelsHeardLateDoNotChargeTwice(t *testing.T) {
	root, child := treeOf(quota.Limit{Rate: 10, Burst: 1000})
	require.True(t, child.Admit("a", 400, start).Admitted)
	exchange(t, root, child, start)
	require.InDelta(t, 600, root.Levels(start)["a"], 0.1)
	require.InDelta(t, 600, child.Levels(start)["a"], 0.1)
}

// All nodes of a fleet that had used the burst are killed and restarted, and each knows only
// itself at first. Together they admit only a part of the burst.
func TestNodesThatAllStartAgainDoNotGiveOutTheBurstAgain(t *testing.T) {
	const nodes, burst = 30, 3000.0
	limits := map[string]quota.Limit{"a": {Rate: 1, Burst: burst, RestartBurst: burst / 4}}
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
	root, child := treeOf(quota.Limit{Rate: 10, Burst: 1000})
	require.True(t, child.Admit("a", 300, start).Admitted)
	exchange(t, root, child, start)
	require.InDelta(t, 700, root.Levels(start)["a"], 0.1)
	child.Refund("a", 300)
	exchange(t, root, child, start.Add(time.Millisecond))
	require.InDelta(t, 1000, root.Levels(start)["a"], 0.1)
}

// A workspace asks for six times its rate at all nodes at once until its burst is used up. The nodes
// stop before the excess reaches half of the tolerance, though they learn of each other's usage only
// every 200 ms.
func TestBurstOfAllNodesIsNotExceededByWhatIsUnreported(t *testing.T) {
	const nodes, step, exchangeSteps = 30, 20 * time.Millisecond, 10
	limit := quota.Limit{Rate: 660_000, Burst: 3_000_000}
	tolerance := 0.1*(limit.Rate*8+limit.Burst) + 190_000
	root := ledger(nodes, limit)
	root.AdoptLevels(map[string]float64{"a": limit.Burst}, start)
	children := make([]*quota.Ledger, nodes)
	for i := range children {
		children[i] = ledger(nodes, limit)
		children[i].SetParent("root", start)
	}
	lowest, admitted := limit.Burst, 0.0
	cost := 6 * limit.Rate * step.Seconds() / nodes
	for i := range 400 {
		now := start.Add(time.Duration(i) * step)
		for j, child := range children {
			if child.Admit("a", cost, now).Admitted {
				admitted += cost
			}
			if (i+j)%exchangeSteps == 0 {
				sent, ok := child.Report(now)
				require.True(t, ok)
				sent.Node = fmt.Sprint(j)
				root.ApplyReport(sent, nil, now)
				grant, ok := root.GrantFor(sent.Node, now)
				require.True(t, ok)
				child.ApplyGrant(grant, now)
			}
		}
		lowest = min(lowest, root.Levels(now)["a"])
	}
	require.Greater(t, lowest, -tolerance/2)
	require.Greater(t, admitted, 0.95*(limit.Rate*8+limit.Burst), "what is asked for is admitted")
}

// A node that is cut off with a full bucket beside others keeps its share of the burst, not all of it.
func TestNodeThatIsCutOffKeepsItsShareOfTheBurst(t *testing.T) {
	limit := quota.Limit{Rate: 100, Burst: 3000}
	root, child := ledger(30, limit), ledger(30, limit)
	root.AdoptLevels(map[string]float64{"a": limit.Burst}, start)
	child.SetParent("root", start)
	exchange(t, root, child, start)
	require.InDelta(t, 3000, child.Levels(start)["a"], 1)
	child.SetParent("", start.Add(time.Second))
	require.InDelta(t, 100, child.Levels(start.Add(4 * time.Second))["a"], 1)
}

// A root never adopts levels. Another version of the configuration, or another number of nodes, leaves
// its buckets as full as they are.
func TestConfigurationDoesNotEmptyTheBucketsOfARoot(t *testing.T) {
	limit := quota.Limit{Rate: 100, Burst: 3000}
	root := ledger(1, limit)
	filled := start.Add(time.Minute)
	require.InDelta(t, 3000, root.Levels(filled)["a"], 1)
	root.Configure(map[string]quota.Limit{"a": limit}, 2, 0, filled)
	root.ApplyReport(quota.Report{Node: "child", SentAt: filled}, nil, filled)
	require.InDelta(t, 3000, root.Levels(filled)["a"], 1)
}
