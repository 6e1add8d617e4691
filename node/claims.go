package node

import (
	"context"
	"time"

	"github.com/persimmonline/persimmonline/control"
)

// peerTimeout is how long a peer counts as live after its last heartbeat.
const peerTimeout = 10 * time.Second

// newDuties returns the runner of the control duties, each of which any node may hold.
func (n *Node) newDuties() *control.Duties {
	return control.NewDuties(n.feeds.Log, n.settings.NodeID, n.incarnation, n.logger,
		control.DutySnapshots, control.DutyPlanner, control.DutyEngineOrders, control.DutyClaimCheckpoints)
}

// liveNodes returns the number of live nodes that share the log, including this one.
func (n *Node) liveNodes() int {
	live := 1
	for _, peer := range n.control.Snapshot().Peers {
		if time.Since(peer.LastSeen) < peerTimeout {
			live++
		}
	}
	return live
}

// handOver waits for the calls in flight that must not be repeated, then hands the
// operations held by this incarnation to a successor.
func (n *Node) handOver(ctx context.Context) {
	if err := n.gateway.WaitCalls(ctx); err != nil {
		n.logger.Warn().Err(err).Msg("calls still in flight at handover; the successor does not know their outcome")
	}
	handoverCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopMargin)
	defer cancel()
	if err := n.gateway.HandOverOperations(handoverCtx); err != nil {
		n.logger.Warn().Err(err).Msg("operations not handed over; their outcome is unknown from now on")
	}
}

// flushCalls waits for the last calls to end and for their outcomes to be written to the
// log.
func (n *Node) flushCalls(ctx context.Context) {
	if err := n.gateway.WaitCalls(ctx); err != nil {
		n.logger.Warn().Err(err).Msg("canceling calls still in flight")
	}
	n.gateway.Abort()
	flushCtx, cancel := context.WithTimeout(ctx, stopMargin)
	defer cancel()
	n.claims.Close(flushCtx)
}

// abortCalls cancels all calls and drops their pending records, as a crash would.
func (n *Node) abortCalls() {
	n.gateway.Abort()
	n.claims.Abort()
}
