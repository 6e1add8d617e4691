package edge

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/quota"
)

// quotaParent returns the node to which this node reports its usage of quotas: its hub, or for a
// hub that of the first cell that has a live one; nil if this node is the root. A parent always
// ranks before its children, so that usage can't be reported in a circle.
func (c *control) quotaParent(now time.Time) *peerState {
	if hub := c.reportsTo; hub != nil {
		if c.ranksBefore(hub.name, c.edge.settings.Name) {
			return hub
		}
		return nil
	}
	own := c.ownCell()
	for _, name := range c.cells.Cells() {
		if name >= own {
			return nil
		}
		if hub := c.likelyHub(name, now); hub != nil && hub.live(now) && hub.responsive() {
			return hub
		}
	}
	return nil
}

// ranksBefore reports whether the first node comes before the second in the order of cells and of
// the members of a cell.
func (c *control) ranksBefore(first, second string) bool {
	cell, known := c.cells.CellOf(first)
	other, otherKnown := c.cells.CellOf(second)
	if !known || !otherKnown || cell == other {
		return c.cells.Precedes(first, second)
	}
	return cell < other
}

// setQuotaParent passes the incarnation of the parent to the ledger.
func (c *control) setQuotaParent(now time.Time) {
	incarnation := ""
	if parent := c.quotaParent(now); parent != nil {
		incarnation = parent.incarnation
	}
	c.edge.ledgerLock.Lock()
	defer c.edge.ledgerLock.Unlock()
	c.edge.ledger.SetParent(incarnation, now)
	c.quotaParentIncarnation = incarnation
}

// addQuota adds the usage of quotas to a message: a report to the parent, a grant to a node that
// reports to this one, and levels to one that has just started.
func (c *control) addQuota(message *api.EdgeExchange, to *peerState, now time.Time) {
	c.edge.ledgerLock.Lock()
	defer c.edge.ledgerLock.Unlock()
	ledger, isParent := c.edge.ledger, c.isQuotaParent(to)
	if to.needsQuotaLevels {
		message.QuotaLevels = ledger.LevelsForNewcomer(isParent, now)
	}
	if isParent {
		if report, ok := ledger.Report(now); ok {
			message.QuotaReport = &api.EdgeQuotaReport{Parent: report.Parent, Session: report.Session, Used: report.Used, Nodes: report.Nodes}
		}
		return
	}
	if grant, ok := ledger.GrantFor(to.incarnation, now); ok {
		message.QuotaGrant = &api.EdgeQuotaGrant{Session: grant.Session, Credit: grant.Credit, Nodes: grant.Nodes}
	}
}

// applyQuota applies the report, the grant or the levels in a peer's message.
func (c *control) applyQuota(peer *peerState, message *api.EdgeExchange, now time.Time) {
	c.edge.ledgerLock.Lock()
	defer c.edge.ledgerLock.Unlock()
	ledger := c.edge.ledger
	if report := message.QuotaReport; report != nil && report.Parent == c.edge.incarnation && c.ranksBefore(c.edge.settings.Name, peer.name) {
		ledger.ApplyReport(quota.Report{
			Node: peer.incarnation, Parent: report.Parent, Session: report.Session, Used: report.Used, Nodes: report.Nodes, SentAt: time.UnixMilli(message.SentMS),
		}, message.QuotaLevels, now)
		return
	}
	ledger.AdoptLevels(message.QuotaLevels, now)
	if grant := message.QuotaGrant; grant != nil && c.isQuotaParent(peer) {
		ledger.ApplyGrant(quota.Grant{Session: grant.Session, Credit: grant.Credit, Nodes: grant.Nodes}, now)
	}
}

// noticeIgnoredReport tells the ledger if the reply to its last report comes from a later
// incarnation of the parent.
func (c *control) noticeIgnoredReport(reply *api.EdgeExchange) {
	peer := c.peers[reply.Node]
	if peer == nil || !c.isQuotaParent(peer) || reply.Incarnation == peer.incarnation {
		return
	}
	c.edge.ledgerLock.Lock()
	defer c.edge.ledgerLock.Unlock()
	c.edge.ledger.ReportIgnored()
}

// isQuotaParent reports whether a peer is the parent in its present incarnation.
func (c *control) isQuotaParent(peer *peerState) bool {
	return peer.incarnation != "" && peer.incarnation == c.quotaParentIncarnation
}
