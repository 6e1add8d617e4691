package membership_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonline/persimmonline/api"
	_ "github.com/persimmonline/persimmonline/internal/fixedseed"
	"github.com/persimmonline/persimmonline/membership"
)

var start = time.UnixMilli(1_000_000_000)

func at(d time.Duration) time.Time { return start.Add(d) }

func engine(id, incarnation string) api.Host {
	return api.Host{ID: id, Incarnation: incarnation, Role: api.HostRoleEngine, State: api.HostStateLive}
}

func list(d time.Duration, hosts ...api.Host) api.HostList {
	return api.HostList{AtMS: at(d).UnixMilli(), Hosts: hosts}
}

func notice(id, incarnation string, reclaimAt time.Duration) api.LeavingHost {
	return api.LeavingHost{HostID: id, Incarnation: incarnation, ReclaimAtMS: at(reclaimAt).UnixMilli()}
}

func health(t *testing.T, table *membership.Table, id string, now time.Time) membership.State {
	t.Helper()
	for _, member := range table.View(now).Upstreams {
		if member.ID == id {
			return member.Health
		}
	}
	return "gone"
}

func TestLaggingListNeverRevivesALeavingIncarnation(t *testing.T) {
	for _, incarnation := range []string{"", "a"} {
		table := membership.NewTable()
		table.ApplyList(list(0, engine("e1", "a")), at(0))
		require.True(t, table.ApplyLeaving(notice("e1", incarnation, 5*time.Second), at(time.Second)))
		require.False(t, table.ApplyLeaving(notice("e1", incarnation, 5*time.Second), at(time.Second)))
		for i := range 20 {
			d := time.Duration(i) * time.Second
			table.ApplyList(list(d, engine("e1", "a")), at(d))
			table.ApplySuccess("e1", "a", at(d))
			require.Equal(t, membership.StateLeaving, health(t, table, "e1", at(d)))
		}
	}
}

func TestNoticeBeforeTheHostIsListed(t *testing.T) {
	table := membership.NewTable()
	table.ApplyLeaving(notice("e1", "", 5*time.Second), at(0))
	table.ApplyList(list(time.Second, engine("e1", "a")), at(time.Second))
	require.Equal(t, membership.StateLeaving, health(t, table, "e1", at(time.Second)))
}

func TestNextIncarnationOfAReclaimedHostIsLive(t *testing.T) {
	table := membership.NewTable()
	table.ApplyList(list(0, engine("e1", "a")), at(0))
	table.ApplyLeaving(notice("e1", "", 5*time.Second), at(0))
	restartedAtOnce := list(2*time.Second, engine("e1", "b"))
	table.ApplyList(restartedAtOnce, at(2*time.Second))
	require.Equal(t, membership.StateLeaving, health(t, table, "e1", at(2*time.Second)), "the host is still to be reclaimed")
	table.ApplyList(list(time.Minute, engine("e1", "c")), at(time.Minute))
	require.Equal(t, membership.StateLive, health(t, table, "e1", at(time.Minute)))
}

func TestRestartSeenByTrafficBeatsALaggingList(t *testing.T) {
	table := membership.NewTable()
	table.ApplyList(list(0, engine("e1", "a")), at(0))
	table.ApplyLeaving(notice("e1", "a", time.Second), at(0))
	table.ApplySuccess("e1", "b", at(2*time.Second))
	require.Equal(t, membership.StateLive, health(t, table, "e1", at(2*time.Second)))
	table.ApplyList(list(3*time.Second, engine("e1", "a")), at(3*time.Second))
	table.ApplySuccess("e1", "a", at(3*time.Second))
	require.Equal(t, "b", table.View(at(3 * time.Second)).Upstreams[0].Incarnation)
	require.Equal(t, membership.StateLive, health(t, table, "e1", at(3*time.Second)))
}

func TestListOlderThanAnAnswerNamesNoNewIncarnation(t *testing.T) {
	table := membership.NewTable()
	table.ApplyList(list(0, engine("e1", "a")), at(0))
	table.ApplySuccess("e1", "b", at(3*time.Second))
	table.ApplyList(list(2*time.Second, engine("e1", "between")), at(3*time.Second))
	require.Equal(t, "b", table.View(at(3 * time.Second)).Upstreams[0].Incarnation)
	table.ApplyList(list(4*time.Second, engine("e1", "c")), at(5*time.Second))
	require.Equal(t, "c", table.View(at(5 * time.Second)).Upstreams[0].Incarnation)
}

func TestOlderListIsIgnored(t *testing.T) {
	table := membership.NewTable()
	table.ApplyList(list(5*time.Second, engine("e1", "a")), at(5*time.Second))
	table.ApplyList(list(3*time.Second, engine("e1", "a"), engine("e0", "a")), at(6*time.Second))
	require.Equal(t, membership.State("gone"), health(t, table, "e0", at(6*time.Second)))
}

func TestTornListsDoNotEmptyAnAnsweringFleet(t *testing.T) {
	table := membership.NewTable()
	hosts := []api.Host{engine("e1", "a"), engine("e2", "a"), engine("e3", "a"), engine("e4", "a")}
	table.ApplyList(list(0, hosts...), at(0))
	for i := range 30 {
		d := time.Duration(i+1) * time.Second
		table.ApplySuccess("e2", "a", at(d))
		table.ApplyList(list(d), at(d))
		require.Len(t, table.View(at(d)).Upstreams, 4)
		require.True(t, table.View(at(d)).Upstreams[0].NeedsProbe)
	}
	silent := 31*time.Second + 20*time.Second
	for i := range 3 {
		table.ApplyList(list(silent+time.Duration(i)), at(silent))
	}
	require.Empty(t, table.View(at(silent)).Upstreams, "no member answers: the list is accepted")
}

func TestOneMissingHostIsForgottenThoughItAnswered(t *testing.T) {
	table := membership.NewTable()
	hosts := []api.Host{engine("e1", "a"), engine("e2", "a"), engine("e3", "a")}
	table.ApplyList(list(0, hosts...), at(0))
	table.ApplySuccess("e3", "a", at(0))
	for i := range 3 {
		d := time.Duration(i+1) * time.Second
		table.ApplyList(list(d, hosts[:2]...), at(d))
	}
	require.Equal(t, membership.State("gone"), health(t, table, "e3", at(4*time.Second)))
}

func TestRefusedContactIsSuspectUntilAProbeWorks(t *testing.T) {
	table := membership.NewTable()
	table.ApplyList(list(0, engine("e1", "a")), at(0))
	table.ApplyFailure("e1", at(0), at(3*time.Second))
	require.Equal(t, membership.StateSuspect, health(t, table, "e1", at(0)))
	require.False(t, table.View(at(time.Second)).Upstreams[0].NeedsProbe, "no probe before the backoff ends")
	require.Equal(t, membership.StateSuspect, health(t, table, "e1", at(time.Minute)), "elapsed time alone does not restore a member")
	require.True(t, table.View(at(time.Minute)).Upstreams[0].NeedsProbe)
	table.ApplySuccess("e1", "a", at(time.Minute))
	require.Equal(t, membership.StateLive, health(t, table, "e1", at(time.Minute)))
}

func TestFlappingMemberNeedsTwoContacts(t *testing.T) {
	table := membership.NewTable()
	table.ApplyList(list(0, engine("e1", "a")), at(0))
	for i := range 3 {
		d := time.Duration(i) * time.Second
		table.ApplySuccess("e1", "a", at(d))
		table.ApplyFailure("e1", at(d), at(d))
	}
	table.ApplySuccess("e1", "a", at(4*time.Second))
	require.Equal(t, membership.StateSuspect, health(t, table, "e1", at(4*time.Second)))
	table.ApplySuccess("e1", "a", at(5*time.Second))
	require.Equal(t, membership.StateLive, health(t, table, "e1", at(5*time.Second)))
}

func TestNoticesAreBoundedAndExpireForGood(t *testing.T) {
	table := membership.NewTable()
	for i := range 40_000 {
		table.ApplyLeaving(notice(fmt.Sprintf("e%d", i), "a", time.Second), at(0))
	}
	require.LessOrEqual(t, len(table.Notices()), 16384)
	later := at(time.Hour)
	table.ApplyList(list(time.Hour), later)
	require.Empty(t, table.Notices())
	require.False(t, table.ApplyLeaving(notice("e1", "a", time.Second), later), "a repeat of an expired notice is rejected")
}

func TestEachPeerIsToldEachNoticeOnce(t *testing.T) {
	table := membership.NewTable()
	for i := range 5 {
		table.ApplyLeaving(notice(fmt.Sprintf("e%d", i), "a", time.Second), at(0))
	}
	var sent []api.LeavingHost
	seq := int64(0)
	for {
		batch, next := membership.NoticesAfter(table.Notices(), seq, 2)
		if len(batch) == 0 {
			break
		}
		sent, seq = append(sent, batch...), next
	}
	require.Len(t, sent, 5)
	require.Equal(t, "e4", sent[4].HostID)
}

// TestLeavingIsFinal applies updates from all sources in random order and checks that an
// incarnation with a reclaim notice stays leaving.
func TestLeavingIsFinal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := membership.NewTable()
		hasNotice := map[string]bool{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond
			incarnation := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "incarnation")
			switch rapid.IntRange(0, 4).Draw(rt, "event") {
			case 0:
				lag := time.Duration(rapid.IntRange(0, 5000).Draw(rt, "lag")) * time.Millisecond
				table.ApplyList(list(now-lag, engine("e1", incarnation)), at(now))
			case 1:
				table.ApplySuccess("e1", incarnation, at(now))
			case 2:
				table.ApplyFailure("e1", at(now), at(now+time.Second))
			case 3:
				table.ApplyLeaving(notice("e1", incarnation, now+time.Second), at(now))
				hasNotice[incarnation] = true
			case 4:
				table.ApplyList(list(now), at(now))
			}
			for _, member := range table.View(at(now)).Upstreams {
				if hasNotice[member.Incarnation] {
					require.Equal(rt, membership.StateLeaving, member.Health)
				}
			}
		}
	})
}

func nodes(count int) []membership.Member {
	list := make([]membership.Member, count)
	for i := range list {
		list[i] = membership.Member{
			Host:   api.Host{ID: fmt.Sprintf("n%d", i), Role: api.HostRoleNode, DataCentre: fmt.Sprintf("dc%d", i%12)},
			Health: membership.StateLive,
		}
	}
	return list
}

func TestPartnersAreBoundedAndConnectTheFleet(t *testing.T) {
	require.Len(t, membership.HeartbeatPeers(nodes(5), "n0", "dc0"), 4)
	fleet := nodes(1100)
	hops := map[string]int{"n0": 0}
	queue := []membership.Member{fleet[0]}
	for len(queue) > 0 {
		from := queue[0]
		queue = queue[1:]
		peers := membership.HeartbeatPeers(fleet, from.ID, from.DataCentre)
		require.LessOrEqual(t, len(peers), membership.MaxHeartbeatPeers)
		for _, next := range peers {
			if _, reached := hops[next.ID]; !reached {
				hops[next.ID] = hops[from.ID] + 1
				queue = append(queue, next)
			}
		}
	}
	require.Len(t, hops, 1100, "updates reach every node along heartbeat peers")
	t.Logf("most hops: %d", slices.Max(slices.Collect(maps.Values(hops))))
}

func BenchmarkPartners(b *testing.B) {
	fleet := nodes(1100)
	for b.Loop() {
		membership.HeartbeatPeers(fleet, "n7", "dc7")
	}
}

func TestEveryUpstreamIsWatchedOnceInALargeFleet(t *testing.T) {
	view := &membership.View{Nodes: nodes(110)}
	for i := range 1200 {
		host := engine(fmt.Sprintf("e%d", i), "a")
		host.DataCentre = fmt.Sprintf("dc%d", i%12)
		view.Upstreams = append(view.Upstreams, membership.Member{Host: host, Health: membership.StateLive})
	}
	watchers := map[string]int{}
	for _, n := range view.Nodes {
		for _, watched := range membership.WatchedUpstreams(view, n.ID) {
			watchers[watched.ID]++
			require.Equal(t, n.DataCentre, watched.DataCentre)
		}
	}
	require.Len(t, watchers, 1200)
	for _, count := range watchers {
		require.Equal(t, 1, count)
	}
}
