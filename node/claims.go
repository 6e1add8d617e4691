package node

import "github.com/persimmonline/persimmonline/control"

// newDuties returns the runner of the control duties that any node may hold.
func (n *Node) newDuties() *control.Duties {
	return control.NewDuties(n.feeds.Log, n.settings.NodeID, n.incarnation, n.logger,
		control.DutySnapshots, control.DutyPlanner, control.DutyEngineOrders, control.DutyClaimCheckpoints)
}
