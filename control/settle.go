package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

const (
	// settleTries bounds the appends of one outcome or release.
	settleTries = 600
	// settleBackoff is the first wait after a failed append; it doubles.
	settleBackoff = 200 * time.Millisecond
	// settleBackoffMax bounds the wait.
	settleBackoffMax = 10 * time.Second
	// settlePoll is the time between two looks at what is left.
	settlePoll = 5 * time.Millisecond
	// settleBound bounds the records that wait for the log to come back.
	settleBound = 10_000
)

// settling counts the outcomes and releases that are not in the log yet.
type settling struct {
	left    *atomic.Int64
	stopped *atomic.Bool
}

func newSettling() settling { return settling{left: &atomic.Int64{}, stopped: &atomic.Bool{}} }

// wait returns when nothing is left or ctx ends, after which no try follows.
func (s settling) wait(ctx context.Context) {
	for s.left.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, settlePoll)
	}
	s.stopped.Store(true)
}

// settle appends an outcome or a release until the log has it. Repeats do no harm,
// since the fold takes only the first.
func (s *claimShard) settle(record api.Record) {
	if s.settling.left.Add(1) > settleBound {
		s.settling.left.Add(-1)
		s.logger.Warn().Msg("outcome not recorded; too many wait for the log")
		return
	}
	go func() {
		defer s.settling.left.Add(-1)
		backoff := settleBackoff
		for range settleTries {
			if s.settling.stopped.Load() {
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
			err := s.append(ctx, record)
			cancel()
			if err == nil {
				return
			}
			sleep(context.Background(), backoff+randomWait(backoff))
			backoff = min(2*backoff, settleBackoffMax)
		}
	}()
}
