package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/fleet"
	"github.com/persimmonline/persimmonline/platform"
)

const (
	// maxConfigWait is the longest time for which the store may block a read of the configuration.
	maxConfigWait = 4 * time.Second
	// configReadShare is the fraction of the store's call capacity that all nodes together use for
	// reads of the configuration.
	configReadShare = 0.2
	// defaultStoreReads is the store's capacity in calls per second from all nodes together, as on
	// the platform's small deployments, if the settings don't name it.
	defaultStoreReads = 2000
	// maxRegistryWait is the longest time for which the store may block a read of the registry; a read
	// that arrives during an append may be blocked for all of that time.
	maxRegistryWait = 800 * time.Millisecond
	// registryIntervalPerReader is the interval between reads of the registry per reading node.
	// Upstreams write to it continuously, so that blocking alone does not limit the reads. Nodes that
	// read it for their cells announce leaving upstreams to each other.
	registryIntervalPerReader = 100 * time.Millisecond
	// minRegistryInterval and maxRegistryInterval bound the resulting interval; a node that receives
	// nothing from others must still learn of a notice well before the bound on draining, 2 s.
	minRegistryInterval = 150 * time.Millisecond
	maxRegistryInterval = 600 * time.Millisecond
	// hubFreshnessShare is the fraction of a bound for which a node relies on its hub's data; the
	// rest is left for a read of its own.
	hubFreshnessShare = 0.65
	// maxHubSilence is how long a node may receive nothing from its hub before it reads the topic of
	// nodes to find others.
	maxHubSilence = 2 * time.Second
	// maxNodesWait is the longest time for which the store may block a read of the topic of nodes,
	// whose content peers report too.
	maxNodesWait = 15 * time.Second
	// retryDelay and longRetryDelay are the delays between calls to a failing store.
	retryDelay     = 150 * time.Millisecond
	longRetryDelay = 500 * time.Millisecond
	// shortOutageFailures is the number of consecutive failures after which longRetryDelay applies.
	shortOutageFailures = 4
	// topicNodes is the topic of the nodes' addresses, by node name.
	topicNodes = "keyed.persimmon-nodes"
)

// scaleByReaders returns a duration proportional to the number of nodes that read the store, within
// bounds.
func (e *Edge) scaleByReaders(perReader, lower, upper time.Duration) time.Duration {
	return min(upper, max(lower, perReader*time.Duration(e.storeReaders.Load())))
}

// hubFreshness holds the times up to which a node's hub is current with each topic, in nanoseconds
// of the monotonic clock; 0 if unknown.
type hubFreshness struct {
	config, registry, nodes atomic.Int64
}

// reset clears the times, so that the node reads the topics itself.
func (f *hubFreshness) reset() {
	f.config.Store(0)
	f.registry.Store(0)
	f.nodes.Store(0)
}

// coveredByHub returns a feed's standby condition: whether the hub was current within maxAge.
func (e *Edge) coveredByHub(at *atomic.Int64, maxAge func() time.Duration) func() bool {
	return func() bool {
		known := at.Load()
		return known != 0 && e.clock.monotonic().UnixNano()-known < int64(maxAge())
	}
}

// configFeed returns the feed of the operator's configuration.
func (e *Edge) configFeed(ctx context.Context) *feed {
	apply := func(records []platform.KeyedRecord) {
		for _, record := range records {
			if _, ok := platform.RolloutService(record.Key); ok {
				e.control.post(ctx, func(now time.Time) { e.control.rollouts.applyRecord(record, now) })
			}
			if record.Key == platform.KeyConfig && len(record.Value) > 0 {
				source := configSource{origin: "store", offset: record.Offset, readAt: e.clock.monotonic()}
				e.control.post(ctx, func(now time.Time) { e.control.applyConfig(record.Value, source, now) })
			}
		}
	}
	return &feed{
		edge: e, topic: platform.TopicOperator, bound: configBound, maxWait: e.configReadWait,
		shouldStandBy: e.coveredByHub(&e.hubFreshness.config, func() time.Duration { return fractionOf(configBound(e.bounds.Load()), hubFreshnessShare) }),
		onCurrent:     func() { e.control.post(ctx, e.control.confirmConfig) },
		applyNewest:   func(records []platform.KeyedRecord, _ int64) { apply(records) },
		applyPage:     func(page platform.Page) { apply(page.Keyed()) },
	}
}

// configReadWait returns how long the store may block a read of the configuration.
func (e *Edge) configReadWait() time.Duration {
	reads := configReadShare * cmp.Or(e.settings.StoreReadsPerSecond, defaultStoreReads)
	return e.scaleByReaders(time.Duration(float64(time.Second)/reads), readWaitFor(configBound(e.bounds.Load()), maxConfigWait), maxConfigWait)
}

// configConfirmedFor returns how long the configuration counts as the newest after the store
// confirmed it: a new version is in force within the bound, and a blocked read can't confirm it
// sooner.
func (e *Edge) configConfirmedFor() time.Duration {
	bounds := e.bounds.Load()
	var initial adaptiveTimeout
	return max(bounds.ConfigApply, e.configReadWait()+initial.current(configBound(bounds), time.Time{})+controlTick)
}

// registryFeed returns the feed of the upstreams' registry entries.
func (e *Edge) registryFeed(ctx context.Context) *feed {
	c := e.control
	return &feed{
		edge: e, topic: platform.TopicRegistry, bound: registryBound,
		shouldStandBy: e.coveredByHub(&e.hubFreshness.registry, func() time.Duration { return fractionOf(registryBound(e.bounds.Load()), hubFreshnessShare) }),
		maxWait:       func() time.Duration { return readWaitFor(registryBound(e.bounds.Load()), maxRegistryWait) },
		interval: func() time.Duration {
			return e.scaleByReaders(registryIntervalPerReader, minRegistryInterval, maxRegistryInterval)
		},
		onCurrent: func() { c.post(ctx, c.markRegistryCurrent) },
		applyNewest: func(records []platform.KeyedRecord, upTo int64) {
			var entries []fleet.Entry
			for _, record := range records {
				if entry, ok := e.decodeEntry(record); ok {
					entries = append(entries, entry)
				}
			}
			c.post(ctx, func(now time.Time) {
				c.handleChanges(c.registry.Replace(entries, upTo, now))
				c.publishNow = true
			})
		},
		applyPage: func(page platform.Page) {
			records := page.Keyed()
			c.post(ctx, func(now time.Time) {
				for _, record := range records {
					c.applyRegistryRecord(record, now)
				}
			})
		},
		onRestart: func() { c.post(ctx, func(time.Time) { c.registry.ResetOffsets() }) },
		onRestore: func(int64) { c.post(ctx, c.registry.MarkRestored) },
		onOutage: func(active bool) {
			c.post(ctx, func(now time.Time) { c.registry.SetOutage(active, now) })
		},
	}
}

// markRegistryCurrent records that the registry is current as of a time.
func (c *control) markRegistryCurrent(at time.Time) {
	c.registryCurrentAt = at
	c.registry.SetCurrent(at, c.edge.bounds.Load().Drain)
}

// applyRegistryRecord applies one change of the registry.
func (c *control) applyRegistryRecord(record platform.KeyedRecord, now time.Time) {
	if len(record.Value) == 0 {
		c.handleChanges(c.registry.Remove(record.Key, record.Offset, now))
		return
	}
	if entry, ok := c.edge.decodeEntry(record); ok {
		c.handleChanges(c.registry.Put(entry, now))
	}
}

func (e *Edge) decodeEntry(record platform.KeyedRecord) (fleet.Entry, bool) {
	entry, err := platform.DecodeEntry(record.Key, record.Value)
	if err != nil {
		if e.control.allowNoticeLog() {
			e.logger.Warn().Err(err).Int64("offset", record.Offset).Int("bytes", len(record.Value)).Msg("registry entry ignored: not decoded")
		}
		return entry, false
	}
	entry.Offset = record.Offset
	return entry, true
}

// nodesFeed returns the feed of the nodes' addresses.
func (e *Edge) nodesFeed(ctx context.Context) *feed {
	apply := func(records []platform.KeyedRecord) {
		e.control.post(ctx, func(now time.Time) {
			for _, record := range records {
				if err := e.control.applyNodeRecord(record, now); err != nil && e.control.allowNoticeLog() {
					e.logger.Warn().Err(err).Str("key", record.Key).Msg("node record ignored: not decoded")
				}
			}
			e.peers.wake()
		})
	}
	return &feed{
		edge: e, topic: topicNodes, bound: func(bounds *platform.Bounds) time.Duration { return bounds.Contact },
		maxWait:       func() time.Duration { return maxNodesWait },
		shouldStandBy: e.coveredByHub(&e.hubFreshness.nodes, func() time.Duration { return maxHubSilence }),
		applyNewest:   func(records []platform.KeyedRecord, _ int64) { apply(records) },
		applyPage:     func(page platform.Page) { apply(page.Keyed()) },
	}
}

// applyNodeRecord applies a record of the topic of nodes.
func (c *control) applyNodeRecord(record platform.KeyedRecord, now time.Time) error {
	if strings.HasPrefix(record.Key, refusedKeyPrefix) {
		return c.applyRefusedTrait(record, now)
	}
	var node api.EdgeNode
	if err := json.Unmarshal(record.Value, &node); err != nil {
		return fmt.Errorf("decode node: %w", err)
	}
	if err := platform.CheckAddress(node.Address); err != nil {
		return err
	}
	c.addPeer(record.Key, node.Address, node.DataCentre, now)
	return nil
}

// announce writes this node's address to the topic of nodes, and retries until that succeeds.
func (e *Edge) announce(ctx context.Context) {
	value, err := json.Marshal(api.EdgeNode{Address: e.peerAddress(), DataCentre: e.settings.DataCentre})
	if err != nil {
		e.logger.Error().Err(err).Msg("node record not encoded")
		return
	}
	record := platform.EncodeKeyed(e.settings.Name, value)
	for ctx.Err() == nil {
		position, err := e.store.Append(ctx, topicNodes, [][]byte{record}, -1)
		if err == nil {
			e.control.post(ctx, func(time.Time) { e.control.announcedEra = position.Era })
			return
		}
		e.logger.Warn().Err(err).Msg("node record not written, retrying")
		sleep(ctx, longRetryDelay)
	}
}
