// Package edge assembles a node that serves on the Trust platform: the serving path,
// the feeds from the platform's store, the exchange with other nodes, and the duties that a
// single elected node performs. All nodes are identical and keep nothing on disk.
package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"

	"github.com/persimmonline/persimmonline/internal/netopt"
	"github.com/persimmonline/persimmonline/memory"
	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/quarantine"
	"github.com/persimmonline/persimmonline/quota"
	"github.com/persimmonline/persimmonline/relay"
	"github.com/persimmonline/persimmonline/serving"
	"github.com/persimmonline/persimmonline/usage"
)

const (
	// maxHeaderBytes is the hard limit on a request's headers; the configured limit is lower.
	maxHeaderBytes = 256 << 10
	// headerTimeout is the time that anyone has to send a request's headers if the configuration names none,
	// and maxHeaderTimeout the longest that it can name.
	headerTimeout    = 3 * time.Second
	maxHeaderTimeout = 30 * time.Second
	// peerConnectionDivisor and probeConnectionDivisor give the parts of the descriptors for the connections
	// of other nodes, and for those of the balancer and of the metrics.
	peerConnectionDivisor  = 8
	probeConnectionDivisor = 32
	// balancerDrainTime is how long after SIGTERM the load balancer may still send new
	// connections: two failed health checks, one second apart, plus a margin.
	balancerDrainTime = 2500 * time.Millisecond
	// graceMargin is the safety margin before the platform kills the process.
	graceMargin = 700 * time.Millisecond
	// drainPollInterval is the interval at which a stopping node checks for requests in flight.
	drainPollInterval = 50 * time.Millisecond
	// idleBeforeExit is how long a stopping node must be without requests before it exits.
	idleBeforeExit = 200 * time.Millisecond
	// exitTime is how long before the end of its grace a stopping node refuses requests at the latest.
	exitTime = idleBeforeExit + 2*drainPollInterval
	// finalAnswerTime is how long after its drain a stopping node waits for the answers to requests that it ends.
	finalAnswerTime = 200 * time.Millisecond
	// minDrainTime is the least time that a node which was suspended gives its requests.
	minDrainTime = time.Second
)

// Edge is one node.
type Edge struct {
	settings         platform.Settings
	logger           zerolog.Logger
	incarnation      string
	startedAt        time.Time
	startedMonotonic time.Time
	firstWindow      int64

	store   *platform.Store
	cloud   *platform.Cloud
	pool    *relay.Pool
	clock   *clock
	metrics *metrics
	control *control
	peers   *peers
	handler *serving.Handler
	view    atomic.Pointer[serving.View]
	// bounds currently in force; the settings file may change them.
	bounds atomic.Pointer[platform.Bounds]
	// hubFreshness holds the times up to which this node's hub is current.
	hubFreshness hubFreshness
	// dutyCandidate is set while this node may claim the lease of the duties.
	dutyCandidate atomic.Bool
	// storeReaders is the assumed number of nodes that read topics of the store, this one included.
	storeReaders atomic.Int64

	engines    *platform.Engines
	successes  *quarantine.Successes
	ledgerLock sync.Mutex
	ledger     *quota.Ledger
	usageLock  sync.Mutex
	usage      *usage.Meter

	ctx          context.Context
	cancel       context.CancelFunc
	tasks        sync.WaitGroup
	servers      []*http.Server
	callerServer *http.Server
	account      *memory.Account
	callers      *connections
	reloads      chan struct{}
}

// New returns a node that has not been started.
func New(settings platform.Settings, logger zerolog.Logger) *Edge {
	e := &Edge{
		settings: settings, incarnation: uuid.NewString(), clock: newClock(),
		store: platform.NewStore(settings.StoreAddress), pool: relay.NewPool(), account: memory.New(accountBudget(settings.MemoryBytes)), successes: quarantine.NewSuccesses(), ledger: quota.NewLedger(),
		reloads: make(chan struct{}, 1),
	}
	e.logger = logger.With().Str("node", settings.Name).Logger()
	if settings.CloudAddress != "" {
		e.cloud = platform.NewCloud(settings.CloudAddress)
	}
	if !settings.Bootstrap {
		e.ledger.MarkSystemRestart()
	}
	e.bounds.Store(&settings.Bounds)
	e.dutyCandidate.Store(true)
	e.storeReaders.Store(1)
	e.startedAt, e.startedMonotonic = e.clock.now(), e.clock.monotonic()
	e.usage = usage.NewMeter(e.incarnation, settings.Bounds.UsageWindow)
	e.firstWindow = e.usage.Window(e.startedAt) - lateUsageWindows
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	e.metrics = newMetrics(registry)
	e.engines = platform.NewEngines(e.account)
	e.callers = newConnections(callerConnectionLimit(&settings), e.account, e.maxHeaderBytes)
	registerMemory(registry, e.account, e.callers)
	e.control = newControl(e)
	e.peers = newPeers(e)
	e.control.publish(e.startedMonotonic)
	handlerSettings := serving.Settings{
		Adapter: platform.Protocol{}, CurrentView: e.view.Load, Pool: e.pool, Ledger: e.ledger, LedgerLock: &e.ledgerLock,
		MonotonicNow: e.clock.monotonic, Successes: e.successes,
		Events: e.control, RetryRatio: settings.Bounds.RetryRatio, RetryWindow: settings.Bounds.RetryWindow,
		HedgeShare: settings.HedgeShare, Logger: e.logger, Metrics: serving.NewMetrics(registry), Memory: e.account,
	}
	if settings.CarryRuns {
		handlerSettings.Mover = e.engines
	}
	e.handler = serving.New(handlerSettings)
	return e
}

// Run serves until ctx is done, then shuts down gracefully: requests in flight are completed.
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
	e.callerServer = &http.Server{
		Handler: e.handler, ReadHeaderTimeout: maxHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: e.callers.stateChanged,
	}
	servers := []server{
		{"callers", e.settings.CallerAddress, e.callerServer, e.callers},
		e.internalServer("readiness", e.settings.ReadinessAddress, http.HandlerFunc(e.serveReadiness), probeConnectionDivisor),
		e.internalServer("peers", e.peerAddress(), e.peers.routes(), peerConnectionDivisor),
		e.internalServer("metrics", e.metricsAddress(), e.metricsRoutes(), probeConnectionDivisor),
	}
	e.task(e.control.run)
	for _, s := range servers {
		listener, err := netopt.Listen(e.ctx, s.address)
		if err != nil {
			return fmt.Errorf("listen for %s on %s: %w", s.name, s.address, err)
		}
		s.connections.Listener = listener
		e.servers = append(e.servers, s.server)
		e.serve(s.name, s.server, s.connections)
	}
	e.task(e.configFeed(e.ctx).follow)
	e.task(e.registryFeed(e.ctx).follow)
	e.task(e.nodesFeed(e.ctx).follow)
	e.task(e.announce)
	if e.cloud != nil {
		e.task(e.control.duties.newFeed(e.ctx).follow)
	}
	e.task(e.peers.run)
	e.task(e.closeIdle)
	e.task(e.watchSettings)
	return nil
}

// server is one of the node's servers with its connections.
type server struct {
	name, address string
	server        *http.Server
	connections   *connections
}

// internalServer returns a server for other nodes or the platform, whose connections get a part of the
// process's descriptors.
func (e *Edge) internalServer(name, address string, handler http.Handler, divisor int) server {
	guarded := newConnections(internalConnectionLimit(&e.settings, divisor), e.account, func() int { return defaultMaxHeaderBytes })
	return server{name, address, &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: peerTimeout, WriteTimeout: peerTimeout,
		IdleTimeout: peerIdleTimeout, MaxHeaderBytes: 2 * defaultMaxHeaderBytes, ConnState: guarded.stateChanged,
	}, guarded}
}

func (e *Edge) serve(name string, server *http.Server, listener net.Listener) {
	e.tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.logger.Error().Err(err).Str("server", name).Msg("server failed")
		}
	})
}

func (e *Edge) task(run func(ctx context.Context)) { e.tasks.Go(func() { run(e.ctx) }) }

// serveReadiness answers the load balancer's health checks.
func (e *Edge) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	view := e.view.Load()
	if view.Table == nil || view.Draining || len(view.Fleet.ByService) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop shuts the node down: readiness fails first, callers are still served, and the process
// exits once no request is in flight. Requests that outlast the drain are answered that the node stopped.
func (e *Edge) stop() {
	began := time.Now()
	e.logger.Info().Int64("in_flight", e.handler.InFlight()).Msg("node stopping")
	signalAge, _ := query(e.ctx, e.control, func(now time.Time) time.Duration {
		e.control.draining = true
		for _, record := range e.control.duties.stop(now) {
			e.control.duties.appendLease(record)
		}
		e.control.publish(now)
		e.peers.wake()
		return e.control.signalAge(now)
	})
	drainTime, refuseAfter := max(balancerDrainTime, e.settings.Bounds.Grace-graceMargin), balancerDrainTime
	if signalAge > 0 {
		drainTime = max(minDrainTime, drainTime-signalAge)
		refuseAfter = min(refuseAfter, drainTime-exitTime)
	}
	deadline := began.Add(drainTime)
	idleSince, refusing := time.Time{}, false
	for time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
		if !refusing && time.Since(began) > refuseAfter {
			refusing = true
			e.rejectNewRequests()
		}
		switch {
		case e.handler.InFlight() > 0:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		}
		if refusing && !idleSince.IsZero() && time.Since(idleSince) > idleBeforeExit {
			break
		}
	}
	ended := e.handler.InFlight()
	e.handler.EndRequests()
	for end := time.Now().Add(finalAnswerTime); e.handler.InFlight() > 0 && time.Now().Before(end); {
		time.Sleep(drainPollInterval)
	}
	e.peers.startExchanges(e.ctx)
	time.Sleep(drainPollInterval)
	e.logger.Info().Int64("in_flight", e.handler.InFlight()).Int64("ended", ended).Dur("took_ms", time.Since(began)).Dur("signal_age_ms", signalAge).Msg("node stopped")
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

// rejectNewRequests refuses further requests, which could outlast the grace period, and then
// closes idle connections. The refusal must be in force first: a request that arrives while its
// connection is being closed must not have been sent to an upstream.
func (e *Edge) rejectNewRequests() {
	query(e.ctx, e.control, func(now time.Time) struct{} {
		e.control.refusingRequests = true
		e.control.publish(now)
		return struct{}{}
	})
	e.callerServer.SetKeepAlivesEnabled(false)
}

func (e *Edge) hasDuty(name string) bool {
	return e.cloud != nil && slices.Contains(e.settings.Duties, name)
}

func (e *Edge) peerAddress() string {
	return netip.AddrPortFrom(e.settings.IP, uint16(e.settings.PeerPort)).String()
}

func (e *Edge) metricsAddress() string { return e.settings.MetricsAddress() }

// withUsage runs use while holding the lock of the usage meter.
func (e *Edge) withUsage(use func()) {
	e.usageLock.Lock()
	defer e.usageLock.Unlock()
	use()
}

// countRequest records that a request of a workspace began to run.
func (e *Edge) countRequest(workspace string) {
	now := e.clock.now()
	e.withUsage(func() { e.usage.Count(workspace, now) })
}

// mergeUsage merges the counts that another node reports, by incarnation.
func (e *Edge) mergeUsage(byIncarnation map[string]usage.Windows) {
	e.withUsage(func() {
		for incarnation, windows := range byIncarnation {
			e.usage.Merge(incarnation, windows)
		}
	})
}

// ownUsage returns this node's counts for the newest windows.
func (e *Edge) ownUsage(windows int) (counts usage.Windows) {
	e.withUsage(func() { counts = e.usage.OwnWindows(windows) })
	return counts
}
