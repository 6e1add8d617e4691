package upstream_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/peer"
	"github.com/persimmonline/persimmonline/upstream"
)

const (
	// endlessBytes is what an upstream without end sends at most in these tests.
	endlessBytes = 192 << 20
	// headBound is the largest head that a node may read, with the buffers of a connection.
	headBound = 4 << 20
	// lineBound is the same for a line of a streamed answer.
	lineBound = 16 << 20
)

// endless answers with start and then with unit until the caller closes, and reports the bytes that it has sent.
func endless(t *testing.T, start, unit string) (address string, sent <-chan int) {
	block := strings.Repeat(unit, 64<<10/len(unit))
	bytes := make(chan int, 1)
	address = answerWith(t, func(conn *net.TCPConn) {
		_ = conn.SetWriteBuffer(64 << 10)
		total, err := io.WriteString(conn, start)
		for n := 0; err == nil && total < endlessBytes; total += n {
			n, err = io.WriteString(conn, block)
		}
		bytes <- total
		_, _ = conn.Read(make([]byte, 1))
	})
	return address, bytes
}

func errorOf[T any](_ T, err error) error { return err }

// drain reads an answer that has begun until it fails.
func drain[T any](next func() (T, error), err error) error {
	for err == nil {
		_, err = next()
	}
	return err
}

// Guards against a node that keeps whatever an upstream or a peer sends, until it has no memory left.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	const (
		head = "HTTP/1.1 200 OK\r\n"
		text = head + "\r\n" + `{"data":"`
	)
	type call func(ctx context.Context, address string, engine *upstream.Conn, node *peer.Client) error
	load := func(ctx context.Context, _ string, e *upstream.Conn, _ *peer.Client) error {
		return errorOf(e.Load(ctx))
	}
	stream := func(ctx context.Context, _ string, e *upstream.Conn, _ *peer.Client) error {
		s, err := e.Chat(ctx, "id", 0, nil)
		return drain(s.Next, err)
	}
	for name, c := range map[string]struct {
		start, unit string
		bound       int
		call        call
	}{
		"field":      {head + "X-A: ", "a", headBound, load},
		"fields":     {head, "X-A: a\r\n", headBound, load},
		"load":       {text, "a", endlessBytes, load},
		"load, list": {head + "\r\n" + `{"models":[`, `{},`, endlessBytes, load},
		"event":      {head + "\r\ndata: ", "a", endlessBytes, stream},
		"events":     {head + "\r\n", "data: {}\n\n", endlessBytes, stream},
		"once, field": {head + "X-A: ", "a", headBound, func(_ context.Context, a string, _ *upstream.Conn, _ *peer.Client) error {
			return errorOf(post(t, upstream.NewOnceSender("test").Do, a, nil))
		}},
		"cache events": {text, "a", endlessBytes, func(ctx context.Context, _ string, e *upstream.Conn, _ *peer.Client) error {
			return errorOf(e.CacheEvents(ctx, 0))
		}},
		"order": {text, "a", endlessBytes, func(ctx context.Context, _ string, e *upstream.Conn, _ *peer.Client) error {
			return errorOf(e.SendOrder(ctx, api.EngineOrder{}))
		}},
		"KV cache": {text, "a", endlessBytes, func(ctx context.Context, _ string, e *upstream.Conn, _ *peer.Client) error {
			return errorOf(e.ExportKV(ctx, "id"))
		}},
		"heartbeat": {text, "a", endlessBytes, func(ctx context.Context, a string, _ *upstream.Conn, n *peer.Client) error {
			return errorOf(n.Heartbeat(ctx, a, api.Heartbeat{}))
		}},
		"prompt at a peer": {text, "a", endlessBytes, func(ctx context.Context, a string, _ *upstream.Conn, n *peer.Client) error {
			return errorOf(n.LookUpPrompt(ctx, a, api.PeerPrompt{}))
		}},
		"service call at a peer": {text, "a", endlessBytes, func(ctx context.Context, a string, _ *upstream.Conn, n *peer.Client) error {
			return errorOf(n.CallService(ctx, a, api.PeerService{}))
		}},
		"line of a peer": {text, "a", lineBound, func(ctx context.Context, a string, _ *upstream.Conn, n *peer.Client) error {
			answer, err := n.Chat(ctx, a, api.PeerChat{})
			return drain(answer.Next, err)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := endless(t, c.start, c.unit)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			pool := upstream.NewPool("test")
			require.Error(t, c.call(ctx, address, pool.Get(address), peer.NewClient("key", pool)))
			require.NoError(t, ctx.Err(), "the call must end by itself")
			cancel()
			require.Less(t, <-sent, c.bound)
		})
	}
}
