// Package peer implements the protocol between nodes: heartbeats, requests that are
// handed to their owner or to a successor, and the answers to them.
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
	"github.com/persimmonline/persimmonline/memory"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/retry"
	"github.com/persimmonline/persimmonline/upstream"
)

// Paths of the peer listener.
const (
	PathHeartbeat = "/peer/v1/heartbeat"
	PathChat      = "/peer/v1/chat"
	PathExchange  = "/peer/v1/exchange"
	PathPrompt    = "/peer/v1/prompt"
	PathRequests  = "/peer/v1/requests"
)

// HeaderKey carries the key that nodes share.
const HeaderKey = "X-Persimmon-Peer-Key"

const (
	// heartbeatTimeout bounds one heartbeat.
	heartbeatTimeout = 2 * time.Second
	// handoverTimeout bounds one handover.
	handoverTimeout = 3 * time.Second
	// promptTimeout bounds the look-up of a prompt.
	promptTimeout = 300 * time.Millisecond
	// maxAnswerBytes bounds an answer that is decoded whole; the longest is that of a service call.
	maxAnswerBytes = 64 << 20
	// maxErrorBytes bounds the part of an error answer that is included in an error.
	maxErrorBytes = 512
)

// Authenticate passes only requests with the nodes' shared key to next.
func Authenticate(key string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(HeaderKey)), []byte(key)) != 1 {
			refusal.New(http.StatusUnauthorized, refusal.CodeInvalidKey, "not a peer").Write(w, "")
			return
		}
		next(w, r)
	}
}

// Client sends requests to other nodes.
type Client struct {
	key  string
	pool *upstream.Pool
}

// NewClient returns a client with the nodes' shared key.
func NewClient(key string, pool *upstream.Pool) *Client { return &Client{key: key, pool: pool} }

// Heartbeat sends this node's heartbeat to a peer and returns the peer's own.
func (c *Client) Heartbeat(ctx context.Context, address string, heartbeat api.Heartbeat) (api.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var answer api.Heartbeat
	response, err := c.post(ctx, "heartbeat", address, PathHeartbeat, heartbeat)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := memory.DecodeJSON(response.Body, maxAnswerBytes, &answer); err != nil {
		return answer, fmt.Errorf("read heartbeat of peer %s: %w", address, err)
	}
	return answer, nil
}

// Chat hands a request to its owner and returns the streamed answer. An
// *upstream.Error reports whether the owner may have received the request.
func (c *Client) Chat(ctx context.Context, address string, chat api.PeerChat) (*Answer, error) {
	response, err := c.post(ctx, "hand over chat", address, PathChat, chat) //nolint:bodyclose // Answer.Close closes it.
	if err != nil {
		return nil, err
	}
	return newAnswer(address, response.Body), nil
}

// Attach requests the answer to a request from its holder, from a chunk on. A holder
// without that request answers with status 404.
func (c *Client) Attach(ctx context.Context, address string, attach api.PeerAttach) (*Answer, error) {
	response, err := c.post(ctx, "attach to request", address, PathExchange, attach) //nolint:bodyclose // Answer.Close closes it.
	if err != nil {
		return nil, err
	}
	return newAnswer(address, response.Body), nil
}

// HandOverRequest hands an unfinished request to a successor, which has taken it over once
// this returns nil.
func (c *Client) HandOverRequest(ctx context.Context, address string, handover api.PeerHandover) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	response, err := c.post(ctx, "hand over request", address, PathRequests, handover)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// LookUpPrompt returns where the copies of a prompt run, as reported by its primary owner.
func (c *Client) LookUpPrompt(ctx context.Context, address string, prompt api.PeerPrompt) (api.PeerPrompt, error) {
	ctx, cancel := context.WithTimeout(ctx, promptTimeout)
	defer cancel()
	var answer api.PeerPrompt
	response, err := c.post(ctx, "look up prompt", address, PathPrompt, prompt)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := memory.DecodeJSON(response.Body, maxAnswerBytes, &answer); err != nil {
		return answer, fmt.Errorf("read prompt answer of peer %s: %w", address, err)
	}
	return answer, nil
}

// Retire makes further requests to a peer use new connections.
func (c *Client) Retire(address string) { c.pool.Retire(address) }

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
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		_ = response.Body.Close()
		return nil, &upstream.Error{
			Step: step, Peer: address, Sent: retry.NotSent, Status: response.StatusCode,
			Err: fmt.Errorf("peer refused with status %d: %s", response.StatusCode, bytes.TrimSpace(text)),
		}
	}
	return response, nil
}
