package control

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/infra"
	"github.com/persimmonline/persimmonline/lease"
)

// LeaseStream is the log stream of the leases.
const LeaseStream = "leases"

// Names of the control duties.
const (
	// DutySnapshots covers writing snapshots of the configuration.
	DutySnapshots = "config-snapshots"
	// DutyPlanner covers planning and requesting hosts.
	DutyPlanner = "planner"
	// DutyEngineOrders covers sending orders to engines.
	DutyEngineOrders = "engine-orders"
	// DutyClaimCheckpoints covers writing checkpoints of the claims.
	DutyClaimCheckpoints = "claim-checkpoints"
)

const (
	// leasePoll bounds the long poll of the lease stream.
	leasePoll = 5 * time.Second
	// leasePlanInterval is the interval at which renewals and claims are planned.
	leasePlanInterval = 250 * time.Millisecond
	// leaseAppendTimeout bounds one append.
	leaseAppendTimeout = 3 * time.Second
)

// grants are the held duties, by name. The map is immutable.
type grants map[string]lease.Grant

// leasePage is a successful read of the lease stream.
type leasePage struct {
	page api.ReadResponse
	at   time.Time
}

// Duties follows the lease stream and holds the duties that this node can acquire. One
// goroutine owns the leases; Held may be called from any goroutine.
type Duties struct {
	// Log of the platform.
	Log infra.Log
	// Timing of the leases.
	Timing lease.Timing

	logger zerolog.Logger
	holder *lease.Holder
	held   atomic.Pointer[grants]
	pages  chan leasePage
	failed chan error
}

// NewDuties returns the runner of a node's duties; nothing runs before Run.
func NewDuties(log infra.Log, node, incarnation string, logger zerolog.Logger, names ...string) *Duties {
	timing := lease.DefaultTiming()
	d := &Duties{
		Log:    log,
		Timing: timing,
		logger: logger,
		holder: lease.NewHolder(node, incarnation, timing, names...),
		pages:  make(chan leasePage),
		failed: make(chan error, 1),
	}
	d.held.Store(&grants{})
	return d
}

// Held reports whether this node may act on a duty now, and returns the fencing token
// of its lease. Call it right before each action; on false the node must not act.
func (d *Duties) Held(duty string) (fence int64, ok bool) {
	grant, known := (*d.held.Load())[duty]
	if !known || !time.Now().Before(grant.Until) {
		return 0, false
	}
	return grant.Fence, true
}

// Run holds duties until ctx ends, then releases them.
func (d *Duties) Run(ctx context.Context) {
	followDone := make(chan struct{})
	go func() {
		defer close(followDone)
		d.follow(ctx)
	}()
	ticker := time.NewTicker(leasePlanInterval)
	defer ticker.Stop()
	for {
		select {
		case read := <-d.pages:
			d.apply(read)
		case err := <-d.failed:
			d.logger.Warn().Err(err).Msg("lease not renewed; duties end unless the log recovers")
		case <-ticker.C:
			d.append(ctx, d.holder.Plan(time.Now(), uuid.NewString, jitter))
		case <-ctx.Done():
			<-followDone
			d.release()
			return
		}
		d.publish()
	}
}

// follow reads the lease stream from its oldest record on.
func (d *Duties) follow(ctx context.Context) {
	from := int64(0)
	for ctx.Err() == nil {
		page, err := d.Log.Read(ctx, LeaseStream, from, readLimit, leasePoll)
		if err != nil {
			d.logger.Warn().Err(err).Msg("lease stream not read; no duty claimed")
			sleep(ctx, jitter(feedBackoff)+feedBackoff)
			continue
		}
		select {
		case d.pages <- leasePage{page: page, at: time.Now()}:
		case <-ctx.Done():
			return
		}
		from = max(from, page.OldestOffset)
		if n := len(page.Records); n > 0 {
			from = page.Records[n-1].Offset + 1
		}
	}
}

func (d *Duties) apply(read leasePage) {
	d.holder.Table().MarkGap(read.page.OldestOffset, read.at, d.Timing.TTL)
	for _, stored := range read.page.Records {
		var record api.Record
		if err := json.Unmarshal(stored.Data, &record); err != nil || record.Lease == nil {
			d.holder.Table().Skip(stored.Offset)
			continue
		}
		d.holder.Apply(stored.Offset, *record.Lease, read.at)
	}
}

// append writes records without waiting for the result; only reading them back counts.
func (d *Duties) append(ctx context.Context, records []api.LeaseRecord) {
	if len(records) == 0 {
		return
	}
	encoded := encodeLeases(records)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, leaseAppendTimeout)
		defer cancel()
		if _, err := d.Log.Append(ctx, LeaseStream, encoded); err != nil && ctx.Err() == nil {
			select {
			case d.failed <- err:
			default:
			}
		}
	}()
}

// release releases the duties, so that another node need not wait for the leases to expire.
func (d *Duties) release() {
	records := d.holder.Stop(time.Now(), uuid.NewString)
	d.publish()
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaseAppendTimeout)
	defer cancel()
	if _, err := d.Log.Append(ctx, LeaseStream, encodeLeases(records)); err != nil {
		d.logger.Warn().Err(err).Msg("leases not released; they will expire")
	}
}

// publish makes the grants visible to Held and logs the changes.
func (d *Duties) publish() {
	before := *d.held.Load()
	now := grants(d.holder.Held(time.Now()))
	d.held.Store(&now)
	for name, grant := range now {
		if old, had := before[name]; !had || old.Fence != grant.Fence {
			d.logger.Info().Str("duty", name).Int64("fence", grant.Fence).Msg("duty held")
		}
	}
	for name, grant := range before {
		if _, has := now[name]; !has {
			d.logger.Info().Str("duty", name).Int64("fence", grant.Fence).Msg("duty ended")
		}
	}
}

func encodeLeases(records []api.LeaseRecord) []json.RawMessage {
	encoded := make([]json.RawMessage, len(records))
	for i := range records {
		encoded[i], _ = json.Marshal(api.Record{Lease: &records[i]})
	}
	return encoded
}

// jitter returns a random duration below bound, so that many nodes do not act at the same time.
func jitter(bound time.Duration) time.Duration {
	return rand.N(bound) //nolint:gosec // Spreading load needs no secret randomness.
}
