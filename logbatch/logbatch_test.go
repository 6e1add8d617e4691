package logbatch_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/infra"
	"github.com/persimmonline/persimmonline/logbatch"
)

// fakeLog blocks appends until release is closed.
type fakeLog struct {
	mu      sync.Mutex
	batches [][]json.RawMessage
	release chan struct{}
	err     error
}

func (f *fakeLog) Append(ctx context.Context, _ string, records []json.RawMessage) (int64, error) {
	select {
	case <-f.release:
	case <-ctx.Done():
		return 0, &infra.Error{Effect: infra.EffectUnknown, Err: ctx.Err()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.batches = append(f.batches, records)
	return 0, f.err
}

func (f *fakeLog) Read(context.Context, string, int64, int, time.Duration) (api.ReadResponse, error) {
	return api.ReadResponse{}, nil
}

func start(t *testing.T, log *fakeLog, timeout time.Duration) *logbatch.Batcher {
	t.Helper()
	b := logbatch.New(logbatch.Options{
		Log: log, Stream: "s", MaxRecords: 10, MaxBytes: 1000, MaxQueue: 100, InFlight: 1,
		Timeout: timeout, Limiter: rate.NewLimiter(rate.Inf, 1),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return b
}

func TestRecordsShareAppendsWithinBounds(t *testing.T) {
	log := &fakeLog{release: make(chan struct{})}
	b := start(t, log, time.Minute)
	var group sync.WaitGroup
	for range 41 {
		group.Go(func() { require.NoError(t, b.Append(t.Context(), json.RawMessage(`1`))) })
	}
	group.Go(func() { require.NoError(t, b.Append(t.Context(), json.RawMessage(strings.Repeat("1", 2000)))) })
	close(log.release)
	group.Wait()
	total := 0
	for _, batch := range log.batches {
		require.LessOrEqual(t, len(batch), 10)
		total += len(batch)
	}
	require.Equal(t, 42, total)
}

func TestAnswerThatIsLostIsNotAnAnswer(t *testing.T) {
	log := &fakeLog{release: make(chan struct{})}
	b := start(t, log, time.Millisecond)
	var failed *infra.Error
	require.ErrorAs(t, b.Append(t.Context(), json.RawMessage(`1`)), &failed)
	require.Equal(t, infra.EffectUnknown, failed.Effect)
}

func TestFullQueueRefusesAtOnce(t *testing.T) {
	b := logbatch.New(logbatch.Options{MaxQueue: 0})
	var failed *infra.Error
	require.ErrorAs(t, b.Append(t.Context(), json.RawMessage(`1`)), &failed)
	require.Equal(t, infra.EffectNone, failed.Effect)
	require.ErrorIs(t, failed, logbatch.ErrQueueFull)
}
