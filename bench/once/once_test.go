// Package once_test measures what at most once costs: the latency that each way adds,
// the claims that a log's appends carry, and what is served while the log is down.
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
	// logLatency is the stand-in log's time for one call.
	logLatency = 5 * time.Millisecond
	// maxAppendsPerSecond is the share of the log's several hundred appends a second
	// that the claims of a whole deployment may take.
	maxAppendsPerSecond = 300
	// outageTriggers is the number of triggers on each way during the outage.
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

// post calls a node and returns the status, the cause of a refusal and the body.
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

// BenchmarkLatency measures one call at a time on each way, with a log that takes
// logLatency a call.
func BenchmarkLatency(b *testing.B) {
	c := start(b)
	c.Standins.Log.SetDelay(logLatency)
	ways := []struct {
		name string
		key  func(node int) string
	}{
		{"no key", func(int) string { return "" }},
		{"operation id, at its holder", func(node int) string { return c.operation(b, node) }},
		{"operation id, at another node", func(node int) string { return c.operation(b, node+1) }},
		{"own key, through the log", func(int) string { return uuid.NewString() }},
	}
	for _, way := range ways {
		b.Run(way.name, func(b *testing.B) {
			took := hdrhistogram.New(1, 60_000_000, 3)
			for i := range b.N {
				b.StopTimer()
				key := way.key(i)
				b.StartTimer()
				began := time.Now()
				status, _, body := c.post(b, i, trigger, key)
				require.NoError(b, took.RecordValue(time.Since(began).Microseconds()))
				require.Equal(b, http.StatusOK, status, string(body))
			}
			b.ReportMetric(float64(took.ValueAtQuantile(50)), "p50-µs")
			b.ReportMetric(float64(took.ValueAtQuantile(99)), "p99-µs")
		})
	}
}

// BenchmarkClaims measures claims a second over five nodes, and the appends that they
// take. One claimed call is two records: the claim and the outcome.
func BenchmarkClaims(b *testing.B) {
	c := start(b)
	c.Standins.Log.SetDelay(logLatency)
	const callers = 100
	work := make(chan int)
	var group sync.WaitGroup
	before := c.Standins.Log.Appends()
	began := time.Now()
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
	seconds := time.Since(began).Seconds()
	appends := float64(c.Standins.Log.Appends() - before)
	b.ReportMetric(float64(b.N)/seconds, "claims/s")
	b.ReportMetric(appends/seconds, "appends/s")
	b.ReportMetric(appends/float64(b.N), "appends/claim")
	if seconds > 2 && appends/seconds > maxAppendsPerSecond {
		b.Errorf("%.0f appends a second, the bound is %d", appends/seconds, maxAppendsPerSecond)
	}
	require.Zero(b, c.Standins.Ledger.DuplicatedOperations())
}

// TestTriggersDuringAnOutage counts what each way serves while the log is down.
func TestTriggersDuringAnOutage(t *testing.T) {
	c := start(t)
	c.Standins.Log.SetDown(true)
	began := time.Now()
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
	t.Logf("served of %d on each way in %v: %v", outageTriggers, time.Since(began), served)
	require.Zero(t, served["own key"])
	require.Equal(t, outageTriggers, served["operation id"])
	require.Equal(t, outageTriggers, served["no key"])
}
