// Package demo runs a complete deployment in one process: stand-ins for the platform and
// the upstreams, and real nodes that communicate over TCP on loopback.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/infra/httpclient"
	"github.com/persimmonline/persimmonline/node"
	"github.com/persimmonline/persimmonline/operator"
	"github.com/persimmonline/persimmonline/standin"
)

const (
	// adminPortOffset is the distance of the administration ports from the caller ports.
	adminPortOffset = 10
	// loopbackIP is the address of all listeners.
	loopbackIP = "127.0.0.1"
	// readyTimeout bounds the wait for all nodes to be ready.
	readyTimeout = 15 * time.Second
	// readyPoll is the interval at which the nodes' readiness is checked.
	readyPoll = 20 * time.Millisecond
)

// Options of a demo.
type Options struct {
	// Deployment to start.
	Deployment api.Deployment
	// Port of the first node's caller address; 0 selects free ports.
	Port int
	// Adjust, if set, modifies the settings of each node before it starts.
	Adjust func(*api.Settings)
	// Prepare, if set, is called with the stand-ins before any node starts.
	Prepare func(*standin.Deployment)
	// Logger of the nodes.
	Logger zerolog.Logger
}

// Cluster is a running demo.
type Cluster struct {
	// Standins of the platform and the upstreams.
	Standins *standin.Deployment
	// Nodes in the order of the deployment.
	Nodes []*node.Node

	options Options
	tally   *tally
}

// Start starts a deployment and waits until all nodes are ready.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	standins, err := standin.StartDeployment(options.Deployment)
	if err != nil {
		return nil, err
	}
	c := &Cluster{Standins: standins, options: options, tally: newTally()}
	if options.Prepare != nil {
		options.Prepare(standins)
	}
	if err := Bootstrap(ctx, standins.LogURL(), options.Deployment.Configuration); err != nil {
		c.Kill()
		return nil, err
	}
	for i := range options.Deployment.Nodes {
		if err := c.StartNode(ctx, i); err != nil {
			c.Kill()
			return nil, err
		}
	}
	if err := c.waitReady(ctx); err != nil {
		c.Kill()
		return nil, err
	}
	return c, nil
}

// Bootstrap publishes the first configuration of a deployment.
func Bootstrap(ctx context.Context, logURL string, configuration json.RawMessage) error {
	client := httpclient.NewLogClient(logURL)
	defer client.Close()
	result, err := operator.Bootstrap(ctx, client, "", configuration)
	if err != nil {
		return fmt.Errorf("publish first patch: %w", err)
	}
	if result.Verdict != string(operator.VerdictAccepted) {
		return fmt.Errorf("publish first patch: %s: %s", result.Verdict, result.Reason)
	}
	return nil
}

// StartNode starts the node at an index of the deployment, replacing a previous one that
// has ended.
func (c *Cluster) StartNode(ctx context.Context, index int) error {
	definition := c.options.Deployment.Nodes[index]
	settings := c.settings(index, definition)
	started, err := node.New(settings, c.options.Logger)
	if err != nil {
		return err
	}
	if err := started.Start(ctx); err != nil {
		return err
	}
	if index < len(c.Nodes) {
		c.Nodes[index] = started
	} else {
		c.Nodes = append(c.Nodes, started)
	}
	c.Standins.AddNode(definition.ID, definition.DataCentre, started.PeerAddress(), started.AdminAddress(), started.Incarnation(), func() {})
	return nil
}

func (c *Cluster) settings(index int, definition api.DeploymentNode) api.Settings {
	settings := api.Settings{
		NodeID:           definition.ID,
		DataCentre:       definition.DataCentre,
		Region:           c.options.Deployment.Region,
		CallerAddress:    c.address(0, index),
		AdminAddress:     c.address(adminPortOffset, index),
		PeerAddress:      net.JoinHostPort(loopbackIP, "0"),
		LogURL:           c.Standins.LogURL(),
		HostsURL:         c.Standins.CloudURL(),
		CloudURL:         c.Standins.CloudURL(),
		WeightsURL:       c.Standins.WeightsURL(),
		PeerKey:          c.options.Deployment.PeerKey,
		ReadinessGrace:   500 * time.Millisecond,
		DrainTimeout:     20 * time.Second,
		MaxBodyBytes:     4 << 20,
		MaxStreams:       4096,
		ConfigPoll:       2 * time.Second,
		SnapshotInterval: time.Minute,
		HostsPoll:        500 * time.Millisecond,
		Heartbeat:        500 * time.Millisecond,
		TraceExporter:    "none",
		LogLevel:         "info",
	}
	if c.options.Adjust != nil {
		c.options.Adjust(&settings)
	}
	return settings
}

func (c *Cluster) address(offset, index int) string {
	port := 0
	if c.options.Port != 0 {
		port = c.options.Port + offset + index
	}
	return net.JoinHostPort(loopbackIP, strconv.Itoa(port))
}

// waitReady waits until every node has the configuration, an upstream for each service,
// and ready heartbeats of all other nodes.
func (c *Cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !c.ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("wait for nodes to be ready: %w", ctx.Err())
		}
	}
	return nil
}

func (c *Cluster) ready() bool {
	for _, n := range c.Nodes {
		if !n.Ready() || !n.ConvergedWith(len(c.Nodes)-1) {
			return false
		}
	}
	return true
}

// Announcement is the line that the demo prints once it is ready.
type Announcement struct {
	// Callers are the base URLs for callers.
	Callers []string `json:"callers"`
	// Admin are the base URLs of the administration API.
	Admin []string `json:"admin"`
	// APIKeys by workspace.
	APIKeys map[string]string `json:"api_keys"`
	// AdminKey of the operator.
	AdminKey string `json:"admin_key"`
	// Models that callers may request.
	Models []string `json:"models"`
	// Services that callers may call.
	Services []string `json:"services"`
	// Faults is the base URL of fault injection; GET /faults lists the faults.
	Faults string `json:"faults"`
}

// Announce describes the running demo.
func (c *Cluster) Announce() Announcement {
	a := Announcement{APIKeys: c.options.Deployment.APIKeys, AdminKey: c.options.Deployment.AdminKey, Faults: c.Standins.FaultsURL()}
	for _, n := range c.Nodes {
		a.Callers = append(a.Callers, "http://"+n.CallerAddress())
		a.Admin = append(a.Admin, "http://"+n.AdminAddress())
	}
	parsed, err := config.Parse(c.options.Deployment.Configuration)
	if err != nil {
		return a
	}
	a.Models, a.Services = servicesByKind(parsed)
	return a
}

// deploymentName returns the deployment name in the configuration.
func (c *Cluster) deploymentName() string {
	parsed, err := config.Parse(c.options.Deployment.Configuration)
	if err != nil {
		return ""
	}
	return parsed.Deployment
}

// Stop shuts all nodes down gracefully, then closes the stand-ins. It returns the first
// error of a node.
func (c *Cluster) Stop(ctx context.Context) error {
	results := make(chan error, len(c.Nodes))
	for _, n := range c.Nodes {
		go func() { results <- n.Stop(ctx) }()
	}
	var firstErr error
	for range c.Nodes {
		if err := <-results; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	c.Standins.Close()
	return firstErr
}

// Kill terminates all nodes and stand-ins immediately.
func (c *Cluster) Kill() {
	for _, n := range c.Nodes {
		n.Kill()
	}
	c.Standins.Close()
}
