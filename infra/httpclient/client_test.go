package httpclient_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/infra"
	"github.com/persimmonline/persimmonline/infra/httpclient"
	"github.com/persimmonline/persimmonline/platform/platformtest"
	"github.com/persimmonline/persimmonline/standin"
	"github.com/persimmonline/persimmonline/telemetry"
)

const stream = "stream"

func TestMain(m *testing.M) {
	telemetry.BridgeLogx(zerolog.Nop())
	os.Exit(m.Run())
}

func startLog(t *testing.T) (*standin.Log, *httpclient.LogClient) {
	t.Helper()
	log, _, client := startLogServer(t)
	return log, client
}

func startLogServer(t *testing.T) (*standin.Log, *standin.Server, *httpclient.LogClient) {
	t.Helper()
	log := standin.NewLog()
	server, err := standin.Serve("127.0.0.1:0", log.Handler())
	require.NoError(t, err)
	t.Cleanup(server.Close)
	client := httpclient.NewLogClient(server.URL())
	t.Cleanup(client.Close)
	return log, server, client
}

func appendOne(t *testing.T, client *httpclient.LogClient) error {
	t.Helper()
	_, err := client.Append(t.Context(), stream, []json.RawMessage{json.RawMessage(`{"n":1}`)})
	return err
}

func requireEffect(t *testing.T, want infra.Effect, err error) {
	t.Helper()
	var failed *infra.Error
	require.ErrorAs(t, err, &failed)
	require.Equal(t, want, failed.Effect, "%v", err)
}

// TestBrokenAppendIsNotReplayed guards against duplicate appends: if a reused connection
// breaks after the append took effect, net/http resends a request that it considers idempotent.
func TestBrokenAppendIsNotReplayed(t *testing.T) {
	log, client := startLog(t)
	for round := range 3 {
		require.NoError(t, appendOne(t, client), "the connection is reused after this")
		log.DropResponses(1)
		requireEffect(t, infra.EffectUnknown, appendOne(t, client))
		require.Equal(t, 2*(round+1), log.Appends())
	}
	page, err := client.Read(t.Context(), stream, 0, 100, 0)
	require.NoError(t, err)
	require.Len(t, page.Records, 6)
}

func TestAppendThatHadNoConnectionHadNoEffect(t *testing.T) {
	client := httpclient.NewLogClient("http://127.0.0.1:1")
	requireEffect(t, infra.EffectNone, appendOne(t, client))
}

// TestOutageLeavesNothingBehind fails many calls and checks that the next one succeeds: no
// circuit breaker may reject it, and each failure must be the service's own.
func TestOutageLeavesNothingBehind(t *testing.T) {
	log, client := startLog(t)
	log.SetDown(true)
	for range 300 {
		err := appendOne(t, client)
		requireEffect(t, infra.EffectUnknown, err)
		var failed *infra.Error
		require.True(t, errors.As(err, &failed) && failed.Status == http.StatusServiceUnavailable, "%v", err)
	}
	log.SetDown(false)
	require.NoError(t, appendOne(t, client))
	require.Equal(t, 1, log.Appends())
}

func TestRedirectIsNotFollowed(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	t.Cleanup(server.Close)
	requireEffect(t, infra.EffectNone, appendOne(t, httpclient.NewLogClient(server.URL)))
	require.EqualValues(t, 1, calls.Load())
}

func TestReadWaitsForARecord(t *testing.T) {
	log, client := startLog(t)
	go func() { _ = appendOne(t, client) }()
	page, err := client.Read(t.Context(), stream, 0, 10, 30*time.Second)
	require.NoError(t, err)
	require.Len(t, page.Records, 1)
	log.Trim(stream, 1)
	page, err = client.Read(t.Context(), stream, 0, 10, 0)
	require.NoError(t, err)
	require.Empty(t, page.Records)
	require.EqualValues(t, 1, page.OldestOffset)
}

// TestSilentConnectionIsGivenUp makes the pooled connection unresponsive: the call on it
// times out with an unknown effect, and the next one opens a new connection.
func TestSilentConnectionIsGivenUp(t *testing.T) {
	log, server, client := startLogServer(t)
	require.NoError(t, appendOne(t, client))
	server.BlackholeConnections()
	requireEffect(t, infra.EffectUnknown, appendOne(t, client))
	require.NoError(t, appendOne(t, client))
	require.Equal(t, 2, log.Appends())
}

// Guards against consecutive calls on idle connections that are all unresponsive.
func TestCallAfterASilentOneGoesToANewConnection(t *testing.T) {
	server := httptest.NewServer(standin.NewLog().Handler())
	t.Cleanup(server.Close)
	proxy, err := platformtest.StartProxy(strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	client := httpclient.NewLogClient("http://" + proxy.Address())
	read := func(wait time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), wait+300*time.Millisecond)
		defer cancel()
		_, err := client.Read(ctx, "s", 0, 1, wait)
		return err
	}
	var reads sync.WaitGroup
	for range 2 {
		reads.Go(func() { assert.NoError(t, read(50*time.Millisecond)) })
	}
	reads.Wait()
	proxy.Blackhole()
	require.Error(t, read(0), "an idle connection that has become unresponsive")
	require.NoError(t, read(0))
}

// Guards against a status that is none and counts as that of a success.
func TestStatusThatIsNoneLeavesTheEffectUnknown(t *testing.T) {
	listener, err := platformtest.ServeRaw(platformtest.RawAnswer("HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	client := httpclient.NewCloudClient("http://" + listener.Addr().String())
	t.Cleanup(client.Close)
	requireEffect(t, infra.EffectUnknown, client.Stop(t.Context(), "h-1"))
}
