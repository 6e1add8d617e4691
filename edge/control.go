package edge

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/cell"
	"github.com/persimmonline/persimmonline/fleet"
	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/pacing"
	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/quarantine"
	"github.com/persimmonline/persimmonline/quota"
	"github.com/persimmonline/persimmonline/routing"
	"github.com/persimmonline/persimmonline/serving"
)

const (
	// controlTick is the pace of the control loop's own work.
	controlTick = 100 * time.Millisecond
	// publishEvery is the pace at which loads that peers tell of reach the router. A tick
	// is a whole number of them.
	publishEvery = 50 * time.Millisecond
	// usageWindowsTold are the newest windows of usage that every message carries; older
	// ones have been told before.
	usageWindowsTold = 2
	// removalTold is how long peers are told of a removed entry; it is several exchanges by
	// way of two hubs.
	removalTold = 2 * time.Second
	// candidateEvery is the pace at which a node looks whether it may take the duties.
	candidateEvery = time.Second
	// suspectFor is how long an upstream that could not be reached gets only work that no
	// other can take.
	suspectFor = time.Second
	// misdirectedFor is the same for an address that another upstream has, until the
	// registry tells.
	misdirectedFor = 10 * time.Second
	// maxPrefixBlocks bounds the memory of the prefix index to some tens of megabytes.
	maxPrefixBlocks = 100_000
	// holderBlocks bounds the blocks that are remembered of one engine's cache, some hundred
	// thousand tokens.
	holderBlocks = 1_000
	// cacheShare is the part of an engine's memory that its cache has beside running requests.
	cacheShare = 0.7
	// toleranceShare is the part of a quota's tolerance that callers may use.
	toleranceShare = 0.5
	// silentExchanges is the number of exchanges in which a node that is not heard is taken to
	// admit requests unheard.
	silentExchanges = 5
	// heldUpTicks is the number of ticks without which the loop takes itself to have stood still.
	heldUpTicks = 4
	// eventQueue bounds the events that wait for the control loop.
	eventQueue = 1024
)

// control owns what the node believes. Its goroutine alone changes it, and publishes a
// view for the traffic goroutines.
type control struct {
	edge   *Edge
	events chan event

	registry   *fleet.Registry
	registryAt time.Time
	table      *catalog.Table
	rawConfig  []byte
	// confirmedAt is when the store last confirmed that the configuration is the newest.
	confirmedAt time.Time
	// aheadVersion is the newer version that a peer told of last, at aheadAt.
	aheadVersion int64
	aheadAt      time.Time
	// fetches are the peers that are asked for their configuration, with the time of asking.
	fetches map[string]time.Time
	peers   map[string]*peerState
	// cells divides the nodes; nodesChanged says that it is out of date.
	cells        cell.Layout
	nodesChanged bool
	// reportsTo is the hub to which this node reports; nil if it is the hub of its cell.
	reportsTo *peerState
	// cellsToldAt is when the hubs of other cells were told last, probedAt when a member that
	// does not report was, candidateAt when candidacy for the duties was looked at.
	cellsToldAt, probedAt, candidateAt time.Time
	// tickedAt is when the loop last ticked, heldUpAt when it last found that it had been held up.
	tickedAt, heldUpAt time.Time
	// followedAt is when this node's hub changed.
	followedAt time.Time
	// mismatches counts the exchanges in a row in which the registry differed from the hub's.
	mismatches int
	// fleetSize is the number of nodes that the ledger and the feeds go by.
	fleetSize atomic.Int64
	mostNodes int
	mostAt    time.Time
	suspects  map[string]time.Time
	trackers  map[string]*routing.Tracker
	// gates hold what upstreams say of themselves. gateClock is their clock, which traffic
	// goroutines read too.
	gates map[string]*pacing.Gate
	// formerGates are those of upstreams whose entry was removed lately.
	formerGates map[string]formerGate
	gateClock   func() time.Time
	noticed     noticed
	// noticeLines bounds the log lines on what upstreams say.
	noticeLines *rate.Limiter
	holders     map[string]routing.Holder
	// keys are the upstreams by the hash that messages name them by.
	keys     map[uint32]string
	prefixes *routing.PrefixIndex
	placed   []placement
	sequence int64
	duties   *duties
	poison   *quarantine.Table
	draining bool
	closed   bool
	// dirty says that the view must be published at once, stale that it may wait.
	dirty, stale bool
}

func newControl(e *Edge) *control {
	c := &control{
		edge: e, events: make(chan event, eventQueue),
		registry: fleet.NewRegistry(), peers: map[string]*peerState{}, suspects: map[string]time.Time{},
		trackers: map[string]*routing.Tracker{}, holders: map[string]routing.Holder{}, keys: map[uint32]string{}, nodesChanged: true,
		gates: map[string]*pacing.Gate{}, formerGates: map[string]formerGate{}, gateClock: time.Now,
		noticeLines: rate.NewLimiter(noticeLineRate, noticeLineBurst),
		prefixes:    routing.NewPrefixIndex(maxPrefixBlocks), dirty: true,
		poison: quarantine.NewTable(), fetches: map[string]time.Time{},
	}
	c.duties = newDuties(e, c)
	return c
}

// event is something that the control loop does.
type event struct {
	do       func(now time.Time)
	postedAt time.Time
}

// post hands an event to the control loop; it gives up when the node stops.
func (c *control) post(ctx context.Context, do func(now time.Time)) {
	select {
	case c.events <- event{do, time.Now()}:
	case <-ctx.Done():
	}
}

// ask runs a question in the control loop and returns its answer; ok is false if ctx ended
// first.
func ask[T any](ctx context.Context, c *control, question func(now time.Time) T) (answer T, ok bool) {
	answers := make(chan T, 1)
	c.post(ctx, func(now time.Time) { answers <- question(now) })
	select {
	case answer = <-answers:
		return answer, true
	case <-ctx.Done():
		return answer, false
	}
}

// tryPost hands over an event that may be lost, so that traffic never waits.
func (c *control) tryPost(do func(now time.Time)) {
	select {
	case c.events <- event{do, time.Now()}:
	default:
		c.edge.metrics.eventsDropped.Inc()
	}
}

// run is the control loop.
func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(publishEvery)
	defer ticker.Stop()
	for beats := 0; ; {
		select {
		case <-ctx.Done():
			return
		case event := <-c.events:
			c.edge.metrics.eventWait.Observe(time.Since(event.postedAt).Seconds())
			event.do(c.edge.clock.steady())
		case <-ticker.C:
			c.dirty = c.dirty || c.stale
			if beats++; time.Duration(beats)*publishEvery >= controlTick {
				beats = 0
				c.tick(c.edge.clock.steady())
			}
		}
		if c.dirty {
			c.publish(c.edge.clock.steady())
		}
	}
}

func (c *control) tick(now time.Time) {
	c.wasHeldUp(now)
	c.tickedAt = now
	c.changed(c.registry.Tick(now))
	for key, until := range c.suspects {
		if now.After(until) {
			delete(c.suspects, key)
		}
	}
	c.takeLeavingNotices(now)
	c.forgetGates(now)
	c.forgetPeers(now)
	c.followNodes(now)
	c.lookForDuties(now)
	c.edge.clock.correct()
	c.edge.pool.Sweep(c.known)
	c.duties.tick(now)
	c.dirty = true
}

// wasHeldUp says whether this node stood still of late, so that messages may have waited in its
// sockets.
func (c *control) wasHeldUp(now time.Time) bool {
	if !c.tickedAt.IsZero() && now.Sub(c.tickedAt) > heldUpTicks*controlTick {
		c.heldUpAt = now
	}
	return !c.heldUpAt.IsZero() && now.Sub(c.heldUpAt) < peerLive
}

// known says whether an upstream's connections are worth keeping.
func (c *control) known(key string) bool {
	_, ok := c.trackers[key]
	return ok
}

// changed logs what became of upstreams, and has peers told of those that leave.
func (c *control) changed(changes []fleet.Change) {
	for _, change := range changes {
		if change.Kind == fleet.Draining || change.Kind == fleet.Removed {
			c.edge.peers.wake()
		}
		u := change.Upstream
		c.edge.logger.Info().Str("upstream", u.ID).Int64("born_ms", u.BornMS).Str("service", u.Service).
			Str("address", u.Address).Str("data_centre", u.DataCentre).Bool("reclaimable", u.Reclaimable).
			Dur("leaves_ms", u.TimeLeft).Str("change", string(change.Kind)).Msg("upstream changed")
		c.dirty = true
	}
}

// configVersion returns the version in force; 0 before the first.
func (c *control) configVersion() int64 {
	if c.table == nil {
		return 0
	}
	return c.table.Config.Version
}

// confirm notes that the configuration is the newest that the store knows.
func (c *control) confirm(now time.Time) {
	c.dirty = c.dirty || c.unconfirmed(now)
	c.confirmedAt = now
}

// unconfirmed says whether a newer configuration may be in force elsewhere.
func (c *control) unconfirmed(now time.Time) bool {
	heard := c.aheadVersion > c.configVersion() && now.Sub(c.aheadAt) < peerLive
	return heard || now.Sub(c.confirmedAt) > c.edge.confirmedFor()
}

// configSource says where a configuration was read.
type configSource struct {
	// from is the store, or the address of a peer.
	from string
	// offset of the record in the store; unknown, -1, from a peer.
	offset int64
	// readAt is when it was read, by the steady clock.
	readAt time.Time
}

// applyConfig takes a version of the configuration if it is newer than that in force.
func (c *control) applyConfig(raw []byte, source configSource, now time.Time) {
	logger := c.edge.logger.With().Str("source", source.from).Int64("offset", source.offset).
		Dur("queued_ms", now.Sub(source.readAt)).Logger()
	config, err := platform.DecodeConfig(raw)
	if err != nil {
		logger.Error().Err(err).Msg("configuration not taken")
		return
	}
	if c.table != nil && config.Version <= c.table.Config.Version {
		logger.Info().Int64("version", config.Version).Int64("in_force", c.table.Config.Version).Msg("configuration is not newer")
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

// followNodes tells the ledger when the number of nodes has changed.
func (c *control) followNodes(now time.Time) {
	if int64(c.nodes(now)) != c.fleetSize.Load() {
		c.configureQuota(now)
	}
}

// lookForDuties notes whether this node may take the duties, and how many nodes read topics
// as it does: the hubs, or where it has none to rely on, all.
func (c *control) lookForDuties(now time.Time) {
	if now.Sub(c.candidateAt) < candidateEvery {
		return
	}
	c.candidateAt = now
	c.divide()
	readers := int64(len(c.cells.Cells()))
	if c.reportsTo != nil {
		readers = c.fleetSize.Load()
	}
	c.edge.readers.Store(max(1, readers))
	c.edge.candidate.Store(c.dutyCandidate(now))
}

// configureQuota passes limits and the number of nodes to the ledger.
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
	nodes := c.nodes(now)
	c.fleetSize.Store(int64(nodes))
	c.edge.ledger.Configure(limits, nodes, silentExchanges*exchangeEvery, now)
}

// quotaLimit returns what a workspace may use. A part of the tolerance goes to callers, so
// that none is refused for the order in which nodes hear of requests; the rest is for what
// nodes admit before they hear of each other.
func (c *control) quotaLimit(workspace *catalog.Workspace) quota.Limit {
	bounds := c.edge.bounds.Load()
	factor := 1 + toleranceShare*bounds.QuotaOverage
	limit := quota.Limit{Rate: workspace.Rate * factor, Burst: max(workspace.Burst, 1) * factor}
	if workspace.CountsTokens {
		limit.Burst += toleranceShare * bounds.QuotaSlack
	}
	return limit
}

// publish builds the view of what is believed now.
func (c *control) publish(now time.Time) {
	c.dirty, c.stale = false, false
	view := &serving.View{
		Table: c.table, RegistryReadAt: time.Now().Add(-now.Sub(c.registryAt)), DataCentre: c.edge.settings.DataCentre,
		RetryBurst: c.retryBurst(now), Draining: c.draining, RefusingRequests: c.closed,
		Poisoned: c.poisoned(now), PublishedAt: time.Now(), ConfigUnconfirmed: c.unconfirmed(now),
	}
	byService := map[string][]*routing.Upstream{}
	var sources []*routing.Upstream
	others := c.othersLoad(now)
	c.noticed.begin()
	members := c.registry.Upstreams()
	live := make(map[string]bool, len(members))
	for i := range members {
		member, key := &members[i], members[i].Key
		live[key] = true
		c.dealLimit(member, c.gate(key), now)
		if !member.UsableAt(now) {
			sources = append(sources, c.upstream(member, key, api.EdgeLoad{}))
			continue
		}
		byService[member.Service] = append(byService[member.Service], c.upstream(member, key, others[upstreamHash(key)]))
	}
	for key := range c.trackers {
		if !live[key] {
			c.prefixes.RemoveHolder(c.holders[key])
			delete(c.trackers, key)
			c.dropGate(key, now)
			delete(c.holders, key)
			delete(c.keys, upstreamHash(key))
		}
	}
	view.Fleet = routing.NewFleet(byService, c.prefixes, 1, time.Now())
	view.Fleet.BlockTokens = serving.BlockTokens
	for _, source := range sources {
		view.Fleet.AddSource(source)
	}
	c.edge.metrics.limitedUpstreams.Set(float64(c.noticed.limited))
	c.edge.view.Store(view)
}

// upstream returns a member as the router sees it.
func (c *control) upstream(member *fleet.Upstream, key string, load api.EdgeLoad) *routing.Upstream {
	tracker := c.trackers[key]
	if tracker == nil {
		tracker = &routing.Tracker{}
		c.trackers[key] = tracker
		c.keys[upstreamHash(key)] = key
		if blocks := c.cacheBlocks(member.Service); blocks > 0 {
			c.holders[key] = c.prefixes.AddHolder(member.ID, incarnationOf(member.BornMS), blocks)
		}
	}
	own := int(tracker.InFlight.Load())
	_, queued := tracker.AwaitingFirstToken()
	health := membership.StateLive
	if _, suspect := c.suspects[key]; suspect || member.Leaving() || !member.LapsedAt.IsZero() {
		health = membership.StateSuspect
	}
	return &routing.Upstream{
		FetchRate: c.fetchRate(member.Service), Leaving: member.Leaving(), ID: member.ID, Incarnation: incarnationOf(member.BornMS), Address: member.Address,
		DataCentre: member.DataCentre, Health: health, Tracker: tracker, Gate: c.gates[key], Holder: c.holders[key],
		Load: &api.EngineLoad{
			AtMS: time.Now().UnixMilli(), BatchSlots: member.Slots,
			Running: own + load.Running, QueuedTokens: load.QueuedTokens + queued,
		},
	}
}

// cacheBlocks returns the size of an engine's cache; 0 for a plain service.
func (c *control) cacheBlocks(service string) int {
	if c.table == nil {
		return holderBlocks
	}
	engine := c.engine(service)
	if engine == nil {
		return 0
	}
	return max(1, min(holderBlocks, int(cacheShare*float64(engine.KVTokens))/serving.BlockTokens))
}

// fetchRate returns the tokens a second that engines of a service copy from each other.
func (c *control) fetchRate(service string) float64 {
	engine := c.engine(service)
	if engine == nil {
		return 0
	}
	return engine.FetchRate
}

// engine returns the properties of a service's engines; nil for a plain or an unknown service.
func (c *control) engine(service string) *catalog.Engine {
	if c.table == nil {
		return nil
	}
	if known := c.table.Service(service); known != nil {
		return known.Engine
	}
	return nil
}

// suspect keeps work away from an upstream for a while.
func (c *control) suspect(upstream *routing.Upstream, reason string, lasts time.Duration) {
	c.tryPost(func(now time.Time) {
		key := upstream.Key()
		if _, known := c.suspects[key]; !known {
			c.edge.logger.Warn().Str("upstream", upstream.ID).Str("address", upstream.Address).
				Str("reason", reason).Dur("for_ms", lasts).Msg("upstream suspected")
		}
		c.suspects[key] = now.Add(lasts)
		c.publish(now)
	})
}

// UpstreamMisdirected implements serving.Events.
func (c *control) UpstreamMisdirected(u *routing.Upstream) {
	c.suspect(u, "misdirected", misdirectedFor)
}

// UpstreamUnreachable implements serving.Events.
func (c *control) UpstreamUnreachable(u *routing.Upstream) { c.suspect(u, "unreachable", suspectFor) }

// RequestStarted implements serving.Events.
func (c *control) RequestStarted(workspace string) { c.edge.count(workspace) }
