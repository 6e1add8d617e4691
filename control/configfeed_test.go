package control

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
	_ "github.com/persimmonline/persimmonline/internal/fixedseed"
	"github.com/persimmonline/persimmonline/telemetry"
)

// A fixed seed makes the random tests the same in every run; -rapid.seed sets another.
func init() { _ = flag.Set("rapid.seed", "1") }

var errDown = errors.New("log is down")

// fakeLog is an in-memory log.
type fakeLog struct {
	streams map[string][]api.StoredRecord
	oldest  map[string]int64
	down    bool
	// repeat is how many records before the requested offset a read delivers again.
	repeat int64
	// loseAnswer makes the next append take effect but return an error.
	loseAnswer bool
}

func newFakeLog() *fakeLog {
	return &fakeLog{streams: map[string][]api.StoredRecord{}, oldest: map[string]int64{}}
}

func (l *fakeLog) Append(_ context.Context, stream string, records []json.RawMessage) (int64, error) {
	if l.down {
		return 0, errDown
	}
	first := int64(len(l.streams[stream]))
	for i, data := range records {
		l.streams[stream] = append(l.streams[stream], api.StoredRecord{Offset: first + int64(i), AtMS: time.Now().UnixMilli(), Data: data})
	}
	if l.loseAnswer {
		l.loseAnswer = false
		return 0, errDown
	}
	return first, nil
}

func (l *fakeLog) Read(_ context.Context, stream string, from int64, limit int, _ time.Duration) (api.ReadResponse, error) {
	if l.down {
		return api.ReadResponse{}, errDown
	}
	records := l.streams[stream]
	start := min(max(from-l.repeat, l.oldest[stream], 0), int64(len(records)))
	end := min(int64(len(records)), start+int64(limit))
	return api.ReadResponse{
		Records: records[start:end], OldestOffset: l.oldest[stream], NextOffset: int64(len(records)),
	}, nil
}

// publish appends a patch that sets one weight; every third is invalid.
func (l *fakeLog) publish(t require.TestingT, base int64) {
	n := len(l.streams[ConfigStream])
	document := fmt.Sprintf(`{"policy":{"cost_weight":%d}}`, n%7)
	if n%3 == 2 {
		document = `{"policy":{"cost_weight":-1}}`
	}
	l.appendPatch(t, api.ConfigPatch{
		ID: fmt.Sprint("patch-", n), BaseVersion: base, RuleSet: config.CurrentRuleSet,
		Format: api.ConfigPatchFormatMerge, Patch: json.RawMessage(document),
	})
}

func (l *fakeLog) appendPatch(t require.TestingT, patch api.ConfigPatch) {
	data, err := json.Marshal(api.Record{Patch: &patch})
	require.NoError(t, err)
	lost := l.loseAnswer
	_, err = l.Append(context.Background(), ConfigStream, []json.RawMessage{data})
	require.True(t, lost || err == nil)
}

// first is the patch that creates version 1.
var first = api.ConfigPatch{
	ID: "first", RuleSet: config.CurrentRuleSet, Format: api.ConfigPatchFormatMerge,
	Patch: json.RawMessage(`{"deployment":"d","workspaces":{},"services":{},"routes":{},"machine_classes":{},
		"operators":{"on-call":{"key_hashes":[]}},"policy":{"latency_weight":1,"cost_weight":1,"retry_ratio":0.1}}`),
}

// startFeed returns a feed with a running loop that does not wait after failures.
func startFeed(t testing.TB, log *fakeLog) *configFeed {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	loop := NewLoop(time.Now, zerolog.Nop(), telemetry.NewMetrics())
	done := make(chan struct{})
	go func() {
		defer close(done)
		loop.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return feedOf(loop, log)
}

func feedOf(loop *Loop, log *fakeLog) *configFeed {
	feed := newConfigFeed(&Feeds{Loop: loop, Log: log, Config: ConfigSources{SnapshotInterval: time.Hour}})
	feed.wait = func(context.Context, time.Duration) {}
	return feed
}

func (c *configFeed) setDuty(fence int64, held bool) {
	c.feeds.Config.Held = func(string) (int64, bool) { return fence, held }
}

func requireCondition(t testing.TB, c *configFeed, want ConfigCondition) {
	t.Helper()
	require.Eventually(t, func() bool { return c.feeds.Loop.Snapshot().ConfigCondition == want }, 10*time.Second, time.Millisecond)
}

func TestTrimmedRecordsAreNotFoldedAcross(t *testing.T) {
	log := newFakeLog()
	log.appendPatch(t, first)
	feed, writer := startFeed(t, log), startFeed(t, log)
	feed.readOnce(t.Context())
	require.EqualValues(t, 1, feed.state.Version)
	log.publish(t, 1)
	log.publish(t, 2)
	log.publish(t, 2)
	writer.readOnce(t.Context())
	require.EqualValues(t, 3, writer.state.Version)
	log.oldest[ConfigStream] = 3
	feed.readOnce(t.Context())
	require.EqualValues(t, 1, feed.state.Version, "the version is kept")
	requireCondition(t, feed, ConfigLogTrimmed)

	writer.setDuty(7, true)
	writer.snapshots.writeIfDue(t.Context())
	feed.readOnce(t.Context())
	requireCondition(t, feed, ConfigCurrent)
	require.Equal(t, writer.state.Offset, feed.state.Offset)
	require.Equal(t, writer.state.Version, feed.state.Version)
}

func TestTrimmedRecordsArePassedByAPeer(t *testing.T) {
	log := newFakeLog()
	log.appendPatch(t, first)
	feed, other := startFeed(t, log), startFeed(t, log)
	log.publish(t, 1)
	other.readOnce(t.Context())
	log.oldest[ConfigStream] = 2
	feed.feeds.Config.FromPeers = func(context.Context, *config.State) *config.State { return other.state }
	feed.readOnce(t.Context())
	require.Equal(t, other.state, feed.state)
	requireCondition(t, feed, ConfigCurrent)
}

func TestNodeNewInAnOutageTakesThePeersState(t *testing.T) {
	log := newFakeLog()
	log.appendPatch(t, first)
	other, feed := startFeed(t, log), startFeed(t, log)
	other.readOnce(t.Context())
	log.down = true
	feed.start(t.Context())
	feed.readOnce(t.Context())
	require.Zero(t, feed.state.Version, "no version without a log or a peer")
	requireCondition(t, feed, ConfigLogUnreachable)
	feed.feeds.Config.FromPeers = func(context.Context, *config.State) *config.State { return other.state }
	feed.readOnce(t.Context())
	require.EqualValues(t, 1, feed.state.Version)
	require.Eventually(t, func() bool { return feed.feeds.Loop.Snapshot().Index != nil }, 10*time.Second, time.Millisecond)
	requireCondition(t, feed, ConfigLogUnreachable)
}

func TestSnapshotsThatAreLateOrDamagedDoNoHarm(t *testing.T) {
	log := newFakeLog()
	log.appendPatch(t, first)
	paused, writer := startFeed(t, log), startFeed(t, log)
	paused.readOnce(t.Context())
	log.publish(t, 1)
	writer.readOnce(t.Context())
	writer.setDuty(2, true)
	writer.snapshots.writeIfDue(t.Context())
	paused.setDuty(1, true)
	paused.snapshots.lastKnown, paused.snapshots.fence = true, 1
	paused.snapshots.writeIfDue(t.Context())
	require.Len(t, log.streams[SnapshotStream], 2)
	for range 2 * snapshotPageSize {
		damaged, err := writer.state.Snapshot()
		require.NoError(t, err)
		damaged.Version += 100
		damaged.Offset += 100
		data, err := json.Marshal(api.Record{Snapshot: &damaged})
		require.NoError(t, err)
		_, err = log.Append(t.Context(), SnapshotStream, []json.RawMessage{data})
		require.NoError(t, err)
	}
	log.oldest[ConfigStream] = 2
	fresh := startFeed(t, log)
	fresh.start(t.Context())
	require.Equal(t, writer.state.Version, fresh.state.Version)
	require.Equal(t, writer.state.Offset, fresh.state.Offset)
}

func TestSnapshotsAreWrittenByTheHolderWhenDue(t *testing.T) {
	log := newFakeLog()
	log.appendPatch(t, first)
	feed := startFeed(t, log)
	feed.setDuty(0, false)
	feed.readOnce(t.Context())
	require.Empty(t, log.streams[SnapshotStream], "not the holder")
	feed.setDuty(3, true)
	feed.readOnce(t.Context())
	require.Len(t, log.streams[SnapshotStream], 1, "none was written before")
	for range 255 {
		log.publish(t, 0)
	}
	feed.readOnce(t.Context())
	require.Len(t, log.streams[SnapshotStream], 1)
	log.publish(t, 0)
	feed.readOnce(t.Context())
	require.Len(t, log.streams[SnapshotStream], 2)
	feed.feeds.Config.SnapshotInterval = 0
	log.loseAnswer = true
	feed.readOnce(t.Context())
	feed.snapshots.retryAt = time.Time{}
	feed.readOnce(t.Context())
	require.Len(t, log.streams[SnapshotStream], 4, "written again after the lost answer")
	require.NotNil(t, newestOf(log.streams[SnapshotStream]))
}

func TestUnknownRuleSetHoldsTheVersion(t *testing.T) {
	log := newFakeLog()
	log.appendPatch(t, first)
	log.appendPatch(t, api.ConfigPatch{ID: "newer build", BaseVersion: 1, RuleSet: config.CurrentRuleSet + 1})
	log.publish(t, 1)
	feed := startFeed(t, log)
	feed.readOnce(t.Context())
	feed.readOnce(t.Context())
	require.EqualValues(t, 1, feed.state.Version)
	require.EqualValues(t, 1, feed.state.Offset)
	requireCondition(t, feed, ConfigRuleSetUnknown)
}

func TestLogThatLostItsRecordsRevertsNothing(t *testing.T) {
	log := newFakeLog()
	log.appendPatch(t, first)
	feed := startFeed(t, log)
	feed.readOnce(t.Context())
	log.streams[ConfigStream] = nil
	feed.readOnce(t.Context())
	require.EqualValues(t, 1, feed.state.Version)
	requireCondition(t, feed, ConfigLogBehind)
}

func TestRecordsThatAreDeliveredTwiceChangeNothing(t *testing.T) {
	log := newFakeLog()
	log.appendPatch(t, first)
	log.publish(t, 1)
	feed := startFeed(t, log)
	feed.readOnce(t.Context())
	before := feed.state
	log.repeat = 2
	feed.readOnce(t.Context())
	require.Same(t, before, feed.state)
}

func TestBackoffGrowsToItsBound(t *testing.T) {
	require.Equal(t, configBackoffInitial/2, configBackoff(0, 0))
	require.Equal(t, configBackoffMax, configBackoff(1000, 1))
	for failures := range 20 {
		low, high := configBackoff(failures, 0), configBackoff(failures, 1)
		require.Equal(t, high, 2*low)
		require.LessOrEqual(t, high, configBackoffMax)
	}
}

func TestRecentRecordsAreConsecutive(t *testing.T) {
	var sources ConfigSources
	_, ok := sources.Since(0)
	require.False(t, ok)
	for offset := range int64(maxRecentRecords + 10) {
		sources.cacheRecord(api.StoredRecord{Offset: offset})
	}
	_, ok = sources.Since(9)
	require.False(t, ok)
	kept, ok := sources.Since(10)
	require.True(t, ok)
	require.Len(t, kept, maxRecentRecords)
	_, ok = sources.Since(maxRecentRecords + 10)
	require.False(t, ok)
	sources.cacheRecord(api.StoredRecord{Offset: 1000})
	kept, ok = sources.Since(1000)
	require.True(t, ok)
	require.Len(t, kept, 1)
}

// TestVersionsNeverGoBack runs a fleet through random faults: each node's version only
// increases, and its state equals the fold of the complete log up to its offset.
func TestVersionsNeverGoBack(t *testing.T) {
	loop := NewLoop(time.Now, zerolog.Nop(), telemetry.NewMetrics())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go loop.Run(ctx)
	rapid.Check(t, func(t *rapid.T) {
		run := &fleetRun{t: t, loop: loop, log: newFakeLog(), reference: []*config.State{config.Empty()}}
		run.log.appendPatch(t, first)
		run.nodes = []*configFeed{run.newNode(), run.newNode(), run.newNode()}
		t.Repeat(map[string]func(*rapid.T){
			"": run.check, "publish": run.publish, "step": run.step, "replace": run.replace, "trim": run.trim,
			"outage": run.outage, "late snapshot": run.lateSnapshot, "damaged snapshot": run.damagedSnapshot,
			"lose answer": func(*rapid.T) { run.log.loseAnswer = true },
			"repeat":      func(t *rapid.T) { run.log.repeat = rapid.Int64Range(0, 3).Draw(t, "repeat") },
		})
	})
}

type fleetRun struct {
	t     *rapid.T
	loop  *Loop
	log   *fakeLog
	nodes []*configFeed
	// versions of the nodes at the previous check.
	versions []int64
	// reference is the fold of the complete stream, by offset.
	reference []*config.State
}

func (r *fleetRun) newNode() *configFeed {
	feed := feedOf(r.loop, r.log)
	feed.state = config.Empty()
	feed.feeds.Config.FromPeers = func(_ context.Context, than *config.State) *config.State {
		for _, other := range r.nodes {
			snapshot, err := other.state.Snapshot()
			require.NoError(r.t, err)
			given, err := config.ApplyTransfer(than, api.ConfigTransfer{Snapshot: &snapshot})
			require.NoError(r.t, err)
			than = given
		}
		return than
	}
	feed.setDuty(int64(len(r.log.streams)), true)
	feed.feeds.Config.SnapshotInterval = 0
	feed.start(context.Background())
	return feed
}

func (r *fleetRun) pick(t *rapid.T) int { return rapid.IntRange(0, len(r.nodes)-1).Draw(t, "node") }

func (r *fleetRun) publish(t *rapid.T) {
	if r.log.down {
		t.Skip()
	}
	latest := r.reference[len(r.reference)-1]
	r.log.publish(t, latest.Version-rapid.Int64Range(0, 1).Draw(t, "stale"))
}

func (r *fleetRun) step(t *rapid.T) { r.nodes[r.pick(t)].readOnce(context.Background()) }

func (r *fleetRun) replace(t *rapid.T) {
	i := r.pick(t)
	r.nodes[i] = r.newNode()
	r.versions = nil
}

func (r *fleetRun) trim(t *rapid.T) {
	stream := rapid.SampledFrom([]string{ConfigStream, SnapshotStream}).Draw(t, "stream")
	r.log.oldest[stream] = rapid.Int64Range(r.log.oldest[stream], int64(len(r.log.streams[stream]))).Draw(t, "oldest")
}

func (r *fleetRun) outage(*rapid.T) { r.log.down = !r.log.down }

// lateSnapshot appends a snapshot as a holder does that was paused at an older state.
func (r *fleetRun) lateSnapshot(t *rapid.T) {
	state := r.reference[rapid.IntRange(0, len(r.reference)-1).Draw(t, "offset")]
	r.appendSnapshot(t, state, func(*api.ConfigSnapshot) {})
}

func (r *fleetRun) damagedSnapshot(t *rapid.T) {
	r.appendSnapshot(t, r.reference[len(r.reference)-1], func(s *api.ConfigSnapshot) { s.Offset += 1000; s.Version += 1000 })
}

func (r *fleetRun) appendSnapshot(t *rapid.T, state *config.State, damage func(*api.ConfigSnapshot)) {
	snapshot, err := state.Snapshot()
	require.NoError(t, err)
	damage(&snapshot)
	data, err := json.Marshal(api.Record{Snapshot: &snapshot})
	require.NoError(t, err)
	r.log.streams[SnapshotStream] = append(r.log.streams[SnapshotStream],
		api.StoredRecord{Offset: int64(len(r.log.streams[SnapshotStream])), Data: data})
}

func (r *fleetRun) check(t *rapid.T) {
	for len(r.reference) <= len(r.log.streams[ConfigStream]) {
		last := r.reference[len(r.reference)-1]
		next, err := config.Fold(last, r.log.streams[ConfigStream][last.Offset])
		require.NoError(t, err)
		r.reference = append(r.reference, next)
	}
	for i, node := range r.nodes {
		want := r.reference[node.state.Offset]
		require.Equal(t, want.Version, node.state.Version)
		require.Equal(t, want.Config, node.state.Config)
		require.True(t, slices.Equal(want.Verdicts(), node.state.Verdicts()))
		if r.versions != nil {
			require.GreaterOrEqual(t, node.state.Version, r.versions[i])
		}
	}
	r.versions = make([]int64, len(r.nodes))
	for i, node := range r.nodes {
		r.versions[i] = node.state.Version
	}
}
