package control

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/idempotency"
	"github.com/persimmonline/persimmonline/infra"
)

const (
	// ClaimShards is the number of claim streams.
	ClaimShards = 4
	// claimStreamPrefix is the prefix of each claim stream's name.
	claimStreamPrefix = "claims-"
	// claimPoll bounds the long poll of a claim stream.
	claimPoll = 5 * time.Second
	// claimTimeout bounds an append, and the wait for a claim to be read back.
	claimTimeout = 2 * time.Second
	// claimAppendsPerSecond bounds the claim appends of all nodes; it is divided evenly
	// among the live ones.
	claimAppendsPerSecond = 250
	// initialAppendsPerSecond bounds the claim appends of a node until it has counted
	// the live nodes.
	initialAppendsPerSecond = 25
	// shareInterval is the interval at which the live nodes are counted.
	shareInterval = 2 * time.Second
	// claimAppendBurst is the burst of the token bucket that limits the appends.
	claimAppendBurst = 4
	// checkpointInterval is the interval between checkpoints of the claims.
	checkpointInterval = 10 * time.Minute
	// maxClaimEntries bounds the keys that a shard retains.
	maxClaimEntries = 250_000
	// maxClaimOutcomeBytes bounds the answers that a shard retains, in bytes.
	maxClaimOutcomeBytes = 8 << 20
)

// ErrLogUnavailable means that the log could not be read or written in time, so that
// nodes can't agree on a claim.
var ErrLogUnavailable = errors.New("the log can't agree on a claim now")

// Claims agrees with other nodes, through the log, on which attempt sends a call that
// must not be repeated.
type Claims struct {
	log       infra.Log
	logger    zerolog.Logger
	duties    *Duties
	liveNodes func() int
	limiter   *rate.Limiter
	shards    []*claimShard
}

// NewClaims returns the claims of a node; nothing runs before Run. nodes returns the
// number of live nodes, among which the append rate is divided.
func NewClaims(log infra.Log, duties *Duties, nodes func() int, logger zerolog.Logger) *Claims {
	limiter := rate.NewLimiter(initialAppendsPerSecond, claimAppendBurst)
	c := &Claims{log: log, logger: logger, duties: duties, liveNodes: nodes, limiter: limiter}
	for i := range ClaimShards {
		c.shards = append(c.shards, newClaimShard(log, claimStreamPrefix+strconv.Itoa(i), limiter, logger))
	}
	return c
}

// Run follows all claim streams until ctx ends, then makes a last attempt at the
// records that are not in the log yet.
func (c *Claims) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, shard := range c.shards {
		group.Go(func() { shard.run(ctx) })
	}
	group.Go(func() { c.writeCheckpoints(ctx) })
	group.Go(func() { c.adjustAppendLimit(ctx) })
	group.Wait()
}

// Close waits until the outcomes and releases are in the log or ctx ends.
func (c *Claims) Close(ctx context.Context) {
	for _, shard := range c.shards {
		shard.pending.wait(ctx)
	}
}

// Abort stops all further append attempts, as a crash would.
func (c *Claims) Abort() {
	for _, shard := range c.shards {
		shard.pending.stopped.Store(true)
	}
}

// Acquire tries to win the claim. The verdict is Send for at most one caller across all
// nodes; that caller must call Finish or Release. ErrLogUnavailable means that
// this attempt has not sent the call and never will.
func (c *Claims) Acquire(ctx context.Context, claim api.Claim, runsFor time.Duration) (idempotency.Decision, error) {
	return c.shardOf(claim.Workspace, claim.Key).acquire(ctx, claim, runsFor)
}

// Await waits until another attempt's outcome is known, ctx ends or wait has elapsed.
func (c *Claims) Await(ctx context.Context, claim api.Claim, runsFor, wait time.Duration) idempotency.Decision {
	return c.shardOf(claim.Workspace, claim.Key).await(ctx, claim, runsFor, wait)
}

// Finish records the outcome of a call that was sent.
func (c *Claims) Finish(outcome api.Outcome) {
	shard := c.shardOf(outcome.Workspace, outcome.Key)
	shard.mu.Lock()
	shard.ownOutcomes[outcome.Attempt] = &outcome
	shard.signal()
	shard.mu.Unlock()
	shard.appendWithRetry(api.Record{Outcome: &outcome})
}

// Release abandons a claim that was won but whose call was not sent.
func (c *Claims) Release(claim api.Claim) {
	shard := c.shardOf(claim.Workspace, claim.Key)
	shard.mu.Lock()
	shard.attempts.Forget(claim.Attempt)
	shard.mu.Unlock()
	shard.appendWithRetry(releaseOf(claim))
}

func releaseOf(claim api.Claim) api.Record {
	return api.Record{Release: &api.Release{Workspace: claim.Workspace, Key: claim.Key, Attempt: claim.Attempt}}
}

func (c *Claims) shardOf(workspace, key string) *claimShard {
	return c.shards[idempotency.Shard(idempotency.IDOf(workspace, key), len(c.shards))]
}

// adjustAppendLimit keeps this node's append rate at its share of the total.
func (c *Claims) adjustAppendLimit(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, shareInterval)
		c.limiter.SetLimit(rate.Limit(claimAppendsPerSecond / float64(max(1, c.liveNodes()))))
	}
}

// writeCheckpoints copies the claims to the end of their streams, before the log trims
// their records, while this node holds the duty. A writer that lost the duty does no
// harm, since a checkpoint only repeats what was read.
func (c *Claims) writeCheckpoints(ctx context.Context) {
	ticker := time.NewTicker(checkpointInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.Checkpoint(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Checkpoint writes a checkpoint of each shard if this node holds the duty.
func (c *Claims) Checkpoint(ctx context.Context) {
	if _, held := c.duties.Held(DutyClaimCheckpoints); !held {
		return
	}
	for _, shard := range c.shards {
		records := shard.checkpoint(uuid.NewString())
		if len(records) == 0 {
			continue
		}
		appendCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		_, err := c.log.Append(appendCtx, shard.stream, records)
		cancel()
		if err != nil {
			c.logger.Warn().Err(err).Str("stream", shard.stream).Msg("claim checkpoint not written")
		}
	}
}
