package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/fleet"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func entry(sequence int64, draining bool) fleet.Entry {
	return fleet.Entry{ID: "i-1", BornMS: 100, Service: "s", Address: "10.0.0.1:80", Sequence: sequence, Draining: draining}
}

func kinds(changes []fleet.Change) []string {
	names := []string{}
	for _, change := range changes {
		names = append(names, string(change.Kind))
	}
	return names
}

func TestLeavingBindsAgainstLaterAndOlderHeartbeats(t *testing.T) {
	r := fleet.NewRegistry()
	require.Equal(t, []string{"added"}, kinds(r.Put(entry(1, false), at(0))))
	require.Equal(t, []string{"draining"}, kinds(r.Put(entry(2, true), at(100))))
	require.Empty(t, r.Put(entry(1, false), at(200)), "an older heartbeat arrives late")
	require.Empty(t, r.Put(entry(3, false), at(300)))
	upstream := r.Upstreams()[0]
	require.True(t, upstream.Leaving())
	require.True(t, upstream.UsableAt(at(500)))
	require.False(t, upstream.UsableAt(at(1000)))
}

func TestNoticeOfAPeerBindsOnlyThatIncarnation(t *testing.T) {
	r := fleet.NewRegistry()
	r.Put(entry(1, false), at(0))
	require.Empty(t, r.MarkLeaving("i-1", 99, at(10)))
	require.Equal(t, []string{"draining"}, kinds(r.MarkLeaving("i-1", 100, at(20))))
	reborn := entry(1, false)
	reborn.BornMS = 200
	require.Equal(t, []string{"replaced", "added"}, kinds(r.Put(reborn, at(30))))
	upstream := r.Upstreams()[0]
	require.False(t, upstream.Leaving())
	require.Empty(t, r.Put(entry(9, true), at(40)), "an entry of the earlier incarnation")
}

func TestEntryThatLapsedInAnOutageHasTimeToComeBack(t *testing.T) {
	r := fleet.NewRegistry()
	r.Put(entry(1, false), at(0))
	r.SetOutage(true, at(1000))
	r.SetOutage(false, at(6000))
	require.Equal(t, []string{"lapsed"}, kinds(r.Remove("i-1", 0, at(6100))))
	require.Len(t, r.Upstreams(), 1)
	require.Empty(t, r.Tick(at(7900)))
	require.Equal(t, []string{"back"}, kinds(r.Put(entry(2, false), at(7950))))
	require.Empty(t, r.Tick(at(9000)))

	require.Equal(t, []string{"gone"}, kinds(r.Remove("i-1", 0, at(9000))), "long after the outage")
}

func TestEntryThatDoesNotComeBackAfterAnOutageIsGone(t *testing.T) {
	r := fleet.NewRegistry()
	r.Put(entry(1, false), at(0))
	r.SetOutage(true, at(1000))
	r.SetOutage(false, at(6000))
	r.Remove("i-1", 0, at(6100))
	require.Equal(t, []string{"gone"}, kinds(r.Tick(at(8000))))
	require.Empty(t, r.Upstreams())
}

func TestUpstreamThatWasOnlySilentComesBackWithALaterHeartbeat(t *testing.T) {
	r := fleet.NewRegistry()
	r.Put(entry(5, false), at(0))
	r.Remove("i-1", 0, at(100))
	require.Empty(t, r.Put(entry(5, false), at(200)), "the heartbeat that was known already")
	require.Equal(t, []string{"added"}, kinds(r.Put(entry(6, false), at(300))))

	r.Put(entry(7, true), at(400))
	r.Remove("i-1", 0, at(500))
	require.Empty(t, r.Put(entry(8, false), at(600)), "it had announced its leaving")
}

func TestWholeRegistryReplacesWhatIsMissing(t *testing.T) {
	r := fleet.NewRegistry()
	r.Put(entry(1, false), at(0))
	other := fleet.Entry{ID: "i-2", BornMS: 1, Address: "10.0.0.2:80"}
	require.ElementsMatch(t, []string{"added", "gone"}, kinds(r.Replace([]fleet.Entry{other}, 0, at(100))))
	require.Equal(t, "i-2", r.Upstreams()[0].ID)
}

// Guards against an upstream that stays after a peer has read its removal, which may reach this
// node later.
func TestRemovalThatAPeerHasReadIsTaken(t *testing.T) {
	r := fleet.NewRegistry()
	r.Put(entry(5, false), at(0))
	other := fleet.NewRegistry()
	other.Put(entry(5, false), at(0))
	other.Remove("i-1", 0, at(10))
	leaving, removed := other.LeavingSince(at(0))
	require.Empty(t, leaving)
	require.Len(t, removed, 1)
	require.Equal(t, []string{"gone"}, kinds(r.ApplyPeerRemoval(removed[0], at(20))))
	require.Empty(t, r.Remove("i-1", 0, at(30)))
	require.Empty(t, r.Put(entry(5, false), at(40)), "an older entry does not restore it")
	require.Equal(t, []string{"added"}, kinds(r.Put(entry(6, false), at(50))), "it was only silent")
	require.Empty(t, r.ApplyPeerRemoval(removed[0], at(60)), "the removal is older than the entry")
	_, removed = other.LeavingSince(at(11))
	require.Empty(t, removed)
}

func TestRegistryThatLagsNeitherDropsNorBringsBack(t *testing.T) {
	r := fleet.NewRegistry()
	put := func(id string, offset int64) []fleet.Change {
		e := entry(offset, false)
		e.ID, e.Offset = id, offset
		return r.Put(e, at(0))
	}
	put("old", 3)
	put("new", 9)
	require.Empty(t, r.Replace([]fleet.Entry{{ID: "old", BornMS: 100, Address: "10.0.0.1:80", Sequence: 3, Offset: 3}}, 5, at(10)),
		"the copy ends before the new entry's offset")
	require.Equal(t, []string{"gone"}, kinds(r.Remove("old", 10, at(20))))
	require.Empty(t, put("old", 8), "older than the removal, although a later heartbeat than the known one")
	require.Equal(t, []string{"gone"}, kinds(r.Replace(nil, 12, at(30))), "the copy includes the new entry's removal")
	require.Equal(t, []string{"added"}, kinds(put("old", 13)), "a later heartbeat")
	r.ResetOffsets()
	require.Equal(t, []string{"gone"}, kinds(r.Replace(nil, 0, at(40))))
}

// The time for which a notice may have been delayed, for instance by a hub that stopped
// answering, is deducted from the time in which a leaving upstream is used.
func TestNoticeThatComesLateShortensTheUseOfAnUpstream(t *testing.T) {
	const bound = 2 * time.Second
	for _, c := range []struct{ received, usable, expired int }{{100, 800, 900}, {1300, 1500, 1700}, {3000, 0, 3000}} {
		r := fleet.NewRegistry()
		r.Put(entry(1, false), at(0))
		r.SetCurrent(at(0), bound)
		r.MarkLeaving("i-1", 100, at(c.received))
		upstream := r.Upstreams()[0]
		require.True(t, upstream.UsableAt(at(c.usable)) || c.usable < c.received, "received after %d ms", c.received)
		require.False(t, upstream.UsableAt(at(c.expired)), "received after %d ms", c.received)
	}
}

// Guards against treating a removal as a lapse on a node whose reads of the registry failed
// while those of other nodes succeeded.
func TestRemovalAfterAnOutageOfOneNodeIsNoLapse(t *testing.T) {
	outage := func(peerReads ...int) *fleet.Registry {
		r := fleet.NewRegistry()
		r.Put(entry(1, false), at(0))
		r.SetCurrent(at(0), 2*time.Second)
		r.SetOutage(true, at(1300))
		for _, ms := range peerReads {
			r.ApplyPeerRead(at(ms))
		}
		return r
	}
	r := outage(900, 2000, 3100, 4000, 5500, 7000)
	require.Equal(t, []string{"gone"}, kinds(r.Remove("i-1", 5, at(8000))))
	r = outage(900, 2000, 3100, 4000, 5500, 7000)
	r.SetOutage(false, at(7900))
	require.Equal(t, []string{"gone"}, kinds(r.Remove("i-1", 5, at(8000))))

	for _, ms := range []int{1500, 4000} {
		require.Equal(t, []string{"lapsed"}, kinds(outage().Remove("i-1", 5, at(ms))), "it answered no node")
	}
	r = outage(900, 7300)
	r.SetOutage(false, at(7900))
	require.Equal(t, []string{"lapsed"}, kinds(r.Remove("i-1", 5, at(8000))), "it answered no node for some seconds")
}
