package edge

import (
	"testing"
	"time"

	"github.com/google/uuid"
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

// A node that lost the lease may claim it only after a recent read of the topic.
func TestReadOfDutiesEndsWithinTheLifeOfALease(t *testing.T) {
	for _, bound := range []time.Duration{200 * time.Millisecond, 3 * time.Second} {
		s := settings(t, "n", "127.0.0.1:1")
		s.Bounds.Lease = bound
		e := New(s, zerolog.Nop())
		require.Less(t, e.control.duties.newFeed(t.Context()).maxWait(), leaseLife(bound))
	}
}

// Guards against windows that are left out: the last holder, which is no candidate any more, must see by
// itself that the store came back from an older copy.
func TestLastHolderStopsReadingTheDuties(t *testing.T) {
	e := New(settings(t, "n1", "127.0.0.1:1"), zerolog.Nop())
	d, now := e.control.duties, e.clock.monotonic()
	f := d.newFeed(t.Context())
	claims := d.holder.Plan(now, uuid.NewString, func(time.Duration) time.Duration { return 0 })
	require.Len(t, claims, 1)
	d.holder.Apply(0, claims[0], now)
	e.dutyCandidate.Store(false)
	d.tick(now.Add(leaseLife(e.settings.Bounds.Lease)))
	require.False(t, f.shouldStandBy())
}
