// Package edge assembles a node that serves on the Trust platform: the serving path,
// the feeds from the platform's store, the exchange with other nodes, and the duties that
// one node does for all. All nodes are alike and keep nothing on disk.
package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/persimmonline/persimmonline/internal/netopt"
	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/quota"
	"github.com/persimmonline/persimmonline/relay"
	"github.com/persimmonline/persimmonline/serving"
	"github.com/persimmonline/persimmonline/usage"
)

const (
	// maxHeaderBytes is the hard bound of a request's head; the configuration's is lower.
	maxHeaderBytes = 256 << 10
	// headerTimeout is the time a caller has to send a request's head, as the
	// deployments' configuration names it.
	headerTimeout = 3 * time.Second
	// turnAway is how long after SIGTERM the balancer may still send new connections: two
	// missed checks, a second apart, and a margin.
	turnAway = 2500 * time.Millisecond
	// graceMargin is kept from the time at which the platform kills the process.
	graceMargin = 700 * time.Millisecond
	// idlePoll is the pace at which a stopping node looks whether it is empty.
	idlePoll = 50 * time.Millisecond
	// emptyFor is how long a stopping node must be empty before it exits.
	emptyFor = 200 * time.Millisecond
)

// Edge is one node.
type Edge struct {
	settings      platform.Settings
	logger        zerolog.Logger
	incarnation   string
	started       time.Time
	startedSteady time.Time
	firstWindow   int64

	store   *platform.Store
	cloud   *platform.Cloud
	pool    *relay.Pool
	clock   *clock
	metrics *metrics
	control *control
	peers   *peers
	handler *serving.Handler
	view    atomic.Pointer[serving.View]
	// bounds that are in force; the settings file may change them.
	bounds atomic.Pointer[platform.Bounds]
	// vouched are the times for which this node's hub vouches, by the steady clock.
	vouched vouched
	// candidate says whether this node may take the duties.
	candidate atomic.Bool
	// readers is the number of nodes that are taken to read topics of the store as this one.
	readers atomic.Int64

	ledgerLock sync.Mutex
	ledger     *quota.Ledger
	usageLock  sync.Mutex
	usage      *usage.Meter

	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	servers []*http.Server
	caller  *http.Server
	idle    *idleConnections
	reloads chan struct{}
}

// New returns a node that is not started.
func New(settings platform.Settings, logger zerolog.Logger) *Edge {
	e := &Edge{
		settings: settings, incarnation: uuid.NewString(), clock: newClock(),
		store: platform.NewStore(settings.StoreAddress), pool: relay.NewPool(), ledger: quota.NewLedger(),
		idle: newIdleConnections(), reloads: make(chan struct{}, 1),
	}
	e.logger = logger.With().Str("node", settings.Name).Logger()
	if settings.CloudAddress != "" {
		e.cloud = platform.NewCloud(settings.CloudAddress)
	}
	if !settings.Bootstrap {
		e.ledger.MarkSystemRestart()
	}
	e.bounds.Store(&settings.Bounds)
	e.candidate.Store(true)
	e.readers.Store(1)
	e.started, e.startedSteady = e.clock.now(), e.clock.steady()
	e.usage = usage.NewMeter(e.incarnation, settings.Bounds.UsageWindow)
	e.firstWindow = e.usage.Window(e.started) - usageBack
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	e.metrics = newMetrics(registry)
	e.control = newControl(e)
	e.peers = newPeers(e)
	e.control.publish(e.startedSteady)
	e.handler = serving.New(serving.Settings{
		Adapter: platform.Protocol{}, CurrentView: e.view.Load, Pool: e.pool, Ledger: e.ledger, LedgerLock: &e.ledgerLock,
		MonotonicNow: e.clock.steady,
		Events:       e.control, RetryRatio: settings.Bounds.RetryRatio, RetryWindow: settings.Bounds.RetryWindow,
		Logger: e.logger, Metrics: serving.NewMetrics(registry),
	})
	return e
}

// Run serves until ctx ends, then stops without cutting a request.
func (e *Edge) Run(ctx context.Context) error {
	e.ctx, e.cancel = context.WithCancel(context.WithoutCancel(ctx))
	defer e.cancel()
	if err := e.start(); err != nil {
		return err
	}
	e.logger.Info().Str("incarnation", e.incarnation).Str("callers", e.settings.CallerAddress).
		Str("peers", e.peerAddress()).Str("store", e.settings.StoreAddress).Msg("node started")
	<-ctx.Done()
	e.stop()
	return nil
}

func (e *Edge) start() error {
	e.caller = &http.Server{
		Handler: e.handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: e.idle.changed,
	}
	servers := []struct {
		name, address string
		server        *http.Server
	}{
		{"callers", e.settings.CallerAddress, e.caller},
		{"readiness", e.settings.ReadinessAddress, &http.Server{Handler: http.HandlerFunc(e.ready), ReadHeaderTimeout: headerTimeout}},
		{"peers", e.peerAddress(), &http.Server{
			Handler: e.peers.routes(), ReadHeaderTimeout: headerTimeout, ReadTimeout: peerTimeout, WriteTimeout: peerTimeout,
			IdleTimeout: peerIdleTimeout,
		}},
		{"metrics", e.metricsAddress(), &http.Server{
			Handler:           promhttp.HandlerFor(e.metrics.registry, promhttp.HandlerOpts{}),
			ReadHeaderTimeout: headerTimeout,
		}},
	}
	e.task(e.control.run)
	for _, s := range servers {
		listener, err := netopt.Listen(e.ctx, s.address)
		if err != nil {
			return fmt.Errorf("listen for %s on %s: %w", s.name, s.address, err)
		}
		e.servers = append(e.servers, s.server)
		e.serve(s.name, s.server, listener)
	}
	e.task(e.configFeed(e.ctx).follow)
	e.task(e.registryFeed(e.ctx).follow)
	e.task(e.nodesFeed(e.ctx).follow)
	e.task(e.announce)
	if e.cloud != nil {
		e.task(e.control.duties.feed(e.ctx).follow)
	}
	e.task(e.peers.run)
	e.task(e.closeIdle)
	e.task(e.followSettings)
	return nil
}

func (e *Edge) serve(name string, server *http.Server, listener net.Listener) {
	e.tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.logger.Error().Err(err).Str("server", name).Msg("server ended")
		}
	})
}

func (e *Edge) task(run func(ctx context.Context)) { e.tasks.Go(func() { run(e.ctx) }) }

// ready answers the balancer.
func (e *Edge) ready(w http.ResponseWriter, _ *http.Request) {
	view := e.view.Load()
	if view.Table == nil || view.Draining || len(view.Fleet.ByService) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop ends the node: the balancer is told first, callers are served on, and the process
// ends as soon as it is empty.
func (e *Edge) stop() {
	began := time.Now()
	e.logger.Info().Int64("in_flight", e.handler.InFlight()).Msg("node stopping")
	e.control.post(e.ctx, func(now time.Time) {
		e.control.draining = true
		for _, record := range e.control.duties.stop(now) {
			e.control.duties.release(record)
		}
		e.control.publish(now)
		e.peers.wake()
	})
	hard := began.Add(max(turnAway, e.settings.Bounds.Grace-graceMargin))
	empty, closed := time.Time{}, false
	for time.Now().Before(hard) {
		time.Sleep(idlePoll)
		if !closed && time.Since(began) > turnAway {
			closed = true
			e.closeToCallers()
		}
		switch {
		case e.handler.InFlight() > 0:
			empty = time.Time{}
		case empty.IsZero():
			empty = time.Now()
		}
		if closed && !empty.IsZero() && time.Since(empty) > emptyFor {
			break
		}
	}
	e.peers.tell(e.ctx)
	time.Sleep(idlePoll)
	e.logger.Info().Int64("in_flight", e.handler.InFlight()).Dur("took_ms", time.Since(began)).Msg("node stopped")
	e.cancel()
	for _, server := range e.servers {
		_ = server.Close()
	}
	e.pool.Close()
	e.store.Close()
	if e.cloud != nil {
		e.cloud.Close()
	}
	e.tasks.Wait()
}

// closeToCallers refuses what still arrives, since a request that is taken now could outlast
// the grace period, and then ends idle connections. The refusal must be in force first: a
// request that crosses the close of its connection may not have been passed on.
func (e *Edge) closeToCallers() {
	ask(e.ctx, e.control, func(now time.Time) struct{} {
		e.control.closed = true
		e.control.publish(now)
		return struct{}{}
	})
	e.caller.SetKeepAlivesEnabled(false)
}

func (e *Edge) hasDuty(name string) bool {
	return e.cloud != nil && slices.Contains(e.settings.Duties, name)
}

func (e *Edge) peerAddress() string {
	return netip.AddrPortFrom(e.settings.IP, uint16(e.settings.PeerPort)).String()
}

func (e *Edge) metricsAddress() string {
	return net.JoinHostPort(e.settings.IP.String(), strconv.Itoa(e.settings.MetricsPort))
}

// meter runs a function that uses the usage meter.
func (e *Edge) meter(use func()) {
	e.usageLock.Lock()
	defer e.usageLock.Unlock()
	use()
}

// count notes that a request of a workspace began to run.
func (e *Edge) count(workspace string) {
	now := e.clock.now()
	e.meter(func() { e.usage.Count(workspace, now) })
}

// mergeUsage takes the counts of incarnations that another node tells of.
func (e *Edge) mergeUsage(told map[string]usage.Windows) {
	e.meter(func() {
		for incarnation, windows := range told {
			e.usage.Merge(incarnation, windows)
		}
	})
}

// ownUsage returns this node's counts of the newest windows.
func (e *Edge) ownUsage(windows int) (own usage.Windows) {
	e.meter(func() { own = e.usage.OwnWindows(windows) })
	return own
}
