package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/idempotency"
	"github.com/persimmonline/persimmonline/refusal"
)

// forwardGrace is added to the attempt's timeout when a call is forwarded to its holder.
const forwardGrace = 5 * time.Second

// forwardBound forwards a call to the holder of its operation. Forwarding twice is safe,
// since only the holder sends the call, and only once.
func (g *Gateway) forwardBound(ctx context.Context, c *serviceCall, operation idempotency.Operation, holder idempotency.Holder) serviceResult {
	holderPeer, ok := g.Control.Snapshot().Peers[holder.Node]
	if !ok || holderPeer.Incarnation != holder.Incarnation {
		r := outcomeUnknown("the node that held the operation is gone")
		return serviceResult{refused: r.WithCause("find holder", holder.Node, nil)}
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout()+forwardGrace)
	defer cancel()
	answer, err := g.Peers.CallService(ctx, holderPeer.PeerAddress, api.PeerService{
		RequestID: c.id,
		Workspace: c.workspace,
		Service:   c.service,
		Method:    c.method,
		Path:      c.path,
		Query:     c.query,
		Header:    c.header,
		Body:      c.body,
		Operation: operation.ID,
	})
	if err != nil {
		r := outcomeUnknown("the node that holds the operation did not answer; ask again with the same id")
		return serviceResult{refused: r.WithCause("hand call to holder", holder.Node, err).WithRetryAfter(jittered(inProgressRetryAfter))}
	}
	return resultOf(answer, holder.Node)
}

func resultOf(answer api.PeerServiceAnswer, peerID string) serviceResult {
	if answer.Refused == nil && answer.Answer != nil {
		return serviceResult{answer: answer.Answer, replayed: answer.Replayed}
	}
	if answer.Refused == nil {
		return serviceResult{refused: outcomeUnknown("the holder of the operation gave no answer").WithCause("read answer of holder", peerID, nil)}
	}
	refused := answer.Refused
	return serviceResult{refused: &refusal.Refusal{
		Status:     refused.Status,
		Code:       refusal.Code(refused.Code),
		Ran:        refusal.Ran(refused.Ran),
		Message:    refused.Message,
		Param:      refused.Param,
		RetryAfter: time.Duration(refused.RetryAfterMS) * time.Millisecond,
		Step:       "answer of holder",
		Peer:       peerID,
	}}
}

// peerService serves a call that another node forwarded to this one, its holder.
func (g *Gateway) peerService(w http.ResponseWriter, r *http.Request) {
	var call api.PeerService
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		refusal.New(http.StatusBadRequest, refusal.CodeInvalidJSON, "the call can't be read: %v", err).Write(w, "")
		return
	}
	result := g.runPeerService(r.Context(), call)
	answer := api.PeerServiceAnswer{Answer: result.answer, Replayed: result.replayed}
	if refused := result.refused; refused != nil {
		g.count(refused)
		answer.Refused = &api.ServiceRefusal{
			Status: refused.Status, Code: string(refused.Code), Ran: string(refused.Ran),
			Message: refused.Message, Param: refused.Param, RetryAfterMS: refused.RetryAfter.Milliseconds(),
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (g *Gateway) runPeerService(ctx context.Context, call api.PeerService) serviceResult {
	index := g.Control.Snapshot().Index
	if index == nil {
		return serviceResult{refused: refusal.New(http.StatusServiceUnavailable, refusal.CodeNoConfiguration,
			"the holder has no configuration yet").WithRetryAfter(jittered(noConfigurationRetryAfter))}
	}
	operation, err := idempotency.ParseOperation(call.Operation, call.Workspace, g.operations.key)
	if err != nil {
		return serviceResult{refused: refusal.InvalidField(headerKey, "%s: the operation id is not one of this workspace's", headerKey)}
	}
	c, refused := g.newServiceCall(caller{workspace: call.Workspace, index: index}, call.Service, call.Method, call.Path, call.Query)
	if refused != nil {
		return serviceResult{refused: refused}
	}
	c.id = call.RequestID
	c.header = forwardedHeader(call.Header)
	c.body = call.Body
	return g.runDetached(ctx, func(ctx context.Context) serviceResult { return g.runBound(ctx, c, operation) })
}
