package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/platform"
)

// All nodes are killed right after a workspace has used its quota: what they admit from their first
// levels, together with what callers are given of the tolerance, stays within the quota.
func TestRestartBurstIsWithinTheTolerance(t *testing.T) {
	c, _ := newNodeWithPeers(t, 1)
	c.edge.bounds.Store(&platform.Bounds{QuotaWindow: 8 * time.Second, QuotaOverage: 0.1, QuotaSlack: 190_000})
	for _, workspace := range []catalog.Workspace{
		{Rate: 47_000, Burst: 100_000, CountsTokens: true}, {Rate: 660_000, Burst: 4_000_000, CountsTokens: true}, {Rate: 20, Burst: 400},
	} {
		limit := c.quotaLimit(&workspace)
		allowed := (workspace.Rate*8 + workspace.Burst) * 1.1
		if workspace.CountsTokens {
			allowed += 190_000
		}
		require.Less(t, limit.Rate*8+limit.Burst+limit.RestartBurst, allowed)
	}
}
