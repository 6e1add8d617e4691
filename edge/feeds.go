package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/fleet"
	"github.com/persimmonline/persimmonline/platform"
)

const (
	// configWait is how long the store may hold a read of the configuration at most.
	configWait = 4 * time.Second
	// configReadShare is the part of the calls that the store bears which all nodes together
	// make for the configuration.
	configReadShare = 0.2
	// defaultStoreReads is the number of calls a second that the store bears of all nodes
	// together, as on the platform's small deployments, where the settings don't tell.
	defaultStoreReads = 2000
	// registryWait is the most for the registry: a read that arrives while an append is under
	// way may be held for the whole of it.
	registryWait = 800 * time.Millisecond
	// registryPause spaces reads of the registry, whose upstreams write all the time, for
	// each node that reads it for its cell: these tell each other of upstreams that leave.
	registryPause = 100 * time.Millisecond
	// leastRegistryPause and mostRegistryPause bound it; a node that hears no other must
	// still learn of a notice well before the bound on draining, 2 s.
	leastRegistryPause = 150 * time.Millisecond
	mostRegistryPause  = 600 * time.Millisecond
	// trustShare is the part of a bound for which a node goes by what its hub knows; the rest
	// is for a read of its own.
	trustShare = 0.65
	// hubSilence is how long a node goes without hearing its hub before it looks for others
	// in the topic of nodes.
	hubSilence = 2 * time.Second
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

// paced returns a time that grows with the number of nodes that read for others.
func (e *Edge) paced(perReader, least, most time.Duration) time.Duration {
	return min(most, max(least, perReader*time.Duration(e.readers.Load())))
}

// vouched are times up to which a node's hub knew a topic, in nanoseconds of the steady clock;
// 0 if it said nothing.
type vouched struct {
	config, registry, nodes atomic.Int64
}

// forget makes the node read the topics itself.
func (v *vouched) forget() {
	v.config.Store(0)
	v.registry.Store(0)
	v.nodes.Store(0)
}

// trusted returns a feed's test for standby: whether the hub knew the topic lately.
func (e *Edge) trusted(at *atomic.Int64, most func() time.Duration) func() bool {
	return func() bool {
		known := at.Load()
		return known != 0 && e.clock.steady().UnixNano()-known < int64(most())
	}
}

// configFeed follows the operator's configuration.
func (e *Edge) configFeed(ctx context.Context) *feed {
	take := func(records []platform.KeyedRecord) {
		for _, record := range records {
			if record.Key == platform.KeyConfig && len(record.Value) > 0 {
				source := configSource{from: "store", offset: record.Offset, readAt: e.clock.steady()}
				e.control.post(ctx, func(now time.Time) { e.control.applyConfig(record.Value, source, now) })
			}
		}
	}
	return &feed{
		edge: e, topic: platform.TopicOperator, bound: configBound, wait: e.configHeld,
		standby: e.trusted(&e.vouched.config, func() time.Duration { return part(configBound(e.bounds.Load()), trustShare) }),
		current: func() { e.control.post(ctx, e.control.confirm) },
		newest:  func(records []platform.KeyedRecord, _ int64) { take(records) },
		page:    func(page platform.Page) { take(page.Keyed()) },
	}
}

// configHeld is how long the store may hold a read of the configuration.
func (e *Edge) configHeld() time.Duration {
	reads := configReadShare * cmp.Or(e.settings.StoreReadsPerSecond, defaultStoreReads)
	return e.paced(time.Duration(float64(time.Second)/reads), heldFor(configBound(e.bounds.Load()), configWait), configWait)
}

// confirmedFor is how long the configuration counts as the newest after the store has said so:
// a version is in force within the bound, and a read that is held says nothing sooner.
func (e *Edge) confirmedFor() time.Duration {
	bounds := e.bounds.Load()
	var calm patience
	return max(bounds.ConfigApply, e.configHeld()+calm.at(configBound(bounds), time.Time{})+controlTick)
}

// registryFeed follows the upstreams' entries.
func (e *Edge) registryFeed(ctx context.Context) *feed {
	c := e.control
	return &feed{
		edge: e, topic: platform.TopicRegistry, bound: registryBound,
		standby: e.trusted(&e.vouched.registry, func() time.Duration { return part(registryBound(e.bounds.Load()), trustShare) }),
		wait:    func() time.Duration { return heldFor(registryBound(e.bounds.Load()), registryWait) },
		pause:   func() time.Duration { return e.paced(registryPause, leastRegistryPause, mostRegistryPause) },
		current: func() { c.post(ctx, c.registryRead) },
		newest: func(records []platform.KeyedRecord, upTo int64) {
			var entries []fleet.Entry
			for _, record := range records {
				if entry, ok := e.decodeEntry(record); ok {
					entries = append(entries, entry)
				}
			}
			c.post(ctx, func(now time.Time) {
				c.changed(c.registry.Replace(entries, upTo, now))
				c.dirty = true
			})
		},
		page: func(page platform.Page) {
			records := page.Keyed()
			c.post(ctx, func(now time.Time) {
				for _, record := range records {
					c.registryRecord(record, now)
				}
			})
		},
		restarted: func() { c.post(ctx, func(time.Time) { c.registry.ResetOffsets() }) },
		outage: func(active bool) {
			c.post(ctx, func(now time.Time) { c.registry.SetOutage(active, now) })
		},
	}
}

// registryRead notes that the registry is known as it was at a time.
func (c *control) registryRead(at time.Time) {
	c.registryAt = at
	c.registry.SetCurrent(at, c.edge.bounds.Load().Drain)
}

// registryRecord takes one change of the registry.
func (c *control) registryRecord(record platform.KeyedRecord, now time.Time) {
	if len(record.Value) == 0 {
		c.changed(c.registry.Remove(record.Key, record.Offset, now))
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
	entry.Offset = record.Offset
	return entry, true
}

// nodesFeed follows the addresses of the nodes.
func (e *Edge) nodesFeed(ctx context.Context) *feed {
	take := func(records []platform.KeyedRecord) {
		e.control.post(ctx, func(now time.Time) {
			for _, record := range records {
				var node api.EdgeNode
				if err := json.Unmarshal(record.Value, &node); err != nil {
					e.logger.Warn().Err(err).Str("key", record.Key).Msg("record of a node left out")
					continue
				}
				e.control.addPeer(record.Key, node.Address, node.DataCentre, now)
			}
			e.peers.wake()
		})
	}
	return &feed{
		edge: e, topic: topicNodes, bound: func(bounds *platform.Bounds) time.Duration { return bounds.Contact },
		wait:    func() time.Duration { return nodesWait },
		standby: e.trusted(&e.vouched.nodes, func() time.Duration { return hubSilence }),
		newest:  func(records []platform.KeyedRecord, _ int64) { take(records) },
		page:    func(page platform.Page) { take(page.Keyed()) },
	}
}

// announce writes this node's address to the topic of nodes, until it is there.
func (e *Edge) announce(ctx context.Context) {
	value, err := json.Marshal(api.EdgeNode{Address: e.peerAddress(), DataCentre: e.settings.DataCentre})
	if err != nil {
		e.logger.Error().Err(err).Msg("address not announced")
		return
	}
	record := platform.EncodeKeyed(e.settings.Name, value)
	for ctx.Err() == nil {
		_, err := e.store.Append(ctx, topicNodes, [][]byte{record}, -1)
		if err == nil {
			return
		}
		e.logger.Warn().Err(err).Msg("address not announced yet")
		sleep(ctx, longRetryPause)
	}
}
