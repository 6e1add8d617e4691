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
	// topicDuties holds leases.
	topicDuties = "persimmon-duties"
	// dutyName is the one lease under which all duties are done.
	dutyName = "platform"
	// dutiesWait is how long the store may hold a read of the topic. A renewal comes sooner, and
	// a read that falls silent is noticed well within the life of a lease.
	dutiesWait = 2 * time.Second
	// leaseRenewals is the number of renewals in the life of a lease.
	leaseRenewals = 3
	// dutiesPause spaces reads of the topic, on which only the duties' passing on waits.
	dutiesPause = 100 * time.Millisecond
	// usageFetchEvery is the pace at which the holder of the duties asks the hubs for counts,
	// and usageWindowsFetched the newest windows that it asks for.
	usageFetchEvery     = time.Second
	usageWindowsFetched = 3
	// resendEvery spaces the sends of a report or an order that was not accepted.
	resendEvery = time.Second
	// reorderEvery spaces orders that are repeated because engines are missing.
	reorderEvery = 3 * time.Second
	// planEvery is the pace at which engines are planned.
	planEvery = 500 * time.Millisecond
)

// duties does what one node does for all. The control loop owns it.
type duties struct {
	edge    *Edge
	control *control
	holder  *lease.Holder
	reports *reports
	// orders are what was ordered last, by service, data centre and class.
	orders map[orderKey]order
	planAt time.Time
	// fetchedAt is when the hubs were asked for counts.
	fetchedAt time.Time
	// topic is the feed of the topic of duties; nil before the start.
	topic  *feed
	demand map[string]*scaling.Demand
	// fence is the token under which the duties are done, lostFence the last that was refused.
	fence, lostFence int64
	// holds says that the duties are held; the topic's feed reads it.
	holds atomic.Bool
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
	// unavailable says that no engine of the class was to be had at the last answer.
	unavailable bool
}

func newDuties(e *Edge, c *control) *duties {
	life := leaseLife(e.settings.Bounds.Lease)
	timing := lease.Timing{TTL: life, Margin: life / 3, RenewInterval: life / leaseRenewals, ClaimJitter: life / 10}
	return &duties{
		edge: e, control: c, holder: lease.NewHolder(e.settings.Name, e.incarnation, timing, dutyName),
		reports: newReports(e, c), orders: map[orderKey]order{}, demand: map[string]*scaling.Demand{}, lostFence: lease.NoOffset, fence: lease.NoOffset,
	}
}

// leaseLife is longer than the time in which duties must not pass to and fro.
func leaseLife(bound time.Duration) time.Duration { return bound * 3 / 2 }

// feed follows the topic of duties.
func (d *duties) feed(ctx context.Context) *feed {
	d.topic = &feed{
		edge: d.edge, topic: topicDuties, bound: func(bounds *platform.Bounds) time.Duration { return bounds.Lease },
		wait: func() time.Duration { return dutiesWait }, pause: func() time.Duration { return dutiesPause },
		standby: func() bool { return !d.edge.candidate.Load() && !d.holds.Load() },
		page: func(page platform.Page) {
			d.control.post(ctx, func(now time.Time) { d.read(page, now) })
		},
	}
	return d.topic
}

// read folds records of the log.
func (d *duties) read(page platform.Page, now time.Time) {
	d.holder.Table().MarkGap(page.First, now, leaseLife(d.edge.settings.Bounds.Lease))
	for i, raw := range page.Records {
		offset := page.First + int64(i)
		var record api.EdgeRecord
		if err := json.Unmarshal(raw, &record); err != nil {
			d.edge.logger.Error().Err(err).Int64("offset", offset).Msg("record of duties left out")
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
			d.edge.logger.Info().Str("holder", after.Holder).Int64("fence", after.Fence).Int64("offset", offset).Msg("duties pass on")
		}
		d.edge.mergeUsage(record.Lease.Usage)
	}
}

// tick claims and renews the lease, and does the duties while it is held.
func (d *duties) tick(now time.Time) {
	d.observe(now)
	if d.control.draining {
		return
	}
	grant, held := d.holder.Held(now)[dutyName]
	d.holds.Store(held)
	if !held && !d.mayClaim(now) {
		return
	}
	records := d.holder.Plan(now, uuid.NewString, rand.N[time.Duration])
	for _, record := range records {
		d.append(api.EdgeRecord{Lease: &api.EdgeLease{Record: record, Usage: d.allUsage()}})
	}
	if !held || grant.Fence == d.lostFence {
		return
	}
	if grant.Fence != d.fence {
		d.fence = grant.Fence
		clear(d.orders)
		d.reports.begin(grant.Fence)
		d.edge.logger.Info().Int64("fence", grant.Fence).Msg("duties taken")
	}
	if d.edge.hasDuty(platform.DutyUsage) {
		d.fetchUsage(now)
		d.reports.tick(now)
	}
	d.planEngines(now)
}

// mayClaim says whether this node is a candidate and knows the lease well enough to claim it.
func (d *duties) mayClaim(now time.Time) bool {
	if d.topic == nil || !d.edge.candidate.Load() {
		return false
	}
	answeredAt := d.topic.answeredAt.Load()
	return answeredAt != 0 && now.UnixNano()-answeredAt < int64(leaseLife(d.edge.settings.Bounds.Lease))
}

// fetchUsage asks the hubs of all cells for their counts.
func (d *duties) fetchUsage(now time.Time) {
	if now.Sub(d.fetchedAt) < usageFetchEvery {
		return
	}
	d.fetchedAt = now
	var addresses []string
	if hub := d.control.reportsTo; hub != nil {
		addresses = append(addresses, hub.address)
	}
	for _, hub := range d.control.hubsOfOthers(now) {
		addresses = append(addresses, hub.address)
	}
	d.edge.peers.fetchUsage(addresses)
}

// allUsage returns the counts that a lease carries, so that they outlive the nodes: of the
// windows that are not reported yet.
func (d *duties) allUsage() map[string]usage.Windows {
	return d.control.allUsage(usageWindowsFetched)
}

// append writes a record.
func (d *duties) append(record api.EdgeRecord) {
	raw, err := json.Marshal(record)
	if err != nil {
		d.edge.logger.Error().Err(err).Msg("record of duties not encoded")
		return
	}
	ctx := d.edge.ctx
	go func() {
		if _, err := d.edge.store.Append(ctx, topicDuties, [][]byte{raw}, -1); err != nil && ctx.Err() == nil {
			d.edge.logger.Warn().Err(err).Msg("record of duties not written")
		}
	}()
}

// fenced ends the duties of a holder that another has replaced.
func (d *duties) fenced(fence int64) {
	if d.lostFence != fence {
		d.edge.logger.Warn().Int64("fence", fence).Msg("duties lost: a higher fencing token was seen")
	}
	d.lostFence = fence
}

// planEngines orders the engines that are wanted.
func (d *duties) planEngines(now time.Time) {
	table := d.control.table
	if table == nil || !d.edge.hasDuty(platform.DutyScaling) || now.Sub(d.planAt) < planEvery {
		return
	}
	d.planAt = now
	for i := range table.Config.Services {
		service := &table.Config.Services[i]
		if service.Scaling == nil {
			continue
		}
		engines := d.engines(service.Name)
		for _, wanted := range scaling.Plan(scaling.DefaultPolicy(), service, engines, d.dry(service.Name), d.demandOf(service.Name)) {
			d.order(wanted, engines[wanted.DataCentre], now)
		}
	}
}

// observe follows the demand on each service; every node does, so that a new holder of
// the duties knows it.
func (d *duties) observe(now time.Time) {
	due := map[string]int{}
	others := d.control.othersLoad(now)
	for _, member := range d.control.registry.Upstreams() {
		due[member.Service] += others[upstreamHash(member.Key)].Due
		if tracker := d.control.trackers[member.Key]; tracker != nil {
			own, _ := tracker.AwaitingFirstToken()
			due[member.Service] += own
		}
	}
	for service, count := range due {
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

// engines counts the engines of a service by data centre.
func (d *duties) engines(service string) map[string]scaling.EngineCounts {
	engines := map[string]scaling.EngineCounts{}
	for _, member := range d.control.registry.Upstreams() {
		if member.Service != service || member.Leaving() {
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

// dry returns the data centres in which no reclaimable engine of a service is to be had.
func (d *duties) dry(service string) map[string]bool {
	dry := map[string]bool{}
	for key, known := range d.orders {
		if key.service == service && key.reclaimable && known.unavailable {
			dry[key.dataCentre] = true
		}
	}
	return dry
}

// order sends an order that is new, or whose engines are missing.
func (d *duties) order(wanted scaling.Order, engines scaling.EngineCounts, now time.Time) {
	key := orderKey{wanted.Service, wanted.DataCentre, wanted.Reclaimable}
	last, known := d.orders[key]
	have := engines.OnDemand
	if wanted.Reclaimable {
		have = engines.Reclaimable
	}
	settled := known && last.count == wanted.Count && last.accepted && have == wanted.Count
	waiting := known && last.count == wanted.Count && now.Sub(last.at) < reorderEvery
	if settled || waiting || last.pending {
		return
	}
	d.orders[key] = order{count: wanted.Count, at: now, pending: true, unavailable: last.unavailable}
	demand := d.demandOf(wanted.Service).Peak()
	holder := platform.Holder{Node: d.edge.settings.Name, Fence: d.fence}
	ctx := d.edge.ctx
	go func() {
		err := d.edge.cloud.OrderEngines(ctx, holder, wanted)
		d.edge.logger.Info().Err(err).Float64("demand", demand).Str("service", wanted.Service).Str("data_centre", wanted.DataCentre).
			Bool("reclaimable", wanted.Reclaimable).Int("count", wanted.Count).Int("have", have).Int64("fence", holder.Fence).
			Msg("engines ordered")
		d.control.post(ctx, func(now time.Time) {
			d.orders[key] = order{
				count: wanted.Count, at: now, accepted: err == nil,
				unavailable: errors.Is(err, platform.ErrUnavailable) || (err != nil && last.unavailable),
			}
			if errors.Is(err, platform.ErrFenced) {
				d.fenced(holder.Fence)
			}
		})
	}()
}

// stop gives the lease up.
func (d *duties) stop(now time.Time) []api.LeaseRecord { return d.holder.Stop(now, uuid.NewString) }

// release writes that the lease is free, so that another node takes over at once.
func (d *duties) release(record api.LeaseRecord) {
	d.append(api.EdgeRecord{Lease: &api.EdgeLease{Record: record, Usage: d.allUsage()}})
}
