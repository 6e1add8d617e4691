package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/pacing"
	"github.com/persimmonline/persimmonline/prompt"
)

var epoch = time.Unix(1_700_000_000, 0)

const service = "review"

func engine(id string, prefixes *PrefixIndex) *Upstream {
	load := &api.EngineLoad{AtMS: epoch.UnixMilli(), BatchSlots: 8}
	upstream := &Upstream{
		ID: id, DataCentre: "nizwa", Health: membership.StateLive, PricePerSecond: 1.2 / 3600,
		Load: load, Tracker: &Tracker{},
	}
	if prefixes != nil {
		upstream.Holder = prefixes.AddHolder(id, "1", 1024)
	}
	return upstream
}

func fleetOf(prefixes *PrefixIndex, now time.Time, upstreams ...*Upstream) *Fleet {
	return NewFleet(map[string][]*Upstream{service: upstreams}, prefixes, 1, now)
}

func mustPick(t *testing.T, fleet *Fleet, request Request, now time.Time) Choice {
	t.Helper()
	request.Service = service
	choice, err := Pick(fleet, &request, Weights{Latency: 1, Cost: 20}, now)
	require.NoError(t, err)
	return choice
}

func TestPickFilters(t *testing.T) {
	leaving, remote, excluded, good := engine("a", nil), engine("b", nil), engine("c", nil), engine("d", nil)
	leaving.Health = membership.StateLeaving
	remote.DataCentre = "ibri"
	good.PricePerSecond = 100
	fleet := fleetOf(nil, epoch, leaving, remote, excluded, good)
	request := Request{AllowedDataCentres: []string{"nizwa"}, Excluded: map[string]bool{"c": true}, AnswerTokens: 10}
	require.Equal(t, "d", mustPick(t, fleet, request, epoch).Upstream.ID)
	request.Excluded["d"] = true
	request.Service = service
	_, err := Pick(fleet, &request, Weights{Latency: 1}, epoch)
	require.ErrorIs(t, err, ErrNoUpstream)
}

func TestSuspectUpstreamIsTheLastChoice(t *testing.T) {
	suspect, busy := engine("a", nil), engine("b", nil)
	suspect.Health = membership.StateSuspect
	for range 50 {
		busy.Tracker.Begin(epoch, 0, 4000, 0)
	}
	fleet := fleetOf(nil, epoch, suspect, busy)
	require.Equal(t, "b", mustPick(t, fleet, Request{AnswerTokens: 10}, epoch).Upstream.ID)
	require.Equal(t, "a", mustPick(t, fleet, Request{AnswerTokens: 10, Excluded: map[string]bool{"b": true}}, epoch).Upstream.ID)
}

func TestLaggingReportIsCorrectedBySendsSinceIt(t *testing.T) {
	old, idle := engine("a", nil), engine("b", nil)
	now := epoch.Add(5 * time.Second)
	for range 10 {
		old.Tracker.Begin(now, 0, 4000, 0)
	}
	require.Equal(t, "b", mustPick(t, fleetOf(nil, now, old, idle), Request{AnswerTokens: 10}, now).Upstream.ID)
}

func TestOldReportIsReplacedByWhatOtherNodesLikelySent(t *testing.T) {
	cheap, other := engine("a", nil), engine("b", nil)
	other.PricePerSecond *= 1000
	for range 7 {
		cheap.Tracker.Begin(epoch, 0, 1, 0)
	}
	now := epoch.Add(15 * time.Second)
	upstreams := map[string][]*Upstream{service: {cheap, other}}
	request := Request{AnswerTokens: 100}
	oneNode := mustPick(t, NewFleet(upstreams, nil, 1, epoch), request, epoch)
	require.Equal(t, "a", oneNode.Upstream.ID)
	for _, upstream := range upstreams[service] {
		upstream.Tracker.oldest.Store(0)
	}
	fiveNodes := mustPick(t, NewFleet(upstreams, nil, 5, now), request, now)
	require.Equal(t, "b", fiveNodes.Upstream.ID)
}

func TestOwnWorkInAReportIsNotCountedTwice(t *testing.T) {
	upstream := engine("a", nil)
	var sent []*Attempt
	for range 4 {
		sent = append(sent, upstream.Tracker.Begin(epoch, 0, 1000, 0))
	}
	upstream.Load = &api.EngineLoad{AtMS: epoch.Add(time.Second).UnixMilli(), BatchSlots: 8, Running: 6, QueuedTokens: 5000}
	for _, attempt := range sent {
		attempt.End(epoch.Add(2*time.Second), 0)
	}
	fleetOf(nil, epoch.Add(time.Second), upstream)
	require.InDelta(t, 2, upstream.estimate.otherRunning, 1e-9)
	require.InDelta(t, 1000, upstream.estimate.otherQueued, 1e-9)
}

func TestCachedPrefixAttractsUntilItsHolderIsBusy(t *testing.T) {
	prefixes := NewPrefixIndex(1 << 16)
	holder, other := engine("a", prefixes), engine("b", prefixes)
	blocks := make([]uint64, 40)
	for i := range blocks {
		blocks[i] = uint64(i + 1)
	}
	prefixes.Add(holder.Holder, blocks...)
	request := Request{Blocks: blocks, PromptTokens: 41 * prompt.BlockTokens, AnswerTokens: 10}
	choice := mustPick(t, fleetOf(prefixes, epoch, holder, other), request, epoch)
	require.Equal(t, "a", choice.Upstream.ID)
	require.Equal(t, 40*prompt.BlockTokens, choice.CachedTokens)
	for range 10 {
		holder.Tracker.Begin(epoch, 0, 1000, 0)
	}
	require.Equal(t, "b", mustPick(t, fleetOf(prefixes, epoch, holder, other), request, epoch).Upstream.ID)
}

// A prefix whose only holder is busy is copied to an idle engine instead of recomputed. A
// request that the holder can run stays there.
func TestPrefixOfABusyHolderIsCopied(t *testing.T) {
	prefixes := NewPrefixIndex(1 << 16)
	holder, idle := engine("a", prefixes), engine("b", prefixes)
	idle.FetchRate = 400_000
	blocks := make([]uint64, 200)
	for i := range blocks {
		blocks[i] = uint64(i + 1)
	}
	prefixes.Add(holder.Holder, blocks...)
	request := Request{Service: service, Blocks: blocks, PromptTokens: 201 * prompt.BlockTokens, AnswerTokens: 10}
	pick := func() Choice {
		choice, err := PickWith(ContinuousScorers, fleetOf(prefixes, epoch, holder, idle), &request, Weights{Latency: 1}, epoch)
		require.NoError(t, err)
		return choice
	}
	require.Equal(t, "a", pick().Upstream.ID)
	require.Nil(t, pick().Source)
	for range 3 {
		holder.Tracker.Begin(epoch, 0, 2000, 0)
	}
	copied := pick()
	require.Equal(t, "b", copied.Upstream.ID)
	require.Equal(t, "a", copied.Source.ID)
	require.Equal(t, 200*prompt.BlockTokens, copied.FetchTokens)
	require.Less(t, copied.Prefill, 0.1, "only the tokens that are not copied are computed")
	holder.Health = membership.StateSuspect
	require.Nil(t, pick().Source, "a suspect holder is not a source")
}

// The cache of an engine that is being reclaimed is copied while the engine is still up.
func TestPrefixOfALeavingHolderIsCopied(t *testing.T) {
	prefixes := NewPrefixIndex(1 << 16)
	leaving, live := engine("a", prefixes), engine("b", prefixes)
	live.FetchRate = 400_000
	leaving.Leaving, leaving.Health = true, membership.StateSuspect
	blocks := make([]uint64, 200)
	for i := range blocks {
		blocks[i] = uint64(i + 1)
	}
	prefixes.Add(leaving.Holder, blocks...)
	fleet := fleetOf(prefixes, epoch, live)
	fleet.AddSource(leaving)
	request := Request{Service: service, Blocks: blocks, PromptTokens: 201 * prompt.BlockTokens, AnswerTokens: 10}
	choice, err := PickWith(ContinuousScorers, fleet, &request, Weights{Latency: 1}, epoch)
	require.NoError(t, err)
	require.Equal(t, "b", choice.Upstream.ID)
	require.Equal(t, "a", choice.Source.ID)
}

func TestPrefixEstimateHealsFromAnswers(t *testing.T) {
	prefixes := NewPrefixIndex(1 << 16)
	holder := prefixes.AddHolder("a", "1", 1024)
	blocks := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
	var matches [maxHolders]PrefixMatch
	prefixes.Add(holder, blocks...)
	require.Equal(t, 1, prefixes.Find(blocks, &matches))
	require.Equal(t, 10, matches[0].Blocks)
	for range 20 {
		prefixes.ObserveCacheHit(holder, blocks, 0, 640)
	}
	prefixes.Find(blocks, &matches)
	require.LessOrEqual(t, matches[0].Blocks, 1, "an engine that never had the forecast blocks is not trusted")
	for range 20 {
		prefixes.ObserveCacheHit(holder, blocks, 640, 64)
	}
	prefixes.Find(blocks, &matches)
	require.GreaterOrEqual(t, matches[0].Blocks, 9)
	prefixes.Evict(holder, 1)
	require.Zero(t, prefixes.Find(blocks, &matches))
}

func TestPrefixIndexIsBounded(t *testing.T) {
	prefixes := NewPrefixIndex(500)
	first, second := prefixes.AddHolder("a", "1", 100), prefixes.AddHolder("b", "1", 100_000)
	for i := range uint64(10_000) {
		prefixes.Add(first, i)
		prefixes.Add(second, i)
	}
	require.LessOrEqual(t, prefixes.Blocks(), 500)
	require.LessOrEqual(t, len(prefixes.cacheByHolder[second].uses), 1000)
	prefixes.RemoveHolder(first)
	prefixes.RemoveHolder(second)
	require.Zero(t, prefixes.Blocks())
}

func TestSlowUpstreamIsAvoidedBeforeItAnswers(t *testing.T) {
	slow, good := engine("a", nil), engine("b", nil)
	good.PricePerSecond *= 20
	slow.Tracker.Begin(epoch, 0, 1, 0)
	require.Equal(t, "a", mustPick(t, fleetOf(nil, epoch, slow, good), Request{AnswerTokens: 10}, epoch).Upstream.ID)
	now := epoch.Add(3 * time.Second)
	require.Equal(t, "b", mustPick(t, fleetOf(nil, now, slow, good), Request{AnswerTokens: 10}, now).Upstream.ID)
}

func TestHotKeySpreadsOverOwners(t *testing.T) {
	members := []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}
	seen := map[string]int{}
	for range 500 {
		owner := Owner(42, members)
		seen[owner]++
		for i := range members {
			if members[i].ID == owner {
				members[i].InFlight++
			}
		}
	}
	require.GreaterOrEqual(t, float64(len(seen)), 5/ownerLoadFactor)
	for _, count := range seen {
		require.LessOrEqual(t, count, int(500/5*ownerLoadFactor)+ownerSlack+1)
	}
}

// bigFleet returns a fleet of the given number of engines, all of which have load and a
// third of which have cached prefixes, and a request that matches these.
func bigFleet(size int) (*Fleet, *Request) {
	prefixes := NewPrefixIndex(1 << 16)
	upstreams := make([]*Upstream, size)
	blocks := make([]uint64, 62)
	for i := range blocks {
		blocks[i] = uint64(i + 1)
	}
	for i := range upstreams {
		upstreams[i] = engine(fmt.Sprintf("engine-%05d", i), prefixes)
		upstreams[i].Tracker.Begin(epoch, 0, 100*(i%7), 0)
		if i%3 == 0 {
			prefixes.Add(upstreams[i].Holder, blocks[:20+i%40]...)
		}
	}
	request := &Request{Service: service, Blocks: blocks, PromptTokens: 4000, AnswerTokens: 200, Key: 7}
	return fleetOf(prefixes, epoch, upstreams...), request
}

func TestDecisionDoesNotAllocate(t *testing.T) {
	fleet, request := bigFleet(1000)
	allocations := testing.AllocsPerRun(100, func() {
		request.Seed++
		if _, err := Pick(fleet, request, Weights{Latency: 1, Cost: 20}, epoch); err != nil {
			t.Error(err)
		}
	})
	require.Zero(t, allocations)
}

// decisionBound is the target duration of one decision among 1,000 candidates.
const decisionBound = 10 * time.Microsecond

func BenchmarkDecision(b *testing.B) {
	for _, size := range []int{12, 100, 1000, 12000} {
		b.Run(fmt.Sprintf("engines=%d", size), func(b *testing.B) {
			fleet, request := bigFleet(size)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				request.Seed++
				_, _ = Pick(fleet, request, Weights{Latency: 1, Cost: 20}, epoch)
			}
			b.ReportMetric(float64(decisionBound.Nanoseconds()), "bound-ns/op")
		})
	}
}

func BenchmarkNewFleet(b *testing.B) {
	for _, size := range []int{12, 1000} {
		b.Run(fmt.Sprintf("engines=%d", size), func(b *testing.B) {
			fleet, _ := bigFleet(size)
			for range b.N {
				NewFleet(fleet.ByService, fleet.Prefixes, 5, epoch)
			}
		})
	}
}

// The requests that a rate-limited upstream admits are reserved for long prompts while other
// upstreams can take the short ones.
func TestLimitIsKeptForLongPrompts(t *testing.T) {
	limited, other := engine("a", nil), engine("b", nil)
	limited.Gate = &pacing.Gate{}
	limited.Gate.ApplyNotice(pacing.Notice{Limited: true, Rate: 10}, epoch, epoch)
	limited.Gate.SetShare(1, epoch)
	now := epoch.Add(time.Second)
	for range 4 {
		other.Tracker.Begin(now, 0, 2000, 0)
	}
	fleet := fleetOf(nil, now, limited, other)
	require.Equal(t, "b", mustPick(t, fleet, Request{PromptTokens: 500, AnswerTokens: 10}, now).Upstream.ID)
	require.Equal(t, "a", mustPick(t, fleet, Request{PromptTokens: 8000, AnswerTokens: 10}, now).Upstream.ID)
	require.Equal(t, "a", mustPick(t, fleet, Request{PromptTokens: 500, AnswerTokens: 10, Excluded: map[string]bool{"b": true}}, now).Upstream.ID)
	require.Equal(t, "a", mustPick(t, fleet, Request{AnswerTokens: 10}, now).Upstream.ID, "a plain call has no prompt")
}
