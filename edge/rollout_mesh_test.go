package edge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/fleet"
	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/rollout"
	"github.com/persimmonline/persimmonline/routing"
	"github.com/persimmonline/persimmonline/serving"
)

// statusLog is the topic of statuses.
type statusLog struct {
	records    map[string]platform.KeyedRecord
	end        int64
	down       bool
	loseAnswer bool
}

var errStoreDown = errors.New("store is down")

func (l *statusLog) Newest(context.Context, string, time.Duration) (platform.Snapshot, error) {
	if l.down {
		return platform.Snapshot{}, errStoreDown
	}
	var newest []platform.KeyedRecord
	for _, record := range l.records {
		newest = append(newest, record)
	}
	return platform.Snapshot{Records: newest, End: l.end}, nil
}

func (l *statusLog) Append(_ context.Context, _ string, records [][]byte, at int64) (platform.Position, error) {
	if l.down {
		return platform.Position{}, errStoreDown
	}
	if at >= 0 && at != l.end {
		return platform.Position{}, platform.ErrConflict
	}
	for _, raw := range records {
		key := string(raw[1 : 1+raw[0]])
		l.records[key] = platform.KeyedRecord{Offset: l.end, Key: key, Value: raw[1+raw[0]:]}
		l.end++
	}
	if l.loseAnswer {
		return platform.Position{}, errStoreDown
	}
	return platform.Position{Offset: l.end - 1}, nil
}

func (l *statusLog) phase(t *testing.T, service string) rollout.Phase {
	record, known := l.records["rollout/"+service]
	if !known {
		return ""
	}
	status, err := platform.DecodeRolloutStatus(record)
	require.NoError(t, err)
	return status.Phase
}

// rolloutMesh is a fleet whose services are in rollouts.
type rolloutMesh struct {
	*mesh
	t      *testing.T
	log    *statusLog
	holder *control
	fence  int64
	// failing is the share of the new version's answers that fail, in percent.
	failing int
	// idle is set while no requests come.
	idle    bool
	tallies map[string]rollout.Report
}

func newRolloutMesh(t *testing.T, nodes int) *rolloutMesh {
	m := &rolloutMesh{mesh: newMesh(t, 0, 1), t: t, log: &statusLog{records: map[string]platform.KeyedRecord{}}, fence: 1, tallies: map[string]rollout.Report{}}
	for i := range nodes {
		m.join(fmt.Sprintf("n%d", i))
	}
	m.holder = m.nodes["n0"]
	m.steps(20)
	return m
}

// startRollout returns a fleet of which one node has read an order for the service s, whose new engines are there.
func startRollout(t *testing.T, nodes int, reader string, seconds int) *rolloutMesh {
	m := newRolloutMesh(t, nodes)
	m.order(reader, "s", "v2", 7, seconds)
	m.addEngines("v2", 4)
	return m
}

// join starts a node that knows the others.
func (m *rolloutMesh) join(name string) *control {
	m.start(name, "dc")
	c := m.nodes[name]
	bounds := *c.edge.bounds.Load()
	bounds.CanaryShare, bounds.CanarySlack = 0.1, 50
	c.edge.bounds.Store(&bounds)
	c.edge.ctx = context.Background()
	c.table = catalog.NewTable(&catalog.Config{Version: 1, Services: []catalog.Service{{Name: "s"}, {Name: "r"}}})
	c.rollouts.decider.store, c.rollouts.decider.start = m.log, func(call func()) { call() }
	m.engines(c, "v1", 4)
	c.configConfirmedAt = m.now
	return c
}

func (m *rolloutMesh) engines(c *control, version string, count int) {
	for _, service := range []string{"s", "r"} {
		for i := range count {
			id := fmt.Sprintf("%s-%s-%d", service, version, i)
			c.registry.Put(fleet.Entry{ID: id, Service: service, Address: "10.0.0.1:1", Version: version, Slots: 4, Sequence: 1}, m.now)
		}
	}
}

func (m *rolloutMesh) addEngines(version string, count int) {
	for _, c := range m.nodes {
		m.engines(c, version, count)
	}
}

// order is read from the store by one node.
func (m *rolloutMesh) order(reader, service, to string, offset int64, seconds int) {
	value := fmt.Sprintf(`{"service":%q,"to":%q,"durationS":%d}`, service, to, seconds)
	m.nodes[reader].rollouts.applyRecord(platform.KeyedRecord{Key: "rollout/" + service, Value: []byte(value), Offset: offset}, m.now)
}

// steps plays a number of exchanges, in each of which every node gets ten requests of each service.
func (m *rolloutMesh) steps(count int) {
	for range count {
		for name, c := range m.nodes {
			for len(c.events) > 0 {
				(<-c.events).run(m.now)
			}
			c.configConfirmedAt = m.now
			m.serve(name, c)
			c.duties.leaseHeld.Store(c == m.holder)
			if c == m.holder {
				c.rollouts.decider.tick(m.fence, m.now)
			}
			c.rollouts.decider.readUnknown(m.now)
			c.rollouts.decider.standIn(m.now)
		}
		m.run(1)
	}
}

// serve counts requests as the serving path would.
func (m *rolloutMesh) serve(name string, c *control) {
	if m.tallies[name] == nil || m.idle {
		m.tallies[name] = rollout.Report{}
	}
	for service, move := range c.rollouts.view(m.now) {
		if move.Settled != routing.AnyGeneration || m.idle {
			continue
		}
		if m.tallies[name][move.Order] == nil {
			m.tallies[name][move.Order] = rollout.Routes{service: rollout.NewTally()}
		}
		tally := m.tallies[name][move.Order][service]
		for i := range 10 {
			side := rollout.Old
			if follows(move) && (move.Share > 0 || move.Moving) && i == 0 {
				side = rollout.New
			}
			rollout.Add(tally, side, rollout.Sent, 1)
			rollout.Add(tally, side, rollout.Answered, 1)
			if side == rollout.New && int(rollout.Get(tally, rollout.New, rollout.Answered))%100 < m.failing {
				rollout.Add(tally, side, rollout.Failed, 1)
			}
		}
	}
	c.rollouts.evidence.Merge(c.edge.incarnation, m.tallies[name])
}

// follows reports whether a decision is young enough to be followed; the clock of the view is the
// process's, that of the mesh runs ahead of it.
func follows(move *serving.Rollout) bool { return move.ExpiresAt.After(time.Now()) }

func (m *rolloutMesh) requireSettled(service string, generation routing.Generation) {
	m.t.Helper()
	for name, c := range m.nodes {
		require.Equal(m.t, generation, c.rollouts.view(m.now)[service].Settled, name)
	}
}

func TestGoodVersionIsCompleteByTheEndAndNotBefore(t *testing.T) {
	m := startRollout(t, 5, "n3", 10)
	m.steps(60)
	require.Equal(t, rollout.Serving, m.log.phase(t, "s"))
	m.steps(39)
	require.Equal(t, rollout.Complete, m.log.phase(t, "s"))
	m.requireSettled("s", routing.NewGeneration)
}

func TestBadVersionIsRevertedAtAllNodes(t *testing.T) {
	m := startRollout(t, 5, "n3", 10)
	m.failing = 50
	m.steps(50)
	require.Equal(t, rollout.Reverted, m.log.phase(t, "s"))
	m.requireSettled("s", routing.OldGeneration)
}

// Guards against a status that stays lost after the store has come back from an older copy.
func TestStatusOfARolloutIsLostWhenStoreIsRestored(t *testing.T) {
	m := startRollout(t, 5, "n3", 10)
	m.steps(99)
	require.Equal(t, rollout.Complete, m.log.phase(t, "s"))
	clear(m.log.records)
	m.log.end, m.fence = 0, 2
	m.steps(5)
	require.Equal(t, rollout.Complete, m.log.phase(t, "s"))
}

// A version that turns bad while the store is down is reverted at the nodes, and in the store when it
// is back, also by the next holder.
func TestRevertWithoutTheStoreOutlivesTheHolder(t *testing.T) {
	m := startRollout(t, 5, "n3", 20)
	m.steps(30)
	m.log.down, m.failing = true, 60
	m.steps(60)
	m.requireSettled("s", routing.OldGeneration)
	require.Equal(t, rollout.Serving, m.log.phase(t, "s"))
	m.kill(m.holder)
	m.holder, m.fence, m.log.down = m.nodes["n1"], 2, false
	m.steps(5)
	require.Equal(t, rollout.Reverted, m.log.phase(t, "s"))
}

func TestNextHolderGoesOn(t *testing.T) {
	m := startRollout(t, 5, "n3", 10)
	m.steps(40)
	m.kill(m.holder)
	m.holder = nil
	m.steps(15)
	for name, c := range m.nodes {
		require.False(t, follows(c.rollouts.view(m.now)["s"]), "%s: nobody decides", name)
	}
	m.holder, m.fence = m.nodes["n1"], 2
	m.steps(43)
	require.Equal(t, rollout.Complete, m.log.phase(t, "s"), "the order's time did not start again")
}

// A holder that was replaced and does not know it yet reverts; the next one has completed.
func TestDeposedHolderDoesNotOverwriteTheStatus(t *testing.T) {
	m := startRollout(t, 5, "n3", 10)
	m.steps(50)
	deposed := m.holder
	m.isCut = func(from, to string) bool { return from == "n0" || to == "n0" }
	m.holder, m.fence = m.nodes["n1"], 2
	m.steps(48)
	require.Equal(t, rollout.Complete, m.log.phase(t, "s"))
	deposed.rollouts.withdraw("s", 9)
	deposed.rollouts.decider.tick(1, m.now)
	m.steps(3)
	deposed.rollouts.decider.tick(1, m.now)
	require.Equal(t, rollout.Complete, m.log.phase(t, "s"))
}

// The old engines stop with the write, whether or not it is answered.
func TestNextHolderLearnsOfACompletionThatWasNotAnswered(t *testing.T) {
	m := startRollout(t, 5, "n3", 10)
	m.steps(92)
	m.log.loseAnswer = true
	m.steps(6)
	require.Equal(t, rollout.Complete, m.log.phase(t, "s"))
	m.kill(m.holder)
	m.log.loseAnswer = false
	m.holder, m.fence = m.nodes["n1"], 2
	m.steps(5)
	m.requireSettled("s", routing.NewGeneration)
}

// Evidence counts also while the store is down.
func TestTrialGoesOnWithoutTheStore(t *testing.T) {
	m := startRollout(t, 5, "n3", 60)
	m.steps(30)
	m.log.down = true
	m.steps(60)
	for name, c := range m.nodes {
		require.True(t, follows(c.rollouts.view(m.now)["s"]), name)
	}
}

func TestStoreThatIsDownAtTheEndDelaysTheCompletion(t *testing.T) {
	m := startRollout(t, 5, "n3", 10)
	m.steps(80)
	m.log.down = true
	m.steps(40)
	m.requireSettled("s", routing.AnyGeneration)
	m.log.down = false
	m.steps(6)
	require.Equal(t, rollout.Complete, m.log.phase(t, "s"))
	m.requireSettled("s", routing.NewGeneration)
}

func TestRepeatedReplacedAndWithdrawnOrders(t *testing.T) {
	m := startRollout(t, 3, "n1", 10)
	m.steps(20)
	m.order("n2", "s", "v2", 9, 10)
	require.EqualValues(t, 7, m.nodes["n2"].rollouts.byService["s"].order.Offset, "the time does not start again")
	m.order("n2", "s", "v3", 11, 10)
	m.addEngines("v3", 4)
	m.steps(10)
	for name, c := range m.nodes {
		state := c.rollouts.byService["s"]
		require.Equal(t, "v3", state.order.To, name)
		require.False(t, state.isOld("v2"), "%s: an abandoned version is not in service", name)
		require.True(t, state.isOld("v1"), name)
	}
	m.nodes["n1"].rollouts.applyRecord(platform.KeyedRecord{Key: "rollout/s", Offset: 12}, m.now)
	m.steps(10)
	require.Equal(t, rollout.Reverted, m.log.phase(t, "s"))
}

func TestNodeThatIsCutOffThroughARevert(t *testing.T) {
	m := startRollout(t, 5, "n3", 30)
	m.steps(30)
	require.True(t, follows(m.nodes["n4"].rollouts.view(m.now)["s"]))
	m.isCut = func(from, to string) bool { return from == "n4" || to == "n4" }
	m.failing = 60
	m.steps(50)
	require.Equal(t, rollout.Reverted, m.log.phase(t, "s"))
	require.False(t, follows(m.nodes["n4"].rollouts.view(m.now)["s"]), "it sends the new version nothing")
	m.isCut = nil
	m.steps(40)
	m.requireSettled("s", routing.OldGeneration)
}

func TestNodeThatStartsInTheMiddleLearnsTheAgeOfTheOrder(t *testing.T) {
	m := startRollout(t, 3, "n1", 10)
	m.steps(50)
	late := m.join("n9")
	m.engines(late, "v2", 4)
	m.order("n9", "s", "v2", 7, 10)
	require.False(t, follows(late.rollouts.view(m.now)["s"]))
	m.steps(5)
	state := late.rollouts.byService["s"]
	require.Greater(t, m.now.Sub(state.orderedAt), 5*time.Second)
	require.True(t, follows(late.rollouts.view(m.now)["s"]))
}

// All nodes are lost: the order's age and its exposure are in the status.
func TestOrderOutlivesAllNodes(t *testing.T) {
	m := startRollout(t, 3, "n1", 60)
	m.steps(60)
	before := *m.holder.rollouts.byService["s"]
	for _, c := range m.nodes {
		m.kill(c)
	}
	m.holder = m.join("n5")
	m.fence = 5
	m.engines(m.holder, "v2", 4)
	m.order("n5", "s", "v2", 7, 60)
	m.tallies = map[string]rollout.Report{}
	m.steps(3)
	after := m.holder.rollouts.byService["s"]
	require.GreaterOrEqual(t, after.sent, before.sent*6/10)
	require.Positive(t, before.sent)
}

func TestEnginesThatNeverComeOrCrashAreReverted(t *testing.T) {
	m := newRolloutMesh(t, 3)
	m.order("n1", "s", "v2", 7, 3)
	m.steps(40)
	require.Equal(t, rollout.Reverted, m.log.phase(t, "s"))
	m.order("n1", "r", "v2", 8, 10)
	m.addEngines("v2", 4)
	m.steps(50)
	for _, c := range m.nodes {
		for i := range 3 {
			c.registry.Remove(fmt.Sprintf("r-v2-%d", i), 100, m.now)
		}
	}
	m.steps(60)
	require.Equal(t, rollout.Reverted, m.log.phase(t, "r"))
}

func TestTwoServicesAtOnce(t *testing.T) {
	m := newRolloutMesh(t, 3)
	m.order("n1", "s", "v2", 7, 10)
	m.order("n2", "r", "v2", 8, 10)
	m.addEngines("v2", 4)
	m.steps(30)
	for _, c := range m.nodes {
		c.rollouts.withdraw("r", 9)
	}
	m.steps(69)
	require.Equal(t, rollout.Complete, m.log.phase(t, "s"))
	require.Equal(t, rollout.Reverted, m.log.phase(t, "r"))
}

// The registry may be read before the order.
func TestUnknownVersionWaitsForTheOperatorsRecords(t *testing.T) {
	m := newRolloutMesh(t, 1)
	c := m.nodes["n0"]
	c.publish(m.now)
	require.Empty(t, c.rollouts.view(m.now))
	m.now = m.now.Add(time.Second)
	m.engines(c, "v2", 1)
	c.publish(m.now)
	require.Equal(t, routing.OldGeneration, c.rollouts.view(m.now)["s"].Settled)
	c.configConfirmedAt = m.now.Add(time.Second)
	require.Empty(t, c.rollouts.view(m.now), "there is no order")
}

// The planner neither counts engines on trial nor those that stopped at the completion.
func TestPlannerCountsTheVersionInService(t *testing.T) {
	m := newRolloutMesh(t, 1)
	m.order("n0", "s", "v2", 7, 10)
	m.addEngines("v2", 3)
	count := func() (sum int) {
		for _, engines := range m.holder.duties.enginesByDataCentre("s") {
			sum += engines.OnDemand
		}
		return sum
	}
	require.Equal(t, 4, count())
	m.holder.rollouts.settle(m.holder.rollouts.byService["s"], rollout.Complete, true, "test")
	require.Equal(t, 3, count())
}

// Entries of engines that stopped at the completion get no work and are no source of a cache; without
// any new engine they are all that is left.
func TestEnginesThatStoppedAtTheCompletionAreNotUsed(t *testing.T) {
	m := newRolloutMesh(t, 1)
	m.order("n0", "s", "v2", 7, 10)
	m.holder.rollouts.settle(m.holder.rollouts.byService["s"], rollout.Complete, true, "test")
	m.holder.publish(m.now)
	require.Len(t, m.holder.edge.view.Load().Fleet.ByService["s"], 4)
	m.addEngines("v2", 3)
	m.holder.publish(m.now)
	require.Len(t, m.holder.edge.view.Load().Fleet.ByService["s"], 3)
}

func TestOrdersWithoutRolloutsInTheSettingsChangeNothing(t *testing.T) {
	m := newMesh(t, 1, 1)
	c := m.nodes["n000"]
	c.rollouts.applyRecord(platform.KeyedRecord{Key: "rollout/s", Value: []byte(`{"service":"s","to":"v2","durationS":5}`)}, m.now)
	require.Empty(t, c.rollouts.byService)
	require.Nil(t, c.rollouts.view(m.now))
}

func TestBadOrdersAreLoggedWithTheReasonAndChangeNothing(t *testing.T) {
	m := newRolloutMesh(t, 1)
	c, lines := m.nodes["n0"], &bytes.Buffer{}
	m.order("n0", "s", "v2", 7, 60)
	m.addEngines("v2", 4)
	m.steps(20)
	c.edge.logger = zerolog.New(lines)
	before, generation := c.rollouts.byService["s"].order, c.rollouts.view(m.now)["s"].Settled
	for value, reason := range map[string]string{
		`{"service":"s","to":"","durationS":9}`:        "without a version",
		`{"service":"s","to":"v3"}`:                    "order of 0 s",
		`{"service":"s","to":"v3","durationS":0}`:      "order of 0 s",
		`{"service":"s","to":"v3","durationS":-9}`:     "order of -9 s",
		`{"service":"s","to":"v3","durationS":172800}`: "order of 172800 s",
		`{"service":"s","to":3,"durationS":9}`:         "cannot unmarshal number",
		`{"service":"s","to":"v3","durationS":"9"}`:    "cannot unmarshal string",
		`{"service":["s"],"to":"v3","durationS":9}`:    "cannot unmarshal array",
		`{"service":"r","to":"v3","durationS":9}`:      "of service \\\"r\\\" under the key",
		`{"to":"v3","durationS":9}`:                    "of service \\\"\\\" under the key",
		`"v3"`:                                         "cannot unmarshal string",
		`{"service":"s","to":"v3`:                      "unexpected end of JSON",
	} {
		lines.Reset()
		c.rollouts.applyRecord(platform.KeyedRecord{Key: "rollout/s", Value: []byte(value), Offset: 9}, m.now)
		require.Contains(t, lines.String(), "rollout order ignored", value)
		require.Contains(t, lines.String(), reason, value)
		require.Len(t, c.rollouts.byService, 1, value)
		require.Equal(t, before, c.rollouts.byService["s"].order, value)
		require.Equal(t, generation, c.rollouts.view(m.now)["s"].Settled, value)
	}
}

func TestOrderForAnUnknownServiceIsLoggedAndHasNoEffect(t *testing.T) {
	m := newRolloutMesh(t, 1)
	lines := &bytes.Buffer{}
	m.holder.edge.logger = zerolog.New(lines)
	m.order("n0", "x", "v2", 7, 3)
	require.Contains(t, lines.String(), `"unknown_service":true`)
	m.steps(60)
	require.Empty(t, m.log.records)
	m.order("n0", "s", "v2", 8, 10)
	m.addEngines("v2", 4)
	m.steps(99)
	require.Equal(t, rollout.Complete, m.log.phase(t, "s"))
}

// The lease of a holder that is lost at the end outlives the order.
func TestCompletionOfALostHolderIsWrittenByAnother(t *testing.T) {
	m := startRollout(t, 5, "n3", 10)
	m.steps(94)
	m.kill(m.holder)
	m.holder = nil
	m.steps(6)
	require.LessOrEqual(t, m.now.Sub(m.nodes["n1"].rollouts.byService["s"].orderedAt), 10*time.Second)
	require.Equal(t, rollout.Complete, m.log.phase(t, "s"))
	m.steps(5)
	m.requireSettled("s", routing.NewGeneration)
}

func TestNothingIsCompletedForALostHolderIfTheVersionIsBad(t *testing.T) {
	m := startRollout(t, 5, "n3", 10)
	m.steps(85)
	m.failing = 90
	m.steps(8)
	m.kill(m.holder)
	m.holder = nil
	m.steps(10)
	require.NotEqual(t, rollout.Complete, m.log.phase(t, "s"))
}
