package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/memory"
	"github.com/persimmonline/persimmonline/retry"
)

// SendOrder sends an order to an engine. It may be repeated, as orders are idempotent by id.
// An *Error with status 409 means that the engine rejected an old fencing number.
func (c *Conn) SendOrder(ctx context.Context, order api.EngineOrder) (api.OrderResult, error) {
	const step = "order engine"
	var result api.OrderResult
	encoded, err := json.Marshal(order)
	if err != nil {
		return result, &Error{Step: step, Peer: c.address, Sent: retry.NotSent, Err: err}
	}
	url := "http://" + c.address + "/engine/v1/orders"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return result, &Error{Step: step, Peer: c.address, Sent: retry.NotSent, Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.Do(step, request)
	if err != nil {
		return result, err
	}
	if response.StatusCode != http.StatusOK {
		return result, c.errorAnswer(step, response)
	}
	defer func() { _ = response.Body.Close() }()
	if err := memory.DecodeJSON(response.Body, maxAnswerBytes, &result); err != nil {
		return result, &Error{Step: step, Peer: c.address, Sent: retry.MaybeSent, Err: err}
	}
	return result, nil
}
