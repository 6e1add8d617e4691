package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
)

const (
	// ConfigStream is the log stream of the configuration.
	ConfigStream = "config"
	// configBackoffInitial is the backoff after the first failed read of the config stream.
	configBackoffInitial = 250 * time.Millisecond
	// configBackoffMax bounds the backoff, so that a node follows the log again well
	// within the time in which a patch must come into force.
	configBackoffMax = 8 * time.Second
	// peerPollInterval is the interval at which the peers' offsets are checked while the log
	// can't be followed.
	peerPollInterval = time.Second
	// maxRecentRecords bounds the records that are cached for peers.
	maxRecentRecords = 256
)

// ConfigCondition is the reason why the configuration of a node can't advance. The node
// keeps the version in force under each condition.
type ConfigCondition string

// Conditions of the configuration.
const (
	// ConfigCurrent means that the node has read and folded the log.
	ConfigCurrent ConfigCondition = ""
	// ConfigLogUnreachable means that the log can't be read.
	ConfigLogUnreachable ConfigCondition = "log_unreachable"
	// ConfigLogTrimmed means that the log has deleted records that were not folded, and
	// that no snapshot or peer state covers them.
	ConfigLogTrimmed ConfigCondition = "log_trimmed"
	// ConfigLogBehind means that the log ends before the offset that was folded.
	ConfigLogBehind ConfigCondition = "log_behind"
	// ConfigRuleSetUnknown means that the next record needs a newer build.
	ConfigRuleSetUnknown ConfigCondition = "rule_set_unknown"
)

// ConfigSources are the sources of the configuration besides the config stream.
type ConfigSources struct {
	// FromPeers returns a peer's state if it is newer than the given one, else the given one.
	FromPeers func(ctx context.Context, current *config.State) *config.State
	// Held reports whether this node holds a duty, and with which fencing token.
	Held func(duty string) (fence int64, ok bool)
	// SnapshotInterval is the maximum time between two snapshots.
	SnapshotInterval time.Duration

	recent atomic.Pointer[[]api.StoredRecord]
}

// configFeed follows the configuration. One goroutine owns it.
type configFeed struct {
	feeds     *Feeds
	state     *config.State
	failures  int
	snapshots snapshotWriter
	// wait waits after a failure; tests replace it.
	wait func(ctx context.Context, d time.Duration)
}

func newConfigFeed(f *Feeds) *configFeed {
	feed := &configFeed{feeds: f, state: f.Loop.Snapshot().Config}
	feed.snapshots.feed = feed
	feed.wait = feed.waitForUpdates
	return feed
}

// followConfig follows the config stream until ctx ends. It starts from the newest
// snapshot, so that it need not read all retained records.
func (f *Feeds) followConfig(ctx context.Context) {
	feed := newConfigFeed(f)
	feed.start(ctx)
	for ctx.Err() == nil {
		feed.readOnce(ctx)
	}
}

// start loads the newest snapshot; without one the stream is read from its start.
func (c *configFeed) start(ctx context.Context) {
	newest, err := readNewestSnapshot(ctx, c.feeds.Log)
	if err == nil && newest != nil {
		c.state = config.Newer(c.state, newest.state)
	}
}

// readOnce reads the config stream once.
func (c *configFeed) readOnce(ctx context.Context) {
	page, err := c.feeds.Log.Read(ctx, ConfigStream, c.state.Offset, readLimit, c.feeds.ConfigPoll)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		c.feeds.Loop.state.logger.Warn().Err(err).Msg("config stream not read; keeping the current version")
		c.askPeers(ctx)
		c.post(ctx, time.Time{}, ConfigLogUnreachable)
		c.backOff(ctx)
		return
	}
	condition := c.fold(ctx, page)
	c.post(ctx, time.Now(), condition)
	if condition != ConfigCurrent {
		c.backOff(ctx)
		return
	}
	c.failures = 0
	c.snapshots.writeIfDue(ctx)
}

// fold applies a page, or recovers from a gap if the log has deleted records.
func (c *configFeed) fold(ctx context.Context, page api.ReadResponse) ConfigCondition {
	if page.OldestOffset > c.state.Offset {
		return c.recoverFromGap(ctx, page.OldestOffset)
	}
	if page.NextOffset < c.state.Offset {
		return ConfigLogBehind
	}
	for _, stored := range page.Records {
		next, err := config.Fold(c.state, stored)
		switch {
		case errors.Is(err, config.ErrGap):
			return c.recoverFromGap(ctx, stored.Offset)
		case err != nil:
			c.feeds.Loop.state.logger.Error().Err(err).Int64("version", c.state.Version).Msg("config record not applied; keeping the current version")
			return ConfigRuleSetUnknown
		}
		if next != c.state {
			c.feeds.Config.cacheRecord(stored)
		}
		c.state = next
	}
	return ConfigCurrent
}

// recoverFromGap looks for a state at or past an offset: first in the snapshots, then at
// peers.
func (c *configFeed) recoverFromGap(ctx context.Context, offset int64) ConfigCondition {
	newest, err := readNewestSnapshot(ctx, c.feeds.Log)
	if err == nil && newest != nil {
		c.state = config.Newer(c.state, newest.state)
	}
	if c.state.Offset < offset {
		c.askPeers(ctx)
	}
	if c.state.Offset < offset {
		return ConfigLogTrimmed
	}
	return ConfigCurrent
}

func (c *configFeed) askPeers(ctx context.Context) {
	if c.feeds.Config.FromPeers != nil {
		c.state = config.Newer(c.state, c.feeds.Config.FromPeers(ctx, c.state))
	}
}

func (c *configFeed) post(ctx context.Context, readAt time.Time, condition ConfigCondition) {
	c.feeds.Loop.Post(ctx, ConfigUpdated{State: c.state, ReadAt: readAt, Condition: condition})
}

// backOff waits with exponential backoff. The wait has jitter, so that nodes that lost
// the log at the same time do not all return to it at the same time.
func (c *configFeed) backOff(ctx context.Context) {
	c.wait(ctx, configBackoff(c.failures, rand.Float64())) //nolint:gosec // Spreading load needs no secret randomness.
	c.failures++
}

// waitForUpdates waits for d, and meanwhile adopts the state of a peer whose heartbeat
// reports a higher offset.
func (c *configFeed) waitForUpdates(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	ticker := time.NewTicker(peerPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !c.peerIsAhead() {
			continue
		}
		before := c.state
		c.askPeers(ctx)
		if c.state != before {
			c.post(ctx, time.Time{}, c.feeds.Loop.Snapshot().ConfigCondition)
		}
	}
}

func (c *configFeed) peerIsAhead() bool {
	for _, known := range c.feeds.Loop.Snapshot().Peers {
		if known.ConfigOffset > c.state.Offset {
			return true
		}
	}
	return false
}

// configBackoff returns a wait between half the bound and the bound, which doubles with
// each failure up to configBackoffMax. spread is between 0 and 1.
func configBackoff(failures int, spread float64) time.Duration {
	bound := configBackoffMax
	if failures < 16 {
		bound = min(bound, configBackoffInitial<<failures)
	}
	return bound/2 + time.Duration(spread*float64(bound/2))
}

// cacheRecord caches a record for peers. A record that does not follow the last one
// empties the cache first.
func (s *ConfigSources) cacheRecord(stored api.StoredRecord) {
	var before []api.StoredRecord
	if known := s.recent.Load(); known != nil {
		before = *known
	}
	if n := len(before); n > 0 && before[n-1].Offset+1 != stored.Offset {
		before = nil
	}
	drop := max(0, len(before)+1-maxRecentRecords)
	records := make([]api.StoredRecord, 0, len(before)-drop+1)
	records = append(append(records, before[drop:]...), stored)
	s.recent.Store(&records)
}

// Since returns the records from an offset on; false if some of them are not cached.
func (s *ConfigSources) Since(offset int64) ([]api.StoredRecord, bool) {
	known := s.recent.Load()
	if known == nil || offset < (*known)[0].Offset {
		return nil, false
	}
	skip := offset - (*known)[0].Offset
	if skip >= int64(len(*known)) {
		return nil, false
	}
	return (*known)[skip:], true
}
