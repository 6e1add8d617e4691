// Package node assembles a node from its settings and runs it: the control loop, the
// feeds, and the listeners for callers, operators and peers.
package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/persimmonline/persimmonline/admin"
	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/gateway"
	"github.com/persimmonline/persimmonline/httpserver"
	"github.com/persimmonline/persimmonline/peer"
	"github.com/persimmonline/persimmonline/telemetry"
	"github.com/persimmonline/persimmonline/upstream"
)

// Node is one running node.
type Node struct {
	settings    api.Settings
	incarnation string
	logger      zerolog.Logger
	metrics     *telemetry.Metrics

	control    *control.Loop
	feeds      *control.Feeds
	pool       *upstream.Pool
	peers      *peer.Client
	heartbeats *heartbeats
	plans      *planRunner
	gateway    *gateway.Gateway
	duties     *control.Duties
	claims     *control.Claims

	callerServer *httpserver.Server
	adminServer  *httpserver.Server
	peerServer   *httpserver.Server

	draining atomic.Bool
	// hasCaughtUp is set once the node has caught up, and stays set.
	hasCaughtUp atomic.Bool
	startedAt   time.Time
	drain       drain
	background  sync.WaitGroup
	cancel      context.CancelFunc
}

// New builds a node from its settings; nothing runs before Start.
func New(settings api.Settings, logger zerolog.Logger) (*Node, error) {
	if err := Validate(settings); err != nil {
		return nil, err
	}
	if settings.HostID == "" {
		settings.HostID = settings.NodeID
	}
	n := &Node{
		settings:    settings,
		incarnation: uuid.NewString()[:8],
		metrics:     telemetry.NewMetrics(),
		pool:        upstream.NewPool(settings.NodeID),
		drain:       drain{reclaimed: make(chan struct{})},
	}
	n.logger = logger.With().Str("node", settings.NodeID).Str("incarnation", n.incarnation).Logger()
	n.control = control.NewLoop(time.Now, n.logger, n.metrics)
	n.peers = peer.NewClient(settings.PeerKey, n.pool)
	n.heartbeats = newHeartbeats(settings, n.metrics)
	n.feeds = &control.Feeds{
		Loop:       n.control,
		Log:        n.logClient(),
		Hosts:      n.hostsClient(),
		Cloud:      n.cloudClient(),
		Pool:       upstream.NewControlPool(settings.NodeID, n.metrics.ControlDial("load")),
		HostID:     settings.HostID,
		ConfigPoll: settings.ConfigPoll,
		HostsPoll:  settings.HostsPoll,
	}
	n.duties = n.newDuties()
	n.feeds.Config = n.configSources()
	n.plans = n.newPlanRunner()
	n.claims = control.NewClaims(n.feeds.Log, n.duties, n.liveNodes, n.logger)
	n.gateway = gateway.New(gateway.Options{
		Settings:    settings,
		Incarnation: n.incarnation,
		Control:     n.control,
		Pool:        n.pool,
		Peers:       n.peers,
		Claims:      n.claims,
		Logger:      n.logger,
		Metrics:     n.metrics,
	})
	return n, n.buildServers()
}

func (n *Node) buildServers() error {
	var err error
	n.callerServer, err = httpserver.New(n.settings.NodeID+"-callers", n.settings.CallerAddress, n.logger, n.gateway.Routes())
	if err != nil {
		return err
	}
	operators := admin.New(admin.Options{
		Control:      n.control,
		Log:          n.feeds.Log,
		Metrics:      n.metrics,
		OwnHeartbeat: n.Heartbeat,
		Plan:         n.Plan,
		Refusals:     n.gateway.Refusals,
		Ready:        n.Ready,

		ConfigOffset: n.configOffset,
	})
	n.adminServer, err = httpserver.New(n.settings.NodeID+"-operators", n.settings.AdminAddress, n.logger, operators.Routes())
	if err != nil {
		return err
	}
	routes := append(n.gateway.PeerRoutes(), n.heartbeatRoute(), n.configRoute())
	n.peerServer, err = httpserver.New(n.settings.NodeID+"-peers", n.settings.PeerAddress, n.logger, routes)
	return err
}

// Start opens the listeners and starts the control loop and the feeds.
func (n *Node) Start(ctx context.Context) error {
	for _, server := range n.servers() {
		if err := server.Start(); err != nil {
			n.closeServers()
			return fmt.Errorf("start node %s: %w", n.settings.NodeID, err)
		}
	}
	n.startedAt = time.Now()
	ctx, n.cancel = context.WithCancel(context.WithoutCancel(ctx))
	n.background.Go(func() { n.control.Run(ctx) })
	n.background.Go(func() { n.feeds.Run(ctx) })
	n.background.Go(func() { n.sendHeartbeats(ctx) })
	n.background.Go(func() { n.gateway.WatchLeavingUpstreams(ctx) })
	n.background.Go(func() { n.watchOwnReclaim(ctx) })
	n.background.Go(func() { n.duties.Run(ctx) })
	n.background.Go(func() { n.plans.run(ctx) })
	n.background.Go(func() { n.claims.Run(ctx) })
	n.logger.Info().Str("callers", n.callerServer.Address()).Str("admin", n.adminServer.Address()).
		Str("peers", n.peerServer.Address()).Msg("node started")
	return nil
}

// Kill terminates the node immediately, as a crash would.
func (n *Node) Kill() {
	n.abortCalls()
	n.gateway.Store().Cancel()
	n.closeServers()
	n.close()
}

func (n *Node) close() {
	n.cancel()
	n.background.Wait()
	n.pool.Close()
	n.feeds.Close()
	n.heartbeats.pool.Close()
	n.plans.close()
}

func (n *Node) servers() []*httpserver.Server {
	return []*httpserver.Server{n.callerServer, n.adminServer, n.peerServer}
}

func (n *Node) closeServers() {
	for _, server := range n.servers() {
		server.Close()
	}
}

// CallerAddress returns the IP:port of the caller listener.
func (n *Node) CallerAddress() string { return n.callerServer.Address() }

// AdminAddress returns the IP:port of the operator listener.
func (n *Node) AdminAddress() string { return n.adminServer.Address() }

// PeerAddress returns the IP:port of the peer listener.
func (n *Node) PeerAddress() string { return n.peerServer.Address() }

// Incarnation returns the id of this run of the node.
func (n *Node) Incarnation() string { return n.incarnation }

// Metrics returns the node's metrics.
func (n *Node) Metrics() *telemetry.Metrics { return n.metrics }

// ConvergedWith reports whether the node has caught up and sees at least the given number
// of peers, all of them ready.
func (n *Node) ConvergedWith(peers int) bool {
	snapshot := n.control.Snapshot()
	if !n.caughtUp(snapshot) || !n.hasUpstreams(snapshot) || len(snapshot.Peers) < peers {
		return false
	}
	for _, candidate := range snapshot.Peers {
		if candidate.State != api.HeartbeatStateReady {
			return false
		}
	}
	return true
}
