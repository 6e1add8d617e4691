package upstream

import (
	"context"
	"net/http"
	"strconv"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/memory"
)

// CacheEvents reads an engine's cache events from a sequence number on.
func (c *Conn) CacheEvents(ctx context.Context, from int64) (api.CacheEvents, error) {
	const step = "read cache events"
	var events api.CacheEvents
	url := "http://" + c.address + "/engine/v1/cache-events?from=" + strconv.FormatInt(from, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return events, &Error{Step: step, Peer: c.address, Err: err}
	}
	response, err := c.Do(step, request)
	if err != nil {
		return events, err
	}
	if response.StatusCode != http.StatusOK {
		return events, c.errorAnswer(step, response)
	}
	defer func() { _ = response.Body.Close() }()
	if err := memory.DecodeJSON(response.Body, maxAnswerBytes, &events); err != nil {
		return events, &Error{Step: step, Peer: c.address, Err: err}
	}
	return events, nil
}
