package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/persimmonline/persimmonline/fleet"
	"github.com/persimmonline/persimmonline/platform"
)

const (
	// configWait is how long the store may hold a read of the configuration; a read that
	// falls silent is noticed after it.
	configWait = 4 * time.Second
	// registryWait is the same for the registry, on which the bound on draining rests, 2 s: a
	// read that arrives while an append is under way may be held for the whole of it.
	registryWait = time.Second
	// registryPause spaces reads of the registry, whose upstreams write all the time, for
	// each node of the fleet: all together read it so often, whatever their number, and
	// tell each other of upstreams that leave.
	registryPause = 30 * time.Millisecond
	// leastRegistryPause and mostRegistryPause bound it; a node that hears no other must
	// still learn of a notice well before the bound on draining, 2 s.
	leastRegistryPause = 150 * time.Millisecond
	mostRegistryPause  = 800 * time.Millisecond
	// dutiesPause is the same for the topic of duties, on which only their passing on waits.
	dutiesPause = 20 * time.Millisecond
	// mostDutiesPause is well within the life of a lease.
	mostDutiesPause = 500 * time.Millisecond
	// nodesWait is the same for the topic of nodes, which peers also tell of.
	nodesWait = 15 * time.Second
	// retryPause and longRetryPause space the calls to a store that fails.
	retryPause     = 150 * time.Millisecond
	longRetryPause = 500 * time.Millisecond
	// shortOutage is the number of failures in a row after which calls are spaced further.
	shortOutage = 4
	// topicNodes holds the nodes' addresses by name.
	topicNodes = "keyed.persimmon-nodes"
)

// feed follows partition 0 of a topic.
type feed struct {
	edge  *Edge
	topic string
	wait  time.Duration
	// pause between two reads; nil for none.
	pause func() time.Duration
	// reset takes the newest record of each key, page the records that follow.
	reset func(records []platform.KeyedRecord)
	page  func(page platform.Page)
	// outage is told when the store stops and starts to answer; nil if nobody asks.
	outage func(active bool)

	next   int64
	synced bool
	// quiet says that the last read brought nothing, and so has waited already.
	quiet    bool
	failures int
}

// follow reads until ctx ends.
func (f *feed) follow(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.note(err)
		pause := time.Duration(0)
		if f.pause != nil && !f.quiet {
			pause = f.pause()
		}
		if err != nil {
			pause = retryPause
			if f.failures > shortOutage {
				pause = longRetryPause
			}
			pause += rand.N(pause / 2)
		}
		sleep(ctx, pause)
	}
}

// step reads once.
func (f *feed) step(ctx context.Context) error {
	if !f.synced && f.reset != nil {
		records, end, err := f.edge.store.Newest(ctx, f.topic)
		if err != nil {
			return err
		}
		f.reset(records)
		f.next, f.synced = end, true
		return nil
	}
	page, err := f.edge.store.Read(ctx, f.topic, f.next, f.wait)
	if errors.Is(err, platform.ErrTrimmed) {
		f.edge.logger.Warn().Str("topic", f.topic).Int64("from", f.next).Int64("oldest", page.First).
			Msg("records were deleted before they were read")
		f.synced = false
		if f.reset == nil {
			f.next = page.First
		}
		return nil
	}
	if err != nil {
		return err
	}
	if page.End < f.next {
		f.edge.logger.Warn().Str("topic", f.topic).Int64("from", f.next).Int64("end", page.End).Msg("the topic began anew")
		f.synced, f.next = false, 0
		return nil
	}
	f.quiet = len(page.Records) == 0
	if !f.quiet {
		f.page(page)
		f.next += int64(len(page.Records))
	}
	return nil
}

// paced returns a pause that grows with the fleet.
func (e *Edge) paced(perNode, least, most time.Duration) func() time.Duration {
	return func() time.Duration {
		return min(most, max(least, perNode*time.Duration(e.control.fleetSize.Load())))
	}
}

// note logs the loss and the return of the store.
func (f *feed) note(err error) {
	if err == nil {
		if f.failures > 0 {
			f.edge.logger.Info().Str("dependency", "store").Str("topic", f.topic).Int("failures", f.failures).Msg("dependency regained")
			if f.outage != nil {
				f.outage(false)
			}
		}
		f.failures = 0
		return
	}
	f.edge.metrics.storeFailures.WithLabelValues(f.topic).Inc()
	f.failures++
	if f.failures == 1 {
		f.edge.logger.Warn().Err(err).Str("dependency", "store").Str("topic", f.topic).Msg("dependency lost")
		if f.outage != nil {
			f.outage(true)
		}
	}
}

// sleep waits, at most until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// configFeed follows the operator's configuration.
func (e *Edge) configFeed(ctx context.Context) *feed {
	take := func(records []platform.KeyedRecord) {
		for _, record := range records {
			if record.Key == platform.KeyConfig && len(record.Value) > 0 {
				e.control.post(ctx, func(now time.Time) { e.control.applyConfig(record.Value, "store", now) })
			}
		}
	}
	return &feed{
		edge: e, topic: platform.TopicOperator, wait: configWait, reset: take,
		page: func(page platform.Page) { take(page.Keyed()) },
	}
}

// registryFeed follows the upstreams' entries.
func (e *Edge) registryFeed(ctx context.Context) *feed {
	c := e.control
	return &feed{
		edge: e, topic: platform.TopicRegistry, wait: registryWait, pause: e.paced(registryPause, leastRegistryPause, mostRegistryPause),
		reset: func(records []platform.KeyedRecord) {
			var entries []fleet.Entry
			for _, record := range records {
				if entry, ok := e.decodeEntry(record); ok {
					entries = append(entries, entry)
				}
			}
			c.post(ctx, func(now time.Time) {
				c.changed(c.registry.Replace(entries, now))
				c.registryAt = now
				c.dirty = true
			})
		},
		page: func(page platform.Page) {
			records := page.Keyed()
			c.post(ctx, func(now time.Time) {
				for _, record := range records {
					c.registryRecord(record, now)
				}
				c.registryAt = now
			})
		},
		outage: func(active bool) {
			c.post(ctx, func(now time.Time) { c.registry.Outage(active, now) })
		},
	}
}

// registryRecord takes one change of the registry.
func (c *control) registryRecord(record platform.KeyedRecord, now time.Time) {
	if len(record.Value) == 0 {
		c.changed(c.registry.Remove(record.Key, now))
		return
	}
	if entry, ok := c.edge.decodeEntry(record); ok {
		c.changed(c.registry.Put(entry, now))
	}
}

func (e *Edge) decodeEntry(record platform.KeyedRecord) (fleet.Entry, bool) {
	entry, err := platform.DecodeEntry(record.Key, record.Value)
	if err != nil {
		e.logger.Warn().Err(err).Msg("registry entry left out")
		return entry, false
	}
	return entry, true
}

// nodesFeed follows the addresses of the nodes.
func (e *Edge) nodesFeed(ctx context.Context) *feed {
	take := func(records []platform.KeyedRecord) {
		e.control.post(ctx, func(now time.Time) {
			for _, record := range records {
				e.control.addPeer(record.Key, string(record.Value), now)
			}
			e.peers.wake()
		})
	}
	return &feed{
		edge: e, topic: topicNodes, wait: nodesWait, reset: take,
		page: func(page platform.Page) { take(page.Keyed()) },
	}
}

// announce writes this node's address to the topic of nodes, until it is there.
func (e *Edge) announce(ctx context.Context) {
	record := platform.EncodeKeyed(e.settings.Name, []byte(e.peerAddress()))
	for ctx.Err() == nil {
		_, err := e.store.Append(ctx, topicNodes, [][]byte{record}, -1)
		if err == nil {
			return
		}
		e.logger.Warn().Err(err).Msg("address not announced yet")
		sleep(ctx, longRetryPause)
	}
}
