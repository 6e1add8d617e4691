package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// stopMargin is the time that the last answers have after the drain.
	stopMargin = 2 * time.Second
	// reclaimMargin is the time before its own reclaim at which a node has nothing left.
	reclaimMargin = 500 * time.Millisecond
	// drainShare of the time before a reclaim is for requests to finish here; the rest
	// is for the successors' answers to reach the callers of this node.
	drainShare = 0.4
)

// drain is the one drain of a node.
type drain struct {
	once sync.Once
	err  error
	// reclaimed is closed once the node has drained because its host is reclaimed.
	reclaimed chan struct{}
}

// Reclaimed returns a channel that is closed once the node has drained because its
// host is being reclaimed; the process should stop then.
func (n *Node) Reclaimed() <-chan struct{} { return n.drain.reclaimed }

// Stop is the planned stop: readiness off, a grace for the balancer, the requests in
// flight, then a handover of the rest, then the listeners. It returns an error if a
// request was cut off.
func (n *Node) Stop(ctx context.Context) error {
	n.drainOnce(ctx, n.settings.ReadinessGrace, n.settings.DrainTimeout, n.settings.DrainTimeout)
	n.gateway.Store().Cancel()
	stopCtx, cancelStop := context.WithTimeout(ctx, n.settings.DrainTimeout+stopMargin)
	defer cancelStop()
	failures := []error{n.drain.err}
	for _, server := range n.servers() {
		failures = append(failures, server.Shutdown(stopCtx))
	}
	n.settleCalls(stopCtx)
	n.close()
	n.logger.Info().Msg("node stopped")
	return errors.Join(failures...)
}

// drainOnce drains the node; a second call waits for the first. Requests have finish
// to end here; the answers of what was handed over have relay to reach the callers.
func (n *Node) drainOnce(ctx context.Context, grace, finish, relay time.Duration) {
	n.drain.once.Do(func() {
		n.draining.Store(true)
		n.gateway.Drain()
		n.logger.Info().Dur("finish", finish).Msg("draining")
		wait(ctx, grace)
		n.gateway.RejectNewWork()
		finishCtx, cancelFinish := context.WithTimeout(ctx, finish)
		defer cancelFinish()
		unfinished := n.gateway.Store().Wait(finishCtx)
		n.handOver(finishCtx)
		if unfinished == nil {
			return
		}
		relayCtx, cancelRelay := context.WithTimeout(ctx, relay)
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
		for _, leaving := range n.control.Snapshot().Notices {
			reclaimAt := time.UnixMilli(leaving.ReclaimAtMS)
			other := leaving.Incarnation != "" && leaving.Incarnation != n.incarnation
			if leaving.HostID != n.settings.HostID || other || reclaimAt.Before(time.Now()) {
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

// drainBefore drains the node so that it has nothing left when its host goes.
func (n *Node) drainBefore(ctx context.Context, reclaimAt time.Time) {
	left := max(0, time.Until(reclaimAt)-reclaimMargin)
	n.logger.Warn().Dur("left", left).Msg("own host is being reclaimed")
	finish := min(n.settings.DrainTimeout, time.Duration(float64(left)*drainShare))
	n.drainOnce(ctx, 0, finish, max(0, left-finish))
}

// wait returns after d or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
