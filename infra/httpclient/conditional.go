package httpclient

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/persimmonline/persimmonline/infra"
)

// cached is the last answer to a read that the service names by an entity tag.
type cached[T any] struct {
	mu    sync.Mutex
	etag  string
	value T
}

// get reads path unless the service says that the last answer still holds. The value
// that it returns is shared and must not be changed.
func (k *cached[T]) get(ctx context.Context, c client, step, path string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var none T
	request, err := c.request(ctx, http.MethodGet, path, nil)
	if err != nil {
		return none, &infra.Error{Step: step, Peer: c.base, Effect: infra.EffectNone, Err: err}
	}
	if k.etag != "" {
		request.Header.Set("If-None-Match", k.etag)
	}
	response, err := c.send(step, request)
	if err != nil {
		return none, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return k.value, nil
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return none, c.refused(step, response)
	}
	var fresh T
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&fresh); err != nil {
		return none, &infra.Error{Step: step, Peer: c.base, Status: response.StatusCode, Effect: infra.EffectUnknown, Err: err}
	}
	k.etag, k.value = response.Header.Get("ETag"), fresh
	return fresh, nil
}
