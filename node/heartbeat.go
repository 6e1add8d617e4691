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
	// kindHeartbeat names heartbeats in the metric of control bytes.
	kindHeartbeat = "heartbeat"
	// secondsPerPartner stretches the time between two heartbeats to one partner, so
	// that a node takes part in a bounded number of exchanges a second.
	secondsPerPartner = time.Second
	// noticesPerHeartbeat bounds the reclaim notices of one heartbeat.
	noticesPerHeartbeat = 16
	// maxLacks bounds the services that a heartbeat says its sender lacks.
	maxLacks = 64
)

// heartbeats is what a node keeps of its exchanges with partners.
type heartbeats struct {
	pool   *upstream.Pool
	client *peer.Client
	// sending are the exchanges under way.
	sending sync.WaitGroup
	// news wakes the sender.
	news chan struct{}
	mu   sync.Mutex
	told map[string]*partner
}

// partner is what a node knows of its exchanges with another.
type partner struct {
	incarnation string
	// busy is set while an exchange is under way.
	busy bool
	// failed is set when the last exchange failed.
	failed bool
	// state that the partner was told last.
	state api.HeartbeatState
	// version of the configuration that the partner was told last.
	version int64
	// seq is the last reclaim notice that the partner has got.
	seq int64
	// suspicions is the last news of suspected requests that the partner has got.
	suspicions int64
	// lacks are the services that the partner was told last that this node lacks.
	lacks []string
	// at is when the last exchange began.
	at time.Time
}

// due says whether the partner is to be told now: a failed one after the shortest
// interval, one that lacks news at once, any other when heard of a period ago.
func (p *partner) due(now, heard time.Time, news bool, shortest, period time.Duration) bool {
	switch {
	case p.busy:
		return false
	case p.failed:
		return now.Sub(p.at) >= shortest
	case news:
		return true
	case heard.After(p.at):
		return now.Sub(heard) >= period
	default:
		return now.Sub(p.at) >= period
	}
}

func newHeartbeats(settings api.Settings, metrics *telemetry.Metrics) *heartbeats {
	pool := upstream.NewControlPool(settings.NodeID, metrics.ControlDial(kindHeartbeat))
	return &heartbeats{pool: pool, client: peer.NewClient(settings.PeerKey, pool), news: make(chan struct{}, 1), told: map[string]*partner{}}
}

// wake makes the sender look for news now.
func (h *heartbeats) wake() {
	select {
	case h.news <- struct{}{}:
	default:
	}
}

// partner returns the record of a partner, a new one for a new incarnation.
func (h *heartbeats) partner(member membership.Member) *partner {
	known, ok := h.told[member.ID]
	if !ok || known.incarnation != member.Incarnation {
		known = &partner{incarnation: member.Incarnation}
		h.told[member.ID] = known
	}
	return known
}

// keep forgets all but the partners.
func (h *heartbeats) keep(partners []membership.Member) {
	ids := map[string]bool{}
	for _, member := range partners {
		ids[member.ID] = true
	}
	maps.DeleteFunc(h.told, func(id string, _ *partner) bool { return !ids[id] })
}

// Heartbeat returns what this node tells of itself, without reclaim notices.
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
	lacks := snapshot.ServicesWithoutUpstream()
	own.Lacks = lacks[:min(len(lacks), maxLacks)]
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

// ageMS is the time since at in milliseconds; -1 when at never was.
func ageMS(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

// sendHeartbeats exchanges heartbeats with the partners: each in its turn, sooner
// when the configuration changed, and at once when there is news of a reclaim or this node's state changes.
func (n *Node) sendHeartbeats(ctx context.Context) {
	defer n.beats.sending.Wait()
	ticker := time.NewTicker(n.settings.Heartbeat)
	defer ticker.Stop()
	n.gateway.OnSuspicion(n.beats.wake)
	for {
		changed := n.control.Changed()
		n.sendHeartbeatRound(ctx, n.control.Snapshot())
		select {
		case <-changed:
		case <-ticker.C:
		case <-n.beats.news:
		case <-ctx.Done():
			return
		}
	}
}

// sendHeartbeatRound sends to the partners whose turn it is, or that lack news. It
// waits for none, so that a silent partner doesn't delay the news to others.
func (n *Node) sendHeartbeatRound(ctx context.Context, snapshot *control.Snapshot) {
	partners := n.partners(snapshot, time.Now())
	period := max(n.settings.Heartbeat, secondsPerPartner*time.Duration(len(partners)))
	n.beats.mu.Lock()
	defer n.beats.mu.Unlock()
	n.beats.keep(partners)
	for _, member := range partners {
		known := n.beats.partner(member)
		suspicions := n.gateway.SuspicionRevision()
		own := n.Heartbeat()
		var seq int64
		own.Leaving, seq = membership.NoticesAfter(snapshot.Notices, known.seq, noticesPerHeartbeat)
		news := len(own.Leaving) > 0 || own.State != known.state || !slices.Equal(own.Lacks, known.lacks) || suspicions != known.suspicions
		wait := period
		if own.ConfigVersion != known.version {
			wait = period / 2
		}
		if !known.due(time.Now(), snapshot.Peers[member.ID].LastSeen, news, n.settings.Heartbeat, wait) {
			continue
		}
		known.busy = true
		known.at = time.Now()
		n.beats.sending.Go(func() { n.sendHeartbeat(ctx, member, known, own, seq, suspicions) })
	}
}

// sendHeartbeat has one exchange and notes what the partner has got.
func (n *Node) sendHeartbeat(ctx context.Context, member membership.Member, known *partner, own api.Heartbeat, seq, suspicions int64) {
	answer, err := n.beats.client.Heartbeat(ctx, member.Address, own)
	n.beats.mu.Lock()
	known.busy = false
	known.failed = err != nil
	if err == nil {
		known.seq = seq
		known.suspicions = suspicions
		known.state = own.State
		known.lacks = own.Lacks
		known.version = own.ConfigVersion
	}
	n.beats.mu.Unlock()
	if n.gateway.SuspicionRevision() != suspicions {
		n.beats.wake()
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
		Handler: peer.Authenticate(n.settings.PeerKey, n.answerHeartbeat),
	}
}

func (n *Node) answerHeartbeat(w http.ResponseWriter, r *http.Request) {
	var heard api.Heartbeat
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
	if err == nil {
		err = json.Unmarshal(body, &heard)
	}
	if err != nil {
		refusal.New(http.StatusBadRequest, refusal.CodeInvalidJSON, "heartbeat can't be read: %v", err).Write(w, "")
		return
	}
	n.gateway.ApplyHeartbeat(heard)
	n.control.Post(r.Context(), control.PeerHeartbeat{Heartbeat: heard, At: time.Now()})
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
	// headerOverhead is the length of the first line and the end of a header, in bytes.
	headerOverhead = 40
	// fieldOverhead is what separates the name, the value and the end of a field.
	fieldOverhead = 4
)

// headerBytes returns the length of a header on the connection.
func headerBytes(header http.Header) int {
	size := headerOverhead
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}
	return size
}
