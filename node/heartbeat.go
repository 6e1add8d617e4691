package node

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/peer"
	"github.com/persimmonline/persimmonline/refusal"
)

// Heartbeat returns what this node tells its peers.
func (n *Node) Heartbeat() api.Heartbeat {
	snapshot := n.control.Snapshot()
	own := api.Heartbeat{
		NodeID:        n.settings.NodeID,
		Incarnation:   n.incarnation,
		DataCentre:    n.settings.DataCentre,
		PeerAddress:   n.peerServer.Address(),
		AdminAddress:  n.adminServer.Address(),
		State:         n.state(snapshot),
		ConfigVersion: snapshot.Config.Version,
		ConfigOffset:  snapshot.Config.Offset,
		ConfigAgeMS:   ageMS(snapshot.LogReadAt),
		InFlight:      n.gateway.Store().InFlight(),
		Leaving:       snapshot.Leaving,
	}
	n.gateway.Tell(&own)
	return own
}

func (n *Node) state(snapshot *control.Snapshot) api.HeartbeatState {
	switch {
	case n.draining.Load():
		return api.HeartbeatStateDraining
	case snapshot.Index == nil:
		return api.HeartbeatStateStarting
	default:
		return api.HeartbeatStateReady
	}
}

// ageMS is the time since at in milliseconds; -1 when at never was.
func ageMS(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

// sendHeartbeats exchanges heartbeats with every other node that the host list has.
func (n *Node) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(n.settings.Heartbeat)
	defer ticker.Stop()
	news := make(chan struct{}, 1)
	n.gateway.OnSuspicion(func() {
		select {
		case news <- struct{}{}:
		default:
		}
	})
	for {
		n.sendHeartbeatRound(ctx)
		select {
		case <-ticker.C:
		case <-news:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) sendHeartbeatRound(ctx context.Context) {
	own := n.Heartbeat()
	var group sync.WaitGroup
	for _, member := range n.control.Snapshot().Members.Nodes {
		if member.ID == n.settings.HostID || member.Address == own.PeerAddress {
			continue
		}
		group.Go(func() { n.sendHeartbeat(ctx, member, own) })
	}
	group.Wait()
}

func (n *Node) sendHeartbeat(ctx context.Context, member membership.Member, own api.Heartbeat) {
	answer, err := n.peers.Heartbeat(ctx, member.Address, own)
	if err != nil {
		n.logger.Debug().Err(err).Str("peer", member.ID).Msg("heartbeat failed")
		return
	}
	n.gateway.Hear(answer)
	n.control.Post(ctx, control.PeerHeard{Heartbeat: answer, At: time.Now()})
}

func (n *Node) heartbeatRoute() rest.Route {
	return rest.Route{
		Method:  http.MethodPost,
		Path:    peer.PathHeartbeat,
		Handler: peer.Authenticate(n.settings.PeerKey, n.answerHeartbeat),
	}
}

func (n *Node) answerHeartbeat(w http.ResponseWriter, r *http.Request) {
	var heard api.Heartbeat
	if err := json.NewDecoder(r.Body).Decode(&heard); err != nil {
		refusal.New(http.StatusBadRequest, refusal.CodeInvalidJSON, "heartbeat can't be read: %v", err).Write(w, "")
		return
	}
	n.gateway.Hear(heard)
	n.control.Offer(control.PeerHeard{Heartbeat: heard, At: time.Now()})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.Heartbeat())
}
