// Package peer holds what nodes say to each other: heartbeats, and requests that
// are handed to their owner.
package peer

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/exchange"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/retry"
	"github.com/persimmonline/persimmonline/upstream"
)

// Paths of the peer listener.
const (
	PathHeartbeat = "/peer/v1/heartbeat"
	PathChat      = "/peer/v1/chat"
)

// HeaderKey carries the secret between nodes.
const HeaderKey = "X-Persimmon-Peer-Key"

// heartbeatTimeout bounds one heartbeat.
const heartbeatTimeout = 2 * time.Second

// Authenticate lets only requests with the key between nodes through.
func Authenticate(key string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(HeaderKey)), []byte(key)) != 1 {
			refusal.New(http.StatusUnauthorized, refusal.CodeInvalidKey, "not a peer").Write(w, "")
			return
		}
		next(w, r)
	}
}

// Client talks to other nodes.
type Client struct {
	key  string
	pool *upstream.Pool
}

// NewClient returns a client with the key between nodes.
func NewClient(key string, pool *upstream.Pool) *Client { return &Client{key: key, pool: pool} }

// Heartbeat tells a peer of this node and returns the peer's own heartbeat.
func (c *Client) Heartbeat(ctx context.Context, address string, own api.Heartbeat) (api.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var answer api.Heartbeat
	response, err := c.post(ctx, "heartbeat", address, PathHeartbeat, own)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return answer, fmt.Errorf("read heartbeat of peer %s: %w", address, err)
	}
	return answer, nil
}

// Chat hands a request to its owner and returns the answer as it comes. An
// *upstream.Error says whether the owner may have got the request.
func (c *Client) Chat(ctx context.Context, address string, chat api.PeerChat) (*Answer, error) {
	response, err := c.post(ctx, "hand over chat", address, PathChat, chat) //nolint:bodyclose // Answer.Close closes it.
	if err != nil {
		return nil, err
	}
	return &Answer{address: address, body: response.Body, decoder: json.NewDecoder(response.Body)}, nil
}

func (c *Client) post(ctx context.Context, step, address, path string, in any) (*http.Response, error) {
	encoded, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("%s for peer %s: %w", step, address, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, fmt.Errorf("%s for peer %s: %w", step, address, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderKey, c.key)
	response, err := c.pool.Get(address).Do(step, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, &upstream.Error{
			Step: step, Peer: address, Sent: retry.NotSent, Status: response.StatusCode,
			Err: fmt.Errorf("peer refused with status %d", response.StatusCode),
		}
	}
	return response, nil
}

// Answer is the answer of an owner, as JSON lines of api.PeerEvent.
type Answer struct {
	address string
	body    io.ReadCloser
	decoder *json.Decoder
}

// Next returns the next part of the answer. The index is not needed, since the
// owner sends each chunk once.
func (a *Answer) Next(_ context.Context, _ int) (exchange.Page, error) {
	var event api.PeerEvent
	if err := a.decoder.Decode(&event); err != nil {
		return exchange.Page{}, &upstream.Error{
			Step: "read answer of owner", Peer: a.address, Sent: retry.MaybeSent, Err: err,
		}
	}
	if event.Refused != nil {
		return exchange.Page{Done: true, Refused: refused(event.Refused, a.address)}, nil
	}
	if event.Chunk == nil {
		return exchange.Page{Done: event.Done}, nil
	}
	var chunk api.ChatChunk
	if err := json.Unmarshal(event.Chunk.Data, &chunk); err != nil {
		return exchange.Page{}, fmt.Errorf("read chunk of peer %s: %w", a.address, err)
	}
	return exchange.Page{Chunks: []api.ChatChunk{chunk}}, nil
}

// Close ends the answer.
func (a *Answer) Close() { _ = a.body.Close() }

func refused(r *api.PeerRefusal, address string) *refusal.Refusal {
	return &refusal.Refusal{
		Status:     r.Status,
		Code:       refusal.Code(r.Code),
		Ran:        refusal.Ran(r.Ran),
		Message:    r.Message,
		Param:      r.Param,
		RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond,
		Step:       "answer of owner",
		Peer:       address,
	}
}

// WriteEvents sends the pages of a journal to a peer until the journal is done.
func WriteEvents(ctx context.Context, w http.ResponseWriter, journal *exchange.Exchange, from int) error {
	w.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	for {
		page, err := journal.Next(ctx, from)
		if err != nil {
			return err
		}
		for _, chunk := range page.Chunks {
			if err := writeChunk(encoder, chunk); err != nil {
				return err
			}
		}
		from += len(page.Chunks)
		if page.Done {
			return encoder.Encode(lastEvent(page.Refused))
		}
		if err := controller.Flush(); err != nil {
			return err
		}
	}
}

func writeChunk(encoder *json.Encoder, chunk api.ChatChunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return encoder.Encode(api.PeerEvent{Chunk: &api.PeerChunk{Data: data}})
}

func lastEvent(r *refusal.Refusal) api.PeerEvent {
	if r == nil {
		return api.PeerEvent{Done: true}
	}
	return api.PeerEvent{Refused: &api.PeerRefusal{
		Status:       r.Status,
		Code:         string(r.Code),
		Ran:          string(r.Ran),
		Message:      r.Message,
		Param:        r.Param,
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	}}
}
