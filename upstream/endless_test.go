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
)

const jsonHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"

// endless answers with start and then with unit until the caller closes, and reports the bytes that it has sent.
func endless(t *testing.T, start, unit string) (address string, sent <-chan int) {
	block := strings.Repeat(unit, 64<<10/len(unit))
	bytes := make(chan int, 1)
	address = answerWith(t, func(conn *net.TCPConn) {
		_ = conn.SetWriteBuffer(64 << 10)
		total, err := io.WriteString(conn, start)
		for err == nil && total < endlessBytes {
			var n int
			n, err = io.WriteString(conn, block)
			total += n
		}
		bytes <- total
		_, _ = conn.Read(make([]byte, 1))
	})
	return address, bytes
}

// drainStream reads a stream until it fails.
func drainStream(ctx context.Context, address string) error {
	stream, err := upstream.NewPool("test").Get(address).Chat(ctx, "id", 0, nil)
	if err != nil {
		return err
	}
	defer stream.Close()
	for err == nil {
		_, err = stream.Next()
	}
	return err
}

// drainPeer reads the answer of a peer until it fails.
func drainPeer(ctx context.Context, address string) error {
	answer, err := peer.NewClient("key", upstream.NewPool("test")).Chat(ctx, address, api.PeerChat{})
	if err != nil {
		return err
	}
	defer answer.Close()
	for err == nil {
		_, err = answer.Next()
	}
	return err
}

// Guards against a node that keeps whatever an upstream or a peer sends, until it has no memory left.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	conn := func(address string) *upstream.Conn { return upstream.NewPool("test").Get(address) }
	nodes := func() *peer.Client { return peer.NewClient("key", upstream.NewPool("test")) }
	load := func(ctx context.Context, address string) error { _, err := conn(address).Load(ctx); return err }
	for name, c := range map[string]struct {
		start, unit string
		bound       int
		call        func(ctx context.Context, address string) error
	}{
		"head":        {"HTTP/1.1 200 OK\r\nX-A: ", "a", headBound, load},
		"fields":      {"HTTP/1.1 200 OK\r\n", "X-A: a\r\n", headBound, load},
		"once, head":  {"HTTP/1.1 200 OK\r\nX-A: ", "a", headBound, onceTo(t)},
		"load":        {jsonHead + `{"a":"`, "a", endlessBytes, load},
		"load, lists": {jsonHead + `{"models":[`, `{},`, endlessBytes, load},
		"cache events": {jsonHead + `{"events":[`, `{},`, endlessBytes, func(ctx context.Context, address string) error {
			_, err := conn(address).CacheEvents(ctx, 0)
			return err
		}},
		"order": {jsonHead + `{"a":"`, "a", endlessBytes, func(ctx context.Context, address string) error {
			_, err := conn(address).SendOrder(ctx, api.EngineOrder{})
			return err
		}},
		"KV cache": {jsonHead + `{"data":"`, "a", endlessBytes, func(ctx context.Context, address string) error {
			_, err := conn(address).ExportKV(ctx, "id")
			return err
		}},
		"event":  {"HTTP/1.1 200 OK\r\n\r\ndata: ", "a", endlessBytes, drainStream},
		"events": {"HTTP/1.1 200 OK\r\n\r\n", "data: {}\n\n", endlessBytes, drainStream},
		"heartbeat of a peer": {jsonHead + `{"a":"`, "a", endlessBytes, func(ctx context.Context, address string) error {
			_, err := nodes().Heartbeat(ctx, address, api.Heartbeat{})
			return err
		}},
		"prompt at a peer": {jsonHead + `{"a":"`, "a", endlessBytes, func(ctx context.Context, address string) error {
			_, err := nodes().LookUpPrompt(ctx, address, api.PeerPrompt{})
			return err
		}},
		"service call at a peer": {jsonHead + `{"a":"`, "a", endlessBytes, func(ctx context.Context, address string) error {
			_, err := nodes().CallService(ctx, address, api.PeerService{})
			return err
		}},
		"line of a peer": {jsonHead + `{"a":"`, "a", endlessBytes, drainPeer},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := endless(t, c.start, c.unit)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			require.Error(t, c.call(ctx, address))
			require.NoError(t, ctx.Err(), "the call must end by itself")
			require.Less(t, <-sent, c.bound)
		})
	}
}

// onceTo returns a call of a request that may not be repeated.
func onceTo(t *testing.T) func(ctx context.Context, address string) error {
	return func(_ context.Context, address string) error {
		_, err := post(t, upstream.NewOnceSender("test").Do, address, nil)
		return err
	}
}
