// Package once_test measures the cost of at-most-once execution: the latency of each
// variant, the claims that fit into the log's appends, and the calls served while the log
// is down.
package once_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/demo"
	"github.com/persimmonline/persimmonline/examples"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/telemetry"
)

const (
	workspace = "incident-review"
	trigger   = "/services/rakes/rakes/7/trigger"
	// logLatency is the latency of one call to the stand-in log.
	logLatency = 5 * time.Millisecond
	// maxAppendsPerSecond bounds the appends for the claims of a deployment; the log can
	// take several hundred appends per second in total.
	maxAppendsPerSecond = 300
	// outageTriggers is the number of triggers per variant during the outage.
	outageTriggers = 200
)

func TestMain(m *testing.M) {
	telemetry.BridgeLogx(zerolog.Nop())
	os.Exit(m.Run())
}

type cluster struct {
	*demo.Cluster
	announced demo.Announcement
	client    *http.Client
}

func start(tb testing.TB) *cluster {
	tb.Helper()
	deployment, err := examples.Load(examples.Falaj)
	require.NoError(tb, err)
	running, err := demo.Start(context.Background(), demo.Options{
		Deployment: deployment,
		Logger:     zerolog.Nop(),
		Adjust:     func(s *api.Settings) { s.ReadinessGrace = 10 * time.Millisecond },
	})
	require.NoError(tb, err)
	tb.Cleanup(running.Kill)
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	tb.Cleanup(transport.CloseIdleConnections)
	return &cluster{Cluster: running, announced: running.Announce(), client: &http.Client{Transport: transport}}
}

// post calls a node and returns the status, headers and body of the response.
func (c *cluster) post(tb testing.TB, node int, path, key string) (int, http.Header, []byte) {
	tb.Helper()
	base := c.announced.Callers[node%len(c.announced.Callers)]
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, base+path, strings.NewReader(key))
	require.NoError(tb, err)
	request.Header.Set("Authorization", "Bearer "+c.announced.APIKeys[workspace])
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := c.client.Do(request)
	require.NoError(tb, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(tb, err)
	return response.StatusCode, response.Header, body
}

func (c *cluster) operation(tb testing.TB, node int) string {
	tb.Helper()
	status, _, body := c.post(tb, node, "/v1/operations", "")
	require.Equal(tb, http.StatusCreated, status)
	var created api.OperationCreated
	require.NoError(tb, json.Unmarshal(body, &created))
	return created.ID
}

// BenchmarkLatency measures sequential calls of each variant, with a log that takes
// logLatency per call.
func BenchmarkLatency(b *testing.B) {
	c := start(b)
	c.Standins.Log.SetDelay(logLatency)
	variants := []struct {
		name string
		key  func(node int) string
	}{
		{"no key", func(int) string { return "" }},
		{"operation id, at its holder", func(node int) string { return c.operation(b, node) }},
		{"operation id, at another node", func(node int) string { return c.operation(b, node+1) }},
		{"own key, through the log", func(int) string { return uuid.NewString() }},
	}
	for _, variant := range variants {
		b.Run(variant.name, func(b *testing.B) {
			histogram := hdrhistogram.New(1, 60_000_000, 3)
			for i := range b.N {
				b.StopTimer()
				key := variant.key(i)
				b.StartTimer()
				started := time.Now()
				status, _, body := c.post(b, i, trigger, key)
				require.NoError(b, histogram.RecordValue(time.Since(started).Microseconds()))
				require.Equal(b, http.StatusOK, status, string(body))
			}
			b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-µs")
			b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-µs")
		})
	}
}

// BenchmarkClaims measures claims per second over five nodes, and the appends needed for
// them. One claimed call writes two records: the claim and the outcome.
func BenchmarkClaims(b *testing.B) {
	c := start(b)
	c.Standins.Log.SetDelay(logLatency)
	const callers = 100
	work := make(chan int)
	var group sync.WaitGroup
	before := c.Standins.Log.Appends()
	started := time.Now()
	for range callers {
		group.Go(func() {
			for i := range work {
				status, _, body := c.post(b, i, trigger, uuid.NewString())
				if status != http.StatusOK {
					b.Errorf("status %d: %s", status, body)
				}
			}
		})
	}
	for i := range b.N {
		work <- i
	}
	close(work)
	group.Wait()
	seconds := time.Since(started).Seconds()
	appends := float64(c.Standins.Log.Appends() - before)
	b.ReportMetric(float64(b.N)/seconds, "claims/s")
	b.ReportMetric(appends/seconds, "appends/s")
	b.ReportMetric(appends/float64(b.N), "appends/claim")
	if seconds > 2 && appends/seconds > maxAppendsPerSecond {
		b.Errorf("%.0f appends per second, the limit is %d", appends/seconds, maxAppendsPerSecond)
	}
	require.Zero(b, c.Standins.Ledger.DuplicatedOperations())
}

// TestTriggersDuringAnOutage counts the calls of each variant that are served while the log
// is down.
func TestTriggersDuringAnOutage(t *testing.T) {
	c := start(t)
	c.Standins.Log.SetDown(true)
	started := time.Now()
	served := map[string]int{}
	for i := range outageTriggers {
		if status, header, _ := c.post(t, i, trigger, uuid.NewString()); status == http.StatusOK {
			served["own key"]++
		} else {
			require.Equal(t, string(refusal.CodeLogUnavailable), header.Get(refusal.HeaderCode))
			require.Equal(t, "no", header.Get(refusal.HeaderRan))
		}
		if status, _, _ := c.post(t, i, trigger, c.operation(t, i+1)); status == http.StatusOK {
			served["operation id"]++
		}
		if status, _, _ := c.post(t, i, trigger+"?no=key", ""); status == http.StatusOK {
			served["no key"]++
		}
	}
	t.Logf("served of %d per variant in %v: %v", outageTriggers, time.Since(started), served)
	require.Zero(t, served["own key"])
	require.Equal(t, outageTriggers, served["operation id"])
	require.Equal(t, outageTriggers, served["no key"])
}
