package serving_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/rollout"
	"github.com/persimmonline/persimmonline/routing"
	"github.com/persimmonline/persimmonline/serving"
)

// rolloutDeployment has one upstream of the old version, "old", and two of the new, "new".
func rolloutDeployment(t *testing.T, move *serving.Rollout, behave func(version string, w http.ResponseWriter)) *deployment {
	d := deploy(t, 3, func(d *deployment, _ int64, w http.ResponseWriter, r *http.Request) {
		version := "new"
		if r.Header.Get("X-Expect-Instance") == "i-0" {
			version = "old"
		}
		behave(version, w)
	})
	view := *d.view.Load()
	members := view.Fleet.ByService["s"]
	members[0].Generation, members[1].Generation, members[2].Generation = routing.OldGeneration, routing.NewGeneration, routing.NewGeneration
	view.Fleet = routing.NewFleet(map[string][]*routing.Upstream{"s": members}, routing.NewPrefixIndex(100), 1, time.Now())
	view.JudgesVersions = true
	view.Rollouts = map[string]*serving.Rollout{"s": move}
	d.view.Store(&view)
	return d
}

func onTrial(share float64) *serving.Rollout {
	now := time.Now()
	return &serving.Rollout{
		Order: "s@1", Share: share, ExpiresAt: now.Add(time.Minute), EndsAt: now.Add(time.Minute), CountedFrom: now,
		Bounds: rollout.Bounds{CanaryShare: 0.1, CanarySlack: 1000}, Nodes: 1,
	}
}

func named(version string, w http.ResponseWriter) {
	w.Header().Set("X-Response-Signature", "s")
	_, _ = w.Write([]byte(version))
}

func TestSideOfARequest(t *testing.T) {
	expired, moving, early := onTrial(1), onTrial(0), onTrial(0)
	expired.ExpiresAt = time.Now().Add(-time.Second)
	moving.Moving, moving.CompleteAt = true, time.Now()
	early.Moving, early.CompleteAt = true, time.Now().Add(time.Minute)
	exhausted := onTrial(1)
	exhausted.Bounds.CanarySlack = 0
	for name, c := range map[string]struct {
		move *serving.Rollout
		want string
	}{
		"on trial":                       {onTrial(1), "new"},
		"without a share":                {onTrial(0), "old"},
		"decision too old":               {expired, "old"},
		"would run beyond completion":    {moving, "new"},
		"ends before completion":         {early, "old"},
		"the node's bound is exhausted":  {exhausted, "old"},
		"complete":                       {&serving.Rollout{Settled: routing.NewGeneration}, "new"},
		"reverted":                       {&serving.Rollout{Settled: routing.OldGeneration}, "old"},
		"a version that is not in force": {&serving.Rollout{Settled: routing.OldGeneration}, "old"},
	} {
		t.Run(name, func(t *testing.T) {
			d := rolloutDeployment(t, c.move, named)
			require.Equal(t, c.want, d.call(t.Context(), "safe", nil).body)
		})
	}
}

// A request that failed at the new version is repeated at the old one.
func TestRepeatLeavesTheVersionOnTrial(t *testing.T) {
	d := rolloutDeployment(t, onTrial(1), func(version string, w http.ResponseWriter) {
		if version == "new" {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		named(version, w)
	})
	require.Equal(t, "old", d.call(t.Context(), "safe", nil).body)
}

// A node that has not heard of a completion finds only new engines.
func TestOldEnginesAreGoneAndTheDecisionIsOld(t *testing.T) {
	move := onTrial(0)
	move.ExpiresAt = time.Now().Add(-time.Second)
	d := rolloutDeployment(t, move, named)
	view := *d.view.Load()
	view.Fleet = routing.NewFleet(map[string][]*routing.Upstream{"s": view.Fleet.ByService["s"][1:]}, routing.NewPrefixIndex(100), 1, time.Now())
	d.view.Store(&view)
	require.Equal(t, "new", d.call(t.Context(), "safe", nil).body)
}

// The judge of versions sees what comes after the first event.
func TestPaceOfAStreamIsJudged(t *testing.T) {
	const usual, events = 2 * time.Millisecond, 12
	for name, c := range map[string]struct {
		pause, interval time.Duration
		stalled         int64
	}{
		"as usual":                    {usual, usual, 0},
		"a pause within the slack":    {10 * usual, usual, 0},
		"stalls once":                 {75 * usual, usual, 1},
		"goes on slowly":              {usual, 12 * usual, 1},
		"stalls until it is given up": {500 * usual, usual, 1},
	} {
		t.Run(name, func(t *testing.T) {
			write := func(version string, w http.ResponseWriter) {
				pause, interval := usual, usual
				if version == "new" {
					pause, interval = c.pause, c.interval
				}
				w.Header().Set("X-Response-Signature", "s")
				w.Header().Set("Content-Type", "text/event-stream")
				for id := 1; id <= events; id++ {
					_, _ = io.WriteString(w, event(id))
					_ = http.NewResponseController(w).Flush()
					time.Sleep(pause)
					pause = interval
				}
			}
			d := rolloutDeployment(t, onTrial(0), write)
			for range 6 {
				require.Equal(t, http.StatusOK, d.call(t.Context(), "stream", nil).status)
			}
			view := *d.view.Load()
			view.Rollouts = map[string]*serving.Rollout{"s": onTrial(1)}
			d.view.Store(&view)
			d.call(t.Context(), "stream", nil)
			tally := d.handler.RolloutReport()["s@1"]["stream"]
			require.EqualValues(t, 1, rollout.Get(tally, rollout.New, rollout.Paced))
			require.Equal(t, c.stalled, rollout.Get(tally, rollout.New, rollout.Stalled))
			require.Zero(t, rollout.Get(tally, rollout.New, rollout.Slow))
			require.Zero(t, rollout.Get(tally, rollout.Old, rollout.Stalled))
		})
	}
}
