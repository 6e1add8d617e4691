package edge

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/lease"
	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/scaling"
	"github.com/persimmonline/persimmonline/usage"
)

const (
	// topicDuties holds leases and usage reports.
	topicDuties = "persimmon-duties"
	// dutyName is the one lease under which all duties are done.
	dutyName = "platform"
	// dutiesWait is how long the store may hold a read of the topic.
	dutiesWait = 4 * time.Second
	// leaseRenewals is the number of renewals in the life of a lease.
	leaseRenewals = 3
	// usageSettle is the time after the end of a window in which counts still come in
	// from peers; it is a part of the time until the report is due.
	usageSettle = 0.25
	// usageBack is the number of past windows that a new holder reports.
	usageBack = 3
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
	// writing says that an append is under way.
	writing bool
	// reports are the counts that are fixed by the log, by window.
	reports map[int64]map[string]int64
	// sent are the windows whose report was accepted.
	sent   map[int64]bool
	sentAt map[int64]time.Time
	// orders are what was ordered last, by service, data centre and class.
	orders map[orderKey]order
	planAt time.Time
	demand map[string]*scaling.Demand
	// fence is the token under which the duties are done, lostFence the last that was refused.
	fence, lostFence int64
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
	timing := lease.Timing{Life: life, Margin: life / 3, Renew: life / leaseRenewals, Spread: life / 10}
	return &duties{
		edge: e, control: c, holder: lease.NewHolder(e.settings.Name, e.incarnation, timing, dutyName),
		reports: map[int64]map[string]int64{}, sent: map[int64]bool{}, sentAt: map[int64]time.Time{},
		orders: map[orderKey]order{}, demand: map[string]*scaling.Demand{}, lostFence: lease.None, fence: lease.None,
	}
}

// leaseLife is longer than the time in which duties must not pass to and fro.
func leaseLife(bound time.Duration) time.Duration { return bound * 3 / 2 }

// feed follows the topic of duties.
func (d *duties) feed(ctx context.Context) *feed {
	return &feed{
		edge: d.edge, topic: topicDuties, wait: dutiesWait, pause: d.edge.paced(dutiesPause, 0, mostDutiesPause),
		page: func(page platform.Page) {
			d.control.post(ctx, func(now time.Time) { d.read(page, now) })
		},
	}
}

// read folds records of the log.
func (d *duties) read(page platform.Page, now time.Time) {
	d.holder.Table().Missed(page.First, now, leaseLife(d.edge.settings.Bounds.Lease))
	for i, raw := range page.Records {
		offset := page.First + int64(i)
		var record api.EdgeRecord
		if err := json.Unmarshal(raw, &record); err != nil {
			d.edge.logger.Error().Err(err).Int64("offset", offset).Msg("record of duties left out")
			d.holder.Table().Skip(offset)
			continue
		}
		switch {
		case record.Lease != nil:
			before := d.holder.Table().Lease(dutyName)
			d.holder.Read(offset, record.Lease.Record, now)
			after := d.holder.Table().Lease(dutyName)
			if before.Fence != after.Fence || before.Holder != after.Holder {
				d.edge.logger.Info().Str("holder", after.Holder).Int64("fence", after.Fence).Int64("offset", offset).Msg("duties pass on")
			}
			d.edge.meter(func() {
				for incarnation, windows := range record.Lease.Usage {
					mergeUsage(d.edge.usage, incarnation, windows)
				}
			})
		case record.Report != nil:
			if _, fixed := d.reports[record.Report.Window]; !fixed {
				d.reports[record.Report.Window] = record.Report.Counts
			}
			d.holder.Table().Skip(offset)
		default:
			d.holder.Table().Skip(offset)
		}
	}
}

// mergeUsage takes the counts of an incarnation from a message.
func mergeUsage(meter *usage.Meter, incarnation string, windows map[int64]map[string]int64) {
	merged := make(usage.Windows, len(windows))
	for window, counts := range windows {
		merged[window] = counts
	}
	meter.Merge(incarnation, merged)
}

// tick claims and renews the lease, and does the duties while it is held.
func (d *duties) tick(now time.Time) {
	d.observe(now)
	if d.control.draining {
		return
	}
	records := d.holder.Plan(now, uuid.NewString, rand.N[time.Duration])
	for _, record := range records {
		d.append(api.EdgeRecord{Lease: &api.EdgeLease{Record: record, Usage: d.allUsage()}}, -1)
	}
	grant, held := d.holder.Held(now)[dutyName]
	if !held || grant.Fence == d.lostFence {
		return
	}
	if grant.Fence != d.fence {
		d.fence = grant.Fence
		clear(d.orders)
		d.edge.logger.Info().Int64("fence", grant.Fence).Msg("duties taken")
	}
	d.reportUsage(now)
	d.planEngines(now)
}

func (d *duties) allUsage() map[string]map[int64]map[string]int64 {
	all := map[string]map[int64]map[string]int64{}
	d.edge.meter(func() {
		for incarnation, windows := range d.edge.usage.All() {
			all[incarnation] = map[int64]map[string]int64{}
			for window, counts := range windows {
				all[incarnation][window] = counts
			}
		}
	})
	return all
}

// append writes a record; with at not negative only if the log ends there.
func (d *duties) append(record api.EdgeRecord, at int64) {
	raw, err := json.Marshal(record)
	if err != nil {
		d.edge.logger.Error().Err(err).Msg("record of duties not encoded")
		return
	}
	ctx := d.edge.ctx
	go func() {
		_, err := d.edge.store.Append(ctx, topicDuties, [][]byte{raw}, at)
		if err != nil && ctx.Err() == nil && !errors.Is(err, platform.ErrConflict) {
			d.edge.logger.Warn().Err(err).Msg("record of duties not written")
		}
		if at >= 0 {
			d.control.post(ctx, func(time.Time) { d.writing = false })
		}
	}()
}

// reportUsage fixes the counts of windows that have ended, and sends those that are fixed.
func (d *duties) reportUsage(now time.Time) {
	if !d.edge.hasDuty(platform.DutyUsage) {
		return
	}
	settle := time.Duration(usageSettle * float64(d.edge.settings.Bounds.UsageDelay))
	clock := d.edge.clock.now()
	newest := d.edge.usage.Window(clock.Add(-settle)) - 1
	for window := newest - usageBack + 1; window <= newest; window++ {
		if window < d.edge.firstWindow {
			continue
		}
		counts, fixed := d.reports[window]
		if !fixed {
			d.fix(window)
			return
		}
		if !d.sent[window] && now.Sub(d.sentAt[window]) > resendEvery {
			d.send(window, counts, now)
		}
	}
	for window := range d.reports {
		if window < newest-2*usageBack {
			delete(d.reports, window)
			delete(d.sent, window)
			delete(d.sentAt, window)
		}
	}
}

// fix writes the counts of a window to the log, where the first report of a window holds.
func (d *duties) fix(window int64) {
	if d.writing {
		return
	}
	d.writing = true
	var counts map[string]int64
	d.edge.meter(func() { counts = d.edge.usage.Total(window) })
	d.append(api.EdgeRecord{Report: &api.UsageReport{Window: window, Counts: counts}}, d.holder.Table().Through()+1)
}

func (d *duties) send(window int64, counts map[string]int64, now time.Time) {
	d.sentAt[window] = now
	holder := platform.Holder{Node: d.edge.settings.Name, Fence: d.fence}
	ctx := d.edge.ctx
	go func() {
		err := d.edge.cloud.ReportUsage(ctx, holder, window, counts)
		d.edge.logger.Info().Err(err).Int64("window", window).Interface("counts", counts).Int64("fence", holder.Fence).
			Msg("usage reported")
		d.control.post(ctx, func(time.Time) {
			switch {
			case err == nil:
				d.sent[window] = true
			case errors.Is(err, platform.ErrFenced):
				d.fenced(holder.Fence)
			}
		})
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
		key := upstreamKey(member.ID, member.BornMS)
		due[member.Service] += others[key].Due
		if tracker := d.control.trackers[key]; tracker != nil {
			own, _ := tracker.Due()
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
func (d *duties) engines(service string) map[string]scaling.Engines {
	engines := map[string]scaling.Engines{}
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
func (d *duties) order(wanted scaling.Order, engines scaling.Engines, now time.Time) {
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
	d.append(api.EdgeRecord{Lease: &api.EdgeLease{Record: record, Usage: d.allUsage()}}, -1)
}
