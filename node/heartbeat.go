package node

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/peer"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/telemetry"
	"github.com/persimmonline/persimmonline/upstream"
)

const (
	// kindHeartbeat is the label of heartbeats in the metric of control bytes.
	kindHeartbeat = "heartbeat"
	// intervalPerPeer lengthens the heartbeat interval with the number of heartbeat peers,
	// so that a node takes part in a bounded number of exchanges per second.
	intervalPerPeer = time.Second
	// maxNotices bounds the reclaim notices of one heartbeat.
	maxNotices = 16
	// maxWithoutUpstream bounds the services without an upstream in one heartbeat.
	maxWithoutUpstream = 64
)

// heartbeats is the state of a node's heartbeat exchanges.
type heartbeats struct {
	pool   *upstream.Pool
	client *peer.Client
	// sending counts the exchanges in flight.
	sending sync.WaitGroup
	// wakeup wakes the sender.
	wakeup chan struct{}
	mu     sync.Mutex
	byNode map[string]*peerState
}

// peerState is the state of the heartbeat exchanges with one peer.
type peerState struct {
	incarnation string
	// inFlight is set while an exchange is in flight.
	inFlight bool
	// lastFailed is set if the last exchange failed.
	lastFailed bool
	// reportedState is the node state last reported to the peer.
	reportedState api.HeartbeatState
	// reportedVersion is the configuration version last reported to the peer.
	reportedVersion int64
	// ackedSeq is the sequence number of the last reclaim notice that the peer received.
	ackedSeq int64
	// ackedSuspicions is the last suspicion revision that the peer received.
	ackedSuspicions int64
	// withoutUpstream lists the services without an upstream last reported to the peer.
	withoutUpstream []string
	// startedAt is when the last exchange began.
	startedAt time.Time
}

// due reports whether a heartbeat to the peer is due: after a failure once minInterval has
// passed, with an update immediately, otherwise a period after the last contact.
func (p *peerState) due(now, lastReceived time.Time, hasUpdate bool, minInterval, period time.Duration) bool {
	switch {
	case p.inFlight:
		return false
	case p.lastFailed:
		return now.Sub(p.startedAt) >= minInterval
	case hasUpdate:
		return true
	case lastReceived.After(p.startedAt):
		return now.Sub(lastReceived) >= period
	default:
		return now.Sub(p.startedAt) >= period
	}
}

func newHeartbeats(settings api.Settings, metrics *telemetry.Metrics) *heartbeats {
	pool := upstream.NewControlPool(settings.NodeID, metrics.ControlDial(kindHeartbeat))
	return &heartbeats{pool: pool, client: peer.NewClient(settings.PeerKey, pool), wakeup: make(chan struct{}, 1), byNode: map[string]*peerState{}}
}

// wake makes the sender check for updates immediately.
func (h *heartbeats) wake() {
	select {
	case h.wakeup <- struct{}{}:
	default:
	}
}

// forMember returns the state of a peer, a new one for a new incarnation.
func (h *heartbeats) forMember(member membership.Member) *peerState {
	state, ok := h.byNode[member.ID]
	if !ok || state.incarnation != member.Incarnation {
		state = &peerState{incarnation: member.Incarnation}
		h.byNode[member.ID] = state
	}
	return state
}

// retain removes the state of all peers that are not in members.
func (h *heartbeats) retain(members []membership.Member) {
	ids := map[string]bool{}
	for _, member := range members {
		ids[member.ID] = true
	}
	maps.DeleteFunc(h.byNode, func(id string, _ *peerState) bool { return !ids[id] })
}

// Heartbeat returns the heartbeat of this node, without reclaim notices.
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
		ConfigState:   string(snapshot.ConfigCondition),
		InFlight:      n.gateway.Store().InFlight(),
		Leaving:       []api.LeavingHost{},
	}
	withoutUpstream := snapshot.ServicesWithoutUpstream()
	own.Lacks = withoutUpstream[:min(len(withoutUpstream), maxWithoutUpstream)]
	n.gateway.FillHeartbeat(&own)
	return own
}

func (n *Node) state(snapshot *control.Snapshot) api.HeartbeatState {
	switch {
	case n.draining.Load():
		return api.HeartbeatStateDraining
	case !n.caughtUp(snapshot):
		return api.HeartbeatStateStarting
	default:
		return api.HeartbeatStateReady
	}
}

// ageMS returns the time since at in milliseconds; -1 for the zero time.
func ageMS(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

// sendHeartbeats exchanges heartbeats with the heartbeat peers: periodically, sooner after
// a change of the configuration, and immediately on a reclaim notice, a suspicion or a
// change of this node's state.
func (n *Node) sendHeartbeats(ctx context.Context) {
	defer n.heartbeats.sending.Wait()
	ticker := time.NewTicker(n.settings.Heartbeat)
	defer ticker.Stop()
	n.gateway.OnSuspicion(n.heartbeats.wake)
	for {
		changed := n.control.Changed()
		n.sendHeartbeatRound(ctx, n.control.Snapshot())
		select {
		case <-changed:
		case <-ticker.C:
		case <-n.heartbeats.wakeup:
		case <-ctx.Done():
			return
		}
	}
}

// sendHeartbeatRound sends to the peers for which a heartbeat is due. It waits for none, so
// that an unresponsive peer does not delay updates to others.
func (n *Node) sendHeartbeatRound(ctx context.Context, snapshot *control.Snapshot) {
	members := n.heartbeatPeers(snapshot, time.Now())
	period := max(n.settings.Heartbeat, intervalPerPeer*time.Duration(len(members)))
	n.heartbeats.mu.Lock()
	defer n.heartbeats.mu.Unlock()
	n.heartbeats.retain(members)
	for _, member := range members {
		state := n.heartbeats.forMember(member)
		suspicions := n.gateway.SuspicionRevision()
		own := n.Heartbeat()
		var seq int64
		own.Leaving, seq = membership.NoticesAfter(snapshot.Notices, state.ackedSeq, maxNotices)
		hasUpdate := len(own.Leaving) > 0 || own.State != state.reportedState || !slices.Equal(own.Lacks, state.withoutUpstream) || suspicions != state.ackedSuspicions
		interval := period
		if own.ConfigVersion != state.reportedVersion {
			interval = period / 2
		}
		if !state.due(time.Now(), snapshot.Peers[member.ID].LastSeen, hasUpdate, n.settings.Heartbeat, interval) {
			continue
		}
		state.inFlight = true
		state.startedAt = time.Now()
		n.heartbeats.sending.Go(func() { n.sendHeartbeat(ctx, member, state, own, seq, suspicions) })
	}
}

// sendHeartbeat performs one exchange and records what the peer received.
func (n *Node) sendHeartbeat(ctx context.Context, member membership.Member, state *peerState, own api.Heartbeat, seq, suspicions int64) {
	answer, err := n.heartbeats.client.Heartbeat(ctx, member.Address, own)
	n.heartbeats.mu.Lock()
	state.inFlight = false
	state.lastFailed = err != nil
	if err == nil {
		state.ackedSeq = seq
		state.ackedSuspicions = suspicions
		state.reportedState = own.State
		state.withoutUpstream = own.Lacks
		state.reportedVersion = own.ConfigVersion
	}
	n.heartbeats.mu.Unlock()
	if n.gateway.SuspicionRevision() != suspicions {
		n.heartbeats.wake()
	}
	if err != nil {
		n.logger.Debug().Err(err).Str("peer", member.ID).Msg("heartbeat failed")
		n.control.Offer(control.PeerFailed{NodeID: member.ID})
		return
	}
	n.gateway.ApplyHeartbeat(answer)
	n.control.Post(ctx, control.PeerHeartbeat{Heartbeat: answer, At: time.Now()})
}

func (n *Node) heartbeatRoute() rest.Route {
	return rest.Route{
		Method:  http.MethodPost,
		Path:    peer.PathHeartbeat,
		Handler: peer.Authenticate(n.settings.PeerKey, n.serveHeartbeat),
	}
}

func (n *Node) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	var received api.Heartbeat
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
	if err == nil {
		err = json.Unmarshal(body, &received)
	}
	if err != nil {
		refusal.New(http.StatusBadRequest, refusal.CodeInvalidJSON, "heartbeat can't be read: %v", err).Write(w, "")
		return
	}
	n.gateway.ApplyHeartbeat(received)
	n.control.Post(r.Context(), control.PeerHeartbeat{Heartbeat: received, At: time.Now()})
	answer, err := json.Marshal(n.Heartbeat())
	if err != nil {
		refusal.FromError(err).Write(w, "")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
	n.metrics.CountControlBytes(kindHeartbeat, int64(len(body)+headerBytes(r.Header)), int64(len(answer)+headerBytes(w.Header())))
}

const (
	// maxHeartbeatBytes bounds a heartbeat.
	maxHeartbeatBytes = 64 << 10
	// headerOverhead estimates the first line and the end of a header, in bytes.
	headerOverhead = 40
	// fieldOverhead is the length of the separators of a header field, in bytes.
	fieldOverhead = 4
)

// headerBytes estimates the length of a header on the connection.
func headerBytes(header http.Header) int {
	size := headerOverhead
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}
	return size
}
