package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

const (
	// maxAppendAttempts bounds the append attempts of one outcome or release.
	maxAppendAttempts = 600
	// appendBackoffInitial is the initial backoff after a failed append; it doubles.
	appendBackoffInitial = 200 * time.Millisecond
	// appendBackoffMax bounds the backoff.
	appendBackoffMax = 10 * time.Second
	// pendingPollInterval is the interval at which wait checks for pending records.
	pendingPollInterval = 5 * time.Millisecond
	// maxPendingAppends bounds the records that wait for the log to recover.
	maxPendingAppends = 10_000
)

// pendingAppends counts the outcomes and releases that are not in the log yet; stopped ends
// their append attempts.
type pendingAppends struct {
	count   *atomic.Int64
	stopped *atomic.Bool
}

func newPendingAppends() pendingAppends {
	return pendingAppends{count: &atomic.Int64{}, stopped: &atomic.Bool{}}
}

// wait returns when no record is pending or ctx ends; no append attempt follows it.
func (s pendingAppends) wait(ctx context.Context) {
	for s.count.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, pendingPollInterval)
	}
	s.stopped.Store(true)
}

// appendWithRetry appends an outcome or a release until the log has acknowledged it.
// Duplicates do no harm, since the fold applies only the first.
func (s *claimShard) appendWithRetry(record api.Record) {
	if s.pending.count.Add(1) > maxPendingAppends {
		s.pending.count.Add(-1)
		s.logger.Warn().Msg("outcome or release not recorded; too many records wait for the log")
		return
	}
	go func() {
		defer s.pending.count.Add(-1)
		backoff := appendBackoffInitial
		for range maxAppendAttempts {
			if s.pending.stopped.Load() {
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
			err := s.append(ctx, record)
			cancel()
			if err == nil {
				return
			}
			sleep(context.Background(), backoff+jitter(backoff))
			backoff = min(2*backoff, appendBackoffMax)
		}
	}()
}
