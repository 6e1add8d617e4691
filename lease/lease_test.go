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
	c := &cluster{now: time.Unix(1000, 0), read: make([]int, nodes)}
	for i := range nodes {
		c.holders = append(c.holders, lease.NewHolder("node-"+strconv.Itoa(i), "1", lease.DefaultTiming(), duty))
	}
	return c
}

func (c *cluster) id() string {
	c.ids++
	return strconv.Itoa(c.ids)
}

func noWait(time.Duration) time.Duration { return 0 }

// plan returns the records that a node would append; the caller decides when to append.
func (c *cluster) plan(node int) []api.LeaseRecord {
	return c.holders[node].Plan(c.now, c.id, noWait)
}

func (c *cluster) appendRecords(records []api.LeaseRecord) { c.log = append(c.log, records...) }

func (c *cluster) readAll(node int) {
	for ; c.read[node] < len(c.log); c.read[node]++ {
		c.holders[node].Apply(int64(c.read[node]), c.log[c.read[node]], c.now)
	}
}

func (c *cluster) heldFence(node int) (int64, bool) {
	grant, ok := c.holders[node].Held(c.now)[duty]
	return grant.Fence, ok
}

func (c *cluster) step(node int) {
	c.readAll(node)
	c.appendRecords(c.plan(node))
	c.readAll(node)
}

func TestFirstClaimWinsAndOthersWait(t *testing.T) {
	c := newCluster(2)
	first, second := c.plan(0), c.plan(1)
	c.appendRecords(first)
	c.appendRecords(second)
	c.readAll(0)
	c.readAll(1)
	fence, held := c.heldFence(0)
	require.True(t, held)
	require.Zero(t, fence)
	_, held = c.heldFence(1)
	require.False(t, held)
}

func TestRenewalsKeepTheFence(t *testing.T) {
	c := newCluster(2)
	for range 40 {
		c.step(0)
		c.step(1)
		c.now = c.now.Add(time.Second)
	}
	fence, held := c.heldFence(0)
	require.True(t, held)
	require.Zero(t, fence)
	require.Less(t, len(c.log), 10, "renewals cost few appends")
}

func TestHolderStopsWithoutTheLogBeforeAnotherCanClaim(t *testing.T) {
	c := newCluster(2)
	c.step(0)
	c.readAll(1)
	for range 60 {
		c.plan(0) // The renewals are lost: the log is unavailable to the holder.
		c.step(1)
		_, first := c.heldFence(0)
		_, second := c.heldFence(1)
		require.False(t, first && second)
		c.now = c.now.Add(500 * time.Millisecond)
	}
	fence, held := c.heldFence(1)
	require.True(t, held)
	require.Positive(t, fence)
}

func TestReleaseFreesAtOnce(t *testing.T) {
	c := newCluster(2)
	c.step(0)
	c.appendRecords(c.holders[0].Stop(c.now, c.id))
	_, held := c.heldFence(0)
	require.False(t, held)
	c.step(1)
	_, held = c.heldFence(1)
	require.True(t, held)
}

func TestLateClaimOfPausedWriterGivesNoRight(t *testing.T) {
	c := newCluster(2)
	late := c.plan(0)
	c.now = c.now.Add(time.Minute)
	c.appendRecords(late)
	c.readAll(0)
	_, held := c.heldFence(0)
	require.False(t, held)
}

func TestReaderThatMissedRecordsWaitsALife(t *testing.T) {
	c := newCluster(1)
	c.holders[0].Table().MarkGap(50, c.now, lease.DefaultTiming().TTL)
	require.Empty(t, c.plan(0))
	c.now = c.now.Add(lease.DefaultTiming().TTL)
	require.Len(t, c.plan(0), 1)
}

// TestNoTwoHoldersAct interleaves at random late and lost appends, lagging reads and
// pauses, and checks that at most one node holds the lease.
func TestNoTwoHoldersAct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 3
		c := newCluster(nodes)
		var inFlight []api.LeaseRecord
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				inFlight = append(inFlight, c.plan(node)...)
			case 1:
				c.readAll(node)
			case 2:
				c.now = c.now.Add(time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms")) * time.Millisecond)
			case 3:
				if len(inFlight) > 0 {
					i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "flying")
					c.appendRecords(inFlight[i : i+1])
					inFlight = append(inFlight[:i:i], inFlight[i+1:]...)
				}
			case 4:
				c.step(node)
			}
			holders := 0
			for i := range nodes {
				if _, ok := c.heldFence(i); ok {
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
	c := newCluster(1)
	c.step(0)
	c.appendRecords([]api.LeaseRecord{{
		Name: duty, Holder: "node-9", Incarnation: "1", Attempt: "x", TTLMS: 1000, Fence: lease.NoOffset, Previous: 0,
	}})
	c.readAll(0)
	_, held := c.heldFence(0)
	require.False(t, held)
}
