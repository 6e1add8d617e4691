package edge

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/cell"
	"github.com/persimmonline/persimmonline/fleet"
	"github.com/persimmonline/persimmonline/pacing"
	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/quarantine"
	"github.com/persimmonline/persimmonline/quota"
	"github.com/persimmonline/persimmonline/routing"
)

const (
	// controlTick is the interval of the control loop's periodic work.
	controlTick = 100 * time.Millisecond
	// publishInterval is the interval at which loads reported by peers reach the router. A tick
	// is a multiple of it.
	publishInterval = 50 * time.Millisecond
	// usageWindowsSent is the number of newest usage windows that every message carries; older
	// ones have already been sent.
	usageWindowsSent = 2
	// removalAnnounceTime is how long a removed entry is announced to peers; it covers several
	// exchanges through two hubs.
	removalAnnounceTime = 2 * time.Second
	// candidateInterval is the interval at which a node checks whether it is a candidate for the
	// duties.
	candidateInterval = time.Second
	// suspectDuration is how long an unreachable upstream gets only work that no other upstream
	// can take.
	suspectDuration = time.Second
	// misdirectedDuration is the same for an upstream whose address another upstream has taken
	// over, until the registry shows the change.
	misdirectedDuration = 10 * time.Second
	// maxPrefixBlocks limits the memory of the prefix index to some tens of megabytes.
	maxPrefixBlocks = 100_000
	// maxHolderBlocks limits the blocks that are tracked of one engine's cache; they cover about
	// 500,000 tokens.
	maxHolderBlocks = 1_000
	// cacheShare is the fraction of an engine's KV memory available to its cache beside running
	// requests.
	cacheShare = 0.7
	// toleranceShare is the fraction of a quota's tolerance that callers may use.
	toleranceShare = 0.5
	// restartToleranceShare is the fraction of a quota's tolerance that nodes may admit after all of
	// them were lost with their levels; maxRestartBurstShare bounds it as a fraction of the burst.
	restartToleranceShare = 0.25
	maxRestartBurstShare  = 0.25
	// maxMissedExchanges is the number of missed exchanges after which a node's share of the quotas
	// is reserved for it, since it may be admitting requests that it can't report.
	maxMissedExchanges = 5
	// stallTicks is the number of missed ticks after which the loop considers itself stalled.
	stallTicks = 4
	// eventQueue is the capacity of the control loop's event queue.
	eventQueue = 1024
	// notAnnounced stands for no era.
	notAnnounced = -1
)

// control owns the node's state. Only its goroutine changes it, and it publishes an immutable
// view for the goroutines that serve requests.
type control struct {
	edge   *Edge
	events chan event

	registry          *fleet.Registry
	registryCurrentAt time.Time
	table             *catalog.Table
	rawConfig         []byte
	// configConfirmedAt is when the store last confirmed that the configuration is the newest.
	configConfirmedAt time.Time
	// storeEra is the store's era as far as this loop knows, as platform.Store.Era returns it.
	storeEra int64
	// announcedEra is the era in which this node's record was written; notAnnounced while that is under way.
	announcedEra int64
	// newerVersion is the newer version that a peer last announced, at newerVersionAt.
	newerVersion   int64
	newerVersionAt time.Time
	// configFetches holds the start time of each configuration fetch under way, by peer address.
	configFetches map[string]time.Time
	peers         map[string]*peerState
	// cells is the division of the nodes into cells; nodesChanged is set while it is out of date.
	cells        cell.Layout
	nodesChanged bool
	// configuredQuotaNodes is the number of nodes that the ledger divides the quotas by, quotaPeak the
	// highest number of the last minutes.
	configuredQuotaNodes int
	quotaPeak            quotaPeak
	// reportsTo is the hub to which this node reports; nil if it is the hub of its cell.
	reportsTo *peerState
	// otherHubsContactedAt is when the hubs of other cells were last sent a message, probedAt when
	// nodes were last probed, candidacyCheckedAt when candidacy for the duties was last checked.
	otherHubsContactedAt, probedAt, candidacyCheckedAt time.Time
	// lastTickAt is the time of the last tick, stalledAt when the loop last detected a stall, which
	// began after stalledFrom.
	lastTickAt, stalledAt, stalledFrom time.Time
	// quotaParentIncarnation is the incarnation of the node to which this node reports its usage of
	// quotas; empty if it is the root.
	quotaParentIncarnation string
	// mismatches counts consecutive exchanges in which the registry differed from the hub's.
	mismatches int
	// fleetSize is the number of nodes used by the ledger and the feeds.
	fleetSize   atomic.Int64
	peakNodes   int
	peakNodesAt time.Time
	// loggedRetryBurst is the share of the retry budget's burst that was last logged.
	loggedRetryBurst float64
	suspectUntil     map[string]time.Time
	leaving          leavingUpstreams
	trackers         map[string]*routing.Tracker
	// gates hold the limits and pauses that upstreams announce, by upstream key. gateClock is
	// their clock and that of the trackers, which is also read by the goroutines that serve requests.
	gates map[string]*pacing.Gate
	// removedGates are the gates of upstreams whose registry entry was recently removed.
	removedGates map[string]removedGate
	gateClock    func() time.Time
	noticed      noticeState
	// noticeLogLimiter limits the log lines about notices of upstreams.
	noticeLogLimiter *rate.Limiter
	holders          map[string]routing.Holder
	// fleetReadings are the other nodes' samples of engines, as of fleetReadingsAt.
	fleetReadings   map[uint32]routing.ReadingSamples
	fleetReadingsAt time.Time
	// keyByHash holds the keys of upstreams by the hash used in messages.
	keyByHash        map[uint32]string
	prefixes         *routing.PrefixIndex
	recentPlacements []placement
	// cacheListsWanted holds the keys of upstreams that were not asked for their cached prompt parts
	// yet, cacheLists their lists, and cacheListCalls the number of calls that are under way.
	cacheListsWanted  map[string]bool
	cacheLists        []cacheList
	cacheListCalls    int
	placementSequence int64
	duties            *duties
	rollouts          *rollouts
	attribution       *quarantine.Attribution
	// refusedTraits are the traits whose requests are refused, trials the offers to run one of them.
	refusedTraits map[uint64]bool
	// recordedTraits are the traits with a record in the topic of nodes; false while it is being deleted.
	recordedTraits   map[uint64]bool
	trials           map[uint64]*atomic.Bool
	draining         bool
	refusingRequests bool
	// publishNow is set if the view must be published at once, publishPending if that may wait
	// until the next publish interval.
	publishNow, publishPending bool
}

func newControl(e *Edge) *control {
	c := &control{
		edge: e, events: make(chan event, eventQueue), storeEra: e.store.Era(), announcedEra: notAnnounced,
		registry: fleet.NewRegistry(), peers: map[string]*peerState{}, suspectUntil: map[string]time.Time{}, leaving: leavingUpstreams{},
		trackers: map[string]*routing.Tracker{}, holders: map[string]routing.Holder{}, cacheListsWanted: map[string]bool{}, keyByHash: map[uint32]string{}, nodesChanged: true,
		gates: map[string]*pacing.Gate{}, removedGates: map[string]removedGate{}, gateClock: time.Now,
		noticeLogLimiter: rate.NewLimiter(noticeLogRate, noticeLogBurst),
		prefixes:         routing.NewPrefixIndex(maxPrefixBlocks), publishNow: true,
		attribution: quarantine.NewAttribution(e.successes), refusedTraits: map[uint64]bool{}, recordedTraits: map[uint64]bool{}, trials: map[uint64]*atomic.Bool{},
		configFetches: map[string]time.Time{},
	}
	c.rollouts = newRollouts(e, c)
	c.duties = newDuties(e, c)
	return c
}

// event is a function to run in the control loop.
type event struct {
	run      func(now time.Time)
	postedAt time.Time
}

// post enqueues an event for the control loop; it blocks while the queue is full, until ctx is
// done.
func (c *control) post(ctx context.Context, run func(now time.Time)) {
	select {
	case c.events <- event{run, time.Now()}:
	case <-ctx.Done():
	}
}

// query runs a function in the control loop and returns its result; ok is false if ctx was done
// first.
func query[T any](ctx context.Context, c *control, run func(now time.Time) T) (result T, ok bool) {
	results := make(chan T, 1)
	c.post(ctx, func(now time.Time) { results <- run(now) })
	select {
	case result = <-results:
		return result, true
	case <-ctx.Done():
		return result, false
	}
}

// tryPost enqueues an event, or drops it if the queue is full, so that serving never blocks.
func (c *control) tryPost(run func(now time.Time)) {
	select {
	case c.events <- event{run, time.Now()}:
	default:
		c.edge.metrics.eventsDropped.Inc()
	}
}

// run is the control loop.
func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for ticks := 0; ; {
		select {
		case <-ctx.Done():
			return
		case event := <-c.events:
			c.edge.metrics.eventWait.Observe(time.Since(event.postedAt).Seconds())
			event.run(c.edge.clock.monotonic())
		case <-ticker.C:
			c.publishNow = c.publishNow || c.publishPending
			if ticks++; time.Duration(ticks)*publishInterval >= controlTick {
				ticks = 0
				c.tick(c.edge.clock.monotonic())
			}
		}
		if c.publishNow {
			c.publish(c.edge.clock.monotonic())
		}
	}
}

func (c *control) tick(now time.Time) {
	c.recentlyStalled(now)
	c.lastTickAt = now
	c.observeStoreEra(now)
	c.renewAnnouncement()
	c.handleChanges(c.registry.Tick(now))
	for key, until := range c.suspectUntil {
		if now.After(until) {
			delete(c.suspectUntil, key)
		}
	}
	c.applyLeavingNotices(now)
	c.evictGates(now)
	c.evictPeers(now)
	c.updateNodeCount(now)
	c.tickAttribution(now)
	c.updateDutyCandidacy(now)
	c.edge.clock.correct()
	c.edge.pool.Sweep(c.isTracked)
	c.duties.tick(now)
	c.rollouts.decider.readUnknown(now)
	c.rollouts.decider.standIn(now)
	c.publishNow = true
}

// observeStoreEra takes note of the store's era. When it rises, records may be gone and are written again.
func (c *control) observeStoreEra(now time.Time) {
	known, era := c.storeEra, c.edge.store.Era()
	if era <= known {
		return
	}
	c.storeEra = era
	c.edge.metrics.storeEra.Set(float64(era))
	c.duties.enterEra(era, now)
	if known < 0 {
		return
	}
	c.edge.logger.Warn().Int64("era", era).Int64("known_era", known).Str("dependency", "store").
		Msg("store came back from an older copy")
	clear(c.recordedTraits)
}

// renewAnnouncement announces this node again if the store has come back from an older copy since it did.
func (c *control) renewAnnouncement() {
	if c.announcedEra == notAnnounced || c.edge.store.Era() <= c.announcedEra {
		return
	}
	c.announcedEra = notAnnounced
	c.edge.task(c.edge.announce)
}

// recentlyStalled detects a stall, and reports whether this node was recently suspended or blocked, so
// that messages may have been delayed in its sockets.
func (c *control) recentlyStalled(now time.Time) bool {
	if !c.lastTickAt.IsZero() && now.Sub(c.lastTickAt) > stallTicks*controlTick {
		c.stalledAt, c.stalledFrom = now, c.lastTickAt
	}
	return !c.stalledAt.IsZero() && now.Sub(c.stalledAt) < peerLiveTime
}

// signalAge returns how long ago a signal that arrives now may have been sent: a process that was
// suspended gets it when it resumes.
func (c *control) signalAge(now time.Time) time.Duration {
	if c.recentlyStalled(now) && now.Sub(c.stalledAt) < stallTicks*controlTick {
		return now.Sub(c.stalledFrom)
	}
	return 0
}

// isTracked reports whether an upstream is known, so that its pooled connections are kept.
func (c *control) isTracked(key string) bool {
	_, ok := c.trackers[key]
	return ok
}

// handleChanges logs changes of upstreams and triggers an exchange with peers if one is leaving.
func (c *control) handleChanges(changes []fleet.Change) {
	for _, change := range changes {
		if change.Kind == fleet.Draining || change.Kind == fleet.Removed {
			c.edge.peers.wake()
		}
		u := change.Upstream
		c.leaving.observe(change, c.edge.clock.monotonic(), c.edge.bounds.Load().Drain)
		c.edge.logger.Info().Str("upstream", u.ID).Int64("born_ms", u.BornMS).Str("service", u.Service).
			Str("address", u.Address).Str("data_centre", u.DataCentre).Bool("reclaimable", u.Reclaimable).
			Dur("leaves_ms", u.TimeLeft).Str("change", string(change.Kind)).Msg("upstream changed")
		c.publishNow = true
	}
}

// configVersion returns the version in force; 0 before the first.
func (c *control) configVersion() int64 {
	if c.table == nil {
		return 0
	}
	return c.table.Config.Version
}

// confirmConfig records that the configuration is the newest in the store.
func (c *control) confirmConfig(now time.Time) {
	c.publishNow = c.publishNow || c.configUnconfirmed(now)
	c.configConfirmedAt = now
}

// configUnconfirmed reports whether a newer configuration may be in force elsewhere.
func (c *control) configUnconfirmed(now time.Time) bool {
	announced := c.newerVersion > c.configVersion() && now.Sub(c.newerVersionAt) < peerLiveTime
	return announced || now.Sub(c.configConfirmedAt) > c.edge.configConfirmedFor()
}

// configSource describes where a configuration was read.
type configSource struct {
	// origin is "store" or the address of a peer.
	origin string
	// offset of the record in the store; -1 if it was read from a peer.
	offset int64
	// readAt is when it was read, by the monotonic clock.
	readAt time.Time
}

// applyConfig puts a version of the configuration into force if it is newer than the current one.
func (c *control) applyConfig(raw []byte, source configSource, now time.Time) {
	logger := c.edge.logger.With().Str("source", source.origin).Int64("offset", source.offset).
		Dur("queued_ms", now.Sub(source.readAt)).Logger()
	config, err := platform.DecodeConfig(raw)
	if err != nil {
		logger.Error().Err(err).Msg("configuration not decoded")
		return
	}
	if c.table != nil && config.Version <= c.table.Config.Version {
		logger.Info().Int64("version", config.Version).Int64("in_force", c.table.Config.Version).Msg("configuration ignored: not newer")
		return
	}
	c.table, c.rawConfig = catalog.NewTable(config), raw
	logger.Info().Int64("version", config.Version).Int("routes", len(config.Routes)).
		Int("workspaces", len(config.Workspaces)).Msg("configuration in force")
	c.edge.metrics.configVersion.Set(float64(config.Version))
	c.configureQuota(now)
	c.publish(now)
	c.edge.peers.wake()
}

// updateNodeCount reconfigures the ledger if the number of nodes has changed.
func (c *control) updateNodeCount(now time.Time) {
	if int64(c.nodeCount(now)) != c.fleetSize.Load() || c.quotaNodes(now) != c.configuredQuotaNodes {
		c.configureQuota(now)
	}
}

// updateDutyCandidacy updates whether this node may claim the duties, and the assumed number of
// nodes that read topics: one hub for each cell, or every node if this one reports to a hub and
// still has to read for itself.
func (c *control) updateDutyCandidacy(now time.Time) {
	if now.Sub(c.candidacyCheckedAt) < candidateInterval {
		return
	}
	c.candidacyCheckedAt = now
	c.refreshCells()
	readers := int64(c.cells.Count())
	if c.reportsTo != nil {
		readers = c.fleetSize.Load()
	}
	c.edge.storeReaders.Store(max(1, readers))
	c.edge.dutyCandidate.Store(c.isDutyCandidate(now))
}

// configureQuota passes the workspaces' limits and the number of nodes to the ledger.
func (c *control) configureQuota(now time.Time) {
	if c.table == nil {
		return
	}
	limits := map[string]quota.Limit{}
	for i := range c.table.Config.Workspaces {
		workspace := &c.table.Config.Workspaces[i]
		if workspace.Rate > 0 {
			limits[workspace.Name] = c.quotaLimit(workspace)
		}
	}
	c.edge.ledgerLock.Lock()
	defer c.edge.ledgerLock.Unlock()
	c.fleetSize.Store(int64(c.nodeCount(now)))
	c.setQuotaNodes(c.quotaNodes(now))
	c.edge.ledger.Configure(limits, c.configuredQuotaNodes, maxMissedExchanges*exchangeInterval, now)
}

// quotaLimit returns the limit of a workspace. A part of the tolerance is given to callers, so
// that none is refused because of the order in which nodes learn of requests; the rest covers what
// nodes admit before they learn of each other's requests.
func (c *control) quotaLimit(workspace *catalog.Workspace) quota.Limit {
	bounds := c.edge.bounds.Load()
	factor := 1 + toleranceShare*bounds.QuotaOverage
	limit := quota.Limit{Rate: workspace.Rate * factor, Burst: max(workspace.Burst, 1) * factor}
	tolerance := bounds.QuotaOverage * (workspace.Rate*bounds.QuotaWindow.Seconds() + workspace.Burst)
	if workspace.CountsTokens {
		limit.Burst += toleranceShare * bounds.QuotaSlack
		tolerance += bounds.QuotaSlack
	}
	limit.RestartBurst = min(maxRestartBurstShare*limit.Burst, restartToleranceShare*tolerance)
	return limit
}

// markSuspect makes the router avoid an upstream for a limited time.
func (c *control) markSuspect(upstream *routing.Upstream, reason string, duration time.Duration) {
	c.tryPost(func(now time.Time) {
		key := upstream.Key()
		if _, known := c.suspectUntil[key]; !known {
			c.edge.logger.Warn().Str("upstream", upstream.ID).Str("address", upstream.Address).
				Str("reason", reason).Dur("for_ms", duration).Msg("upstream marked suspect")
		}
		c.suspectUntil[key] = now.Add(duration)
		c.publish(now)
	})
}

// UpstreamMisdirected implements serving.Events.
func (c *control) UpstreamMisdirected(u *routing.Upstream) {
	c.markSuspect(u, "misdirected", misdirectedDuration)
}

// UpstreamUnreachable implements serving.Events.
func (c *control) UpstreamUnreachable(u *routing.Upstream) {
	c.markSuspect(u, "unreachable", suspectDuration)
}

// RequestStarted implements serving.Events.
func (c *control) RequestStarted(workspace string) { c.edge.countRequest(workspace) }
