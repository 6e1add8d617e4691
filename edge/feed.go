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

// standbyPoll is the interval at which a feed on standby checks whether it must read.
const standbyPoll = 50 * time.Millisecond

// Calls of a feed to the store, as metrics and logs name them.
const (
	callNewest = "newest"
	callRead   = "read"
)

// feed follows partition 0 of a topic.
type feed struct {
	edge  *Edge
	topic string
	// bound returns the time within which this node must learn of a new record.
	bound func(bounds *platform.Bounds) time.Duration
	// maxWait returns how long the store may block a read while there are no records.
	maxWait func() time.Duration
	// timeout bounds a call beyond the time for which the store may block it.
	timeout adaptiveTimeout
	// interval returns the pause between two reads; nil for none.
	interval func() time.Duration
	// applyNewest applies the newest record of each key as of an offset, applyPage the records
	// that follow. applyNewest is nil for a topic without keys.
	applyNewest func(records []platform.KeyedRecord, upTo int64)
	applyPage   func(page platform.Page)
	// onTrimmed, if not nil, is called when the records before an offset were deleted unread, in a topic
	// without keys. It returns once the gap is known, before the read counts as answered.
	onTrimmed func(oldest int64)
	// onRestart, if not nil, is called when the topic's records were renumbered.
	onRestart func()
	// onRestore, if not nil, is called when the store came back from an older copy.
	onRestore func(era int64)
	// onCurrent, if not nil, is called when all changes up to now have been read.
	onCurrent func()
	// shouldStandBy reports whether the node need not read the topic, because its hub keeps it
	// current; nil for never.
	shouldStandBy func() bool
	// onOutage, if not nil, is called when the store becomes unavailable (true) or available again.
	onOutage func(active bool)

	// era of the store that cursor belongs to; 0 if unknown.
	era int64
	// hasPosition is set once the store has answered.
	hasPosition bool
	cursor      cursor
	// lastReadEmpty is set if the last read returned no records, and so already waited.
	lastReadEmpty bool
	failures      int
	// standby is set while the feed is on standby.
	standby atomic.Bool
	// lastCall is the most recent call to the store.
	lastCall storeCall
	// answeredAt is when the store last answered, in nanoseconds of the monotonic clock; 0
	// before the first response. Metrics read it.
	answeredAt atomic.Int64
}

// storeCall is a call of a feed to the store with its result.
type storeCall struct {
	call string
	// from is the requested offset, end the end of the topic that the store returned.
	from, end int64
	records   int
	took      time.Duration
}

// addFields adds the call to a log line.
func (s storeCall) addFields(line *zerolog.Event) *zerolog.Event {
	return line.Str("call", s.call).Int64("from", s.from).Int64("end", s.end).Int("records", s.records).Dur("took_ms", s.took)
}

// follow reads the topic until ctx is done.
func (f *feed) follow(ctx context.Context) {
	f.edge.metrics.registerFeed(f)
	for ctx.Err() == nil {
		if f.updateStandby() {
			sleep(ctx, standbyPoll)
			continue
		}
		began := time.Now()
		err := f.readOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		f.lastCall.took = time.Since(began)
		f.recordResult(err)
		delay := time.Duration(0)
		if f.interval != nil && !f.lastReadEmpty {
			delay = f.interval()
		}
		if err != nil {
			delay = retryDelay
			if f.failures > shortOutageFailures {
				delay = longRetryDelay
			}
			delay += rand.N(delay / 2)
		}
		sleep(ctx, delay)
	}
}

// updateStandby updates and returns whether the feed is on standby. When reading resumes, a topic
// with keys is read again from its newest records on.
func (f *feed) updateStandby() bool {
	standby := f.shouldStandBy != nil && f.shouldStandBy()
	if standby == f.standby.Load() {
		return standby
	}
	f.standby.Store(standby)
	f.edge.logger.Info().Str("topic", f.topic).Bool("standby", standby).Msg("feed standby changed")
	if !standby {
		if f.applyNewest != nil {
			f.cursor.reset()
		}
		return false
	}
	if f.failures > 0 && f.onOutage != nil {
		f.onOutage(false)
	}
	f.failures = 0
	return true
}

// readOnce makes one read and applies its records.
func (f *feed) readOnce(ctx context.Context) error {
	if f.applyNewest != nil && f.cursor.newestDue(time.Now()) {
		return f.readNewest(ctx)
	}
	from := f.cursor.next
	f.lastCall = storeCall{call: callRead, from: from}
	page, err := f.edge.store.Read(ctx, f.topic, from, f.readWait(), f.timeout.current(f.currentBound(), time.Now()))
	if err == nil || errors.Is(err, platform.ErrTrimmed) {
		switch isRestored, err := f.enterEra(page.Era); {
		case err != nil:
			return err
		case isRestored:
			return f.readOnce(ctx)
		}
	}
	if errors.Is(err, platform.ErrTrimmed) {
		f.edge.logger.Warn().Str("topic", f.topic).Int64("from", from).Int64("oldest", page.First).
			Msg("records deleted before they were read")
		if f.applyNewest == nil {
			f.cursor.skipTo(page.First)
			if f.onTrimmed != nil {
				f.onTrimmed(page.First)
			}
			return nil
		}
		f.cursor.applyTrimmed(page.First, time.Now())
		return nil
	}
	if err != nil {
		return err
	}
	f.lastCall.end, f.lastCall.records = page.End, len(page.Records)
	if page.End < from {
		return f.handleEndBefore(from)
	}
	f.lastReadEmpty = len(page.Records) == 0
	if f.lastReadEmpty && page.End > from {
		return fmt.Errorf("read %s from offset %d, end %d: %w", f.topic, from, page.End, errWithheld)
	}
	if !f.lastReadEmpty {
		f.applyPage(page)
		f.cursor.advance(len(page.Records))
	}
	return nil
}

// errOldEra means that a response is from an era before that of the read position.
var errOldEra = errors.New("response from an older era of the store")

// enterEra compares the era of a response with that of the read position. A position is worth nothing in
// a later era, even if its offset exists there, and the topic is read anew.
func (f *feed) enterEra(era int64) (isRestored bool, err error) {
	if era < f.era {
		return false, fmt.Errorf("read %s in era %d, response of era %d: %w", f.topic, f.era, era, errOldEra)
	}
	isRestored = era > f.era && f.hasPosition
	if isRestored {
		f.edge.logger.Warn().Str("topic", f.topic).Int64("era", era).Int64("known_era", f.era).Int64("from", f.cursor.next).
			Msg("topic is read again: the store came back from an older copy")
		f.cursor.reset()
		f.lastReadEmpty = false
		if f.onRestore != nil {
			f.onRestore(era)
		}
	}
	f.era, f.hasPosition = era, true
	return isRestored, nil
}

// errWithheld means that the store reports records after the offset and returns none of them.
var errWithheld = errors.New("store returned none of the available records")

// errEndsBefore means that the store returned an end of the topic before the read position.
var errEndsBefore = errors.New("topic ends before the read position")

// handleEndBefore handles a topic that ends before the read position. The response comes from a
// replica that lags; if it persists, the topic was recreated and is read from the start.
func (f *feed) handleEndBefore(from int64) error {
	if f.failures >= shortOutageFailures {
		f.edge.logger.Warn().Str("topic", f.topic).Int64("from", from).Int64("end", f.lastCall.end).Msg("topic recreated")
		f.cursor.reset()
		if f.onRestart != nil {
			f.onRestart()
		}
	}
	return fmt.Errorf("read %s from offset %d, end %d: %w", f.topic, from, f.lastCall.end, errEndsBefore)
}

func (f *feed) currentBound() time.Duration { return f.bound(f.edge.bounds.Load()) }

// readWait returns how long the store may block the next read. During an outage it is 0, so that
// the first read after it shows the recovery at once.
func (f *feed) readWait() time.Duration {
	if f.failures > 0 {
		return 0
	}
	return f.cursor.maxWait(f.maxWait(), time.Now())
}

// readNewest reads and applies the newest record of each key; reading continues after them.
func (f *feed) readNewest(ctx context.Context) error {
	f.lastCall = storeCall{call: callNewest}
	newest, err := f.edge.store.Newest(ctx, f.topic, f.timeout.current(f.currentBound(), time.Now()))
	if err != nil {
		return err
	}
	if _, err := f.enterEra(newest.Era); err != nil {
		return err
	}
	f.lastCall.end, f.lastCall.records = newest.End, len(newest.Records)
	upTo := newestOffset(newest.Records)
	f.applyNewest(newest.Records, upTo)
	f.cursor.applyNewest(upTo, newest.End, time.Now())
	f.edge.logger.Info().Str("topic", f.topic).Int("records", len(newest.Records)).Int64("newest", upTo).Int64("end", newest.End).
		Int64("missed", f.cursor.trimmedEnd).Int("looks", f.cursor.newestRepeats).Msg("newest records read")
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

// recordResult counts the last call and logs the loss and the recovery of the store.
func (f *feed) recordResult(err error) {
	f.edge.metrics.observeStoreCall(f.topic, f.lastCall, err)
	logger := &f.edge.logger
	if err == nil {
		if f.failures > 0 {
			f.lastCall.addFields(logger.Info()).Str("dependency", "store").Str("topic", f.topic).Int("failures", f.failures).
				Dur("silent_ms", f.sinceLastAnswer()).Msg("dependency recovered")
			if f.onOutage != nil {
				f.onOutage(false)
			}
		}
		f.failures = 0
		f.answeredAt.Store(f.edge.clock.monotonic().UnixNano())
		if f.onCurrent != nil && f.cursor.caughtUp(f.lastCall.end) {
			f.onCurrent()
		}
		return
	}
	f.failures++
	if isUnanswered(err) {
		f.timeout.recordUnanswered(f.failures, f.currentBound(), time.Now())
	}
	// Only the first failures and the end of a long outage are logged.
	if f.failures <= shortOutageFailures {
		message := "dependency still unavailable"
		if f.failures == 1 {
			message = "dependency unavailable"
		}
		f.lastCall.addFields(logger.Warn()).Err(err).Str("dependency", "store").Str("topic", f.topic).Int("failures", f.failures).
			Dur("silent_ms", f.sinceLastAnswer()).Msg(message)
	}
	if f.failures == 1 && f.onOutage != nil {
		f.onOutage(true)
	}
}

// isUnanswered reports whether a call failed without a response of the store.
func isUnanswered(err error) bool {
	var failure *infra.Error
	return errors.As(err, &failure) && failure.Status == 0
}

// sinceLastAnswer returns the time since the store last answered; 0 before the first response and on
// standby.
func (f *feed) sinceLastAnswer() time.Duration {
	at := f.answeredAt.Load()
	if at == 0 || f.standby.Load() {
		return 0
	}
	return time.Duration(f.edge.clock.monotonic().UnixNano() - at)
}

// sleep pauses for a duration, or until ctx is done.
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
