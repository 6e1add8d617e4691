package peer

import (
	"context"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/memory"
	"github.com/persimmonline/persimmonline/retry"
	"github.com/persimmonline/persimmonline/upstream"
)

// Paths of the peer listener for operations.
const (
	PathService  = "/peer/v1/service"
	PathHandover = "/peer/v1/operations/handover"
)

// CallService hands a call to the holder of its operation id. An *upstream.Error reports
// whether the holder may have received it.
func (c *Client) CallService(ctx context.Context, address string, call api.PeerService) (api.PeerServiceAnswer, error) {
	var answer api.PeerServiceAnswer
	response, err := c.post(ctx, "hand over service call", address, PathService, call)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := memory.DecodeJSON(response.Body, maxAnswerBytes, &answer); err != nil {
		return answer, &upstream.Error{Step: "read answer of holder", Peer: address, Sent: retry.MaybeSent, Err: err}
	}
	return answer, nil
}

// HandOverOperations hands a journal to its successor, or announces the successor to a peer.
// An *upstream.Error reports whether the peer may have received it.
func (c *Client) HandOverOperations(ctx context.Context, address string, handover api.OperationHandover) error {
	response, err := c.post(ctx, "hand over operations", address, PathHandover, handover)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
