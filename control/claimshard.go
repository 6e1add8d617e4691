package control

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/idempotency"
	"github.com/persimmonline/persimmonline/infra"
	"github.com/persimmonline/persimmonline/logbatch"
)

const (
	maxClaimBatchRecords    = 200
	maxClaimBatchBytes      = 256 << 10
	maxClaimQueue           = 4096
	maxClaimAppendsInFlight = 4
)

// claimShard follows one claim stream. Its reader goroutine folds the records into the
// table; calls look them up under the lock.
type claimShard struct {
	log     infra.Log
	stream  string
	logger  zerolog.Logger
	batcher *logbatch.Batcher

	pending pendingAppends

	mu       sync.Mutex
	table    *idempotency.Table
	attempts *idempotency.Attempts
	// ownOutcomes holds the outcomes of this node that have not been read back yet, by attempt.
	ownOutcomes map[string]*api.Outcome
	// readable is set if the last read succeeded.
	readable bool
	// unreadClaims holds the claims of this node that have not been read back yet, by attempt.
	unreadClaims map[string]bool
	// changed is closed and replaced at each change.
	changed chan struct{}
	// checkpointedThrough is the offset that the last checkpoint reached.
	checkpointedThrough int64
}

func newClaimShard(log infra.Log, stream string, limiter *rate.Limiter, logger zerolog.Logger) *claimShard {
	return &claimShard{
		log:    log,
		stream: stream,
		logger: logger.With().Str("stream", stream).Logger(),
		batcher: logbatch.New(logbatch.Options{
			Log: log, Stream: stream, MaxRecords: maxClaimBatchRecords, MaxBytes: maxClaimBatchBytes,
			MaxQueue: maxClaimQueue, InFlight: maxClaimAppendsInFlight, Timeout: claimTimeout, Limiter: limiter,
		}),
		pending:             newPendingAppends(),
		table:               idempotency.NewTable(idempotency.Bounds{Entries: maxClaimEntries, OutcomeBytes: maxClaimOutcomeBytes}),
		attempts:            idempotency.NewAttempts(),
		ownOutcomes:         map[string]*api.Outcome{},
		unreadClaims:        map[string]bool{},
		changed:             make(chan struct{}),
		checkpointedThrough: idempotency.NoOffset,
	}
}

func (s *claimShard) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.batcher.Run(ctx) })
	group.Go(func() { s.follow(ctx) })
	group.Wait()
}

// follow reads the stream from its oldest record on. The first read after a start or
// an outage does not wait for new records.
func (s *claimShard) follow(ctx context.Context) {
	from, wait := int64(0), time.Duration(0)
	for ctx.Err() == nil {
		page, err := s.log.Read(ctx, s.stream, from, readLimit, wait)
		if err != nil && ctx.Err() != nil {
			return
		}
		if err != nil {
			wait = 0
			s.markUnreadable(err)
			sleep(ctx, feedBackoff+jitter(feedBackoff))
			continue
		}
		s.apply(page, time.Now())
		wait = claimPoll
		from = max(from, page.OldestOffset)
		if n := len(page.Records); n > 0 {
			from = page.Records[n-1].Offset + 1
		}
	}
}

// markUnreadable wakes the calls that wait for a claim, so that they are refused at once.
func (s *claimShard) markUnreadable(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readable {
		s.logger.Warn().Err(err).Msg("claim stream not read; calls with an idempotency key are refused")
	}
	s.readable = false
	s.signal()
}

func (s *claimShard) apply(page api.ReadResponse, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.readable {
		s.logger.Info().Msg("claim stream read")
	}
	s.readable = true
	since := at
	if len(page.Records) > 0 {
		since = time.UnixMilli(page.Records[0].AtMS)
	}
	s.table.ApplyOldest(page.OldestOffset, since)
	for _, stored := range page.Records {
		var record api.Record
		if err := json.Unmarshal(stored.Data, &record); err != nil {
			s.logger.Warn().Err(err).Int64("offset", stored.Offset).Msg("undecodable record skipped")
		}
		s.table.Apply(stored.Offset, stored.AtMS, record, at)
		s.resolveOwn(record)
	}
	s.signal()
}

// resolveOwn ends the wait for a claim or an outcome of this node that was read back. A claim
// that has won for an abandoned attempt is released.
func (s *claimShard) resolveOwn(record api.Record) {
	if outcome := record.Outcome; outcome != nil {
		delete(s.ownOutcomes, outcome.Attempt)
		s.attempts.Forget(outcome.Attempt)
	}
	claim := record.Claim
	if claim == nil {
		return
	}
	delete(s.unreadClaims, claim.Attempt)
	won := s.table.Decide(*claim, time.Time{}, 0).Verdict
	if s.attempts.ObserveClaim(claim.Attempt, won == idempotency.Send || won == idempotency.PossiblyUsed) {
		s.appendWithRetry(releaseOf(*claim))
	}
}

// signal wakes everything that waits for a change. The caller holds the lock.
func (s *claimShard) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// decide looks up a call. The second result is false while the log can't be read.
func (s *claimShard) decide(claim api.Claim, runsFor time.Duration) (idempotency.Decision, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision := s.table.Decide(claim, time.Now(), runsFor)
	if outcome, ok := s.ownOutcomes[decision.Attempt]; ok {
		decision = idempotency.DecideOutcome(outcome)
	}
	return decision, s.readable, s.changed
}

func (s *claimShard) acquire(ctx context.Context, claim api.Claim, runsFor time.Duration) (idempotency.Decision, error) {
	decision, readable, _ := s.decide(claim, runsFor)
	if decision.Verdict == idempotency.PossiblyUsed && !readable {
		return decision, ErrLogUnavailable
	}
	if decision.Verdict != idempotency.Claim {
		return decision, nil
	}
	if !readable {
		return decision, ErrLogUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	s.begin(claim.Attempt)
	appendResult := make(chan error, 1)
	go func() { appendResult <- s.append(ctx, api.Record{Claim: &claim}) }()
	decision, err := s.readBack(ctx, claim, runsFor, appendResult)
	if err != nil || decision.Verdict != idempotency.Send {
		s.abandon(claim)
		return decision, err
	}
	if !s.send(claim.Attempt) {
		return decision, ErrLogUnavailable
	}
	return decision, nil
}

// readBack waits until the claim has been read, which implies that the stream was read up to
// it. An append with an unknown effect decides nothing; the wait goes on.
func (s *claimShard) readBack(ctx context.Context, claim api.Claim, runsFor time.Duration, appendResult <-chan error) (idempotency.Decision, error) {
	for {
		s.mu.Lock()
		unread, readable, changed := s.unreadClaims[claim.Attempt], s.readable, s.changed
		s.mu.Unlock()
		if !unread {
			decision, _, _ := s.decide(claim, runsFor)
			return decision, nil
		}
		if !readable {
			return idempotency.Decision{}, ErrLogUnavailable
		}
		select {
		case <-changed:
		case err := <-appendResult:
			if hadNoEffect(err) {
				s.forget(claim.Attempt)
				return idempotency.Decision{}, errors.Join(ErrLogUnavailable, err)
			}
			appendResult = nil
		case <-ctx.Done():
			return idempotency.Decision{}, errors.Join(ErrLogUnavailable, ctx.Err())
		}
	}
}

func hadNoEffect(err error) bool {
	var failed *infra.Error
	return errors.As(err, &failed) && failed.Effect == infra.EffectNone
}

func (s *claimShard) begin(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts.Begin(attempt)
	s.unreadClaims[attempt] = true
}

// forget drops the state of an attempt whose claim can't be in the log.
func (s *claimShard) forget(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts.Forget(attempt)
	delete(s.unreadClaims, attempt)
}

func (s *claimShard) send(attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts.TrySend(attempt)
}

// abandon abandons an attempt. If its claim was read already and has won, it is
// released now, otherwise once it is read.
func (s *claimShard) abandon(claim api.Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts.Abandon(claim.Attempt)
	if s.unreadClaims[claim.Attempt] {
		return
	}
	won := s.table.Decide(claim, time.Time{}, 0).Verdict
	if s.attempts.ObserveClaim(claim.Attempt, won == idempotency.Send || won == idempotency.PossiblyUsed) {
		s.appendWithRetry(releaseOf(claim))
	}
}

func (s *claimShard) await(ctx context.Context, claim api.Claim, runsFor, wait time.Duration) idempotency.Decision {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		decision, _, changed := s.decide(claim, runsFor)
		if decision.Verdict != idempotency.Wait {
			return decision
		}
		select {
		case <-changed:
		case <-timer.C:
			return decision
		case <-ctx.Done():
			return decision
		}
	}
}

func (s *claimShard) append(ctx context.Context, record api.Record) error {
	encoded, err := json.Marshal(record)
	if err != nil {
		return err
	}
	return s.batcher.Append(ctx, encoded)
}

// checkpoint returns the records of a checkpoint; none if nothing is new since the last.
func (s *claimShard) checkpoint(id string) []json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	through := s.table.LastOffset()
	if through <= s.checkpointedThrough {
		return nil
	}
	records := s.table.Checkpoint(id)
	encoded := make([]json.RawMessage, len(records))
	for i := range records {
		encoded[i], _ = json.Marshal(records[i])
	}
	s.checkpointedThrough = through + int64(len(records))
	return encoded
}
