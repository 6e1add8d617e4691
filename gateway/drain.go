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

// drainPoll is the time between two looks at what is left.
const drainPoll = 20 * time.Millisecond

// errNoReadyNode says that no other node is ready.
var errNoReadyNode = errors.New("no other node is ready")

// Drain makes this node own nothing new; its callers are served by other nodes
// through it, or here as long as no other node is ready and Seal was not called.
func (g *Gateway) Drain() { g.draining.Store(true) }

// RejectNewWork ends all new work at this node. It is called when the balancer has had its
// grace.
func (g *Gateway) RejectNewWork() { g.sealed.Store(true) }

// HandOverRequests gives every request that runs here to its successor, and relays the
// answers to the callers of this node until they are served or ctx ends. Callers that
// are left get an error event that says how to go on. It returns an error if no
// successor took a request.
func (g *Gateway) HandOverRequests(ctx context.Context) error {
	g.flights.Range(func(_, value any) bool {
		value.(*flight).stopRunning(errHandOver)
		return true
	})
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for g.waitsForCallers() {
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

// waitsForCallers says whether a request still runs here, or a caller still reads an
// answer that is relayed.
func (g *Gateway) waitsForCallers() bool {
	waits := false
	g.flights.Range(func(_, value any) bool {
		f := value.(*flight)
		waits = waits || !f.relays() || f.journal.Readers() > 0
		return !waits
	})
	return waits
}

// endRelays ends what is left. A relayed request is not lost: its holder goes on.
func (g *Gateway) endRelays() error {
	cut := int(g.cut.Load())
	g.flights.Range(func(_, value any) bool {
		f := value.(*flight)
		if !f.relays() {
			cut++
		}
		f.journal.Finish(refusal.New(http.StatusServiceUnavailable, refusal.CodeDraining,
			"this node stops; the request goes on: get /v1/requests/%s at any node with the Last-Event-ID", f.journal.ID).
			WithUnknownOutcome().WithRetryAfter(jittered(noUpstreamRetry)))
		return true
	})
	if cut > 0 {
		return fmt.Errorf("hand over: %d requests were cut off", cut)
	}
	return nil
}

// handOver gives a request to the first successor that takes it.
func (g *Gateway) handOver(ctx context.Context, f *flight) (api.PeerMoved, error) {
	handover := api.PeerHandover{Request: f.callNow().peerChat(), EngineAddress: f.lastEngine(), Chunks: []api.PeerChunk{}}
	for _, chunk := range f.journal.Chunks() {
		encoded, err := peer.EncodeChunk(chunk)
		if err != nil {
			return api.PeerMoved{}, err
		}
		handover.Chunks = append(handover.Chunks, encoded)
	}
	failure := errNoReadyNode
	for i, successor := range g.successorsOf(f.journal.ID) {
		if i >= handoverTries {
			break
		}
		err := g.Peers.HandOverRequest(ctx, successor.PeerAddress, handover)
		if err == nil {
			g.Logger.Info().Str("request", f.journal.ID).Str("successor", successor.NodeID).Msg("request handed over")
			return api.PeerMoved{NodeID: successor.NodeID, Address: successor.PeerAddress}, nil
		}
		g.Logger.Warn().Err(err).Str("request", f.journal.ID).Str("successor", successor.NodeID).Msg("successor did not take the request")
		failure = err
	}
	return api.PeerMoved{}, failure
}

// successorsOf returns the ready nodes in the order in which they follow on this node
// as holders of a request: all nodes that see the same peers agree on it.
func (g *Gateway) successorsOf(requestID string) []control.Peer {
	now := time.Now()
	ready := g.peersByWeight(requestID)
	ready = slices.DeleteFunc(ready, func(p control.Peer) bool { return !p.OwnsRequests(now) })
	return ready[:min(len(ready), maxAsked)]
}

// peersByWeight returns all known nodes by their rendezvous weight for a request.
func (g *Gateway) peersByWeight(requestID string) []control.Peer {
	peers := slices.Collect(maps.Values(g.Control.Snapshot().Peers))
	weight := func(p control.Peer) uint64 { return xxhash.Sum64String(p.NodeID + "\x00" + requestID) }
	slices.SortFunc(peers, func(a, b control.Peer) int { return cmp.Compare(weight(b), weight(a)) })
	return peers
}

// anyReady returns a ready peer for new work that this node would own.
func (g *Gateway) anyReady() (api.Heartbeat, bool) {
	ready := g.successorsOf(g.newRequestID("", ""))
	if len(ready) == 0 {
		return api.Heartbeat{}, false
	}
	return ready[0].Heartbeat, true
}
