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

// eventQueue is the number of events that may wait for the loop.
const eventQueue = 1024

// refreshEvery is how often a snapshot is published without any event, so that what
// depends on time goes on.
const refreshEvery = 500 * time.Millisecond

// Peer is what is known of another node.
type Peer struct {
	api.Heartbeat
	// HeardAt is when its last heartbeat came.
	HeardAt time.Time
}

// Snapshot is the control state at one moment. It is immutable.
type Snapshot struct {
	// Config is the folded configuration stream.
	Config *config.State
	// Index of the configuration; nil while there is none.
	Index *config.Index
	// LogReadAt is when the log was last read with success.
	LogReadAt time.Time
	// Members as this node sees them.
	Members *membership.View
	// Fleet of upstreams for the scheduler.
	Fleet *routing.Fleet
	// Peers by node id.
	Peers map[string]Peer
	// Notices are the reclaim notices that are known, in the order of their arrival.
	Notices []membership.Notice
}

// Event changes the control state.
type Event interface {
	apply(s *state)
}

// state is owned by the loop's goroutine.
type state struct {
	config    *config.State
	index     *config.Index
	logReadAt time.Time
	members   *membership.Table
	loads     map[string]api.EngineLoad
	trackers  map[string]*routing.Tracker
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
		events:  make(chan Event, eventQueue),
		metrics: metrics,
		state: &state{
			config:   config.Empty(),
			members:  membership.NewTable(),
			loads:    map[string]api.EngineLoad{},
			trackers: map[string]*routing.Tracker{},
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

// Post hands an event to the loop; it gives up when ctx ends.
func (l *Loop) Post(ctx context.Context, event Event) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

// Offer hands an event to the loop, or drops it when the loop is behind. It is for
// news that comes again.
func (l *Loop) Offer(event Event) {
	select {
	case l.events <- event:
	default:
	}
}

// Run applies events until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	refresh := time.NewTicker(refreshEvery)
	defer refresh.Stop()
	for {
		select {
		case event := <-l.events:
			started := time.Now()
			event.apply(l.state)
			l.drain()
			l.publish()
			l.metrics.ControlSeconds.Add(time.Since(started).Seconds())
		case <-refresh.C:
			l.publish()
		case <-ctx.Done():
			return
		}
	}
}

// drain applies the events that wait already, so that a burst costs one snapshot.
func (l *Loop) drain() {
	for range eventQueue {
		select {
		case event := <-l.events:
			event.apply(l.state)
		default:
			return
		}
	}
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
