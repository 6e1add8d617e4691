package edge

import (
	"context"
	"flag"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/platform/platformtest"
)

var (
	limitNodes = flag.Int("limit.nodes", 5, "nodes in the test of limits of any size")
	limitRate  = flag.Float64("limit.rate", 4, "limit in requests a second in that test")
)

const (
	// limitWindow, limitFactor and limitSlack are the platform's bound on the requests that reach
	// an upstream with a limit: factor times the limit within the window, plus slack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// arrivals records the arrival times of requests by engine.
type arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (a *arrivals) RequestArrived(engine, _, _ string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[engine] = append(a.at[engine], at)
}

func (a *arrivals) RequestExecuted(platformtest.Execution) {}

// countBetween returns the number of requests that reached an engine from one time to another.
func (a *arrivals) countBetween(engine string, from, until time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, at := range a.at[engine] {
		if !at.Before(from) && at.Before(until) {
			count++
		}
	}
	return count
}

// peak returns the highest number of requests that reached an engine in a window that begins after
// a time.
func (a *arrivals) peak(engine string, window time.Duration, from time.Time) int {
	a.mu.Lock()
	times := append([]time.Time{from}, a.at[engine]...)
	a.mu.Unlock()
	peak := 0
	for _, begin := range times {
		if !begin.Before(from) {
			peak = max(peak, a.countBetween(engine, begin, begin.Add(window)))
		}
	}
	return peak
}

// noticeFleet is a fleet of nodes in front of the engines of one service, under load.
type noticeFleet struct {
	t              *testing.T
	store          storeServer
	nodes          []*Edge
	engines        []*platformtest.Engine
	arrivals       *arrivals
	sentRequests   atomic.Int64
	servedRequests atomic.Int64
}

func newNoticeFleet(t *testing.T, nodes, engines int) *noticeFleet {
	f := &noticeFleet{t: t, store: newStore(t), arrivals: &arrivals{at: map[string][]time.Time{}}}
	f.store.configure(1, "k")
	for i := range engines {
		engine, err := platformtest.StartEngine("127.0.0.1", platformtest.EngineSettings{
			ID: "i-" + string(rune('a'+i)), Service: "s", DataCentre: "z", Slots: 64, Work: 5 * time.Millisecond, Recorder: f.arrivals,
		})
		require.NoError(t, err)
		t.Cleanup(engine.Crash)
		f.engines = append(f.engines, engine)
		f.store.register(engine.ID(), engine.Address())
	}
	var stops []func()
	t.Cleanup(func() {
		var stopping sync.WaitGroup
		for _, stop := range stops {
			stopping.Go(stop)
		}
		stopping.Wait()
	})
	for i := range nodes {
		e, stop := start(t, settings(t, "n"+string(rune('a'+i)), f.store.address()))
		f.nodes, stops = append(f.nodes, e), append(stops, stop)
	}
	for _, e := range f.nodes {
		require.Eventually(t, func() bool {
			known, _ := query(e.ctx, e.control, func(now time.Time) int { return e.control.nodeCount(now) })
			return known == nodes && ready(e)
		}, eventually, 10*time.Millisecond)
	}
	return f
}

// load sends bursts of atOnce requests to every node at a rate of perSecond until the test ends.
func (f *noticeFleet) load(perSecond float64, atOnce int) {
	ctx, cancel := context.WithCancel(context.Background())
	var senders sync.WaitGroup
	for _, e := range f.nodes {
		senders.Go(func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				for range atOnce {
					senders.Go(func() {
						f.sentRequests.Add(1)
						if call(f.t, e, "k") == http.StatusOK {
							f.servedRequests.Add(1)
						}
					})
				}
			}
		})
	}
	f.t.Cleanup(func() {
		cancel()
		senders.Wait()
	})
}

// allowedArrivals returns the number of requests that may reach an upstream with a limit in
// limitWindow.
func allowedArrivals(limit float64) int {
	return int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
}

// All nodes together respect the limit that an upstream announces, and other upstreams serve the
// rest.
func TestUpstreamGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	f := newNoticeFleet(t, 5, 2)
	limited, sound := f.engines[0].ID(), f.engines[1].ID()
	f.load(12, 1)
	time.Sleep(time.Second)
	require.Positive(t, f.arrivals.countBetween(limited, time.Time{}, time.Now()), "it gets work while it announces no limit")
	f.engines[0].SetNotice(platformtest.EngineNotice{Limit: "1"})
	announcedAt := time.Now()
	time.Sleep(contactBound + 2*limitWindow)
	require.LessOrEqual(t, f.arrivals.peak(limited, limitWindow, announcedAt.Add(contactBound)), allowedArrivals(1))
	require.Positive(t, f.arrivals.countBetween(limited, announcedAt.Add(contactBound), time.Now()), "it takes some work")
	require.Greater(t, f.arrivals.countBetween(sound, announcedAt, time.Now()), 100)
	require.GreaterOrEqual(t, float64(f.servedRequests.Load()), 0.98*float64(f.sentRequests.Load()-int64(len(f.nodes))))
}

// An upstream whose responses say that it is leaving gets no request after the bound from any node,
// even if the registry does not show it.
func TestUpstreamThatSaysItLeavesGetsNoWork(t *testing.T) {
	f := newNoticeFleet(t, 3, 2)
	f.load(12, 1)
	time.Sleep(time.Second)
	f.engines[0].SetNotice(platformtest.EngineNotice{Leaving: true})
	announcedAt := time.Now()
	time.Sleep(drainBound + 2*time.Second)
	require.Positive(t, f.arrivals.countBetween(f.engines[0].ID(), announcedAt, announcedAt.Add(drainBound)))
	require.Zero(t, f.arrivals.countBetween(f.engines[0].ID(), announcedAt.Add(drainBound), time.Now()))
	require.GreaterOrEqual(t, float64(f.servedRequests.Load()), 0.98*float64(f.sentRequests.Load()-int64(len(f.nodes))))
}

// An upstream that rejects requests with a Retry-After time gets at most two requests from a node
// until that time has passed, counted from half a second after its response (here from a second).
// Other upstreams serve the callers.
func TestUpstreamThatAsksForAPauseIsLeftAlone(t *testing.T) {
	const pause = 4 * time.Second
	f := newNoticeFleet(t, 1, 2)
	f.load(24, 1)
	time.Sleep(time.Second)
	f.engines[0].SetNotice(platformtest.EngineNotice{Unavailable: true, RetryAfter: "4"})
	announcedAt := time.Now()
	time.Sleep(pause + 2*time.Second)
	require.Positive(t, f.arrivals.countBetween(f.engines[0].ID(), announcedAt, announcedAt.Add(time.Second)))
	require.LessOrEqual(t, f.arrivals.countBetween(f.engines[0].ID(), announcedAt.Add(time.Second), announcedAt.Add(pause)), 2)
	require.Positive(t, f.arrivals.countBetween(f.engines[0].ID(), announcedAt.Add(pause), time.Now()), "it gets requests again later")
	require.GreaterOrEqual(t, float64(f.servedRequests.Load()), 0.98*float64(f.sentRequests.Load()-int64(len(f.nodes))))
}

// If every upstream announces a limit and the limits suffice for all callers, a caller waits for a
// moment and is not refused because its node's share is used up.
func TestCallersAreServedWithinTheLimitsOfAllUpstreams(t *testing.T) {
	const atOnce = 3
	f := newNoticeFleet(t, 5, 2)
	for _, engine := range f.engines {
		engine.SetNotice(platformtest.EngineNotice{Limit: "8"})
	}
	f.load(0.8, atOnce)
	time.Sleep(3 * time.Second)
	sent, served := f.sentRequests.Load(), f.servedRequests.Load()
	time.Sleep(2 * limitWindow)
	inFlight := float64(len(f.nodes) * atOnce)
	require.GreaterOrEqual(t, float64(f.servedRequests.Load()-served), 0.98*float64(f.sentRequests.Load()-sent)-inFlight)
	require.LessOrEqual(t, f.arrivals.peak(f.engines[0].ID(), limitWindow, time.Time{}), allowedArrivals(8))
}

// A limit holds and is used, for any size of fleet, if no other upstream can take the work.
func TestLimitIsUsedAndHolds(t *testing.T) {
	f := newNoticeFleet(t, *limitNodes, 1)
	f.engines[0].SetNotice(platformtest.EngineNotice{Limit: strconv.FormatFloat(*limitRate, 'f', -1, 64)})
	f.load(max(2, 2**limitRate/float64(*limitNodes)), 1)
	announcedAt := time.Now()
	time.Sleep(contactBound + time.Second)
	countedFrom := time.Now()
	time.Sleep(4 * limitWindow)
	used := f.arrivals.countBetween(f.engines[0].ID(), countedFrom, time.Now())
	peak := f.arrivals.peak(f.engines[0].ID(), limitWindow, announcedAt.Add(contactBound))
	t.Logf("%d nodes, limit %v: %d requests in %v, at most %d in %v, allowed %d", *limitNodes, *limitRate, used,
		4*limitWindow, peak, limitWindow, allowedArrivals(*limitRate))
	require.LessOrEqual(t, peak, allowedArrivals(*limitRate))
	require.GreaterOrEqual(t, float64(used)+1, 0.8**limitRate*4*limitWindow.Seconds())
}
