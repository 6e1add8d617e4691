// Package logbatch commits many records with one append to a stream of the log, so
// that a node stays within its share of the log's append rate.
package logbatch

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/persimmonline/persimmonline/infra"
)

// ErrQueueFull means that a record was rejected because the queue is full.
var ErrQueueFull = errors.New("too many records wait for the log")

// ErrClosed means that the batcher was stopped before the record was sent or answered.
var ErrClosed = errors.New("batcher is closed")

// Options bound a batcher.
type Options struct {
	// Log of the platform.
	Log infra.Log
	// Stream that records are appended to.
	Stream string
	// MaxRecords of one append.
	MaxRecords int
	// MaxBytes of the records of one append. A larger record is appended alone.
	MaxBytes int
	// MaxQueue bounds the queued records.
	MaxQueue int
	// InFlight bounds the concurrent appends.
	InFlight int
	// Timeout of one append.
	Timeout time.Duration
	// Limiter bounds the appends of the node; batchers may share it.
	Limiter *rate.Limiter
}

// entry is a queued record and the channel for its result.
type entry struct {
	record json.RawMessage
	done   chan error
}

// Batcher appends the queued records as soon as the limiter permits. An idle batcher
// appends at once; under load many records share an append.
type Batcher struct {
	options Options
	queue   chan entry
	stopped chan struct{}
}

// New returns a batcher; it appends nothing until Run is called.
func New(options Options) *Batcher {
	return &Batcher{
		options: options,
		queue:   make(chan entry, options.MaxQueue),
		stopped: make(chan struct{}),
	}
}

// Append appends a record and returns once the append was answered. An error with
// infra.EffectUnknown, or the end of ctx, means that the record may be in the log
// now or later; only reading the log decides.
func (b *Batcher) Append(ctx context.Context, record json.RawMessage) error {
	queued := entry{record: record, done: make(chan error, 1)}
	select {
	case b.queue <- queued:
	case <-b.stopped:
		return notSent(ErrClosed)
	default:
		return notSent(ErrQueueFull)
	}
	select {
	case err := <-queued.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-b.stopped:
		return &infra.Error{Step: "append in a batch", Effect: infra.EffectUnknown, Err: ErrClosed}
	}
}

func notSent(err error) error {
	return &infra.Error{Step: "append in a batch", Effect: infra.EffectNone, Err: err}
}

// Run appends records until ctx ends, and then waits for appends in flight.
func (b *Batcher) Run(ctx context.Context) {
	defer close(b.stopped)
	slots := make(chan struct{}, b.options.InFlight)
	var group sync.WaitGroup
	defer group.Wait()
	var first *entry
	for {
		if first == nil {
			select {
			case next := <-b.queue:
				first = &next
			case <-ctx.Done():
				return
			}
		}
		if err := b.options.Limiter.Wait(ctx); err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		var batch []entry
		batch, first = b.collect(*first)
		group.Go(func() {
			defer func() { <-slots }()
			b.commit(ctx, batch)
		})
	}
}

// collect takes queued records up to the bounds; rest is the first record that did not
// fit.
func (b *Batcher) collect(first entry) (batch []entry, rest *entry) {
	batch = []entry{first}
	size := len(first.record)
	for len(batch) < b.options.MaxRecords {
		select {
		case next := <-b.queue:
			size += len(next.record)
			if size > b.options.MaxBytes {
				return batch, &next
			}
			batch = append(batch, next)
		default:
			return batch, nil
		}
	}
	return batch, nil
}

func (b *Batcher) commit(ctx context.Context, batch []entry) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.options.Timeout)
	defer cancel()
	records := make([]json.RawMessage, len(batch))
	for i := range batch {
		records[i] = batch[i].record
	}
	_, err := b.options.Log.Append(ctx, b.options.Stream, records)
	for i := range batch {
		batch[i].done <- err
	}
}
