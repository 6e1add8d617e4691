package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/refusal"
)

// upload begins a request with a body, and returns its connection.
func upload(t *testing.T, e *Edge, begin, rest string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", e.settings.CallerAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id\r\nAuthorization: Bearer k\r\nContent-Length: %d\r\n\r\n%s",
		len(begin)+len(rest), begin)
	require.NoError(t, err)
	return conn
}

// requireRefusal requires that an answer comes, and that it is a refusal by the node.
func requireRefusal(t *testing.T, conn net.Conn, status int, ran refusal.Ran) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(eventually)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "the connection ended without an answer")
	require.NoError(t, response.Body.Close())
	require.Equal(t, status, response.StatusCode)
	require.Equal(t, string(refusal.CodeDraining), response.Header.Get(refusal.HeaderCode))
	require.Equal(t, string(ran), response.Header.Get(refusal.HeaderRan))
}

// startBeforeUpstreamThatHangs starts a node whose upstream answers no request, and counts what reaches that.
func startBeforeUpstreamThatHangs(t *testing.T) (e *Edge, stop func(), reached *atomic.Int64) {
	t.Helper()
	reached = &atomic.Int64{}
	hanging := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		reached.Add(1)
		<-r.Context().Done()
	}))
	t.Cleanup(hanging.Close)
	store := newStore(t)
	store.PublishConfig(fmt.Appendf(nil, strings.Replace(configText, `"timeoutMs":3000`, `"timeoutMs":30000`, 1), 1, "k"))
	store.register("i-1", strings.TrimPrefix(hanging.URL, "http://"))
	e, stop = start(t, settings(t, "n1", store.address()))
	require.Eventually(t, func() bool { return ready(e) }, eventually, 20*time.Millisecond)
	return e, stop, reached
}

// Guards against a request that is passed on late in the grace, because its body came slowly, and is then cut.
func TestUploadThatEndsLateInTheGraceIsRefused(t *testing.T) {
	e, stop, reached := startBeforeUpstreamThatHangs(t)
	conn := upload(t, e, "be", "gun")
	require.Eventually(t, func() bool { return e.handler.InFlight() == 1 }, eventually, 5*time.Millisecond)
	go stop()
	require.Eventually(t, func() bool { return e.view.Load().RefusingRequests }, eventually, 5*time.Millisecond)
	_, err := conn.Write([]byte("gun"))
	require.NoError(t, err)
	requireRefusal(t, conn, http.StatusServiceUnavailable, refusal.RanNo)
	require.Zero(t, reached.Load())
}

// Guards against a request that is cut without an answer at the end of the grace.
func TestRequestUnderWayAtTheEndOfTheGraceIsAnswered(t *testing.T) {
	e, stop, reached := startBeforeUpstreamThatHangs(t)
	began := time.Now()
	go stop()
	requireWithin(t, time.Second, func() bool { return e.view.Load().Draining }, "the node must drain")
	time.Sleep(time.Second)
	conn := upload(t, e, "whole", "")
	require.Eventually(t, func() bool { return reached.Load() == 1 }, eventually, 5*time.Millisecond)
	requireRefusal(t, conn, http.StatusBadGateway, refusal.RanUnknown)
	require.Less(t, time.Since(began), e.settings.Bounds.Grace)
	stop()
	require.Less(t, time.Since(began), e.settings.Bounds.Grace)
}
