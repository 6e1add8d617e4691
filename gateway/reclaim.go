package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/retry"
)

// movePoll is the interval at which an attempt looks for an upstream to move to.
const movePoll = 100 * time.Millisecond

// WatchLeavingUpstreams moves attempts away from upstreams that are leaving, until ctx ends.
func (g *Gateway) WatchLeavingUpstreams(ctx context.Context) {
	scheduled := map[*attempt]bool{}
	for {
		changed := g.Control.Changed()
		g.scheduleMoves(scheduled)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// scheduleMoves schedules a move for each attempt whose upstream is leaving.
func (g *Gateway) scheduleMoves(scheduled map[*attempt]bool) {
	now := time.Now()
	for a := range scheduled {
		if _, runs := g.running.Load(a); !runs {
			delete(scheduled, a)
		}
	}
	leaving := map[string]time.Time{}
	for _, member := range g.Control.Snapshot().Members.Upstreams {
		if member.Health == membership.StateLeaving {
			leaving[member.ID] = member.ReclaimAt
		}
	}
	if len(leaving) == 0 {
		return
	}
	g.running.Range(func(key, value any) bool {
		a := key.(*attempt)
		reclaimAt, isLeaving := leaving[a.chosen.ID]
		if !isLeaving || scheduled[a] {
			return true
		}
		scheduled[a] = true
		at := retry.MoveAt(retry.Leaving{SeenAt: now, ReclaimAt: reclaimAt, Spread: spreadOf(a.state.call.id)})
		go g.moveAway(value.(context.Context), a, time.Until(at))
		return true
	})
}

// moveAway ends an attempt after a wait, once another upstream can take the request.
// It exports the KV cache before it cancels the stream.
func (g *Gateway) moveAway(ctx context.Context, a *attempt, wait time.Duration) {
	sleep(ctx, wait)
	excluded := map[string]bool{a.chosen.ID: true}
	for ctx.Err() == nil {
		if _, err := g.choose(a.state.call, excluded); err == nil {
			a.setKV(g.exportKV(ctx, a.chosen.Address, a.state.call.id))
			a.cancel(errMoved)
			return
		}
		sleep(ctx, movePoll)
	}
}

// spreadOf hashes a request id to a number in [0, 1).
func spreadOf(requestID string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(requestID)>>(64-bits)) / (1 << bits)
}
