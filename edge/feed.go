package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonline/persimmonline/infra"
	"github.com/persimmonline/persimmonline/platform"
)

// standbyPoll is the pace at which a feed on standby looks whether it must read.
const standbyPoll = 50 * time.Millisecond

// Calls by which a feed reads.
const (
	callNewest = "newest"
	callRead   = "read"
)

// feed follows partition 0 of a topic.
type feed struct {
	edge  *Edge
	topic string
	// bound is the time that rests on the feed's calls.
	bound func(bounds *platform.Bounds) time.Duration
	// wait is how long the store may hold a read.
	wait func() time.Duration
	// patience with calls that get no answer.
	patience patience
	// pause between two reads; nil for none.
	pause func() time.Duration
	// newest takes the newest record of each key as they were up to an offset, page the
	// records that follow. newest is nil for a topic without keys.
	newest func(records []platform.KeyedRecord, upTo int64)
	page   func(page platform.Page)
	// restarted is told when the topic's records are numbered anew; nil if nobody asks.
	restarted func()
	// current is told that all changes up to now are read; nil if nobody asks.
	current func()
	// standby says that the node knows the topic by its hub and need not read it; nil for never.
	standby func() bool
	// outage is told when the store stops and starts to answer; nil if nobody asks.
	outage func(active bool)

	cursor cursor
	// quiet says that the last read brought nothing, and so has waited already.
	quiet    bool
	failures int
	// idle says that the feed is on standby.
	idle atomic.Bool
	// last is the call that was made last.
	last storeCall
	// answeredAt is when the store answered last, in nanoseconds of the steady clock; 0
	// before the first answer. Metrics read it.
	answeredAt atomic.Int64
}

// storeCall is one call of a feed and what came of it.
type storeCall struct {
	call string
	// from is the offset asked for, end the end that the store told.
	from, end int64
	records   int
	took      time.Duration
}

// fields adds the call to a log line.
func (s storeCall) fields(line *zerolog.Event) *zerolog.Event {
	return line.Str("call", s.call).Int64("from", s.from).Int64("end", s.end).Int("records", s.records).Dur("took_ms", s.took)
}

// follow reads until ctx ends.
func (f *feed) follow(ctx context.Context) {
	f.edge.metrics.follow(f)
	for ctx.Err() == nil {
		if f.onStandby() {
			sleep(ctx, standbyPoll)
			continue
		}
		began := time.Now()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.last.took = time.Since(began)
		f.note(err)
		pause := time.Duration(0)
		if f.pause != nil && !f.quiet {
			pause = f.pause()
		}
		if err != nil {
			pause = retryPause
			if f.failures > shortOutage {
				pause = longRetryPause
			}
			pause += rand.N(pause / 2)
		}
		sleep(ctx, pause)
	}
}

// onStandby says whether the topic is not to be read now. A topic with keys is then read from
// its newest records on.
func (f *feed) onStandby() bool {
	standby := f.standby != nil && f.standby()
	if standby == f.idle.Load() {
		return standby
	}
	f.idle.Store(standby)
	f.edge.logger.Info().Str("topic", f.topic).Bool("standby", standby).Msg("feed goes on standby or reads again")
	if !standby {
		if f.newest != nil {
			f.cursor.restart()
		}
		return false
	}
	if f.failures > 0 && f.outage != nil {
		f.outage(false)
	}
	f.failures = 0
	return true
}

// step reads once.
func (f *feed) step(ctx context.Context) error {
	if f.newest != nil && f.cursor.newestDue(time.Now()) {
		return f.readNewest(ctx)
	}
	from := f.cursor.next
	f.last = storeCall{call: callRead, from: from}
	page, err := f.edge.store.Read(ctx, f.topic, from, f.held(), f.patience.at(f.boundNow(), time.Now()))
	if errors.Is(err, platform.ErrTrimmed) {
		f.edge.logger.Warn().Str("topic", f.topic).Int64("from", from).Int64("oldest", page.First).
			Msg("records were deleted before they were read")
		if f.newest == nil {
			f.cursor.skip(page.First)
			return nil
		}
		f.cursor.trimmed(page.First, time.Now())
		return nil
	}
	if err != nil {
		return err
	}
	f.last.end, f.last.records = page.End, len(page.Records)
	if page.End < from {
		return f.endsBefore(from)
	}
	f.quiet = len(page.Records) == 0
	if f.quiet && page.End > from {
		return fmt.Errorf("read %s from offset %d, end %d: %w", f.topic, from, page.End, errWithheld)
	}
	if !f.quiet {
		f.page(page)
		f.cursor.read(len(page.Records))
	}
	return nil
}

// errWithheld means that the store tells of records and does not send them.
var errWithheld = errors.New("the store sent none of the records")

// errEndsBefore means that the store tells an end before what was read.
var errEndsBefore = errors.New("the topic ends before what was read of it")

// endsBefore takes the answer that the topic ends before what was read: told by a copy that
// lags, or if it is told again and again, by a topic that began anew.
func (f *feed) endsBefore(from int64) error {
	if f.failures >= shortOutage {
		f.edge.logger.Warn().Str("topic", f.topic).Int64("from", from).Int64("end", f.last.end).Msg("the topic began anew")
		f.cursor.restart()
		if f.restarted != nil {
			f.restarted()
		}
	}
	return fmt.Errorf("read %s from offset %d, end %d: %w", f.topic, from, f.last.end, errEndsBefore)
}

func (f *feed) boundNow() time.Duration { return f.bound(f.edge.bounds.Load()) }

// held is how long the store may hold the next read. While the store does not answer
// reads are not held, so that the first one after its return tells at once.
func (f *feed) held() time.Duration {
	if f.failures > 0 {
		return 0
	}
	return f.cursor.held(f.wait(), time.Now())
}

// readNewest takes the newest record of each key, from where the topic is read on.
func (f *feed) readNewest(ctx context.Context) error {
	f.last = storeCall{call: callNewest}
	records, end, err := f.edge.store.Newest(ctx, f.topic, f.patience.at(f.boundNow(), time.Now()))
	if err != nil {
		return err
	}
	f.last.end, f.last.records = end, len(records)
	upTo := newestOffset(records)
	f.newest(records, upTo)
	f.cursor.newest(upTo, end, time.Now())
	f.edge.logger.Info().Str("topic", f.topic).Int("records", len(records)).Int64("newest", upTo).Int64("end", end).
		Int64("missed", f.cursor.missed).Int("looks", f.cursor.looks).Msg("newest records read")
	return nil
}

// newestOffset returns the highest offset among records; -1 if there are none.
func newestOffset(records []platform.KeyedRecord) int64 {
	newest := int64(-1)
	for _, record := range records {
		newest = max(newest, record.Offset)
	}
	return newest
}

// note logs the loss and the return of the store.
func (f *feed) note(err error) {
	f.edge.metrics.storeCall(f.topic, f.last, err)
	logger := &f.edge.logger
	if err == nil {
		if f.failures > 0 {
			f.last.fields(logger.Info()).Str("dependency", "store").Str("topic", f.topic).Int("failures", f.failures).
				Dur("silent_ms", f.silentFor()).Msg("dependency regained")
			if f.outage != nil {
				f.outage(false)
			}
		}
		f.failures = 0
		f.answeredAt.Store(f.edge.clock.steady().UnixNano())
		if f.current != nil && f.cursor.current(f.last.end) {
			f.current()
		}
		return
	}
	f.failures++
	if unanswered(err) {
		f.patience.unanswered(f.failures, f.boundNow(), time.Now())
	}
	// A long outage is told by its first failures and its end.
	if f.failures <= shortOutage {
		message := "dependency still lost"
		if f.failures == 1 {
			message = "dependency lost"
		}
		f.last.fields(logger.Warn()).Err(err).Str("dependency", "store").Str("topic", f.topic).Int("failures", f.failures).
			Dur("silent_ms", f.silentFor()).Msg(message)
	}
	if f.failures == 1 && f.outage != nil {
		f.outage(true)
	}
}

// unanswered says whether a call failed without an answer of the store.
func unanswered(err error) bool {
	var failure *infra.Error
	return errors.As(err, &failure) && failure.Status == 0
}

// silentFor returns the time since the store answered last; 0 before the first answer.
func (f *feed) silentFor() time.Duration {
	at := f.answeredAt.Load()
	if at == 0 || f.idle.Load() {
		return 0
	}
	return time.Duration(f.edge.clock.steady().UnixNano() - at)
}

// sleep waits, at most until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
