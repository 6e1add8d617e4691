package admin

import (
	"context"
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/membership"
)

var errNoAnswer = errors.New("no answer")

// member returns a live node of the host list whose address is its id.
func member(id string) membership.Member {
	return membership.Member{Host: api.Host{ID: id, Address: id}, Health: membership.StateLive}
}

func peerAt(id string, offset int64, at time.Time) control.Peer {
	return control.Peer{Heartbeat: api.Heartbeat{NodeID: id, PeerAddress: id, ConfigOffset: offset}, LastSeen: at}
}

func TestCoverageLeavesNoLiveNodeOut(t *testing.T) {
	now := time.Unix(1000, 0)
	own := api.Heartbeat{NodeID: "own", PeerAddress: "own", ConfigOffset: 6}
	leaving := member("leaving")
	leaving.Health, leaving.ReclaimAt = membership.StateLeaving, now.Add(time.Second)
	ended := member("ended")
	ended.Health, ended.ReclaimAt = membership.StateLeaving, now.Add(-time.Second)
	snapshot := &control.Snapshot{
		Members: &membership.View{Nodes: []membership.Member{
			member("own"), member("has"), member("behind"), member("silent"), member("never seen"), member("confirmed"), leaving, ended,
		}},
		Peers: map[string]control.Peer{
			"has":      peerAt("has", 6, now),
			"behind":   peerAt("behind", 5, now),
			"silent":   peerAt("silent", 6, now.Add(-peerTimeout-time.Second)),
			"unlisted": peerAt("unlisted", 5, now),
			"dropped":  peerAt("dropped", 5, now.Add(-time.Hour)),
		},
	}
	covered := coverageOf(snapshot, own, 5, now, map[string]bool{"confirmed": true})
	require.Equal(t, []string{"behind", "unlisted"}, slices.Sorted(maps.Values(covered.waiting)))
	require.Equal(t, []string{"leaving", "never seen", "silent"}, slices.Sorted(maps.Values(covered.silent)))
	require.False(t, covered.complete())
	own.ConfigOffset = 5
	require.Contains(t, coverageOf(snapshot, own, 5, now, nil).waiting, "own")
}

func TestProbeConfirmsOnlyNodesThatHaveTheRecord(t *testing.T) {
	offsets := map[string]int64{"has": 6, "behind": 5}
	a := &API{Options{ConfigOffset: func(_ context.Context, address string) (int64, error) {
		offset, ok := offsets[address]
		if !ok {
			return 0, errNoAnswer
		}
		return offset, nil
	}}}
	confirmed := map[string]bool{}
	a.probe(t.Context(), coverage{
		waiting: map[string]string{"has": "has", "behind": "behind"},
		silent:  map[string]string{"gone": "gone"},
	}, 5, confirmed)
	require.Equal(t, map[string]bool{"has": true}, confirmed)
}
