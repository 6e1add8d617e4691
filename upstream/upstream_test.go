package upstream_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/upstream"
)

// answerWith starts an upstream that passes each connection to a function once a part of a request has arrived,
// and returns its address.
func answerWith(t *testing.T, answer func(conn *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 512))
			answer(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// send sends a request by a function.
type send func(address, step string, request *http.Request) (*http.Response, error)

// senders are the ways in which a node sends to an upstream.
func senders() map[string]send {
	return map[string]send{
		"pooled": func(address, step string, request *http.Request) (*http.Response, error) {
			return upstream.NewPool("test").Get(address).Do(step, request)
		},
		"once": upstream.NewOnceSender("test").Do,
	}
}

// post sends a body and reads the whole answer.
func post(t *testing.T, do send, address string, body []byte) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", bytes.NewReader(body))
	require.NoError(t, err)
	response, err := do(address, "post", request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// Guards against a reset that only the upload sees, so that the answer looks complete.
func TestAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	const rounds = 30
	address := answerWith(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(5 * time.Millisecond)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	for name, do := range senders() {
		t.Run(name, func(t *testing.T) {
			for round := range rounds {
				text, err := post(t, do, address, make([]byte, 16<<20))
				require.Error(t, err, "round %d: %q", round, text)
			}
		})
	}
}
