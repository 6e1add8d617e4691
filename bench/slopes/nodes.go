package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	dto "github.com/prometheus/client_model/go"
	"github.com/rs/zerolog"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/node"
)

const (
	bytesPerMB = 1 << 20
	percent    = 100
)

// nodesCommand runs nodes and measures them.
type nodesCommand struct {
	Series      string        `help:"Name of the series." required:""`
	X           float64       `help:"Size that the series varies." required:""`
	Count       int           `help:"Nodes to run." default:"5"`
	LogURL      string        `help:"Base URL of the log." required:""`
	CloudURL    string        `help:"Base URL of cloud API and host list." required:""`
	RegisterURL string        `help:"Base URL to enter the host list." required:""`
	CallerPort  int           `help:"Caller port of the first node; 0 takes a free one." default:"0"`
	Detail      bool          `help:"Print control bytes by kind on standard error."`
	Warm        time.Duration `help:"Time before the measurement." default:"5s"`
	For         time.Duration `help:"Time of the measurement." default:"10s"`
}

// Run implements the command.
func (c *nodesCommand) Run() error {
	ctx := context.Background()
	nodes := make([]*node.Node, c.Count)
	for i := range nodes {
		started, err := c.start(ctx, i)
		if err != nil {
			return err
		}
		defer started.Kill()
		nodes[i] = started
	}
	time.Sleep(c.Warm)
	before, cpuBefore := measure(nodes), processSeconds()
	time.Sleep(c.For)
	after, cpuAfter := measure(nodes), processSeconds()
	count, seconds := float64(c.Count), c.For.Seconds()
	if c.Detail {
		for kind, bytes := range after.byKind {
			_, _ = fmt.Fprintf(os.Stderr, "%s: %.0f B/s\n", kind, (bytes-before.byKind[kind])/seconds/count)
		}
	}
	return json.NewEncoder(os.Stdout).Encode(api.SlopeSample{
		Series:                c.Series,
		X:                     c.X,
		Nodes:                 c.Count,
		Seconds:               seconds,
		CPUPercent:            percent * (cpuAfter - cpuBefore) / seconds / count,
		HeapMB:                heapBytes() / bytesPerMB / count,
		ControlBytesPerSecond: (after.bytes - before.bytes) / seconds / count,
		ControlSecondsPercent: percent * (after.seconds - before.seconds) / seconds / count,
	})
}

// start runs one node with the settings of a real deployment.
func (c *nodesCommand) start(ctx context.Context, i int) (*node.Node, error) {
	const free = "127.0.0.1:0"
	id := fmt.Sprintf("node-%d", i)
	caller := free
	if i == 0 {
		caller = fmt.Sprintf("127.0.0.1:%d", c.CallerPort)
	}
	settings, err := c.settings(id, dataCentre(i), caller)
	if err != nil {
		return nil, err
	}
	n, err := node.New(settings, zerolog.Nop())
	if err != nil {
		return nil, err
	}
	if err := n.Start(ctx); err != nil {
		return nil, err
	}
	host := api.Host{
		ID: id, Incarnation: n.Incarnation(), Role: api.HostRoleNode, Address: n.PeerAddress(),
		AdminAddress: n.AdminAddress(), DataCentre: dataCentre(i), Region: region,
		MachineClass: "node", State: api.HostStateLive,
	}
	return n, register(ctx, c.RegisterURL, host)
}

// settings returns the default settings of the node command, so that the benchmark measures
// a realistic configuration.
func (c *nodesCommand) settings(id, dataCentre, caller string) (api.Settings, error) {
	const free = "127.0.0.1:0"
	var settings api.Settings
	parser, err := kong.New(&settings)
	if err != nil {
		return settings, fmt.Errorf("read default settings: %w", err)
	}
	_, err = parser.Parse([]string{
		"--node-id=" + id, "--data-centre=" + dataCentre, "--region=" + region,
		"--caller-address=" + caller, "--admin-address=" + free, "--peer-address=" + free,
		"--log-url=" + c.LogURL, "--hosts-url=" + c.CloudURL, "--cloud-url=" + c.CloudURL,
		"--peer-key=" + peerKey,
	})
	if err != nil {
		return settings, fmt.Errorf("settings of node %s: %w", id, err)
	}
	return settings, nil
}

func register(ctx context.Context, base string, host api.Host) error {
	body, err := json.Marshal(host)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/hosts", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("register host %s at %s: %w", host.ID, base, err)
	}
	return response.Body.Close()
}

// controlUsage holds the resources used by control since the start, summed over all nodes.
type controlUsage struct {
	bytes, seconds float64
	byKind         map[string]float64
}

func measure(nodes []*node.Node) controlUsage {
	usage := controlUsage{byKind: map[string]float64{}}
	for _, n := range nodes {
		families, err := n.Metrics().Registry().Gather()
		if err != nil {
			continue
		}
		for _, family := range families {
			for _, metric := range family.GetMetric() {
				switch family.GetName() {
				case "persimmonline_control_bytes_total":
					usage.bytes += metric.GetCounter().GetValue()
					usage.byKind[kindOf(metric)] += metric.GetCounter().GetValue()
				case "persimmonline_control_seconds_total":
					usage.seconds += metric.GetCounter().GetValue()
				}
			}
		}
	}
	return usage
}

// kindOf returns the direction and kind labels of a metric of control bytes.
func kindOf(metric *dto.Metric) string {
	labels := make([]string, 0, len(metric.GetLabel()))
	for _, pair := range metric.GetLabel() {
		labels = append(labels, pair.GetValue())
	}
	return strings.Join(labels, " ")
}

// processSeconds returns the processor time of this process, in seconds.
func processSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// heapBytes returns the size of heap and stacks after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}
