package node

import (
	"context"
	"time"

	"github.com/persimmonline/persimmonline/control"
)

// peerLife is how long after its last heartbeat a peer counts as live.
const peerLife = 10 * time.Second

// newDuties returns the runner of the control duties that any node may hold.
func (n *Node) newDuties() *control.Duties {
	return control.NewDuties(n.feeds.Log, n.settings.NodeID, n.incarnation, n.logger,
		control.DutySnapshots, control.DutyPlanner, control.DutyEngineOrders, control.DutyClaimCheckpoints)
}

// liveNodes returns the number of nodes that share the log, with this one.
func (n *Node) liveNodes() int {
	live := 1
	for _, known := range n.control.Snapshot().Peers {
		if time.Since(known.LastSeen) < peerLife {
			live++
		}
	}
	return live
}

// handOver waits for the calls in flight that may not be repeated, then hands the
// operations that this incarnation holds to a successor.
func (n *Node) handOver(ctx context.Context) {
	if err := n.gateway.WaitCalls(ctx); err != nil {
		n.logger.Warn().Err(err).Msg("calls are left at the hand-over; their outcome is unknown to the successor")
	}
	handoverCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopMargin)
	defer cancel()
	if err := n.gateway.HandOverOperations(handoverCtx); err != nil {
		n.logger.Warn().Err(err).Msg("operations not handed over; their outcome is unknown from now on")
	}
}

// settleCalls waits for the last calls and for their outcomes to be in the log.
func (n *Node) settleCalls(ctx context.Context) {
	if err := n.gateway.WaitCalls(ctx); err != nil {
		n.logger.Warn().Err(err).Msg("calls are cut off")
	}
	n.gateway.Abort()
	settleCtx, cancel := context.WithTimeout(ctx, stopMargin)
	defer cancel()
	n.claims.Close(settleCtx)
}

// abortCalls ends calls and what they would write, as a crash would.
func (n *Node) abortCalls() {
	n.gateway.Abort()
	n.claims.Abort()
}
