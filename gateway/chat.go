package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/exchange"
	"github.com/persimmonline/persimmonline/peer"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/retry"
	"github.com/persimmonline/persimmonline/upstream"
)

// source is an answer as it comes, from this node's journal or from the owner.
type source interface {
	Next(ctx context.Context, from int) (exchange.Page, error)
}

// chat serves POST /v1/chat/completions.
func (g *Gateway) chat(w http.ResponseWriter, r *http.Request, who caller) {
	body, refused := g.readBody(w, r)
	if refused != nil {
		g.refuse(w, "", refused)
		return
	}
	c, refused := newCall(who.index, who.workspace, body)
	if refused != nil {
		g.refuse(w, "", refused)
		return
	}
	leave, refused := g.enter(c.workspace, c.tokens())
	if refused != nil {
		g.refuse(w, "", refused)
		return
	}
	defer leave()
	answer, closeAnswer, err := g.open(r.Context(), c, body)
	if err != nil {
		g.refuse(w, c.id, refusal.From(err))
		return
	}
	defer closeAnswer()
	w.Header().Set(refusal.HeaderRequestID, c.id)
	if c.request.Stream {
		g.writeStream(r.Context(), w, c, answer)
		return
	}
	g.writeWhole(r.Context(), w, c, answer)
}

// open starts the call at its owner, or here if the owner is this node or can't be
// reached.
func (g *Gateway) open(ctx context.Context, c *call, body []byte) (source, func(), error) {
	owner, ok := g.owner(c)
	if !ok {
		return g.openHere(ctx, c)
	}
	c.id = g.newRequestID(owner.NodeID, owner.Incarnation)
	answer, err := g.Peers.Chat(ctx, owner.PeerAddress, api.PeerChat{
		RequestID: c.id,
		Workspace: c.workspace,
		Service:   c.service,
		Priority:  c.priority,
		Body:      body,
	})
	if err == nil {
		return answer, answer.Close, nil
	}
	var failed *upstream.Error
	if errors.As(err, &failed) && failed.Sent == retry.NotSent {
		g.Logger.Warn().Err(err).Str("owner", owner.NodeID).Msg("owner not reached; request stays here")
		return g.openHere(ctx, c)
	}
	return nil, nil, refusal.New(http.StatusBadGateway, refusal.CodeUpstreamFailed,
		"the owner of the request failed").Unknown().At("hand over chat", owner.NodeID, err)
}

func (g *Gateway) openHere(ctx context.Context, c *call) (source, func(), error) {
	c.id = g.newRequestID(g.Settings.NodeID, g.Incarnation)
	journal := g.start(ctx, c)
	journal.Attach()
	return journal, func() { journal.Detach(detachGrace) }, nil
}

// start runs the call on this node.
func (g *Gateway) start(ctx context.Context, c *call) *exchange.Exchange {
	return g.store.Start(ctx, c.id, c.workspace, func(ctx context.Context, journal *exchange.Exchange) {
		refused := g.run(ctx, c, journal)
		journal.Finish(refused)
	})
}

// peerChat serves a call that another node handed over to its owner.
func (g *Gateway) peerChat(w http.ResponseWriter, r *http.Request) {
	var handed api.PeerChat
	if err := json.NewDecoder(r.Body).Decode(&handed); err != nil {
		refusal.New(http.StatusBadRequest, refusal.CodeInvalidJSON, "peer request can't be read: %v", err).Write(w, "")
		return
	}
	index := g.Control.Snapshot().Index
	if index == nil {
		refusal.New(http.StatusServiceUnavailable, refusal.CodeNoConfiguration, "no configuration yet").Write(w, handed.RequestID)
		return
	}
	c, refused := newCall(index, handed.Workspace, handed.Body)
	if refused != nil {
		refused.Write(w, handed.RequestID)
		return
	}
	c.id = handed.RequestID
	c.priority = handed.Priority
	journal := g.start(r.Context(), c)
	journal.Attach()
	defer journal.Detach(detachGrace)
	if err := peer.WriteEvents(r.Context(), w, journal, 0); err != nil {
		g.Logger.Debug().Err(err).Str("request", c.id).Msg("peer stopped reading")
	}
}

// models serves GET /v1/models.
func (g *Gateway) models(w http.ResponseWriter, _ *http.Request, who caller) {
	list := api.ModelList{Object: "list", Data: []api.ModelInfo{}}
	for _, name := range who.index.Models(who.workspace) {
		list.Data = append(list.Data, api.ModelInfo{ID: name, Object: "model", OwnedBy: who.index.Config.Deployment})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
