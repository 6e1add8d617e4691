package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/persimmonline/persimmonline/membership"
)

// stage of an attempt.
type stage int

// Stages of an attempt; the connection itself has the deadline of the pool.
const (
	stageHeaders stage = iota
	stageFirstChunk
	stageNextChunk
	stages
)

const (
	// headersTimeout bounds the wait for the headers of an answer.
	headersTimeout = 5 * time.Second
	// firstChunkTimeout bounds the wait for the first chunk, besides the prefill.
	firstChunkTimeout = 10 * time.Second
	// prefillFloor is the slowest prefill that counts as progress, in tokens a second.
	prefillFloor = 1000
	// nextChunkTimeout bounds the wait for each further chunk.
	nextChunkTimeout = 2 * time.Second
	// maxSilences is how often one request goes on at an upstream whose connection
	// went silent.
	maxSilences = 2

	// probeTimeout bounds one probe, and one export or cancel.
	probeTimeout = time.Second
	// probes are made of an upstream whose connection broke.
	probes = 4
	// aliveProbes in a row show that an upstream is alive.
	aliveProbes = 2
	// probePause is the time between two probes.
	probePause = 50 * time.Millisecond
)

// deadlines returns the progress deadline of each stage. They double with each
// silence, so that a slow upstream is not taken for a silent connection for ever.
func deadlines(promptTokens, silences int) [stages]time.Duration {
	prefill := time.Duration(promptTokens) * time.Second / prefillFloor
	factor := time.Duration(1 << silences)
	return [stages]time.Duration{
		stageHeaders:    factor * headersTimeout,
		stageFirstChunk: factor * (firstChunkTimeout + prefill),
		stageNextChunk:  factor * nextChunkTimeout,
	}
}

// watchdog cancels an attempt that makes no progress.
type watchdog struct {
	timer     *time.Timer
	deadlines [stages]time.Duration
}

func newWatchdog(cancel context.CancelCauseFunc, deadlines [stages]time.Duration) *watchdog {
	timer := time.AfterFunc(deadlines[stageHeaders], func() { cancel(errSilent) })
	return &watchdog{timer: timer, deadlines: deadlines}
}

// enter notes progress: the next deadline is that of the stage.
func (w *watchdog) enter(s stage) { w.timer.Reset(w.deadlines[s]) }

func (w *watchdog) stop() { w.timer.Stop() }

// condition of an upstream after a failure.
type condition int

// Conditions of an upstream.
const (
	// upstreamUnreachable does not answer; its process may be alive.
	upstreamUnreachable condition = iota
	// upstreamAlive is the same process as before.
	upstreamAlive
	// upstreamDied is a process that has ended.
	upstreamDied
)

// probe asks an upstream for its load on new connections, and retires the old ones.
// A process that is about to end may still answer once, so one answer is not enough.
func (g *Gateway) probe(ctx context.Context, chosen *choice) condition {
	g.Pool.Retire(chosen.Address)
	alive := 0
	for i := range probes {
		if i > 0 {
			pause(ctx, probePause)
		}
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		load, err := g.Pool.Get(chosen.Address).Load(probeCtx)
		cancel()
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return upstreamDied
		case errors.Is(err, context.DeadlineExceeded):
			return upstreamUnreachable
		case err != nil:
			g.Pool.Retire(chosen.Address)
			continue
		case chosen.Incarnation != "" && load.Incarnation != chosen.Incarnation:
			return upstreamDied
		}
		if alive++; alive >= aliveProbes {
			return upstreamAlive
		}
	}
	return upstreamUnreachable
}

// leaving says whether an upstream is known to be leaving.
func (g *Gateway) leaving(id string) bool {
	for _, member := range g.Control.Snapshot().Members.Upstreams {
		if member.ID == id {
			return member.Health == membership.StateLeaving
		}
	}
	return false
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
