package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"net/http"
	"strconv"

	"github.com/tmaxmax/go-sse"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/memory"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/retry"
)

const (
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 1 << 20
	// maxAnswerBytes bounds an answer that is decoded whole; the longest is the KV cache of a request.
	maxAnswerBytes = 64 << 20
	// maxStreamBytes bounds the memory of a streamed answer, whose chunks are kept until it has ended, and
	// chunkBytes is that of a chunk besides its text.
	maxStreamBytes = 64 << 20
	chunkBytes     = 256
	// maxErrorBytes bounds the part of an error answer that is included in an error.
	maxErrorBytes = 2048
	// streamEnd is the data of the last event of a stream.
	streamEnd = "[DONE]"
	// HeaderPriority carries the priority to engines, from 0 (highest) to 9.
	HeaderPriority = "X-Priority"
)

// ErrStreamTruncated means that a stream ended before its answer was complete.
var ErrStreamTruncated = errors.New("stream ended before the answer was complete")

// Stream is a streamed answer of an engine.
type Stream struct {
	address string
	body    io.ReadCloser
	next    func() (sse.Event, error, bool)
	stop    func()
	// bytes is the memory of the chunks so far.
	bytes int
}

// Chat requests a streamed answer from an engine. The body is an OpenAI chat request
// with stream set.
func (c *Conn) Chat(ctx context.Context, requestID string, priority int, body []byte) (*Stream, error) {
	const step = "start chat stream"
	url := "http://" + c.address + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Step: step, Peer: c.address, Sent: retry.NotSent, Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(refusal.HeaderRequestID, requestID)
	request.Header.Set(HeaderPriority, strconv.Itoa(priority))
	response, err := c.Do(step, request) //nolint:bodyclose // Stream.Close and errorAnswer close it.
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, c.errorAnswer(step, response)
	}
	next, stop := iter.Pull2(iter.Seq2[sse.Event, error](sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes})))
	return &Stream{address: c.address, body: response.Body, next: next, stop: stop}, nil
}

// errorAnswer returns an answer other than 200 as an *Error. A status from 300 to 499 or a 503 means that
// the request did not run.
func (c *Conn) errorAnswer(step string, response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	sent := retry.MaybeSent
	refused := response.StatusCode >= http.StatusMultipleChoices && response.StatusCode < http.StatusInternalServerError
	if refused || response.StatusCode == http.StatusServiceUnavailable {
		sent = retry.NotSent
	}
	return &Error{
		Step: step, Peer: c.address, Sent: sent, Status: response.StatusCode,
		Err: fmt.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(text)),
	}
}

// Next returns the next chunk, io.EOF after the last, or an *Error.
func (s *Stream) Next() (api.ChatChunk, error) {
	const step = "read chat stream"
	event, err, more := s.next()
	if err != nil {
		return api.ChatChunk{}, &Error{Step: step, Peer: s.address, Sent: retry.MaybeSent, Err: err}
	}
	if !more {
		return api.ChatChunk{}, &Error{Step: step, Peer: s.address, Sent: retry.MaybeSent, Err: ErrStreamTruncated}
	}
	if event.Data == streamEnd {
		return api.ChatChunk{}, io.EOF
	}
	if s.bytes += chunkBytes + len(event.Data); s.bytes > maxStreamBytes {
		return api.ChatChunk{}, &Error{Step: step, Peer: s.address, Sent: retry.MaybeSent, Err: memory.ErrTooLarge}
	}
	var chunk api.ChatChunk
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
		return api.ChatChunk{}, &Error{Step: step, Peer: s.address, Sent: retry.MaybeSent, Err: err}
	}
	return chunk, nil
}

// Close ends the stream; the engine cancels the request if it is still running.
func (s *Stream) Close() {
	_ = s.body.Close()
	s.stop()
}

// Load reads an engine's load.
func (c *Conn) Load(ctx context.Context) (api.EngineLoad, error) {
	const step = "read engine load"
	var load api.EngineLoad
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/engine/v1/load", nil)
	if err != nil {
		return load, &Error{Step: step, Peer: c.address, Err: err}
	}
	response, err := c.Do(step, request)
	if err != nil {
		return load, err
	}
	if response.StatusCode != http.StatusOK {
		return load, c.errorAnswer(step, response)
	}
	defer func() { _ = response.Body.Close() }()
	if err := memory.DecodeJSON(response.Body, maxAnswerBytes, &load); err != nil {
		return load, &Error{Step: step, Peer: c.address, Err: err}
	}
	return load, nil
}

// ExportKV reads the KV cache of a running or recent request from an engine.
func (c *Conn) ExportKV(ctx context.Context, requestID string) (api.KVState, error) {
	const step = "export KV cache"
	var state api.KVState
	response, err := c.post(ctx, step, "/engine/v1/kv/export", api.KVExportRequest{RequestID: requestID})
	if err != nil {
		return state, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := memory.DecodeJSON(response.Body, maxAnswerBytes, &state); err != nil {
		return state, &Error{Step: step, Peer: c.address, Err: err}
	}
	return state, nil
}

// Cancel cancels a request at an engine that may not have noticed the end of its connection.
func (c *Conn) Cancel(ctx context.Context, requestID string) error {
	response, err := c.post(ctx, "cancel request", "/engine/v1/cancel", api.CancelRequest{RequestID: requestID})
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (c *Conn) post(ctx context.Context, step, path string, in any) (*http.Response, error) {
	encoded, err := json.Marshal(in)
	if err != nil {
		return nil, &Error{Step: step, Peer: c.address, Err: err}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, &Error{Step: step, Peer: c.address, Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.Do(step, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, c.errorAnswer(step, response)
	}
	return response, nil
}
