package edge

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Guards against a second holder of the duties: a node that starts after the store deleted the records
// of leases must not take the duties from a live holder whose claim was among them.
func TestNodeThatMissedLeaseRecordsDoesNotClaimAtOnce(t *testing.T) {
	store := newStore(t)
	store.Put(topicDuties, "", []byte(`{"lease":{"record":{"name":"platform","holder":"n0"},"usage":{}}}`))
	store.Trim()
	e := New(settings(t, "n1", store.address()), zerolog.Nop())
	e.ctx, e.cancel = t.Context(), func() {}
	go e.control.run(t.Context())
	go e.control.duties.newFeed(t.Context()).follow(t.Context())
	require.Eventually(t, func() bool { return e.control.duties.dutiesFeed.answeredAt.Load() != 0 }, eventually, time.Millisecond)
	claimable, ok := query(t.Context(), e.control, func(now time.Time) bool {
		return e.control.duties.holder.Table().Claimable(dutyName, now)
	})
	require.True(t, ok)
	require.False(t, claimable, "the holder's claim may be among the deleted records")
}
