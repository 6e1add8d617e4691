// Package control owns the control state of a node. One goroutine applies events to
// it and publishes an immutable snapshot, which traffic goroutines read.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/routing"
	"github.com/persimmonline/persimmonline/telemetry"
)

// eventQueueSize bounds the events that wait for the loop, and those that share one snapshot.
const eventQueueSize = 1024

// refreshInterval is the interval at which a snapshot is published without any event, so
// that state that depends on time stays current.
const refreshInterval = 500 * time.Millisecond

// maxPublishDelay bounds the delay of a change that may be published late, so that a
// stream of load reports costs few snapshots.
const maxPublishDelay = 50 * time.Millisecond

// Peer is the last known state of another node.
type Peer struct {
	api.Heartbeat
	// LastSeen is when its last heartbeat was received; zero after a failed contact.
	LastSeen time.Time
}

// Snapshot is the control state at one moment. It is immutable.
type Snapshot struct {
	// Config is the folded configuration stream.
	Config *config.State
	// Index of the configuration; nil while there is none.
	Index *config.Index
	// LogReadAt is the time of the last successful read of the log.
	LogReadAt time.Time
	// ConfigCondition is the reason why the configuration can't advance; empty if it can.
	ConfigCondition ConfigCondition
	// Members as this node sees them.
	Members *membership.View
	// Fleet of upstreams for the scheduler.
	Fleet *routing.Fleet
	// Peers by node id.
	Peers map[string]Peer
	// Loads are the last load reports of engines, by host id.
	Loads map[string]api.EngineLoad
	// Notices are the known reclaim notices, in the order of their arrival.
	Notices []membership.Notice
}

// Event changes the control state.
type Event interface {
	apply(s *state)
}

// deferrableEvent is an event whose effect may be published with a delay.
type deferrableEvent interface {
	deferrable() bool
}

// state is owned by the loop's goroutine.
type state struct {
	config    *config.State
	index     *config.Index
	logReadAt time.Time
	condition ConfigCondition
	members   *membership.Table
	loads     map[string]api.EngineLoad
	trackers  map[string]*routing.Tracker
	prefixes  *routing.PrefixIndex
	holders   map[string]engineCache
	peers     map[string]Peer
	now       func() time.Time
	logger    zerolog.Logger
}

// Loop runs the control goroutine.
type Loop struct {
	events   chan Event
	snapshot atomic.Pointer[Snapshot]
	changed  atomic.Pointer[chan struct{}]
	state    *state
	metrics  *telemetry.Metrics
}

// NewLoop returns a loop with an empty state; now is the clock.
func NewLoop(now func() time.Time, logger zerolog.Logger, metrics *telemetry.Metrics) *Loop {
	l := &Loop{
		events:  make(chan Event, eventQueueSize),
		metrics: metrics,
		state: &state{
			config:   config.Empty(),
			members:  membership.NewTable(),
			loads:    map[string]api.EngineLoad{},
			trackers: map[string]*routing.Tracker{},
			prefixes: routing.NewPrefixIndex(maxPrefixBlocks),
			holders:  map[string]engineCache{},
			peers:    map[string]Peer{},
			now:      now,
			logger:   logger,
		},
	}
	changed := make(chan struct{})
	l.changed.Store(&changed)
	l.publish()
	return l
}

// Snapshot returns the latest snapshot.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Changed returns a channel that is closed when the next snapshot is published.
func (l *Loop) Changed() <-chan struct{} { return *l.changed.Load() }

// Post sends an event to the loop; it drops the event if ctx ends first.
func (l *Loop) Post(ctx context.Context, event Event) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

// Offer sends an event to the loop, or drops it if the queue is full. It is for updates
// that are repeated.
func (l *Loop) Offer(event Event) {
	select {
	case l.events <- event:
	default:
	}
}

// Run applies events until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	delayed := time.NewTimer(maxPublishDelay)
	defer delayed.Stop()
	pending := false
	for {
		select {
		case event := <-l.events:
			started := time.Now()
			if l.applyAll(event) {
				l.publish()
				pending = false
			} else if !pending {
				delayed.Reset(maxPublishDelay)
				pending = true
			}
			l.metrics.ControlSeconds.Add(time.Since(started).Seconds())
		case <-delayed.C:
			if pending {
				l.publishTimed()
				pending = false
			}
		case <-refresh.C:
			l.publishTimed()
			pending = false
		case <-ctx.Done():
			return
		}
	}
}

// applyAll applies an event and those already queued, so that a burst costs one
// snapshot. It reports whether any of them must be published at once.
func (l *Loop) applyAll(event Event) bool {
	urgent := false
	for range eventQueueSize {
		event.apply(l.state)
		deferrable, ok := event.(deferrableEvent)
		urgent = urgent || !ok || !deferrable.deferrable()
		select {
		case event = <-l.events:
		default:
			return urgent
		}
	}
	return urgent
}

func (l *Loop) publishTimed() {
	started := time.Now()
	l.publish()
	l.metrics.ControlSeconds.Add(time.Since(started).Seconds())
}

func (l *Loop) publish() {
	snapshot := l.state.snapshot()
	l.snapshot.Store(snapshot)
	l.metrics.ConfigVersion.Set(float64(snapshot.Config.Version))
	if !snapshot.LogReadAt.IsZero() {
		l.metrics.ConfigAge.Set(l.state.now().Sub(snapshot.LogReadAt).Seconds())
	}
	changed := make(chan struct{})
	old := l.changed.Swap(&changed)
	close(*old)
}
