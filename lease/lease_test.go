package lease_test

import (
	"slices"
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
	// era of the log, answeredAt when each node last read it.
	era        int64
	answeredAt []time.Time
	// inFlight are appends under way.
	inFlight []api.LeaseRecord
}

// Steps that a test draws.
const (
	planStep = iota
	readStep
	waitStep
	landStep
	planAndReadStep
	restoreStep
	restartStep
)

// maxWait is the longest time that a step lets pass, in milliseconds.
const maxWait = 9000

// play takes a step with a node.
func (c *cluster) play(t *rapid.T, step, node int) {
	switch step {
	case planStep:
		c.inFlight = append(c.inFlight, c.plan(node)...)
	case readStep:
		c.readAwake(node, rapid.Bool().Draw(t, "awake"))
	case waitStep:
		c.now = c.now.Add(time.Duration(rapid.IntRange(100, maxWait).Draw(t, "ms")) * time.Millisecond)
	case landStep:
		if len(c.inFlight) > 0 {
			i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "flying")
			c.appendRecords(c.inFlight[i : i+1])
			c.inFlight = slices.Delete(c.inFlight, i, i+1)
		}
	case planAndReadStep:
		c.step(node)
	case restoreStep:
		c.restore(rapid.IntRange(0, len(c.log)).Draw(t, "kept"))
	case restartStep:
		c.restart(node)
	}
}

func newCluster(nodes int) *cluster {
	c := &cluster{now: time.Unix(1000, 0), read: make([]int, nodes), holders: make([]*lease.Holder, nodes), answeredAt: make([]time.Time, nodes)}
	for i := range nodes {
		c.restart(i)
	}
	return c
}

func (c *cluster) restart(node int) {
	c.holders[node] = lease.NewHolder("node-"+strconv.Itoa(node), c.id(), lease.DefaultTiming(), duty)
	c.read[node] = 0
}

// restore puts the log back to its first records, in a new era.
func (c *cluster) restore(records int) {
	c.era++
	c.log = slices.Clone(c.log[:records])
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

func (c *cluster) readAll(node int) { c.readAwake(node, true) }

// readAwake reads the log with a node that has been awake since its last read, or has not.
func (c *cluster) readAwake(node int, awake bool) {
	if holder := c.holders[node]; holder.Table().Era() < c.era {
		holder.EnterEra(c.era, c.now, c.now.Sub(c.answeredAt[node]), awake)
		c.read[node] = 0
	}
	c.answeredAt[node] = c.now
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
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			c.play(t, rapid.IntRange(planStep, restoreStep-1).Draw(t, "step"), node)
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

// Guards against two holders that use one fencing token after the log came back from an older copy, with
// appends that were under way, lagging reads, pauses and restarts.
func TestNoTwoHoldersUseOneToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 3
		c := newCluster(nodes)
		c.era = int64(rapid.IntRange(0, 1).Draw(t, "first era"))
		usedBy := map[int64]*lease.Holder{}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			c.play(t, rapid.IntRange(planStep, restartStep).Draw(t, "step"), node)
			for i, holder := range c.holders {
				token, ok := c.heldFence(i)
				if known := usedBy[token]; ok && known != nil && known != holder {
					t.Fatalf("node %d uses token %d of another holder", i, token)
				}
				if ok {
					usedBy[token] = holder
				}
			}
		}
	})
}

// Guards against a token that falls: the platform would refuse the holder for good.
func TestTokenRisesWhenTheLogGoesBack(t *testing.T) {
	c := newCluster(2)
	c.era = 1
	c.appendRecords(make([]api.LeaseRecord, 40))
	c.step(0)
	before, held := c.heldFence(0)
	require.True(t, held)
	c.restore(0)
	c.restart(0)
	c.now = c.now.Add(lease.DefaultTiming().TTL)
	c.step(1)
	after, held := c.heldFence(1)
	require.True(t, held)
	require.Greater(t, after, before)
}

// Guards against a duty that a node of a build without eras keeps, though its tokens are refused, and
// against renewals that such a node does not understand.
func TestNodeWithoutErasDoesNotKeepTheDuty(t *testing.T) {
	c := newCluster(1)
	c.era = 1
	c.step(0)
	c.now = c.now.Add(lease.DefaultTiming().RenewInterval)
	renewal := c.plan(0)
	require.Len(t, renewal, 1)
	require.Equal(t, int64(0), renewal[0].Fence, "the offset of the claim")
	c.appendRecords(c.holders[0].Stop(c.now, c.id))
	c.restart(0)
	claim := api.LeaseRecord{Name: duty, Holder: "old", Incarnation: "1", Attempt: "x", TTLMS: 15_000, Fence: lease.NoOffset, Previous: 9}
	c.appendRecords([]api.LeaseRecord{claim})
	c.step(0)
	_, held := c.heldFence(0)
	require.True(t, held)
}

func TestHolderGoesOnWhenTheLogGoesBack(t *testing.T) {
	ttl := lease.DefaultTiming().TTL
	for name, test := range map[string]struct {
		away    time.Duration
		asleep  bool
		eras    int
		claimed bool
		resumes bool
	}{
		"at once":                            {away: time.Second, resumes: true},
		"after its grant has ended":          {away: ttl + time.Second, resumes: true},
		"asleep, but for less than a lease":  {away: time.Second, asleep: true, resumes: true},
		"asleep for longer than a lease":     {away: ttl + time.Second, asleep: true},
		"away for longer than it can vouch":  {away: 3 * ttl},
		"two restores of which it knows one": {away: time.Second, eras: 1},
		"another node was faster":            {away: time.Second, claimed: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(2)
			c.era = 1
			c.step(0)
			c.readAll(1)
			c.restore(0)
			c.era += int64(test.eras)
			if test.claimed {
				c.restart(1)
				c.step(1)
			}
			c.now = c.now.Add(test.away)
			c.readAwake(0, !test.asleep)
			_, held := c.heldFence(0)
			require.False(t, held, "the claim is gone")
			c.step(1)
			_, taken := c.heldFence(1)
			require.Equal(t, test.claimed, taken, "others wait")
			c.step(0)
			grant := c.holders[0].Held(c.now)[duty]
			require.Equal(t, test.resumes, grant.Resumed)
		})
	}
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
