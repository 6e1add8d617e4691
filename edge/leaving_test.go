package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/fleet"
)

func TestExpectedEndOfAnUpstreamThatLeaves(t *testing.T) {
	now, wall := time.UnixMilli(1_000_000), time.UnixMilli(2_000_000)
	upstream := func(key string, left time.Duration) fleet.Upstream {
		return fleet.Upstream{Key: key, Entry: fleet.Entry{TimeLeft: left}}
	}
	l := leavingUpstreams{}
	for _, change := range []fleet.Change{
		{Kind: fleet.Draining, Upstream: upstream("announced", 0)},
		{Kind: fleet.Draining, Upstream: upstream("states its end", time.Second)},
		{Kind: fleet.Removed, Upstream: upstream("says nothing", 0)},
		{Kind: fleet.Added, Upstream: upstream("stays", 0)},
	} {
		l.observe(change, now, 3*time.Second)
	}
	l.observe(fleet.Change{Kind: fleet.Removed, Upstream: upstream("announced", 0)}, now.Add(time.Second), 3*time.Second)
	require.Equal(t, map[string]time.Time{
		"announced": wall.Add(2 * time.Second), "states its end": wall.Add(time.Second), "says nothing": wall.Add(2 * time.Second),
	}, l.view(now, wall))
	require.Empty(t, l.view(now.Add(5*time.Second), wall))
}
