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
	// configBackoffFirst is the wait after the first failed read of the config stream.
	configBackoffFirst = 250 * time.Millisecond
	// configBackoffMost bounds the wait, so that a node follows the log again well
	// within the time that a patch has to be in force.
	configBackoffMost = 8 * time.Second
	// peerAskEvery is the time between two looks at what peers have, while the log can't
	// be followed.
	peerAskEvery = time.Second
	// recentRecords is the number of records that are kept for peers.
	recentRecords = 256
)

// ConfigCondition says why the configuration of a node can't advance. The version in
// force is kept under each of them.
type ConfigCondition string

// Conditions of the configuration.
const (
	// ConfigCurrent means that the log is read and folded.
	ConfigCurrent ConfigCondition = ""
	// ConfigLogUnreachable means that the log can't be read.
	ConfigLogUnreachable ConfigCondition = "log_unreachable"
	// ConfigLogTrimmed means that the log has expired records that were not folded, and
	// that no snapshot and no peer is past them.
	ConfigLogTrimmed ConfigCondition = "log_trimmed"
	// ConfigLogBehind means that the log ends before what was folded from it.
	ConfigLogBehind ConfigCondition = "log_behind"
	// ConfigRuleSetUnknown means that the next record needs a newer build.
	ConfigRuleSetUnknown ConfigCondition = "rule_set_unknown"
)

// ConfigSources are what the configuration is followed by beyond the config stream.
type ConfigSources struct {
	// FromPeers returns a newer state that a peer has; the given one when none has.
	FromPeers func(ctx context.Context, than *config.State) *config.State
	// Held says whether this node holds a duty, with the fencing number.
	Held func(duty string) (fence int64, ok bool)
	// SnapshotInterval is the longest time between two snapshots.
	SnapshotInterval time.Duration

	recent atomic.Pointer[[]api.StoredRecord]
}

// configFeed follows the configuration. One goroutine owns it.
type configFeed struct {
	feeds     *Feeds
	state     *config.State
	failures  int
	snapshots snapshotWriter
	// wait waits after a failure.
	wait func(ctx context.Context, d time.Duration)
}

func newConfigFeed(f *Feeds) *configFeed {
	feed := &configFeed{feeds: f, state: f.Loop.Snapshot().Config}
	feed.snapshots.feed = feed
	feed.wait = feed.waitForNews
	return feed
}

// followConfig follows the config stream until ctx ends. It starts from the newest
// snapshot, so that it need not read all that the log keeps.
func (f *Feeds) followConfig(ctx context.Context) {
	feed := newConfigFeed(f)
	feed.start(ctx)
	for ctx.Err() == nil {
		feed.step(ctx)
	}
}

// start takes the newest snapshot; without one the stream is read from its start.
func (c *configFeed) start(ctx context.Context) {
	newest, err := readNewestSnapshot(ctx, c.feeds.Log)
	if err == nil && newest != nil {
		c.state = config.Newer(c.state, newest.state)
	}
}

// step reads the config stream once.
func (c *configFeed) step(ctx context.Context) {
	page, err := c.feeds.Log.Read(ctx, ConfigStream, c.state.Offset, readLimit, c.feeds.ConfigPoll)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		c.feeds.Loop.state.logger.Warn().Err(err).Msg("config stream not read; version kept")
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

// fold takes a page, or goes around records that the log has expired.
func (c *configFeed) fold(ctx context.Context, page api.ReadResponse) ConfigCondition {
	if page.OldestOffset > c.state.Offset {
		return c.crossGap(ctx, page.OldestOffset)
	}
	if page.NextOffset < c.state.Offset {
		return ConfigLogBehind
	}
	for _, stored := range page.Records {
		next, err := config.Fold(c.state, stored)
		switch {
		case errors.Is(err, config.ErrGap):
			return c.crossGap(ctx, stored.Offset)
		case err != nil:
			c.feeds.Loop.state.logger.Error().Err(err).Int64("version", c.state.Version).Msg("configuration is held at its version")
			return ConfigRuleSetUnknown
		}
		if next != c.state {
			c.feeds.Config.remember(stored)
		}
		c.state = next
	}
	return ConfigCurrent
}

// crossGap looks for a state at or past an offset: in the snapshots, then at peers.
func (c *configFeed) crossGap(ctx context.Context, offset int64) ConfigCondition {
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

// backOff waits longer after each failure, up to a bound. The wait is random, so that
// a fleet that lost the log together does not come back to it together.
func (c *configFeed) backOff(ctx context.Context) {
	c.wait(ctx, configBackoff(c.failures, rand.Float64())) //nolint:gosec // Spreading load needs no secret randomness.
	c.failures++
}

// waitForNews waits for d, and meanwhile takes the state of a peer whose heartbeat says
// that it is ahead.
func (c *configFeed) waitForNews(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	ticker := time.NewTicker(peerAskEvery)
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

// configBackoff returns a wait between half of and the whole of the bound, which
// doubles with each failure. spread is between 0 and 1.
func configBackoff(failures int, spread float64) time.Duration {
	bound := configBackoffMost
	if failures < 16 {
		bound = min(bound, configBackoffFirst<<failures)
	}
	return bound/2 + time.Duration(spread*float64(bound/2))
}

// remember keeps a record for peers.
func (s *ConfigSources) remember(stored api.StoredRecord) {
	var before []api.StoredRecord
	if known := s.recent.Load(); known != nil {
		before = *known
	}
	if n := len(before); n > 0 && before[n-1].Offset+1 != stored.Offset {
		before = nil
	}
	drop := max(0, len(before)+1-recentRecords)
	kept := make([]api.StoredRecord, 0, len(before)-drop+1)
	kept = append(append(kept, before[drop:]...), stored)
	s.recent.Store(&kept)
}

// Since returns the records from an offset on; false when some of them are not kept.
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
