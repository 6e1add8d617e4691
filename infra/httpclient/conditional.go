package httpclient

import (
	"context"
	"net/http"
	"sync"

	"github.com/persimmonline/persimmonline/infra"
	"github.com/persimmonline/persimmonline/memory"
)

// cached holds the last response to a conditional read, with its entity tag.
type cached[T any] struct {
	mu    sync.Mutex
	etag  string
	value T
}

// get reads path, or returns the cached value if the service answers 304. The returned
// value is shared and must not be modified.
func (k *cached[T]) get(ctx context.Context, c client, step, path string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var zero T
	request, err := c.request(ctx, http.MethodGet, path, nil)
	if err != nil {
		return zero, &infra.Error{Step: step, Peer: c.base, Effect: infra.EffectNone, Err: err}
	}
	if k.etag != "" {
		request.Header.Set("If-None-Match", k.etag)
	}
	response, err := c.send(step, request)
	if err != nil {
		return zero, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return k.value, nil
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return zero, c.statusError(step, response)
	}
	var fresh T
	if err := memory.DecodeJSON(response.Body, maxAnswerBytes, &fresh); err != nil {
		return zero, &infra.Error{Step: step, Peer: c.base, Status: response.StatusCode, Effect: infra.EffectUnknown, Err: err}
	}
	k.etag, k.value = response.Header.Get("ETag"), fresh
	return fresh, nil
}
