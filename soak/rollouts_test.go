package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/platform/platformtest"
	"github.com/persimmonline/persimmonline/rollout"
)

const (
	// rolloutTime is the time that an order allows, turnsAfter when a version turns that turns late.
	rolloutTime = 10 * time.Second
	turnsAfter  = 6 * time.Second
	// rolloutSlots is the first slot of the worlds with rollouts.
	rolloutSlots = 100
	// badAnswersBound and rollbackBound: so long after so many bad answers a version gets nothing.
	badAnswersBound = 50
	rollbackBound   = 5 * time.Second
)

// rolloutCase is a rollout of the streams' engines.
type rolloutCase struct {
	name string
	// work of the new version's engines; failing is the share of their answers that fail, from
	// the start or late.
	work    time.Duration
	failing float64
	late    bool
	// killed is set if all nodes are lost in the middle.
	killed bool
	phase  rollout.Phase
}

func TestRollouts(t *testing.T) {
	if testing.Short() {
		t.Skip("processes take their time")
	}
	for slot, c := range []rolloutCase{
		{"good", engineWork, 0, false, false, rollout.Complete},
		{"fails", engineWork, 0.4, false, false, rollout.Reverted},
		{"slow", 10 * engineWork, 0, false, false, rollout.Reverted},
		{"fails late", engineWork, 0.4, true, false, rollout.Reverted},
		{"fails, all nodes lost", engineWork, 0.4, false, true, rollout.Reverted},
	} {
		t.Run(c.name, func(t *testing.T) { playRollout(t, rolloutSlots+slot, c) })
	}
}

func playRollout(t *testing.T, slot int, c rolloutCase) {
	w := newWorld(t, slot, logDir(t, uint64(slot)))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	rotation := w.nodes
	w.callers.rotation.Store(&rotation)
	go w.heartbeat(ctx)
	go w.callers.balance(ctx)
	w.callers.workers.Add(workers)
	for i := range workers {
		go w.callers.work(ctx, rand.New(rand.NewPCG(uint64(slot), uint64(i))))
	}
	sleep(ctx, warmUp)
	old := w.serving()
	order, err := json.Marshal(map[string]any{"service": serviceStreams, "to": "v2", "durationS": rolloutTime.Seconds()})
	require.NoError(t, err)
	w.store.Put(platform.TopicOperator, "rollout/"+serviceStreams, order)
	ordered := time.Now()
	fresh := map[string]bool{}
	var engines []*engineHost
	for range enginesPerService {
		engine, err := w.addVersion(serviceStreams, "v2", c.work)
		require.NoError(t, err)
		fresh[engine.ID()] = true
		engines = append(engines, engine)
	}
	turn := func() {
		for _, engine := range engines {
			engine.SetFaults(platformtest.EngineFaults{Fail: c.failing})
		}
	}
	if !c.late {
		turn()
	}
	phase, completed := rollout.Phase(""), time.Time{}
	for age := time.Duration(0); age < rolloutTime+rollbackBound; age = time.Since(ordered) {
		sleep(ctx, 50*time.Millisecond)
		if c.late && age > turnsAfter {
			turn()
		}
		if c.killed && age > time.Second {
			c.killed = false
			w.crash(ctx, rand.New(rand.NewPCG(1, 1)), w.nodes...)
		}
		if phase = w.rolloutPhase(t); phase == rollout.Complete && completed.IsZero() {
			completed = time.Now()
			for _, engine := range old {
				if engine.service == serviceStreams {
					w.endEngine(engine)
				}
			}
		}
	}
	cancel()
	w.callers.workers.Wait()
	require.Equal(t, c.phase, phase)
	if c.phase == rollout.Complete {
		require.Less(t, completed.Sub(ordered), rolloutTime)
		w.checkRecovery(completed.Add(time.Second))
	} else {
		w.checkExposure(fresh, ordered)
	}
	require.Empty(t, w.observed.violations)
}

// rolloutPhase returns the phase that the operator reads.
func (w *world) rolloutPhase(t *testing.T) rollout.Phase {
	raw := w.store.Newest(platform.TopicStatus, "rollout/"+serviceStreams)
	if raw == nil {
		return ""
	}
	status, err := platform.DecodeRolloutStatus(platform.KeyedRecord{Value: raw})
	require.NoError(t, err)
	return status.Phase
}

// checkExposure checks how many requests a bad version got.
func (w *world) checkExposure(fresh map[string]bool, ordered time.Time) {
	w.observed.mu.Lock()
	asked, exposed := 0, 0
	var bad []time.Time
	for _, a := range w.observed.arrivals {
		if a.service != serviceStreams || a.at.Before(ordered) || a.at.After(ordered.Add(rolloutTime)) {
			continue
		}
		asked++
		if fresh[a.engine] {
			exposed++
		}
	}
	for _, runs := range w.observed.runs {
		for _, run := range runs {
			if fresh[run.Engine] && !run.Answered {
				bad = append(bad, run.Ended)
			}
		}
	}
	slices.SortFunc(bad, time.Time.Compare)
	after := 0
	for _, a := range w.observed.arrivals {
		if len(bad) >= badAnswersBound && fresh[a.engine] && a.at.After(bad[badAnswersBound-1].Add(rollbackBound)) {
			after++
		}
	}
	w.observed.mu.Unlock()
	if limit := canaryShare*float64(asked) + canarySlack; float64(exposed) > limit {
		w.observed.violation("exposure: a bad version got %d of %d requests, at most %.0f", exposed, asked, limit)
	}
	if after > 0 {
		w.observed.violation("exposure: a bad version got %d requests over %s after it had failed %d times", after, rollbackBound, badAnswersBound)
	}
	if exposed == 0 {
		w.observed.violation("a version was reverted that got no request")
	}
}
