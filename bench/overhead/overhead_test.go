package overhead

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/bench/instant"
	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/demo"
	"github.com/persimmonline/persimmonline/standin"
	"github.com/persimmonline/persimmonline/telemetry"
)

// Performance targets.
const (
	// targetAddedP50 bounds the median latency that a node adds to a direct call.
	targetAddedP50 = 300 * time.Microsecond
	// targetStreams is the number of streams that must be open concurrently.
	targetStreams = 2000
	// targetStreamsBytes bounds the memory that they use.
	targetStreamsBytes = 256 << 20
)

const callerKey = "bench-key"

func TestMain(m *testing.M) {
	telemetry.BridgeLogx(zerolog.Nop())
	os.Exit(m.Run())
}

// fixture is one node in front of one instant engine, and a plain pass-through proxy to the
// same engine.
type fixture struct {
	engine  *instant.Engine
	direct  string
	through string
	node    string
	cluster *demo.Cluster
}

func newFixture(b testing.TB) *fixture {
	b.Helper()
	engine := &instant.Engine{Models: []string{instant.Model}}
	server, err := standin.Serve("127.0.0.1:0", engine.Handler())
	require.NoError(b, err)
	proxy, err := standin.Serve("127.0.0.1:0", passThrough(server.Address()))
	require.NoError(b, err)
	cluster, err := demo.Start(b.Context(), demo.Options{
		Deployment: deployment(b),
		Logger:     zerolog.Nop(),
		Prepare: func(d *standin.Deployment) {
			d.Cloud.Add(api.Host{
				ID: "engine", Incarnation: "1", Role: api.HostRoleEngine, Address: server.Address(),
				DataCentre: "dc", Region: "r", MachineClass: "m", State: api.HostStateLive,
			}, server.Close)
		},
		Adjust: func(s *api.Settings) { s.ReadinessGrace = time.Millisecond },
	})
	require.NoError(b, err)
	b.Cleanup(func() {
		_ = cluster.Stop(context.Background())
		proxy.Close()
	})
	return &fixture{
		engine:  engine,
		direct:  server.URL(),
		through: proxy.URL(),
		node:    cluster.Announce().Callers[0],
		cluster: cluster,
	}
}

func deployment(b testing.TB) api.Deployment {
	b.Helper()
	raw, err := json.Marshal(api.Configuration{
		Deployment: "bench",
		Workspaces: map[string]api.Workspace{"w": {KeyHashes: []string{config.HashKey(callerKey)}, Weight: 1}},
		Services:   map[string]api.Service{instant.Model: {Kind: api.ServiceKindModel, Operations: []api.Operation{}}},
		Routes:     map[string]api.Route{"r": {Workspace: "w", Service: instant.Model}},
		MachineClasses: map[string]api.MachineClass{
			"m": {PricePerHour: 1},
		},
		Operators: map[string]api.Operator{"o": {KeyHashes: []string{config.HashKey("operator")}}},
		Policy:    api.Policy{LatencyWeight: 1, CostWeight: 1, RetryRatio: 0.1},
	})
	require.NoError(b, err)
	return api.Deployment{
		DataCentres: []string{"dc"}, Region: "r",
		Nodes:         []api.DeploymentNode{{ID: "node-1", DataCentre: "dc"}},
		PeerKey:       "bench-peer-secret",
		Configuration: raw,
	}
}

// call makes one streamed chat call and returns the time to the first byte.
func call(client *http.Client, base string, index int) (time.Duration, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"prompt %d"}]}`, instant.Model, index)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	started := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", response.StatusCode)
	}
	var first [1]byte
	if _, err := io.ReadFull(response.Body, first[:]); err != nil {
		return 0, err
	}
	took := time.Since(started)
	_, err = io.Copy(io.Discard, response.Body)
	return took, err
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
}

// BenchmarkFirstToken measures the time to the first byte of sequential calls, interleaved
// over the three targets so that the state of the machine affects them alike.
func BenchmarkFirstToken(b *testing.B) {
	f := newFixture(b)
	targets := []struct{ name, base string }{{"direct", f.direct}, {"through", f.through}, {"node", f.node}}
	client := newClient()
	histograms := make([]*hdrhistogram.Histogram, len(targets))
	for i := range histograms {
		histograms[i] = hdrhistogram.New(1, int64(10*time.Second), 3)
	}
	index := 0
	for b.Loop() {
		for i, target := range targets {
			index++
			took, err := call(client, target.base, index)
			require.NoError(b, err)
			_ = histograms[i].RecordValue(int64(took))
		}
	}
	for i, target := range targets {
		b.ReportMetric(float64(histograms[i].ValueAtQuantile(50))/1e3, target.name+"-p50-µs")
		b.ReportMetric(float64(histograms[i].ValueAtQuantile(99))/1e3, target.name+"-p99-µs")
	}
	added := time.Duration(histograms[2].ValueAtQuantile(50) - histograms[0].ValueAtQuantile(50))
	b.ReportMetric(float64(added)/1e3, "added-p50-µs")
	b.ReportMetric(float64(targetAddedP50)/1e3, "bound-added-p50-µs")
	ratio := float64(histograms[2].ValueAtQuantile(50)) / float64(histograms[1].ValueAtQuantile(50))
	b.ReportMetric(ratio, "node/through-p50")
	if b.N > 100 && added > targetAddedP50 {
		b.Errorf("the node adds %v at the median to a direct call of %dns, the pass-through %dns; target %v",
			added, histograms[0].ValueAtQuantile(50), histograms[1].ValueAtQuantile(50)-histograms[0].ValueAtQuantile(50), targetAddedP50)
	}
}

// BenchmarkRequests measures requests per second with many concurrent callers.
func BenchmarkRequests(b *testing.B) {
	f := newFixture(b)
	for _, target := range []struct{ name, base string }{{"through", f.through}, {"node", f.node}} {
		b.Run(target.name, func(b *testing.B) {
			client := newClient()
			b.SetParallelism(8)
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					if _, err := call(client, target.base, i); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}

// BenchmarkOpenStreams measures the memory of streams that are blocked after their first
// token. The memory of callers and engine is measured without the node and subtracted.
func BenchmarkOpenStreams(b *testing.B) {
	f := newFixture(b)
	var used int64
	for b.Loop() {
		withoutNode := heapOfHeldStreams(f, f.direct)
		withNode := heapOfHeldStreams(f, f.node)
		used = int64(withNode) - int64(withoutNode)
	}
	b.ReportMetric(float64(used)/targetStreams, "B/stream")
	b.ReportMetric(float64(used)/(1<<20), "MB")
	b.ReportMetric(float64(targetStreamsBytes)/(1<<20), "bound-MB")
	if used > targetStreamsBytes {
		b.Errorf("%d streams use %d bytes, the target is at most %d", targetStreams, used, targetStreamsBytes)
	}
}

// heapOfHeldStreams returns the memory used by open streams, in bytes.
func heapOfHeldStreams(f *fixture, base string) uint64 {
	client := newClient()
	defer client.CloseIdleConnections()
	f.engine.HoldStreams()
	before := heapInUse()
	var group sync.WaitGroup
	for i := range targetStreams {
		group.Go(func() { _, _ = call(client, base, i) })
	}
	for f.engine.HeldStreams() < targetStreams {
		time.Sleep(10 * time.Millisecond)
	}
	used := heapInUse() - before
	f.engine.ReleaseStreams()
	group.Wait()
	return used
}

// heapInUse returns the size of heap and stacks after a garbage collection, in bytes.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
