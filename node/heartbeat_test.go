package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPartnerIsDue(t *testing.T) {
	const minInterval, period = time.Second, 4 * time.Second
	begin := time.UnixMilli(1_000_000)
	cases := []struct {
		name         string
		state        peerState
		lastReceived time.Duration
		now          time.Duration
		hasUpdate    bool
		due          bool
	}{
		{"news goes at once", peerState{}, 0, 100 * time.Millisecond, true, true},
		{"no news waits for the period", peerState{}, 0, 3 * time.Second, false, false},
		{"period over", peerState{}, 0, 4 * time.Second, false, true},
		{"heard of meanwhile", peerState{}, 3 * time.Second, 4 * time.Second, false, false},
		{"exchange under way", peerState{inFlight: true}, 0, time.Minute, true, false},
		{"failed partner isn't hammered", peerState{lastFailed: true}, 0, 500 * time.Millisecond, true, false},
		{"failed partner is tried again soon", peerState{lastFailed: true}, 0, time.Second, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.state.startedAt = begin
			got := c.state.due(begin.Add(c.now), begin.Add(c.lastReceived), c.hasUpdate, minInterval, period)
			require.Equal(t, c.due, got)
		})
	}
}
