package lease_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonline/persimmonline/api"
	_ "github.com/persimmonline/persimmonline/internal/fixedseed"
	"github.com/persimmonline/persimmonline/lease"
)

const duty = "planner"

// cluster is a log, the holders that use it and the clock that they share.
type cluster struct {
	now     time.Time
	log     []api.LeaseRecord
	holders []*lease.Holder
	read    []int
	ids     int
}

func newCluster(nodes int) *cluster {
	w := &cluster{now: time.Unix(1000, 0), read: make([]int, nodes)}
	for i := range nodes {
		w.holders = append(w.holders, lease.NewHolder("node-"+strconv.Itoa(i), "1", lease.DefaultTiming(), duty))
	}
	return w
}

func (w *cluster) id() string {
	w.ids++
	return strconv.Itoa(w.ids)
}

func noWait(time.Duration) time.Duration { return 0 }

// plan returns the records that a node would append; the caller decides when to append.
func (w *cluster) plan(node int) []api.LeaseRecord {
	return w.holders[node].Plan(w.now, w.id, noWait)
}

func (w *cluster) appendRecords(records []api.LeaseRecord) { w.log = append(w.log, records...) }

func (w *cluster) readAll(node int) {
	for ; w.read[node] < len(w.log); w.read[node]++ {
		w.holders[node].Apply(int64(w.read[node]), w.log[w.read[node]], w.now)
	}
}

func (w *cluster) heldFence(node int) (int64, bool) {
	grant, ok := w.holders[node].Held(w.now)[duty]
	return grant.Fence, ok
}

func (w *cluster) step(node int) {
	w.readAll(node)
	w.appendRecords(w.plan(node))
	w.readAll(node)
}

func TestFirstClaimWinsAndOthersWait(t *testing.T) {
	w := newCluster(2)
	first, second := w.plan(0), w.plan(1)
	w.appendRecords(first)
	w.appendRecords(second)
	w.readAll(0)
	w.readAll(1)
	fence, held := w.heldFence(0)
	require.True(t, held)
	require.Zero(t, fence)
	_, held = w.heldFence(1)
	require.False(t, held)
}

func TestRenewalsKeepTheFence(t *testing.T) {
	w := newCluster(2)
	for range 40 {
		w.step(0)
		w.step(1)
		w.now = w.now.Add(time.Second)
	}
	fence, held := w.heldFence(0)
	require.True(t, held)
	require.Zero(t, fence)
	require.Less(t, len(w.log), 10, "renewals cost few appends")
}

func TestHolderStopsWithoutTheLogBeforeAnotherCanClaim(t *testing.T) {
	w := newCluster(2)
	w.step(0)
	w.readAll(1)
	for range 60 {
		w.plan(0) // The renewals are lost: the log is unavailable to the holder.
		w.step(1)
		_, first := w.heldFence(0)
		_, second := w.heldFence(1)
		require.False(t, first && second)
		w.now = w.now.Add(500 * time.Millisecond)
	}
	fence, held := w.heldFence(1)
	require.True(t, held)
	require.Positive(t, fence)
}

func TestReleaseFreesAtOnce(t *testing.T) {
	w := newCluster(2)
	w.step(0)
	w.appendRecords(w.holders[0].Stop(w.now, w.id))
	_, held := w.heldFence(0)
	require.False(t, held)
	w.step(1)
	_, held = w.heldFence(1)
	require.True(t, held)
}

func TestLateClaimOfPausedWriterGivesNoRight(t *testing.T) {
	w := newCluster(2)
	late := w.plan(0)
	w.now = w.now.Add(time.Minute)
	w.appendRecords(late)
	w.readAll(0)
	_, held := w.heldFence(0)
	require.False(t, held)
}

func TestReaderThatMissedRecordsWaitsALife(t *testing.T) {
	w := newCluster(1)
	w.holders[0].Table().MarkGap(50, w.now, lease.DefaultTiming().TTL)
	require.Empty(t, w.plan(0))
	w.now = w.now.Add(lease.DefaultTiming().TTL)
	require.Len(t, w.plan(0), 1)
}

// TestNoTwoHoldersAct interleaves at random late and lost appends, lagging reads and
// pauses, and checks that at most one node holds the lease.
func TestNoTwoHoldersAct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 3
		w := newCluster(nodes)
		var inFlight []api.LeaseRecord
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				inFlight = append(inFlight, w.plan(node)...)
			case 1:
				w.readAll(node)
			case 2:
				w.now = w.now.Add(time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms")) * time.Millisecond)
			case 3:
				if len(inFlight) > 0 {
					i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "flying")
					w.appendRecords(inFlight[i : i+1])
					inFlight = append(inFlight[:i:i], inFlight[i+1:]...)
				}
			case 4:
				w.step(node)
			}
			holders := 0
			for i := range nodes {
				if _, ok := w.heldFence(i); ok {
					holders++
				}
			}
			if holders > 1 {
				t.Fatalf("%d nodes act on one lease", holders)
			}
		}
	})
}

func TestHolderStopsOnceItReadsThatItWasSuperseded(t *testing.T) {
	w := newCluster(1)
	w.step(0)
	w.appendRecords([]api.LeaseRecord{{
		Name: duty, Holder: "node-9", Incarnation: "1", Attempt: "x", TTLMS: 1000, Fence: lease.NoOffset, Previous: 0,
	}})
	w.readAll(0)
	_, held := w.heldFence(0)
	require.False(t, held)
}
