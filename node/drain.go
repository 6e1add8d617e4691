package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// stopMargin is the time for the last answers to end after the drain.
	stopMargin = 2 * time.Second
	// reclaimMargin is how long before its own reclaim a node has finished draining.
	reclaimMargin = 500 * time.Millisecond
	// drainFraction is the part of the time before a reclaim in which requests may finish
	// here; in the rest the successors' answers are relayed to the callers of this node.
	drainFraction = 0.4
)

// drain is the state of the drain of a node, which happens once.
type drain struct {
	once sync.Once
	err  error
	// reclaimed is closed once the node has drained because of a reclaim of its host.
	reclaimed chan struct{}
}

// Reclaimed returns a channel that is closed once the node has drained because its
// host is being reclaimed; the process should stop then.
func (n *Node) Reclaimed() <-chan struct{} { return n.drain.reclaimed }

// Stop shuts the node down gracefully: it turns readiness off, waits for the balancer's
// grace period, lets requests in flight finish, hands over the remaining ones and closes
// the listeners. It returns an error if a request was interrupted.
func (n *Node) Stop(ctx context.Context) error {
	n.drainOnce(ctx, n.settings.ReadinessGrace, n.settings.DrainTimeout, n.settings.DrainTimeout)
	n.gateway.Store().Cancel()
	stopCtx, cancelStop := context.WithTimeout(ctx, n.settings.DrainTimeout+stopMargin)
	defer cancelStop()
	failures := []error{n.drain.err}
	for _, server := range n.servers() {
		failures = append(failures, server.Shutdown(stopCtx))
	}
	n.flushCalls(stopCtx)
	n.close()
	n.logger.Info().Msg("node stopped")
	return errors.Join(failures...)
}

// drainOnce drains the node; a second call waits for the first. Requests may run here for
// finishTimeout; after a handover their answers are relayed for up to relayTimeout.
func (n *Node) drainOnce(ctx context.Context, grace, finishTimeout, relayTimeout time.Duration) {
	n.drain.once.Do(func() {
		n.draining.Store(true)
		n.gateway.Drain()
		n.logger.Info().Dur("finish", finishTimeout).Msg("draining")
		sleep(ctx, grace)
		n.gateway.RejectNewWork()
		finishCtx, cancelFinish := context.WithTimeout(ctx, finishTimeout)
		defer cancelFinish()
		unfinished := n.gateway.Store().Wait(finishCtx)
		n.handOver(finishCtx)
		if unfinished == nil {
			return
		}
		relayCtx, cancelRelay := context.WithTimeout(ctx, relayTimeout)
		defer cancelRelay()
		if err := n.gateway.HandOverRequests(relayCtx); err != nil {
			n.drain.err = fmt.Errorf("drain node %s: %w", n.settings.NodeID, err)
		}
	})
}

// watchOwnReclaim drains the node when its own host is being reclaimed.
func (n *Node) watchOwnReclaim(ctx context.Context) {
	for {
		changed := n.control.Changed()
		for _, notice := range n.control.Snapshot().Notices {
			reclaimAt := time.UnixMilli(notice.ReclaimAtMS)
			otherIncarnation := notice.Incarnation != "" && notice.Incarnation != n.incarnation
			if notice.HostID != n.settings.HostID || otherIncarnation || reclaimAt.Before(time.Now()) {
				continue
			}
			n.drainBefore(ctx, reclaimAt)
			close(n.drain.reclaimed)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// drainBefore drains the node so that it is done before its host is reclaimed.
func (n *Node) drainBefore(ctx context.Context, reclaimAt time.Time) {
	remaining := max(0, time.Until(reclaimAt)-reclaimMargin)
	n.logger.Warn().Dur("left", remaining).Msg("own host is being reclaimed")
	finishTimeout := min(n.settings.DrainTimeout, time.Duration(float64(remaining)*drainFraction))
	n.drainOnce(ctx, 0, finishTimeout, max(0, remaining-finishTimeout))
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
