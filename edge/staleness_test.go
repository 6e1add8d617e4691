package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/platform/platformtest"
)

// Bounds of the deployments' pages; a node that was harmed is in touch after contactBound.
const (
	applyBound   = 2 * time.Second
	contactBound = 3 * time.Second
	drainBound   = 2 * time.Second
	// storeLag is how far newest records lag behind by the kinds of trouble.
	storeLag = 3 * time.Second
)

// proxied starts a proxy before the store and a node that reaches the store through it.
func proxied(t *testing.T, store storeServer) (*Edge, *platformtest.Proxy) {
	proxy, err := platformtest.StartProxy(store.address())
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	e, _ := start(t, settings(t, "n1", proxy.Address()))
	return e, proxy
}

func version(e *Edge) int64 {
	if table := e.view.Load().Table; table != nil {
		return table.Config.Version
	}
	return 0
}

func inForce(t *testing.T, e *Edge, want int64, within time.Duration, message string) {
	t.Helper()
	require.Eventually(t, func() bool { return version(e) == want }, within, 5*time.Millisecond, message)
}

// Guards against a version that comes late because the read that waits for it is on a
// connection that fell silent.
func TestVersionIsNotLateWhenConnectionsToTheStoreFallSilent(t *testing.T) {
	t.Parallel()
	store := newStore(t)
	store.configure(1, "k")
	e, proxy := proxied(t, store)
	inForce(t, e, 1, eventually, "the first version")
	for round := range 3 {
		// The next read has just begun, so that its wait is the longest.
		time.Sleep(50 * time.Millisecond)
		proxy.Blackhole()
		store.configure(2+round, "k")
		inForce(t, e, int64(2+round), contactBound, "no read may wait longer than the node takes to be in touch")
	}
}

// Guards against a version that comes late because a read began while the store was silent,
// whose answer never comes.
func TestVersionIsNotLateAfterTheStoreWasSilent(t *testing.T) {
	t.Parallel()
	for _, silent := range []time.Duration{600 * time.Millisecond, 3 * time.Second, 5900 * time.Millisecond} {
		t.Run(silent.String(), func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.configure(1, "k")
			e, proxy := proxied(t, store)
			inForce(t, e, 1, eventually, "the first version")
			proxy.DropToTarget()
			proxy.DropFromTarget()
			time.Sleep(silent)
			store.configure(2, "k")
			proxy.Heal()
			inForce(t, e, 2, contactBound, "the store answers again")
		})
	}
}

func TestPatienceGrowsOnlyWhenNewConnectionsAreSilentToo(t *testing.T) {
	var p patience
	now, bound := time.Now(), 2*time.Second
	require.Equal(t, 500*time.Millisecond, p.at(bound, now))
	p.unanswered(1, bound, now)
	require.Equal(t, 500*time.Millisecond, p.at(bound, now), "the connection alone may be silent")
	p.unanswered(2, bound, now)
	require.Equal(t, time.Second, p.at(bound, now))
	p.unanswered(3, bound, now)
	p.unanswered(4, bound, now)
	require.Equal(t, mostPatience, p.at(bound, now))
	require.Equal(t, 500*time.Millisecond, p.at(bound, now.Add(patienceMemory+time.Second)))
	var calm patience
	require.Equal(t, mostPatience, calm.at(time.Minute, now))
	require.Equal(t, leastPatience, calm.at(time.Millisecond, now))
}

func TestWaitsFollowTheBoundsInForceAndTheFleet(t *testing.T) {
	e := New(settings(t, "n1", "127.0.0.1:1"), zerolog.Nop())
	for _, c := range []struct {
		bound     time.Duration
		readers   int64
		held      time.Duration
		confirmed time.Duration
	}{
		{2 * time.Second, 5, time.Second, 2 * time.Second},
		{2 * time.Second, 1100, 2750 * time.Millisecond, 3350 * time.Millisecond},
		{16 * time.Second, 1100, configWait, 16 * time.Second},
		{time.Millisecond, 5, leastHeld, leastHeld + leastPatience + controlTick},
	} {
		e.bounds.Store(&platform.Bounds{Contact: c.bound, ConfigApply: c.bound, Drain: c.bound})
		e.readers.Store(c.readers)
		require.Equal(t, c.held, e.configHeld(), c)
		require.Equal(t, c.confirmed, e.confirmedFor(), c)
	}
	e.settings.StoreReadsPerSecond = 6000
	e.bounds.Store(&platform.Bounds{Contact: 2 * time.Second, ConfigApply: 2 * time.Second})
	e.readers.Store(1800)
	require.InDelta(t, 1.5, e.configHeld().Seconds(), 0.001, "1,200 reads a second")
}

// loseHistory makes changes that no read hears of, and deletes the records; the newest ones
// that the store tells are storeLag old from then on.
func loseHistory(store storeServer, lagging platformtest.Faults, change func()) {
	store.SetFaults(platformtest.Faults{HideWrites: true})
	change()
	store.Trim()
	lagging.NewestLag = storeLag
	store.SetFaults(lagging)
	store.CloseClientConnections()
}

// Guards against a version that is never in force: the newest records lag, and reading goes on
// from the end that was told beside them.
func TestVersionIsNotMissedWhenNewestRecordsLag(t *testing.T) {
	t.Parallel()
	for name, lagging := range map[string]platformtest.Faults{"true end": {}, "old end": {EndLags: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.configure(1, "k")
			e, _ := start(t, settings(t, "n1", store.address()))
			inForce(t, e, 1, eventually, "the first version")
			time.Sleep(storeLag) // The first version is old enough to be told.
			loseHistory(store, lagging, func() { store.configure(2, "k") })
			before := store.Calls()
			inForce(t, e, 2, storeLag+contactBound, "the newest records tell it by now")
			// Registry, nodes and configuration are each read some times a second.
			require.Less(t, store.Calls()-before, 150, "reads of records that lag are paced")
		})
	}
}

// Guards against requests to an upstream whose removal fell into the lost history.
func TestUpstreamThatLeftIsNotKeptWhenNewestRecordsLag(t *testing.T) {
	t.Parallel()
	store := newStore(t)
	store.configure(1, "k")
	store.register("i-1", upstream(t, 0))
	store.register("i-2", upstream(t, 0))
	e, _ := start(t, settings(t, "n1", store.address()))
	known := func() int { return len(e.view.Load().Fleet.ByService["s"]) }
	require.Eventually(t, func() bool { return known() == 2 }, eventually, 5*time.Millisecond)
	time.Sleep(storeLag)
	loseHistory(store, platformtest.Faults{}, func() { store.Put(platform.TopicRegistry, "i-1", nil) })
	require.Eventually(t, func() bool { return known() == 1 }, storeLag+contactBound, 5*time.Millisecond)
}

// Guards against an upstream that is dropped because newest records that lag do not hold it yet.
func TestNewUpstreamIsNotDroppedWhenNewestRecordsLag(t *testing.T) {
	t.Parallel()
	store := newStore(t)
	store.configure(1, "k")
	store.register("i-1", upstream(t, 0))
	e, _ := start(t, settings(t, "n1", store.address()))
	known := func() int { return len(e.view.Load().Fleet.ByService["s"]) }
	require.Eventually(t, func() bool { return known() == 1 }, eventually, 5*time.Millisecond)
	time.Sleep(storeLag)
	store.register("i-2", upstream(t, 0))
	require.Eventually(t, func() bool { return known() == 2 }, eventually, 5*time.Millisecond)
	loseHistory(store, platformtest.Faults{}, func() { store.Put(platform.TopicRegistry, "i-9", []byte("{}")) })
	require.Never(t, func() bool { return known() < 2 }, storeLag+time.Second, 5*time.Millisecond)
}

// Guards against two usage reports of one window: the reports that were fixed are read from
// records that lag, and the write that fixes others succeeds at the true end.
func TestUsageIsNotFixedAgainstReportsThatLag(t *testing.T) {
	store := newStore(t)
	fixed := func(windows ...int64) []byte {
		var usage api.FixedUsage
		for _, window := range windows {
			usage.Reports = append(usage.Reports, api.UsageReport{Window: window, Counts: map[string]int64{"w": 1}})
		}
		raw, err := json.Marshal(usage)
		require.NoError(t, err)
		return raw
	}
	store.Put(topicUsage, keyUsage, fixed(1))
	time.Sleep(100 * time.Millisecond)
	store.Put(topicUsage, keyUsage, fixed(1, 2))
	store.SetFaults(platformtest.Faults{NewestLag: 50 * time.Millisecond})
	e := New(settings(t, "n1", store.address()), zerolog.Nop())
	e.ctx = t.Context()
	go e.control.run(e.ctx)
	r := e.control.duties.reports
	type state struct {
		known, calling bool
		windows        int
	}
	read := func() state {
		s, _ := ask(e.ctx, e.control, func(time.Time) state { return state{r.known, r.calling, len(r.fixed)} })
		return s
	}
	e.control.post(e.ctx, func(time.Time) { r.read() })
	require.Eventually(t, func() bool { return !read().calling }, eventually, time.Millisecond)
	if state := read(); state.known {
		require.Equal(t, 2, state.windows, "what the store holds")
	}
	store.SetFaults(platformtest.Faults{})
	e.control.post(e.ctx, func(time.Time) { r.read() })
	require.Eventually(t, func() bool { return read().known }, eventually, time.Millisecond)
	require.Equal(t, 2, read().windows)
}

// Guards against 404 for a route that only the version has which a peer tells of.
func TestNodeThatHeardOfANewerVersionDeniesNothing(t *testing.T) {
	c, message := benchNode(t, 1)
	now := c.edge.clock.steady()
	c.table, c.confirmedAt = catalog.NewTable(&catalog.Config{Version: 7}), now
	require.False(t, c.unconfirmed(now))
	newer := message(0)
	newer.ConfigVersion, newer.ClockMS = 8, newer.ClockMS+1
	c.heard(newer, now)
	require.True(t, c.unconfirmed(now))
	c.confirmedAt = now.Add(peerLive)
	require.False(t, c.unconfirmed(now.Add(peerLive)), "no peer has told of it since, and the store knows none")
	c.confirmedAt = now
	c.table = catalog.NewTable(&catalog.Config{Version: 8})
	require.False(t, c.unconfirmed(now))
	require.True(t, c.unconfirmed(now.Add(applyBound+contactBound)))
}

// Guards against 404 and 401 from a node that can't know whether its configuration is current.
func TestNodeThatMayBeBehindDeniesNothing(t *testing.T) {
	t.Parallel()
	store := newStore(t)
	store.configure(1, "k")
	store.register("i-1", upstream(t, 0))
	e, proxy := proxied(t, store)
	require.Eventually(t, func() bool { return call(t, e, "k") == 200 }, eventually, 5*time.Millisecond)
	require.Equal(t, http.StatusUnauthorized, call(t, e, "unknown"))
	proxy.DropToTarget()
	proxy.DropFromTarget()
	time.Sleep(contactBound)
	require.Equal(t, 200, call(t, e, "k"), "what it knows is served")
	require.Equal(t, http.StatusServiceUnavailable, call(t, e, "unknown"), "a newer version may hold the key")
	proxy.Heal()
	require.Eventually(t, func() bool { return call(t, e, "unknown") == http.StatusUnauthorized }, contactBound, 20*time.Millisecond)
}

// Guards against a configuration that is held up by a peer that does not answer.
func TestPeerThatHangsDoesNotHoldUpTheConfigurationOfAnother(t *testing.T) {
	t.Parallel()
	hangs, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = hangs.Close() })
	answers := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, configText, 5, "k")
	}))
	t.Cleanup(answers.Close)
	e, _ := start(t, settings(t, "n1", "127.0.0.1:1"))
	hear := func(name, address string) {
		e.control.post(e.ctx, func(now time.Time) {
			e.control.heard(&api.EdgeExchange{
				Node: name, Incarnation: name, Address: address, ConfigVersion: 5, ClockMS: e.clock.now().UnixMilli(),
			}, now)
		})
	}
	hear("hangs", hangs.Addr().String())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			hear("answers", strings.TrimPrefix(answers.URL, "http://"))
			sleep(ctx, exchangeEvery)
		}
	}()
	inForce(t, e, 5, applyBound/2, "the second peer has it")
}

// Guards against news of a peer that is dropped after the peer has corrected its clock.
func TestNewsOfAPeerIsTakenAfterItsClockWentBack(t *testing.T) {
	c, message := benchNode(t, 1)
	first, second := message(0), message(0)
	second.SentMS = first.SentMS + 100
	second.ClockMS = first.ClockMS - 3000
	second.Load = []api.EdgeLoad{{Upstream: 7, Running: 3}}
	c.heard(first, c.edge.clock.steady())
	c.heard(second, c.edge.clock.steady())
	require.Equal(t, 3, c.othersLoad(c.edge.clock.steady())[7].Running)
	c.heard(first, c.edge.clock.steady())
	require.Equal(t, second.SentMS, c.peers[first.Node].message.SentMS, "the older of two messages is dropped")
}
