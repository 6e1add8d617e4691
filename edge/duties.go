package edge

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/lease"
	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/scaling"
	"github.com/persimmonline/persimmonline/usage"
)

const (
	// topicDuties is the topic of lease records.
	topicDuties = "persimmon-duties"
	// dutyName is the name of the single lease that covers all duties.
	dutyName = "platform"
	// maxDutiesWait is how long the store may block a read of the topic. A renewal arrives sooner,
	// and a read that hangs is detected well within the lifetime of a lease.
	maxDutiesWait = 2 * time.Second
	// renewalsPerLease is the number of renewals within the lifetime of a lease.
	renewalsPerLease = 3
	// dutiesReadInterval is the interval between reads of the topic; it delays only the handover of
	// the duties.
	dutiesReadInterval = 100 * time.Millisecond
	// usageFetchInterval is the interval at which the holder of the duties fetches usage counts from
	// the hubs, and usageWindowsFetched the number of newest windows that they return.
	usageFetchInterval  = time.Second
	usageWindowsFetched = 3
	// resendInterval is the interval at which a usage report is sent again until it is accepted.
	resendInterval = time.Second
	// reorderInterval is the interval at which an order is repeated while engines are missing.
	reorderInterval = 3 * time.Second
	// planInterval is the interval at which the numbers of engines are planned.
	planInterval = 500 * time.Millisecond
)

// duties performs the work that a single node does for the fleet: usage reports and scaling. The
// control loop owns it.
type duties struct {
	edge    *Edge
	control *control
	holder  *lease.Holder
	reports *reports
	// orders holds the last order by service, data centre and machine class.
	orders    map[orderKey]order
	plannedAt time.Time
	// usageFetchedAt is when usage counts were last requested from the hubs.
	usageFetchedAt time.Time
	// dutiesFeed reads the topic of duties; nil before the node starts.
	dutiesFeed *feed
	demand     map[string]*scaling.Demand
	// fence is the current fencing token.
	fence int64
	// eraEnteredAt is when the store last came back from an older copy, as far as this node knows.
	eraEnteredAt time.Time
	// eraSeenAt is when a node first saw the era of the lease's topic, by the monotonic clock; zero if the
	// store has no eras.
	eraSeenAt time.Time
	// leaseHeld is set while this node holds the lease, lastHolder also after the lease has lapsed, until
	// another node claims it; the topic's feed reads that.
	leaseHeld, lastHolder atomic.Bool
}

type orderKey struct {
	service, dataCentre string
	reclaimable         bool
}

type order struct {
	count    int
	at       time.Time
	accepted bool
	pending  bool
	// unavailable is set if the last response said that no engine of the class is available.
	unavailable bool
}

func newDuties(e *Edge, c *control) *duties {
	life := leaseLife(e.settings.Bounds.Lease)
	timing := lease.Timing{TTL: life, Margin: life / 3, RenewInterval: life / renewalsPerLease, ClaimJitter: life / 10}
	return &duties{
		edge: e, control: c, holder: lease.NewHolder(e.settings.Name, e.incarnation, timing, dutyName),
		reports: newReports(e, c), orders: map[orderKey]order{}, demand: map[string]*scaling.Demand{}, fence: lease.NoOffset,
	}
}

// leaseLife returns the lifetime of a lease, which exceeds the bound within which the duties must
// not change hands back and forth.
func leaseLife(bound time.Duration) time.Duration { return bound * 3 / 2 }

// dutiesWait returns how long the store may block a read of the topic. A lapsed lease is claimed only
// after a recent read, so the wait stays well below the lifetime of a lease.
func dutiesWait(bound time.Duration) time.Duration { return min(maxDutiesWait, leaseLife(bound)/2) }

// newFeed returns the feed of the topic of duties.
func (d *duties) newFeed(ctx context.Context) *feed {
	d.dutiesFeed = &feed{
		edge: d.edge, topic: topicDuties, bound: func(bounds *platform.Bounds) time.Duration { return bounds.Lease },
		maxWait: func() time.Duration { return dutiesWait(d.edge.settings.Bounds.Lease) }, interval: func() time.Duration { return dutiesReadInterval },
		shouldStandBy: func() bool { return !d.edge.dutyCandidate.Load() && !d.lastHolder.Load() },
		applyPage: func(page platform.Page) {
			d.control.post(ctx, func(now time.Time) { d.applyPage(page, now) })
		},
		onTrimmed: func(oldest int64) {
			query(ctx, d.control, func(now time.Time) struct{} {
				d.markGap(oldest, now)
				return struct{}{}
			})
		},
		onRestore: func(era int64) {
			query(ctx, d.control, func(now time.Time) struct{} {
				d.enterEra(era, now)
				return struct{}{}
			})
		},
	}
	return d.dutiesFeed
}

// enterEra gives up the duties when the store has come back from an older copy; the lease is claimed
// anew.
func (d *duties) enterEra(era int64, now time.Time) {
	table := d.holder.Table()
	if era <= table.Era() {
		return
	}
	d.eraSeenAt = now
	if table.Era() != 0 || table.LastOffset() != lease.NoOffset {
		d.eraEnteredAt = now
	}
	stalled := d.control.recentlyStalled(now)
	answeredAt := d.lastAnswerAt()
	awake := !stalled || d.control.stalledAt.Before(answeredAt)
	d.holder.EnterEra(era, now, now.Sub(answeredAt), awake)
}

// lastAnswerAt returns when the store last answered a read of the topic.
func (d *duties) lastAnswerAt() time.Time {
	if d.dutiesFeed == nil {
		return time.Time{}
	}
	return time.Unix(0, d.dutiesFeed.answeredAt.Load())
}

// applyPage applies lease records of the log.
func (d *duties) applyPage(page platform.Page, now time.Time) {
	d.enterEra(page.Era, now)
	if page.Era < d.holder.Table().Era() {
		return
	}
	d.markGap(page.First, now)
	for i, raw := range page.Records {
		offset := page.First + int64(i)
		var record api.EdgeRecord
		if err := json.Unmarshal(raw, &record); err != nil {
			d.edge.logger.Error().Err(err).Int64("offset", offset).Msg("lease record ignored: not decoded")
			d.holder.Table().Skip(offset)
			continue
		}
		if record.Lease == nil {
			d.holder.Table().Skip(offset)
			continue
		}
		before := d.holder.Table().Lease(dutyName)
		d.holder.Apply(offset, record.Lease.Record, now)
		after := d.holder.Table().Lease(dutyName)
		if before.Fence != after.Fence || before.Holder != after.Holder {
			d.edge.logger.Info().Str("holder", after.Holder).Int64("fence", after.Fence).Int64("offset", offset).Msg("duty holder changed")
		}
		d.edge.mergeUsage(record.Lease.Usage)
		d.observeEraSeen(record.Lease, now)
	}
}

// observeEraSeen applies when the writer of a record knew that the era had begun.
func (d *duties) observeEraSeen(written *api.EdgeLease, now time.Time) {
	if written.EraSeenMS == 0 || written.Record.Era != d.holder.Table().Era() {
		return
	}
	if at := now.Add(-d.edge.clock.now().Sub(time.UnixMilli(written.EraSeenMS))); at.Before(d.eraSeenAt) {
		d.eraSeenAt = at
	}
}

// eraBegan returns the estimated wall-clock time by which the store's era had begun; zero if the store has
// no eras.
func (d *duties) eraBegan() time.Time {
	if d.eraSeenAt.IsZero() {
		return time.Time{}
	}
	return d.edge.clock.now().Add(-d.edge.clock.monotonic().Sub(d.eraSeenAt))
}

// markGap forbids claims for the life of a lease if records below an offset were deleted unread: one of
// them may be the claim of a live holder.
func (d *duties) markGap(below int64, now time.Time) {
	d.holder.Table().MarkGap(below, now, leaseLife(d.edge.settings.Bounds.Lease))
}

// tick claims and renews the lease, and performs the duties while it is held.
func (d *duties) tick(now time.Time) {
	d.observeDemand(now)
	if d.control.draining {
		return
	}
	grant, held := d.holder.Held(now)[dutyName]
	d.leaseHeld.Store(held)
	d.lastHolder.Store(d.holder.IsLast(dutyName))
	if !held && !d.mayClaim(now) {
		return
	}
	records := d.holder.Plan(now, uuid.NewString, rand.N[time.Duration])
	for _, record := range records {
		d.appendLease(record)
	}
	if !held {
		return
	}
	if grant.Fence != d.fence {
		d.fence = grant.Fence
		clear(d.orders)
		d.reports.start(grant)
		d.edge.logger.Info().Int64("fence", grant.Fence).Bool("resumed", grant.Resumed).Msg("duties acquired")
	}
	if d.edge.hasDuty(platform.DutyUsage) {
		d.fetchUsage(now)
		d.reports.tick(now)
	}
	d.control.rollouts.decider.tick(d.fence, now)
	d.planEngines(now)
}

// mayClaim reports whether this node is a candidate, or resumes the duties, and its view of the lease is
// recent enough to claim it.
func (d *duties) mayClaim(now time.Time) bool {
	if d.dutiesFeed == nil || (!d.edge.dutyCandidate.Load() && !d.holder.Resumes(dutyName)) {
		return false
	}
	answeredAt := d.lastAnswerAt()
	return answeredAt.After(d.eraEnteredAt) && now.Sub(answeredAt) < leaseLife(d.edge.settings.Bounds.Lease)
}

// fetchUsage requests the usage counts of all cells from their hubs.
func (d *duties) fetchUsage(now time.Time) {
	if now.Sub(d.usageFetchedAt) < usageFetchInterval {
		return
	}
	d.usageFetchedAt = now
	var addresses []string
	if hub := d.control.reportsTo; hub != nil {
		addresses = append(addresses, hub.address)
	}
	for _, hub := range d.control.otherCellHubs(now) {
		addresses = append(addresses, hub.address)
	}
	d.edge.peers.fetchUsage(addresses)
}

// allUsage returns the counts of the windows that may not be reported yet. Lease records carry
// them, so that they survive the loss of all nodes.
func (d *duties) allUsage() map[string]usage.Windows {
	return d.control.allUsage(usageWindowsFetched)
}

// appendLease writes a lease record with the usage counts to the topic of duties in the background.
func (d *duties) appendLease(record api.LeaseRecord) {
	written := api.EdgeLease{Record: record, Usage: d.allUsage()}
	if began := d.eraBegan(); !began.IsZero() {
		written.EraSeenMS = began.UnixMilli()
	}
	raw, err := json.Marshal(api.EdgeRecord{Lease: &written})
	if err != nil {
		d.edge.logger.Error().Err(err).Msg("lease record not encoded")
		return
	}
	ctx := d.edge.ctx
	go func() {
		if _, err := d.edge.store.Append(ctx, topicDuties, [][]byte{raw}, -1); err != nil && ctx.Err() == nil {
			d.edge.logger.Warn().Err(err).Msg("lease record not written")
		}
	}()
}

// fenced gives up the lease under a fencing token that the cloud API rejected because it has seen a
// higher one.
func (d *duties) fenced(fence int64, now time.Time) {
	record, ok := d.holder.GiveUp(dutyName, fence, now, uuid.NewString)
	if !ok {
		return
	}
	d.edge.logger.Warn().Int64("fence", fence).Msg("duties lost: a higher fencing token was seen")
	d.appendLease(record)
}

// planEngines plans the engines of all scaled services and sends the resulting orders.
func (d *duties) planEngines(now time.Time) {
	table := d.control.table
	if table == nil || !d.edge.hasDuty(platform.DutyScaling) || now.Sub(d.plannedAt) < planInterval {
		return
	}
	d.plannedAt = now
	for i := range table.Config.Services {
		service := &table.Config.Services[i]
		if service.Scaling == nil {
			continue
		}
		engines := d.enginesByDataCentre(service.Name)
		for _, wanted := range scaling.Plan(scaling.DefaultPolicy(), service, engines, d.exhaustedDataCentres(service.Name), d.demandOf(service.Name)) {
			d.sendOrder(wanted, engines[wanted.DataCentre], now)
		}
	}
}

// observeDemand tracks the demand on each service. Every node does, so that a new holder of the
// duties has the history.
func (d *duties) observeDemand(now time.Time) {
	awaiting := map[string]int{}
	peerLoads := d.control.peerLoad(now)
	for _, member := range d.control.registry.Upstreams() {
		awaiting[member.Service] += peerLoads[upstreamHash(member.Key)].Due
		if tracker := d.control.trackers[member.Key]; tracker != nil {
			ownAwaiting, _ := tracker.AwaitingFirstToken()
			awaiting[member.Service] += ownAwaiting
		}
	}
	for service, count := range awaiting {
		d.demandOf(service).Observe(float64(count), now)
	}
}

func (d *duties) demandOf(service string) *scaling.Demand {
	known := d.demand[service]
	if known == nil {
		known = &scaling.Demand{}
		d.demand[service] = known
	}
	return known
}

// enginesByDataCentre counts the engines of a service by data centre.
func (d *duties) enginesByDataCentre(service string) map[string]scaling.EngineCounts {
	engines := map[string]scaling.EngineCounts{}
	for _, member := range d.control.registry.Upstreams() {
		if member.Service != service || member.Leaving() || d.control.rollouts.outOfService(&member) {
			continue
		}
		count := engines[member.DataCentre]
		if member.Reclaimable {
			count.Reclaimable++
		} else {
			count.OnDemand++
		}
		engines[member.DataCentre] = count
	}
	return engines
}

// exhaustedDataCentres returns the data centres without available reclaimable engines for a service.
func (d *duties) exhaustedDataCentres(service string) map[string]bool {
	exhausted := map[string]bool{}
	for key, known := range d.orders {
		if key.service == service && key.reclaimable && known.unavailable {
			exhausted[key.dataCentre] = true
		}
	}
	return exhausted
}

// sendOrder sends an order if it is new or its engines are missing.
func (d *duties) sendOrder(wanted scaling.Order, engines scaling.EngineCounts, now time.Time) {
	key := orderKey{wanted.Service, wanted.DataCentre, wanted.Reclaimable}
	last, known := d.orders[key]
	have := engines.OnDemand
	if wanted.Reclaimable {
		have = engines.Reclaimable
	}
	fulfilled := known && last.count == wanted.Count && last.accepted && have == wanted.Count
	recentlySent := known && last.count == wanted.Count && now.Sub(last.at) < reorderInterval
	if fulfilled || recentlySent || last.pending {
		return
	}
	d.orders[key] = order{count: wanted.Count, at: now, pending: true, unavailable: last.unavailable}
	demand := d.demandOf(wanted.Service).Peak()
	holder := platform.DutyHolder{Node: d.edge.settings.Name, Fence: d.fence}
	ctx := d.edge.ctx
	go func() {
		err := d.edge.cloud.OrderEngines(ctx, holder, wanted)
		d.edge.logger.Info().Err(err).Float64("demand", demand).Str("service", wanted.Service).Str("data_centre", wanted.DataCentre).
			Bool("reclaimable", wanted.Reclaimable).Int("count", wanted.Count).Int("have", have).Int64("fence", holder.Fence).
			Msg("engines ordered")
		d.control.post(ctx, func(now time.Time) {
			d.orders[key] = order{
				count: wanted.Count, at: now, accepted: err == nil,
				unavailable: errors.Is(err, platform.ErrNoEngineAvailable) || (err != nil && last.unavailable),
			}
			if errors.Is(err, platform.ErrFenced) {
				d.fenced(holder.Fence, now)
			}
		})
	}()
}

// stop returns the records that release the lease.
func (d *duties) stop(now time.Time) []api.LeaseRecord { return d.holder.Stop(now, uuid.NewString) }
