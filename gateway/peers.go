package gateway

import (
	"encoding/json"
	"net/http"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/exchange"
	"github.com/persimmonline/persimmonline/peer"
	"github.com/persimmonline/persimmonline/refusal"
)

// peerChat serves a call that another node sent to this one as its owner.
func (g *Gateway) peerChat(w http.ResponseWriter, r *http.Request) {
	var received api.PeerChat
	if !readPeer(w, r, &received) {
		return
	}
	if g.draining.Load() {
		refusal.New(http.StatusServiceUnavailable, refusal.CodeDraining, "this node stops").Write(w, received.RequestID)
		return
	}
	c, refused := g.newPeerCall(received)
	if refused != nil {
		refused.Write(w, received.RequestID)
		return
	}
	journal, _ := g.launch(r.Context(), c.id, c.workspace, &flight{call: c})
	g.writePeerAnswer(w, r, journal, 0)
}

// peerExchange serves the answer of a request that this node holds or relays.
func (g *Gateway) peerExchange(w http.ResponseWriter, r *http.Request) {
	var attach api.PeerAttach
	if !readPeer(w, r, &attach) {
		return
	}
	journal, err := g.store.Get(attach.RequestID, attach.Workspace)
	if err != nil {
		refusal.New(http.StatusNotFound, refusal.CodeNotFound, "this node does not hold the request").
			WithUnknownOutcome().Write(w, attach.RequestID)
		return
	}
	g.writePeerAnswer(w, r, journal, attach.From)
}

func (g *Gateway) writePeerAnswer(w http.ResponseWriter, r *http.Request, journal *exchange.Exchange, from int) {
	journal.Attach()
	defer journal.Detach(detachGrace)
	if err := peer.WriteEvents(r.Context(), w, journal, from); err != nil {
		g.Logger.Debug().Err(err).Str("request", journal.ID).Msg("peer stopped reading")
	}
}

// peerRequest takes over an unfinished request from a node that stops. Repeating the
// handover of a request has no effect.
func (g *Gateway) peerRequest(w http.ResponseWriter, r *http.Request) {
	var handover api.PeerHandover
	if !readPeer(w, r, &handover) {
		return
	}
	id := handover.Request.RequestID
	if g.draining.Load() {
		refusal.New(http.StatusServiceUnavailable, refusal.CodeDraining, "this node stops too").Write(w, id)
		return
	}
	c, refused := g.newPeerCall(handover.Request)
	if refused != nil {
		refused.Write(w, id)
		return
	}
	chunks, err := peer.DecodeChunks(handover.Chunks)
	if err != nil {
		refusal.New(http.StatusBadRequest, refusal.CodeInvalidJSON, "chunks can't be read: %v", err).Write(w, id)
		return
	}
	if !g.adopt(r, c, chunks, handover.EngineAddress) {
		refusal.New(http.StatusServiceUnavailable, refusal.CodeInProgress, "the request is being opened here; hand it over again").Write(w, id)
		return
	}
	g.Logger.Info().Str("request", id).Int("chunks", len(chunks)).Msg("request taken over from stopping node")
	w.WriteHeader(http.StatusOK)
}

// adopt runs a request that was handed over, on the existing journal if this node relays
// it. It reports whether this node now runs the request.
func (g *Gateway) adopt(r *http.Request, c *call, chunks []api.ChatChunk, engine string) bool {
	if existing, ok := g.flights.Load(c.id); ok {
		existing.(*flight).promote(c, chunks, engine)
		return true
	}
	journal, isNew := g.launch(r.Context(), c.id, c.workspace, &flight{call: c, accepted: true, engine: engine, seed: chunks})
	if isNew {
		journal.Attach()
		journal.Detach(detachGrace)
	}
	return isNew
}

func readPeer(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		refusal.New(http.StatusBadRequest, refusal.CodeInvalidJSON, "peer request can't be read: %v", err).Write(w, "")
		return false
	}
	return true
}
