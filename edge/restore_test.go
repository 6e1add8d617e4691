package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/platform/platformtest"
)

// TestRestoredStore runs its parts beside each other, and beside no other test: those that measure times would
// notice their load.
func TestRestoredStore(t *testing.T) {
	for name, run := range map[string]func(t *testing.T){
		"RevokedKeyIsServed":                                  revokedKeyIsServed,
		"UpstreamIsLost":                                      upstreamIsLost,
		"FencingTokenComesTwice":                              fencingTokenComesTwice,
		"RefusedHolderBlocksTheDuties":                        refusedHolderBlocksTheDuties,
		"WindowIsReportedTwice, copy before the first report": func(t *testing.T) { windowIsReportedTwice(t, false) },
		"WindowIsReportedTwice, copy after the first report":  func(t *testing.T) { windowIsReportedTwice(t, true) },
		"RestoresLeaveNoWindowOut":                            restoresLeaveNoWindowOut,
		"RestartsLeaveNoWindowOut":                            restartsLeaveNoWindowOut,
		"NodeIsForgotten":                                     nodeIsForgotten,
		"RefusedPartIsForgotten":                              refusedPartIsForgotten,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run(t)
		})
	}
}

// restore takes a store away and brings it back from a copy as of a time; before it answers again,
// writeAgain writes what the platform had written since.
func (s storeServer) restore(asOf time.Time, away time.Duration, writeAgain func(lost []platformtest.Lost)) {
	s.SetFaults(platformtest.Faults{Down: true})
	time.Sleep(away)
	writeAgain(s.Restore(asOf))
	s.SetFaults(platformtest.Faults{})
}

// writeAgain writes what the operator and the engines had written, as they do.
func (s storeServer) writeAgain(lost []platformtest.Lost) {
	for _, record := range lost {
		s.Put(record.Topic, record.Key, record.Value)
	}
}

// Guards against a position that is kept when its offset is given out again: the topic ends where the node
// waits, and a record that it skipped revokes a key.
func revokedKeyIsServed(t *testing.T) {
	store := newStore(t)
	store.register("i-1", upstream(t, 0))
	store.configure(1, "k")
	e, _ := start(t, settings(t, "n1", store.address()))
	copied := time.Now()
	store.configure(2, "k")
	store.configure(3, "k")
	require.Eventually(t, func() bool { return version(e) == 3 && ready(e) }, eventually, 5*time.Millisecond)
	store.restore(copied, 0, func([]platformtest.Lost) {
		store.configure(3, "k")
		store.configure(4, "other")
	})
	require.Eventually(t, func() bool { return call(t, e, "k") == http.StatusUnauthorized }, e.settings.Bounds.ConfigApply, 5*time.Millisecond)
}

// Guards against engines that are dropped, or that are not learned of, after their entries went back.
func upstreamIsLost(t *testing.T) {
	store := newStore(t)
	store.configure(1, "k")
	e, _ := start(t, settings(t, "n1", store.address()))
	copied := time.Now()
	address := upstream(t, 0)
	store.register("i-1", address)
	store.register("i-2", upstream(t, 0))
	require.Eventually(t, func() bool { return len(upstreamIDs(e)) == 2 }, eventually, 5*time.Millisecond)
	store.restore(copied, 0, func(lost []platformtest.Lost) {
		require.Len(t, lost, 2)
		store.register("i-3", upstream(t, 0))
	})
	require.Eventually(t, func() bool { return len(upstreamIDs(e)) == 3 }, time.Second, 5*time.Millisecond, "all three are alive")
	store.register("i-1", address)
	require.Eventually(t, func() bool { return len(upstreamIDs(e)) == 2 }, eventually, 5*time.Millisecond)
	require.Equal(t, []string{"i-1", "i-3"}, upstreamIDs(e), "i-2 has not come back")
}

func upstreamIDs(e *Edge) []string {
	ids, _ := query(e.ctx, e.control, func(time.Time) (ids []string) {
		for _, member := range e.control.registry.Upstreams() {
			ids = append(ids, member.ID)
		}
		return ids
	})
	return ids
}

// Guards against a late response of the era before, whose records and end are no longer those of the topic.
func TestAnswerOfAnOlderEraMovesThePosition(t *testing.T) {
	f := &feed{era: 4, hasPosition: true, cursor: cursor{next: 7, synced: true}}
	isRestored, err := f.enterEra(3)
	require.ErrorIs(t, err, errOldEra)
	require.False(t, isRestored)
	require.Equal(t, int64(7), f.cursor.next)
}

// Guards against a fencing token that two holders use: the claim of the first is gone, and the store gives
// out its offset again.
func fencingTokenComesTwice(t *testing.T) {
	store, cloud := newStore(t), newCloud(t)
	copied := time.Now()
	store.configure(1, "k")
	for _, name := range []string{"n1", "n2", "n3"} {
		e, stop := start(t, cloud.reportingSettings(t, name, store))
		calls := cloud.Calls()
		require.Eventually(t, func() bool { return cloud.Calls() > calls }, eventually, 5*time.Millisecond)
		stop()
		store.restore(copied, 0, func([]platformtest.Lost) { store.configure(1, "k") })
		require.Equal(t, int64(1), version(e))
	}
	for _, violation := range cloud.Violations() {
		require.NotContains(t, violation, "both used")
	}
}

// Guards against a holder that keeps the lease although the cloud refuses its token: nobody performs the
// duties any more.
func refusedHolderBlocksTheDuties(t *testing.T) {
	store, cloud := newStore(t), newCloud(t)
	store.configure(1, "k")
	s := cloud.reportingSettings(t, "n1", store)
	s.Bounds.Lease = time.Second
	e, _ := start(t, s)
	isHeld := func() bool { return e.control.duties.leaseHeld.Load() }
	require.Eventually(t, isHeld, eventually, 5*time.Millisecond)
	fence, _ := query(e.ctx, e.control, func(time.Time) int64 { return e.control.duties.fence })
	cloud.SetFence("/usage", fence+2)
	window := e.usage.Window(time.Now())
	require.Eventually(t, func() bool { return cloud.Reports(window) != nil }, eventually, 20*time.Millisecond)
	for token, calls := range cloud.Refusals() {
		require.LessOrEqual(t, calls, lateUsageWindows, "token %d", token)
	}
}

// Guards against a window that is reported again with other counts: the record with those of before is gone,
// and so are all nodes that knew them.
func windowIsReportedTwice(t *testing.T, isAfterFirstReport bool) {
	store, cloud := newStore(t), newCloud(t)
	store.configure(1, "k")
	store.register("i-1", upstream(t, 0))
	asOf := time.Now()
	first, stop := start(t, cloud.reportingSettings(t, "n1", store))
	reportNext(t, first, cloud)
	if isAfterFirstReport {
		asOf = time.Now()
	}
	reported := reportNext(t, first, cloud)
	stop()
	store.restore(asOf, 0, func([]platformtest.Lost) {})
	second, _ := start(t, cloud.reportingSettings(t, "n2", store))
	next := reportNext(t, second, cloud)
	require.Greater(t, next, reported)
	require.Empty(t, cloud.Violations())
}

// reportNext calls a node until a window is reported that began after now, and returns it.
func reportNext(t *testing.T, e *Edge, cloud cloudServer) int64 {
	window := e.usage.Window(time.Now()) + 1
	require.Eventually(t, func() bool {
		call(t, e, "k")
		return cloud.Reports(window) != nil
	}, eventually, 20*time.Millisecond)
	return window
}

// Guards against reports that are left out although the holder of the duties lived through the restores.
func restoresLeaveNoWindowOut(t *testing.T) {
	store, cloud := newStore(t), newCloud(t)
	store.configure(1, "k")
	store.register("i-1", upstream(t, 0))
	var nodes []*Edge
	for _, name := range []string{"n1", "n2", "n3"} {
		s := cloud.reportingSettings(t, name, store)
		s.Bounds.Lease = time.Second
		e, _ := start(t, s)
		nodes = append(nodes, e)
	}
	first := reportNext(t, nodes[0], cloud)
	for i, away := range []time.Duration{50 * time.Millisecond, 1700 * time.Millisecond, 600 * time.Millisecond} {
		store.restore(time.Now().Add(-time.Duration(i+1)*1500*time.Millisecond), away, store.writeAgain)
		time.Sleep(1200 * time.Millisecond)
	}
	last := reportNext(t, nodes[0], cloud)
	for window := first; window <= last; window++ {
		require.NotNil(t, cloud.Reports(window), "window %d of %d to %d", window, first, last)
	}
	require.Empty(t, cloud.Violations())
}

// Guards against reports that are left out after a loss of all nodes, when the store has lost nothing.
func restartsLeaveNoWindowOut(t *testing.T) {
	store, cloud := newStore(t), newCloud(t)
	store.configure(1, "k")
	store.register("i-1", upstream(t, 0))
	store.restore(time.Now(), 0, func([]platformtest.Lost) {})
	var first, last int64
	for i, name := range []string{"n1", "n2", "n3"} {
		e, stop := start(t, cloud.reportingSettings(t, name, store))
		last = reportNext(t, e, cloud)
		if i == 0 {
			first = last
		}
		stop()
	}
	for window := first; window <= last; window++ {
		require.NotNil(t, cloud.Reports(window), "window %d of %d to %d", window, first, last)
	}
	require.Empty(t, cloud.Violations())
}

// Guards against a node that new ones do not find, since its record is gone.
func nodeIsForgotten(t *testing.T) {
	store := newStore(t)
	copied := time.Now()
	store.configure(1, "k")
	start(t, settings(t, "n1", store.address()))
	isKnown := func() bool { return store.Newest(topicNodes, "n1") != nil }
	require.Eventually(t, isKnown, eventually, 5*time.Millisecond)
	store.restore(copied, 0, func([]platformtest.Lost) {})
	require.False(t, isKnown())
	require.Eventually(t, isKnown, eventually, 5*time.Millisecond)
}

// Guards against a part that crashes engines and reaches them again after a restart of all nodes, since the
// record of its refusal is gone.
func refusedPartIsForgotten(t *testing.T) {
	f := newCrashFleet(t, 3, 6)
	copied := time.Now()
	f.crashEngines()
	time.Sleep(contactBound)
	f.store.restore(copied, 0, f.store.writeAgain)
	time.Sleep(time.Second)
	f.stopNodes()
	f.startNodes(3)
	restarted := time.Now()
	time.Sleep(contactBound)
	require.LessOrEqual(t, f.badAfter(restarted), 1, "requests with the part reach engines again")
}
