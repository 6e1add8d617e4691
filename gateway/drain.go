package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/peer"
	"github.com/persimmonline/persimmonline/refusal"
)

// drainPoll is the interval at which a draining node checks for pending requests.
const drainPoll = 20 * time.Millisecond

// errNoReadyNode is returned when no other node is ready.
var errNoReadyNode = errors.New("no other node is ready")

// Drain makes this node own no new requests; its callers are relayed to other nodes, or
// served here as long as no other node is ready and RejectNewWork was not called.
func (g *Gateway) Drain() { g.draining.Store(true) }

// RejectNewWork makes this node refuse new requests that no other node can run. It is called
// once the balancer's grace period is over.
func (g *Gateway) RejectNewWork() { g.rejectsNewWork.Store(true) }

// HandOverRequests hands every request that runs on this node to its successor and relays
// the answers to the callers of this node until they are served or ctx ends. The
// remaining callers get an error event that explains how to resume. It returns an error
// if a request was accepted by no successor.
func (g *Gateway) HandOverRequests(ctx context.Context) error {
	g.flights.Range(func(_, value any) bool {
		value.(*flight).stopRunning(errHandOver)
		return true
	})
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for g.hasPendingRequests() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
	}
	return g.endRelays()
}

// hasPendingRequests reports whether a request still runs on this node, or a caller still
// reads a relayed answer.
func (g *Gateway) hasPendingRequests() bool {
	pending := false
	g.flights.Range(func(_, value any) bool {
		f := value.(*flight)
		pending = pending || !f.isRelayed() || f.journal.Readers() > 0
		return !pending
	})
	return pending
}

// endRelays ends the remaining flights. A relayed request is not lost: its holder
// continues to run it.
func (g *Gateway) endRelays() error {
	interrupted := int(g.notHandedOver.Load())
	g.flights.Range(func(_, value any) bool {
		f := value.(*flight)
		if !f.isRelayed() {
			interrupted++
		}
		f.journal.Finish(refusal.New(http.StatusServiceUnavailable, refusal.CodeDraining,
			"this node stops; the request goes on: get /v1/requests/%s at any node with the Last-Event-ID", f.journal.ID).
			WithUnknownOutcome().WithRetryAfter(jittered(noUpstreamRetryAfter)))
		return true
	})
	if interrupted > 0 {
		return fmt.Errorf("hand over: %d requests were cut off", interrupted)
	}
	return nil
}

// handOver hands a request to the first successor that accepts it.
func (g *Gateway) handOver(ctx context.Context, f *flight) (api.PeerMoved, error) {
	handover := api.PeerHandover{Request: f.currentCall().peerChat(), EngineAddress: f.lastEngine(), Chunks: []api.PeerChunk{}}
	for _, chunk := range f.journal.Chunks() {
		encoded, err := peer.EncodeChunk(chunk)
		if err != nil {
			return api.PeerMoved{}, err
		}
		handover.Chunks = append(handover.Chunks, encoded)
	}
	lastErr := errNoReadyNode
	for i, successor := range g.successorsOf(f.journal.ID) {
		if i >= maxHandoverAttempts {
			break
		}
		err := g.Peers.HandOverRequest(ctx, successor.PeerAddress, handover)
		if err == nil {
			g.Logger.Info().Str("request", f.journal.ID).Str("successor", successor.NodeID).Msg("request handed over")
			return api.PeerMoved{NodeID: successor.NodeID, Address: successor.PeerAddress}, nil
		}
		g.Logger.Warn().Err(err).Str("request", f.journal.ID).Str("successor", successor.NodeID).Msg("request handover failed")
		lastErr = err
	}
	return api.PeerMoved{}, lastErr
}

// successorsOf returns the ready nodes in the order in which they succeed this node as
// holder of a request. All nodes with the same view of the peers agree on the order.
func (g *Gateway) successorsOf(requestID string) []control.Peer {
	now := time.Now()
	ready := g.peersByWeight(requestID)
	ready = slices.DeleteFunc(ready, func(p control.Peer) bool { return !p.OwnsRequests(now) })
	return ready[:min(len(ready), maxQueriedNodes)]
}

// peersByWeight returns all known peers in descending order of their rendezvous weight
// for a request.
func (g *Gateway) peersByWeight(requestID string) []control.Peer {
	peers := slices.Collect(maps.Values(g.Control.Snapshot().Peers))
	weight := func(p control.Peer) uint64 { return xxhash.Sum64String(p.NodeID + "\x00" + requestID) }
	slices.SortFunc(peers, func(a, b control.Peer) int { return cmp.Compare(weight(b), weight(a)) })
	return peers
}

// anyReady returns a ready peer for a new request that this node would own.
func (g *Gateway) anyReady() (api.Heartbeat, bool) {
	ready := g.successorsOf(g.newRequestID("", ""))
	if len(ready) == 0 {
		return api.Heartbeat{}, false
	}
	return ready[0].Heartbeat, true
}
