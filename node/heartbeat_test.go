package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPartnerIsDue(t *testing.T) {
	const shortest, period = time.Second, 4 * time.Second
	begin := time.UnixMilli(1_000_000)
	cases := []struct {
		name    string
		partner partner
		heard   time.Duration
		now     time.Duration
		news    bool
		due     bool
	}{
		{"news goes at once", partner{}, 0, 100 * time.Millisecond, true, true},
		{"no news waits for the period", partner{}, 0, 3 * time.Second, false, false},
		{"period over", partner{}, 0, 4 * time.Second, false, true},
		{"heard of meanwhile", partner{}, 3 * time.Second, 4 * time.Second, false, false},
		{"exchange under way", partner{busy: true}, 0, time.Minute, true, false},
		{"failed partner isn't hammered", partner{failed: true}, 0, 500 * time.Millisecond, true, false},
		{"failed partner is tried again soon", partner{failed: true}, 0, time.Second, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.partner.at = begin
			got := c.partner.due(begin.Add(c.now), begin.Add(c.heard), c.news, shortest, period)
			require.Equal(t, c.due, got)
		})
	}
}
