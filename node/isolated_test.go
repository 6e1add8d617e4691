package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/membership"
)

func TestNodeWithoutLogAndPeersIsIsolated(t *testing.T) {
	long, short := time.Now().Add(-isolatedAfter-time.Minute), time.Now()
	others := &membership.View{Nodes: make([]membership.Member, 2)}
	single := &membership.View{Nodes: make([]membership.Member, 1)}
	peers := func(at time.Time) map[string]control.Peer { return map[string]control.Peer{"other": {LastSeen: at}} }
	cases := map[string]struct {
		snapshot control.Snapshot
		isolated bool
	}{
		"neither log nor peers": {control.Snapshot{LogReadAt: long, Peers: peers(long), Members: others}, true},
		"outage of the log":     {control.Snapshot{LogReadAt: long, Peers: peers(short), Members: others}, false},
		"peers are silent":      {control.Snapshot{LogReadAt: short, Peers: peers(long), Members: others}, false},
		"the only node":         {control.Snapshot{LogReadAt: long, Members: single}, false},
		"no contact yet":        {control.Snapshot{Members: others}, false},
	}
	for name, c := range cases {
		require.Equal(t, c.isolated, (&Node{}).isolated(&c.snapshot), name)
	}
}
