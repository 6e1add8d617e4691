package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/exchange"
	"github.com/persimmonline/persimmonline/refusal"
)

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
	if c.deadline, refused = readDeadline(r, time.Now()); refused != nil {
		g.refuse(w, "", refused)
		return
	}
	release, refused := g.admitWorkspace(c.workspace, c.tokens())
	if refused != nil {
		g.refuse(w, "", refused)
		return
	}
	defer release()
	journal, refused := g.open(r.Context(), c)
	if refused != nil {
		g.refuse(w, c.id, refused)
		return
	}
	defer journal.Detach(detachGrace)
	w.Header().Set(refusal.HeaderRequestID, c.id)
	if c.request.Stream {
		g.writeStream(r.Context(), w, c, journal, 0)
		return
	}
	g.writeComplete(r.Context(), w, c, journal)
}

// open starts the call: either its owner runs it and this node relays the answer, or
// this node runs it. The journal is returned with a reader attached.
func (g *Gateway) open(ctx context.Context, c *call) (*exchange.Exchange, *refusal.Refusal) {
	f := &flight{call: c}
	owner, elsewhere := g.owner(c)
	if !elsewhere && g.draining.Load() {
		owner, elsewhere = g.anyReady()
		if !elsewhere && g.rejectsNewWork.Load() {
			return nil, refusal.New(http.StatusServiceUnavailable, refusal.CodeDraining,
				"this node stops and no other node is ready").WithRetryAfter(jittered(noUpstreamRetryAfter))
		}
	}
	c.id = g.newRequestID(g.Settings.NodeID, g.Incarnation)
	if elsewhere {
		c.id = g.newRequestID(owner.NodeID, owner.Incarnation)
		f.follow(api.PeerMoved{NodeID: owner.NodeID, Address: owner.PeerAddress}, true)
	}
	journal, _ := g.launch(ctx, c.id, c.workspace, f)
	journal.Attach()
	return journal, nil
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
