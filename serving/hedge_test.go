package serving_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/quota"
	"github.com/persimmonline/persimmonline/rollout"
	"github.com/persimmonline/persimmonline/routing"
	"github.com/persimmonline/persimmonline/serving"
)

const (
	// warmUps is the number of fast answers by which a node learns what is usual.
	warmUps = 60
	// calmTime is the time after which slow requests no longer count as a part of a general slowness.
	calmTime = 5 * time.Second
	// stopTimeout bounds the wait for an upstream to notice that its request was given up.
	stopTimeout = 5 * time.Second
)

// hedged is a deployment that hedges. Its upstreams answer at once until slow is set.
type hedged struct {
	*deployment
	slow atomic.Pointer[behaviour]
	// canceled counts the requests that were given up while an upstream held them.
	canceled atomic.Int64
}

func deployHedged(t *testing.T, upstreams int, share float64, warmUpRoute string) *hedged {
	t.Helper()
	h := &hedged{}
	h.deployment = deployWith(t, upstreams, func(d *deployment, run int64, w http.ResponseWriter, r *http.Request) {
		if slow := h.slow.Load(); slow != nil {
			(*slow)(d, run, w, r)
			return
		}
		answers(d, run, w, r)
	}, func(settings *serving.Settings) {
		settings.HedgeShare = share
		settings.RetryRatio = 1
		settings.Logger = zerolog.New(zerolog.NewTestWriter(t))
		settings.Ledger = quota.NewLedger()
		settings.Ledger.Configure(map[string]quota.Limit{"w": {Rate: 10_000, Burst: 10_000}}, 1, 0, time.Now())
	})
	h.routes(func(route *catalog.Route) { route.Timeout = stopTimeout })
	for range warmUps {
		got := h.call(context.Background(), warmUpRoute, nil)
		require.Equal(t, 200, got.status, got.body)
	}
	h.runs.Store(0)
	h.pass(time.Second)
	return h
}

// answers answers as the route asks, signed by the upstream.
func answers(_ *deployment, _ int64, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Expect-Instance")
	_, _ = io.ReadAll(r.Body)
	w.Header().Set("X-Response-Signature", id)
	if strings.HasPrefix(r.URL.Path, "/resume/") {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprintf(w, "id: 1\ndata: %s\n\n", id)
		_ = http.NewResponseController(w).Flush()
		_, _ = fmt.Fprintf(w, "id: 2\ndata: %s\n\n", id)
		return
	}
	_, _ = fmt.Fprintf(w, "from %s", id)
}

// hold keeps a request until it is given up.
func (h *hedged) hold(_ *deployment, _ int64, _ http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	<-r.Context().Done()
	h.canceled.Add(1)
}

// routes edits the routes; no request may be under way.
func (h *hedged) routes(edit func(route *catalog.Route)) {
	config := h.view.Load().Table.Config
	for i := range config.Routes {
		edit(&config.Routes[i])
	}
}

// pass lets time pass on the clock of budgets and windows.
func (h *hedged) pass(time time.Duration) { h.clockOffset.Add(int64(time)) }

func (h *hedged) become(behave behaviour) { h.slow.Store(&behave) }

// hedges returns the count of hedges with a result.
func (h *hedged) hedges(result string) int {
	return h.counter("persimmonline_edge_hedges_total", result)
}

// counter returns the value of a counter with a label value.
func (h *hedged) counter(name, label string) int {
	families, err := h.registry.Gather()
	require.NoError(h.t, err)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			for _, pair := range metric.GetLabel() {
				if family.GetName() == name && pair.GetValue() == label {
					return int(metric.GetCounter().GetValue())
				}
			}
		}
	}
	return 0
}

func (h *hedged) requireCanceled(count int64) {
	h.t.Helper()
	require.Eventually(h.t, func() bool { return h.canceled.Load() == count }, stopTimeout, time.Millisecond)
}

func TestHedgeOneSlowEngineOfTwenty(t *testing.T) {
	h := deployHedged(t, 20, 0.5, "safe")
	var slow sync.Once
	var slowID atomic.Value
	h.become(func(d *deployment, run int64, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Expect-Instance")
		slow.Do(func() { slowID.Store(id) })
		if slowID.Load() == id {
			h.hold(d, run, w, r)
			return
		}
		answers(d, run, w, r)
	})
	got := h.call(context.Background(), "safe", nil)
	require.Equal(t, 200, got.status)
	require.NotEqual(t, slowID.Load(), got.header.Get("X-Response-Signature"))
	require.Equal(t, "from "+got.header.Get("X-Response-Signature"), got.body)
	require.Equal(t, 1, h.hedges("won"))
	h.requireCanceled(1)
}

func TestHedgesAreFewWhenAllEnginesAreSlowAtOnce(t *testing.T) {
	const callers, maxDueShare = 60, 0.2
	h := deployHedged(t, 20, 1, "safe")
	h.pass(calmTime)
	h.become(func(d *deployment, run int64, w http.ResponseWriter, r *http.Request) {
		time.Sleep(150 * time.Millisecond)
		answers(d, run, w, r)
	})
	var calls sync.WaitGroup
	for range callers {
		calls.Go(func() { h.call(context.Background(), "safe", nil) })
	}
	calls.Wait()
	require.LessOrEqual(t, h.hedges("won")+h.hedges("lost"), int(maxDueShare*callers))
	require.Positive(t, h.hedges("denied_all_slow"))
}

func TestHedgeBudgetUsedUp(t *testing.T) {
	h := deployHedged(t, 3, 1.0/(warmUps/2), "safe")
	h.become(func(d *deployment, run int64, w http.ResponseWriter, r *http.Request) {
		if run%2 == 1 {
			h.hold(d, run, w, r)
			return
		}
		answers(d, run, w, r)
	})
	for range 4 {
		h.pass(calmTime)
		require.Equal(t, 200, h.call(context.Background(), "safe", nil).status)
	}
	require.LessOrEqual(t, h.hedges("won"), 2)
	require.GreaterOrEqual(t, h.hedges("denied_share")+h.hedges("denied_engine_seconds"), 2)
}

func TestNoHedgeOfARequestThatMayRunOnce(t *testing.T) {
	h := deployHedged(t, 3, 1, "safe")
	h.become(h.hold)
	h.routes(func(route *catalog.Route) { route.Timeout = 500 * time.Millisecond })
	require.Equal(t, 504, h.call(context.Background(), "unsafe", nil).status)
	require.EqualValues(t, 1, h.runs.Load())
}

func TestHedgeCallerLeavesBetween(t *testing.T) {
	h := deployHedged(t, 3, 1, "safe")
	ctx, leave := context.WithCancel(context.Background())
	h.become(func(d *deployment, run int64, w http.ResponseWriter, r *http.Request) {
		if run == 2 {
			leave()
		}
		h.hold(d, run, w, r)
	})
	require.Error(t, h.call(ctx, "safe", nil).err)
	h.requireCanceled(2)
	require.EqualValues(t, 2, h.runs.Load())
}

func TestHedgeAnswerComesAsTheHedgeIsSent(t *testing.T) {
	const rounds = 5
	h := deployHedged(t, 3, 1, "safe")
	for range rounds {
		h.pass(calmTime)
		hedgeArrived := make(chan struct{})
		h.runs.Store(0)
		h.become(func(d *deployment, run int64, w http.ResponseWriter, r *http.Request) {
			if run == 1 {
				<-hedgeArrived
			} else {
				close(hedgeArrived)
			}
			answers(d, run, w, r)
		})
		got := h.call(context.Background(), "safe", nil)
		require.Equal(t, 200, got.status)
		require.Equal(t, "from "+got.header.Get("X-Response-Signature"), got.body)
		require.EqualValues(t, 2, h.runs.Load())
	}
	require.Equal(t, rounds, h.hedges("won")+h.hedges("lost"))
}

func TestHedgeBothFail(t *testing.T) {
	h := deployHedged(t, 3, 1, "safe")
	hedgeArrived := make(chan struct{})
	h.become(func(d *deployment, run int64, w http.ResponseWriter, r *http.Request) {
		if run == 1 {
			<-hedgeArrived
		} else {
			close(hedgeArrived)
		}
		status(500)(d, run, w, r)
	})
	got := h.call(context.Background(), "safe", nil)
	require.Equal(t, 500, got.status)
	require.Equal(t, "own failure", got.body)
	require.EqualValues(t, 2, h.runs.Load())
	require.Equal(t, 1, h.hedges("failed"))
}

func TestHedgeWithoutAnAnswerDoesNotWin(t *testing.T) {
	for name, broken := range map[string]behaviour{"no status": noStatus, "blank in a field's name": badName, "head ends early": halfHead} {
		t.Run(name, func(t *testing.T) {
			h := deployHedged(t, 3, 1, "safe")
			hedgeEnded := make(chan struct{})
			h.become(func(d *deployment, run int64, w http.ResponseWriter, r *http.Request) {
				if run == 1 {
					<-hedgeEnded
					time.Sleep(20 * time.Millisecond)
					answers(d, run, w, r)
					return
				}
				broken(d, run, w, r)
				close(hedgeEnded)
			})
			got := h.call(context.Background(), "safe", nil)
			require.Equal(t, 200, got.status)
			require.Contains(t, got.body, "from i-")
			require.EqualValues(t, 2, h.runs.Load())
		})
	}
}

func TestRetryAfterAHedge(t *testing.T) {
	h := deployHedged(t, 4, 1, "safe")
	h.routes(func(route *catalog.Route) { route.MaxAttempts = 3 })
	hedgeArrived := make(chan struct{})
	h.become(func(d *deployment, run int64, w http.ResponseWriter, r *http.Request) {
		switch run {
		case 1:
			<-hedgeArrived
			truncated(d, run, w, r)
		case 2:
			close(hedgeArrived)
			truncated(d, run, w, r)
		default:
			answers(d, run, w, r)
		}
	})
	got := h.call(context.Background(), "safe", nil)
	require.Equal(t, 200, got.status)
	require.EqualValues(t, 3, h.runs.Load())
}

func TestHedgedStreamWhoseLoserAnswersLater(t *testing.T) {
	h := deployHedged(t, 3, 1, "resume")
	h.become(func(d *deployment, run int64, w http.ResponseWriter, r *http.Request) {
		if run == 1 {
			h.hold(d, run, w, r)
		}
		answers(d, run, w, r)
	})
	got := h.call(context.Background(), "resume", nil)
	require.NoError(t, got.err)
	winner := got.header.Get("X-Response-Signature")
	require.Equal(t, fmt.Sprintf("id: 1\ndata: %s\n\nid: 2\ndata: %s\n\n", winner, winner), got.body)
	h.requireCanceled(1)
	require.Equal(t, 1, h.hedges("won"))
}

// A version on trial is slow: the second attempt goes to the old one, and does not hide that.
func TestHedgeAndTheVersionOnTrial(t *testing.T) {
	h := deployHedged(t, 2, 1, "safe")
	publish := func(share float64) {
		view := *h.view.Load()
		members := view.Fleet.ByService["s"]
		members[0].Generation, members[1].Generation = routing.OldGeneration, routing.NewGeneration
		view.Fleet = routing.NewFleet(map[string][]*routing.Upstream{"s": members}, routing.NewPrefixIndex(100), 1, time.Now())
		view.JudgesVersions, view.Rollouts = true, map[string]*serving.Rollout{"s": onTrial(share)}
		h.view.Store(&view)
	}
	publish(0)
	for range warmUps {
		require.Equal(t, "i-0", h.call(context.Background(), "safe", nil).header.Get("X-Response-Signature"))
	}
	publish(1)
	h.become(func(d *deployment, run int64, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Expect-Instance") == "i-1" {
			h.hold(d, run, w, r)
			return
		}
		answers(d, run, w, r)
	})
	require.Equal(t, "from i-0", h.call(context.Background(), "safe", nil).body)
	require.Equal(t, 1, h.hedges("won"))
	tally := h.handler.RolloutReport()["s@1"]["safe"]
	require.EqualValues(t, 1, rollout.Get(tally, rollout.New, rollout.Sent))
	require.EqualValues(t, 1, rollout.Get(tally, rollout.New, rollout.Slow))
}

// The first attempt answers when it would long have been given up without a second one.
func TestFirstAttemptWinsLateAndItsStreamGoesOn(t *testing.T) {
	h := deployHedged(t, 4, 1, "resume")
	retries := h.counter("persimmonline_edge_retries_total", "granted")
	h.routes(func(route *catalog.Route) { route.MaxAttempts = 3 })
	h.become(func(d *deployment, run int64, w http.ResponseWriter, r *http.Request) {
		if run > 1 {
			h.hold(d, run, w, r)
			return
		}
		time.Sleep(400 * time.Millisecond)
		answers(d, run, w, r)
	})
	got := h.call(context.Background(), "resume", nil)
	winner := got.header.Get("X-Response-Signature")
	require.Equal(t, fmt.Sprintf("id: 1\ndata: %s\n\nid: 2\ndata: %s\n\n", winner, winner), got.body)
	require.EqualValues(t, 2, h.runs.Load())
	require.Equal(t, 1, h.hedges("lost"))
	require.Equal(t, retries+1, h.counter("persimmonline_edge_retries_total", "granted"))
}
