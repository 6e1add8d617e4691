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
	// firstChunkTimeout bounds the wait for the first chunk, in addition to the prefill.
	firstChunkTimeout = 10 * time.Second
	// minPrefillRate is the slowest prefill that counts as progress, in tokens per second.
	minPrefillRate = 1000
	// nextChunkTimeout bounds the wait for each further chunk.
	nextChunkTimeout = 2 * time.Second
	// maxSilentConnections is how often one request resumes at the same upstream after a
	// connection without progress.
	maxSilentConnections = 2

	// probeTimeout bounds one probe, and one export or cancel.
	probeTimeout = time.Second
	// maxProbes bounds the probes of an upstream whose connection broke.
	maxProbes = 4
	// requiredProbes is the number of successful probes that show that an upstream is alive.
	requiredProbes = 2
	// probeInterval is the time between two probes.
	probeInterval = 50 * time.Millisecond
)

// deadlines returns the progress deadline of each stage. They double with each silent
// connection, so that a slow upstream is not mistaken for one indefinitely.
func deadlines(promptTokens, silentConnections int) [stages]time.Duration {
	prefill := time.Duration(promptTokens) * time.Second / minPrefillRate
	factor := time.Duration(1 << silentConnections)
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

// enter records progress and sets the deadline of the next stage.
func (w *watchdog) enter(s stage) { w.timer.Reset(w.deadlines[s]) }

func (w *watchdog) stop() { w.timer.Stop() }

// condition of an upstream after a failure.
type condition int

// Conditions of an upstream.
const (
	// upstreamUnreachable means no response; the process may be alive.
	upstreamUnreachable condition = iota
	// upstreamAlive means that the same process as before responds.
	upstreamAlive
	// upstreamDied means that the process has ended.
	upstreamDied
)

// probe reads the load of an upstream over new connections and retires the old ones. A
// process that is about to end may still respond once, so one response is not enough.
func (g *Gateway) probe(ctx context.Context, chosen *choice) condition {
	g.Pool.Retire(chosen.Address)
	succeeded := 0
	for i := range maxProbes {
		if i > 0 {
			sleep(ctx, probeInterval)
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
		if succeeded++; succeeded >= requiredProbes {
			return upstreamAlive
		}
	}
	return upstreamUnreachable
}

// isLeaving reports whether an upstream is known to be leaving.
func (g *Gateway) isLeaving(id string) bool {
	for _, member := range g.Control.Snapshot().Members.Upstreams {
		if member.ID == id {
			return member.Health == membership.StateLeaving
		}
	}
	return false
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
